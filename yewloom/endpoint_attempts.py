"""One request at one endpoint: sending it, checking the answer and passing it on."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import structlog
import trio

from yewloom.attempts import AttemptState
from yewloom.caller_headers import AnswerMarks, HeaderCodec, Sending
from yewloom.crash_checks import CrashChecks
from yewloom.crash_record import CrashRecord
from yewloom.directory import Endpoint
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    AnswerHead,
    Exchange,
    ExchangeError,
    ExchangeFailure,
    Header,
    OutgoingRequest,
    open_exchange,
)
from yewloom.endpoint_choice import EndpointChoice
from yewloom.endpoint_limits import EndpointLimits
from yewloom.event_stream import EventSplitter, StreamOrderError
from yewloom.fingerprints import fingerprint_text
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_request import ForwardRequest, WholeAnswer
from yewloom.loop_lateness import LoopLateness
from yewloom.reachability import Reachability
from yewloom.selection import Selector
from yewloom.stalls import AVOID_STALLED_S, StallDetector
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

AVOID_BROKEN_S = 1.0
"""Time for which an endpoint that broke off gets nothing new."""

AVOID_FULL_S = 0.15
"""Time for which an endpoint that said it is full gets nothing new: a few of its batches."""

SERVER_ERROR = 500
"""Lowest status that says a request failed at the endpoint."""

_CUT_OFF = {ExchangeFailure.BROKEN, ExchangeFailure.CUT}
"""Failures behind which the endpoint's process may have ended."""

T = TypeVar("T")


class _Stalled(Exception):  # noqa: N818 - ends an attempt
    """The endpoint's group stands still."""


@value_class
class _Answer:
    """The head of an answer, and what it says."""

    head: AnswerHead
    marks: AnswerMarks


