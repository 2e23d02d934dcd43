"""Run one attempt: an exchange with an endpoint, and what its outcome says about the endpoint."""

import structlog
import trio

from yewloom.answer_evidence import AnswerEvidence
from yewloom.attempts import AttemptState
from yewloom.crash_checks import CrashChecks
from yewloom.crash_record import CrashRecord
from yewloom.crash_reports import LostRequest
from yewloom.directory import Endpoint
from yewloom.endpoint_answers import FailureKind
from yewloom.endpoint_calls import ExchangeError, ExchangeFailure
from yewloom.endpoint_exchanges import EndpointExchanges, Overtaken, Withdrawn
from yewloom.event_stream import EventStreamError
from yewloom.fingerprints import format_fingerprint
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_request import MIN_SERVER_ERROR_STATUS, Attempt, ForwardRequest
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.part_record import BEGINNING_S
from yewloom.prompt_parts import format_prompt_parts
from yewloom.reachability import Reachability
from yewloom.selection import Selector
from yewloom.stalls import StallDetector

logger = structlog.get_logger(__name__)

CONNECTION_LOST_AVOIDANCE_S = 1.0
"""Time for which an endpoint that dropped a connection gets no new requests."""

_SUCCESS_STATUSES = range(200, 300)

_POSSIBLE_CRASH = {ExchangeFailure.CONNECTION_LOST, ExchangeFailure.TRUNCATED}
"""Failures that may mean that the endpoint's process has crashed."""

_FAILED_ANSWERS = {
    ExchangeFailure.TRUNCATED: FailureKind.TRUNCATED,
    ExchangeFailure.INVALID_RESPONSE: FailureKind.UNREADABLE,
}
"""Failures of the answer itself. Others say that the endpoint can't be reached, or has gone."""


class EndpointAttemptRunner:
    """Sends requests to endpoints, each over its own connection."""

    def __init__(
        self,
        exchanges: EndpointExchanges,
        selector: Selector,
        stalls: StallDetector,
        metrics: ForwardMetrics,
        reachability: Reachability,
        loop_delay: LoopDelayMonitor,
        crash_record: CrashRecord,
        crash_checks: CrashChecks,
        evidence: AnswerEvidence,
    ) -> None:
        self._evidence = evidence
        self._crash_record = crash_record
        self._crash_checks = crash_checks
        self._exchanges = exchanges
        self._loop_delay = loop_delay
        self._reachability = reachability
        self._selector = selector
        self._stalls = stalls
        self._metrics = metrics

    async def run(self, request: ForwardRequest, attempt: Attempt) -> bool:
        """Send a request to an endpoint; return whether its response is the one the caller gets.

        A stream has been forwarded by then; a buffered response is stored in the request.
        """
        is_answered, outcome = await self._run_attempt(request, attempt)
        self._metrics.on_attempt(outcome.split(":")[0])
        if is_answered:
            self._clear_crash_suspicion(request)
            self._evidence.record_answer(request, attempt)
        else:
            self._evidence.record_failure(request, attempt)
            logger.info(
                "attempt failed",
                request_id=request.metadata.request_id,
                fingerprint=format_fingerprint(request.fingerprint),
                shared_parts=format_prompt_parts(request.metadata.shared_parts),
                endpoint=attempt.endpoint.id,
                outcome=outcome,
                last_event_id=request.cursor.last_event_id,
            )
        return is_answered

    def _clear_crash_suspicion(self, request: ForwardRequest) -> None:
        """Stop suspecting a request of causing crashes if it did not end in a server error."""
        status, now_s = request.answered_status, trio.current_time()
        if status < MIN_SERVER_ERROR_STATUS and self._crash_record.has_any:
            self._crash_record.record_success(request.fingerprint, now_s)
        if status in _SUCCESS_STATUSES:
            self._crash_record.parts.record_answer(request.metadata.shared_parts, now_s)

    async def _run_attempt(self, request: ForwardRequest, attempt: Attempt) -> tuple[bool, str]:
        """Return whether the caller gets this response, and the outcome of the attempt.

        The outcome is a kind, followed by a colon and details in some cases.
        """
        try:
            with attempt.exchange_scope:
                return await self._exchange_with_reconnect(request, attempt)
            return False, "overtaken"
        except ExchangeError as error:
            outcome = self._record_failure(request, attempt.endpoint, error)
            attempt.failure = _FAILED_ANSWERS.get(error.failure)
            if error.failure in _POSSIBLE_CRASH:
                await self._check_crash(request, attempt)
            return False, outcome
        except Overtaken:
            return False, "overtaken"
        except Withdrawn:
            return False, "withdrawn"
        except EventStreamError as error:
            attempt.failure = FailureKind.UNREADABLE
            return False, f"unreadable: {error}"

    async def _check_crash(self, request: ForwardRequest, attempt: Attempt) -> None:
        """Check whether an endpoint that has aborted the exchange of a request has crashed."""
        parts, since_s = request.metadata.shared_parts, attempt.responding_since_s
        has_begun = since_s is not None and trio.current_time() - since_s >= BEGINNING_S
        lost = LostRequest(request.fingerprint, () if has_begun else parts)
        await self._crash_checks.on_exchange_aborted(attempt.endpoint, lost, parts)

    async def _exchange_with_reconnect(
        self, request: ForwardRequest, attempt: Attempt
    ) -> tuple[bool, str]:
        """Run the exchange; retry a failed connection if this host's event loop was delayed.

        The failure may be due to the delay, and then says nothing about the endpoint.
        """
        try:
            return await self._exchanges.run(request, attempt)
        except ExchangeError as error:
            if error.failure is not ExchangeFailure.NOT_CONNECTED or not self._loop_delay.delay_s():
                raise
        return await self._exchanges.run(request, attempt)

    def _record_failure(
        self, request: ForwardRequest, endpoint: Endpoint, error: ExchangeError
    ) -> str:
        now_s = trio.current_time()
        if not error.is_sent:
            request.record.set_state(endpoint.id, AttemptState.NOTHING_SENT)
        match error.failure:
            case ExchangeFailure.NOT_CONNECTED | ExchangeFailure.REFUSED:
                request.first_unreachable_s = min(request.first_unreachable_s, now_s)
                self._reachability.on_failure(endpoint, now_s)
                self._stalls.report_unreachable(endpoint.id, now_s)
            case ExchangeFailure.CONNECTION_LOST:
                self._selector.avoid(endpoint.id, now_s + CONNECTION_LOST_AVOIDANCE_S)
                self._stalls.report_stalled(endpoint.id, now_s)
            case ExchangeFailure.TRUNCATED | ExchangeFailure.INVALID_RESPONSE:
                pass  # One response was wrong; many of them make the endpoint an outlier.
        return str(error)