class EndpointAttempts:
    """Sends requests to endpoints over connections of their own."""

    def __init__(
        self,
        codec: HeaderCodec,
        selector: Selector,
        stalls: StallDetector,
        metrics: ForwardMetrics,
        reachability: Reachability,
        choice: EndpointChoice,
        lateness: LoopLateness,
        crashes: CrashRecord,
        crash_checks: CrashChecks,
        limits: EndpointLimits,
    ) -> None:
        self._limits = limits
        self._crashes = crashes
        self._crash_checks = crash_checks
        self._codec = codec
        self._lateness = lateness
        self._reachability = reachability
        self._choice = choice
        self._selector = selector
        self._stalls = stalls
        self._metrics = metrics

    async def run(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        """Send a request to an endpoint; tell whether its answer is the caller's.

        A stream is with the caller by then; a whole answer is kept in the request.
        """
        is_answered, outcome = await self._try(request, endpoint)
        self._metrics.on_attempt(outcome.split(":")[0])
        if is_answered:
            self._note_answer(request)
        else:
            logger.info(
                "attempt failed",
                request_id=request.marks.request_id,
                fingerprint=fingerprint_text(request.fingerprint),
                endpoint=endpoint.id,
                outcome=outcome,
                last_event_id=request.cursor.last_event_id,
            )
        return is_answered

    def _note_answer(self, request: ForwardRequest) -> None:
        """Clear a request of suspicion that an endpoint answered without failing."""
        status = request.answer.status if request.answer is not None else request.reply.status
        if status < SERVER_ERROR and self._crashes.has_any:
            self._crashes.note_answer(request.fingerprint, trio.current_time())

    async def _try(self, request: ForwardRequest, endpoint: Endpoint) -> tuple[bool, str]:
        """Tell whether the answer is with the caller, and how the attempt ended."""
        try:
            return await self._exchange_again_if_late(request, endpoint)
        except ExchangeError as error:
            outcome = self._note_failure(request, endpoint, error)
            if error.failure in _CUT_OFF:
                await self._crash_checks.note_cut(endpoint, request.fingerprint)
            return False, outcome
        except _Stalled:
            self._avoid_and_report(endpoint, AVOID_STALLED_S)
            return False, "stalled"
        except StreamOrderError as error:
            return False, f"unreadable: {error}"

    async def _exchange_again_if_late(
        self, request: ForwardRequest, endpoint: Endpoint
    ) -> tuple[bool, str]:
        """Connect once more if this host was held up meanwhile: that is no endpoint's fault."""
        try:
            return await self._exchange(request, endpoint)
        except ExchangeError as error:
            if error.failure is not ExchangeFailure.NOT_CONNECTED or not self._lateness.late_s():
                raise
        return await self._exchange(request, endpoint)

    def _note_failure(
        self, request: ForwardRequest, endpoint: Endpoint, error: ExchangeError
    ) -> str:
        now_s = trio.current_time()
        if not error.is_sent:
            request.record.note(endpoint.id, AttemptState.NOTHING_SENT)
        match error.failure:
            case ExchangeFailure.NOT_CONNECTED | ExchangeFailure.REFUSED:
                self._reachability.on_failure(endpoint, now_s)
                self._stalls.report_unreachable(endpoint.id, now_s)
            case ExchangeFailure.BROKEN:
                self._avoid_and_report(endpoint, AVOID_BROKEN_S)
            case ExchangeFailure.CUT | ExchangeFailure.UNREADABLE:
                pass  # It says nothing of other requests: one answer was wrong.
        return str(error)

    def _avoid_and_report(self, endpoint: Endpoint, avoid_s: float) -> None:
        """Send an endpoint nothing new for a time, and report it to the coordinator."""
        now_s = trio.current_time()
        self._selector.avoid(endpoint.id, now_s + avoid_s)
        self._stalls.report(endpoint.id, now_s)

    async def _exchange(self, request: ForwardRequest, endpoint: Endpoint) -> tuple[bool, str]:
        async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S) as exchange:
            self._reachability.on_connected(endpoint, trio.current_time())
            request.record.note(endpoint.id, AttemptState.SENT)
            await exchange.send(self._outgoing(request, endpoint))
            if not request.route.is_stream:
                answer = await self._answer(endpoint, exchange)
                return await self._pass_whole(request, endpoint, exchange, answer)
            self._stalls.on_begin(endpoint.id, trio.current_time())
            try:
                read = partial(self._answer, endpoint, exchange)
                answer = await self._unless_stalled(request, endpoint, read)
                if answer.head.status != 200:
                    return await self._pass_whole(request, endpoint, exchange, answer)
                self._check_answer(request, answer.marks)
                return await self._pass_events(request, endpoint, exchange, answer.head)
            finally:
                self._stalls.on_end(endpoint.id)

    async def _answer(self, endpoint: Endpoint, exchange: Exchange) -> _Answer:
        """Wait for the head of an answer, and take in the limit that it names."""
        head = await exchange.head()
        marks = self._codec.decode_answer(head)
        limit = marks.limit
        if limit.is_told:
            self._limits.note(endpoint.id, limit.per_s, trio.current_time())
        elif limit.unreadable:
            self._limits.note_unreadable(endpoint.id, limit.unreadable)
        return _Answer(head, marks)

    def _outgoing(self, request: ForwardRequest, endpoint: Endpoint) -> OutgoingRequest:
        resumes = request.cursor.has_events or request.marks.last_event_id > 0
        sending = Sending(
            endpoint=endpoint.id,
            customer=request.customer,
            deadline_ms=max(1, request.left_ms(trio.current_time())),
            last_event_id=request.cursor.last_event_id if resumes else None,
        )
        source = request.source
        headers = self._codec.outgoing_headers(source.headers, sending)
        if source.body or source.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"content-length", str(len(source.body)).encode()))
        return OutgoingRequest(source.method, source.target, headers, source.body)

    def _check_answer(self, request: ForwardRequest, marks: AnswerMarks) -> None:
        """Raise ExchangeError unless an answer belongs to the request."""
        if marks.request_id != request.marks.request_id:
            raise ExchangeError(ExchangeFailure.UNREADABLE, True, "answer to another request")

    async def _pass_whole(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        exchange: Exchange,
        answer: _Answer,
    ) -> tuple[bool, str]:
        """Keep an answer for the caller once it is whole, unless another endpoint may do better."""
        head = answer.head
        if answer.marks.is_not_run:
            request.record.note(endpoint.id, AttemptState.NOT_RUN)
            self._selector.avoid(endpoint.id, trio.current_time() + AVOID_FULL_S)
            return False, f"not run: status {head.status}"
        self._check_answer(request, answer.marks)
        body = await exchange.whole_body()
        if head.status >= SERVER_ERROR and self._choice.claim_another(request):
            return False, f"failed: status {head.status}"
        request.record.note(endpoint.id, AttemptState.ANSWERED)
        if request.reply.is_started:
            return False, f"failed: status {head.status} in the middle of a stream"
        request.answer = WholeAnswer(head.status, self._codec.returned_headers(head), body)
        return True, "answered"

    async def _pass_events(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        exchange: Exchange,
        head: AnswerHead,
    ) -> tuple[bool, str]:
        """Pass on events as they come; the answer begins with its first event."""
        splitter = EventSplitter()
        last_s: float | None = None
        while True:
            chunk = await self._unless_stalled(request, endpoint, exchange.next_chunk)
            if chunk is None:
                break
            now_s, late_s = trio.current_time(), self._lateness.late_s()
            self._stalls.on_event(endpoint.id, now_s, late_s)
            if last_s is not None and not late_s:  # Else the pause was this host's own.
                self._selector.paces.note(endpoint.id, now_s - last_s, now_s)
            last_s = now_s
            data = b"".join(e.data for e in splitter.feed(chunk) if request.cursor.accept(e))
            if data:
                await self._pass_data(request, head, data)
        if splitter.has_rest or not request.reply.is_started:
            raise ExchangeError(ExchangeFailure.BROKEN, True, "the stream ended inside an event")
        request.record.note(endpoint.id, AttemptState.ANSWERED)
        await request.reply.finish()
        return True, "answered"

    async def _pass_data(self, request: ForwardRequest, head: AnswerHead, data: bytes) -> None:
        if request.reply.is_started:
            await request.reply.send(data)
            return
        request.first_event_s = trio.current_time()
        headers: list[Header] = self._codec.returned_headers(head)
        await request.reply.start(head.status, headers, data)

    async def _unless_stalled(
        self, request: ForwardRequest, endpoint: Endpoint, step: Callable[[], Awaitable[T]]
    ) -> T:
        """Run a step that may be cancelled and begun again.

        Raises _Stalled when the group stands still and another one could go on. A host that was
        held up looks twice: what came meanwhile may not have been read yet.
        """
        if not request.route.may_repeat:
            return await step()
        was_late = False
        while True:
            look_s = self._stalls.next_look_s(endpoint.id, trio.current_time())
            with trio.move_on_at(look_s):
                return await step()
            is_stalled = self._stalls.is_stalled(endpoint.id, trio.current_time())
            if is_stalled and not was_late and self._lateness.late_s():
                was_late = True
            elif is_stalled and self._choice.claim_another(request):
                raise _Stalled
