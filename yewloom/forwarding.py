"""Forward callers' requests to endpoints, and log the outcome of each request."""

import itertools
import math
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog
import trio

from yewloom.attempts import FailureResponse
from yewloom.caller_headers import HeaderCodec, RequestMetadata
from yewloom.caller_messages import CallerDisconnectedError, CallerRequest, ResponseWriter
from yewloom.concurrent_attempts import ConcurrentAttempts
from yewloom.configuration import ConfigurationState
from yewloom.endpoint_calls import Header
from yewloom.endpoint_choice import EndpointChooser
from yewloom.fingerprints import format_fingerprint
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_request import ForwardRequest, Refusal
from yewloom.key_trust import KeyTrust
from yewloom.prompt_parts import format_prompt_parts
from yewloom.quarantines import Quarantines
from yewloom.relay_messages import RelayContext
from yewloom.relays import Relays
from yewloom.request_admission import QUARANTINED, RequestAdmission
from yewloom.retry_after import bounded_retry_after_s
from yewloom.retry_window import RetryBudget
from yewloom.selection import Selector

logger = structlog.get_logger(__name__)

RETRY_AFTER_S = 0.25
"""Retry-After of refused requests: a fraction of a second, as endpoints' slots become free several
times a second."""

STOPPING_RETRY_AFTER_S = 0.0
"""Retry-After of requests that a stopping host refuses: zero, as the stop does not affect the other
hosts, which can answer at once."""

ANSWERED = "answered"
"""Outcome of a request whose caller received an endpoint's complete response."""

LIMITED = "endpoints limited"
"""Reason for refusing a request if all its endpoints have reached their announced rate limits, or
have asked for a pause."""

FAILED_AT_PEER = "not answered by peer"
"""Outcome of a request whose caller received the response of a peer that no endpoint answered."""

MAX_UNREACHABLE_ATTEMPTS = 3
"""Number of endpoints that a request tries although this host reaches none of them. Several
connections that time out would take most of its time."""

STOPPING = "host is stopping"
"""Reason for refusing a request because this host is stopping."""


UNEXPECTED_ERROR = "unexpected error"
"""Beginning of the outcome of a request during which this host's own code failed."""


class Forwarder:
    """Answers callers' requests by forwarding them to endpoints."""

    def __init__(
        self,
        configuration_state: ConfigurationState,
        codec: HeaderCodec,
        selector: Selector,
        retries: RetryBudget,
        attempts: ConcurrentAttempts,
        metrics: ForwardMetrics,
        key_trust: KeyTrust,
        is_ready: Callable[[], bool],
        chooser: EndpointChooser,
        quarantines: Quarantines,
        relays: Relays,
        endpoints_age_ms: Callable[[float], int],
    ) -> None:
        self._endpoints_age_ms = endpoints_age_ms
        self._relays = relays
        self._configuration_state = configuration_state
        self._retries = retries
        self._attempts = attempts
        self._metrics = metrics
        self._chooser = chooser
        self._timers: dict[trio.CancelScope, None] = {}  # In the order in which they started.
        self._admission = RequestAdmission(
            configuration_state, codec, selector, key_trust, is_ready, quarantines
        )
        self._quarantines = quarantines

    async def handle(
        self,
        caller_request: CallerRequest,
        response_writer: ResponseWriter,
        relay: RelayContext | None = None,
    ) -> None:
        """Answer one request, which a peer may have relayed."""
        request = metadata = None
        try:
            metadata = self._admission.decode_metadata(caller_request, relay)
            request = self._admission.admit(caller_request, response_writer, metadata, relay)
            self._admission.check_quarantine(request)
            outcome = await self._forward(request)
        except Refusal as refusal:
            outcome = refusal.reason
            await self._send_refusal(response_writer, refusal)
        except (CallerDisconnectedError, trio.Cancelled):
            # A caller that closes right after it received the complete response has been served.
            is_served = (
                request is not None and request.record.is_answered and response_writer.is_complete
            )
            outcome = ANSWERED if is_served else "caller gone"
            self._record_outcome(caller_request, metadata, request, response_writer, outcome, relay)
            raise
        except Exception:
            logger.exception("request failed", reason=UNEXPECTED_ERROR)
            outcome = await self._respond_after_error(request, response_writer)
        self._record_outcome(caller_request, metadata, request, response_writer, outcome, relay)

    async def reject(self, caller_request: CallerRequest, response_writer: ResponseWriter) -> None:
        """Refuse a request that arrived after the host stopped accepting requests."""
        metadata, outcome = None, STOPPING
        try:
            metadata = self._admission.decode_metadata(caller_request)
        except Refusal as refusal:
            outcome = f"{STOPPING}; {refusal.reason}"
        except Exception:
            logger.exception("request failed", reason=UNEXPECTED_ERROR)
            outcome = f"{STOPPING}; {UNEXPECTED_ERROR}"
        await self._send_refusal(response_writer, Refusal(503, STOPPING, STOPPING_RETRY_AFTER_S))
        self._record_outcome(caller_request, metadata, None, response_writer, outcome)

    def end_oldest(self, max_requests: int = sys.maxsize) -> bool:
        """End up to ``max_requests`` open requests, oldest first; each gets its final response.

        Returns whether there were any.
        """
        open_timers = (timer for timer in self._timers if not timer.cancel_called)
        ended = list(itertools.islice(open_timers, max_requests))
        for timer in ended:
            timer.cancel()
        return bool(ended)

    async def _forward(self, request: ForwardRequest) -> str:
        """Try endpoints until one answers; return the outcome of the request."""
        with self._time_limit(request):
            await self._try_endpoints(request)
        # Outside the time limit: a response that has arrived is sent even if time has run out.
        request.fall_back()
        if request.response is not None:
            response = request.response
            await request.response_writer.send_complete(
                response.status, response.headers, response.body
            )
        if request.response_writer.is_complete:
            return ANSWERED if request.record.is_answered else FAILED_AT_PEER
        return await self._send_failure(request)

    async def _try_endpoints(self, request: ForwardRequest) -> None:
        """Send a request to one endpoint after another until one answers or none is left."""
        while not await self._try_next(request):
            pass

    async def _try_next(self, request: ForwardRequest) -> bool:
        """Send a request to the next endpoint or peer; return whether nothing is left to do."""
        if not self._chooser.may_send(request):
            return not await self._wait_for_return(request)
        peer = self._relays.next_peer(request)
        if peer is None:
            if self._is_unreachable(request):
                return True
            self._count(request)
            attempt = self._chooser.take_next(request)
            if attempt is not None:
                return await self._attempts.run(request, attempt)
            if request.failed_response is not None:
                return True  # It need not wait for a retry.
            if self._chooser.is_limited(request):
                peer = self._relays.next_sharing_peer(request)
        if peer is not None:
            return await self._relays.run(request, peer)
        return not await self._wait_for_pause(request)

    def _is_unreachable(self, request: ForwardRequest) -> bool:
        """Return whether trying more endpoints would only take the time of a request."""
        if not self._relays.has_lost_all(request):
            return False
        return request.is_relayed or request.record.unreachable_count() >= MAX_UNREACHABLE_ATTEMPTS

    def _count(self, request: ForwardRequest) -> None:
        """Count a request for the budget of retries, unless this or another host has done so."""
        if not request.is_counted:
            request.is_counted = True
            arrived_s = request.caller_request.arrived_s
            self._retries.on_request(request.requirements.service, arrived_s)

    async def _wait_for_return(self, request: ForwardRequest) -> bool:
        """Wait until an endpoint that turned a request away may be asked again.

        Return False at once if there is none, or if the request has a response to fall back on.
        """
        wait_s = self._chooser.return_wait_s(request)
        if wait_s is None or request.failed_response is not None:
            return False
        await trio.sleep(wait_s)
        return True

    async def _wait_for_pause(self, request: ForwardRequest) -> bool:
        """Wait for an endpoint that pauses; return False at once if the request can't wait."""
        wait_s = self._chooser.pause_wait_s(request)
        if wait_s is None:
            return False
        await trio.sleep(wait_s)
        return True

    @contextmanager
    def _time_limit(self, request: ForwardRequest) -> Iterator[None]:
        """Cancel the forwarding of a request at its deadline, or when a planned stop ends it."""
        with trio.move_on_at(request.deadline_s) as timer:
            self._timers[timer] = None
            try:
                yield
            finally:
                del self._timers[timer]

    async def _respond_after_error(
        self, request: ForwardRequest | None, response_writer: ResponseWriter
    ) -> str:
        """Send the final response after an unexpected error; return the outcome."""
        if request is None:
            refusal = Refusal(503, UNEXPECTED_ERROR, RETRY_AFTER_S)
            await self._send_refusal(response_writer, refusal)
            return UNEXPECTED_ERROR
        return f"{UNEXPECTED_ERROR}; {await self._send_failure(request)}"

    async def _send_failure(self, request: ForwardRequest) -> str:
        """Send the final response to a request that no endpoint answered; return the outcome."""
        if request.response_writer.is_started:
            return "cut off"  # The stream is left unfinished, so that it can't look complete.
        is_out_of_time = trio.current_time() >= request.deadline_s
        match request.record.failure_response(is_out_of_time):
            case FailureResponse.REFUSED:
                refusal = self._build_refusal(request)
                await self._send_refusal(request.response_writer, refusal)
                return refusal.reason
            case FailureResponse.MAY_HAVE_RUN:
                await request.response_writer.send_complete(502, [], b"")
                return "may have run"
            case FailureResponse.TIMED_OUT:
                await request.response_writer.send_complete(504, [], b"")
                return "out of time"

    def _build_refusal(self, request: ForwardRequest) -> Refusal:
        """Return the refusal of a request that has not run, with the time after which to retry."""
        if not self._chooser.has_time_before_stop(request):
            return Refusal(503, STOPPING, STOPPING_RETRY_AFTER_S)
        wait_s = self._chooser.retry_after_s(request)
        if wait_s > 0:
            retry_after_s = bounded_retry_after_s(wait_s)
            return Refusal(503, LIMITED, math.ceil(retry_after_s * 100) / 100)
        return Refusal(503, "no endpoint free", RETRY_AFTER_S)

    async def _send_refusal(self, response_writer: ResponseWriter, refusal: Refusal) -> None:
        headers: list[Header] = []
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", f"{refusal.retry_after_s:g}".encode()))
        await response_writer.send_complete(refusal.status, headers, b"")

    def _record_outcome(
        self,
        caller_request: CallerRequest,
        metadata: RequestMetadata | None,
        request: ForwardRequest | None,
        response_writer: ResponseWriter,
        outcome: str,
        relay: RelayContext | None = None,
    ) -> None:
        """Log the outcome of a request in one line, and record outcome and duration as metrics."""
        now_s = trio.current_time()
        took_ms = round((now_s - caller_request.arrived_s) * 1000)
        if request is not None and outcome == ANSWERED:
            self._chooser.durations.record(request.route.name, now_s - caller_request.read_s)
        kind = request.route.kind.value if request is not None else "none"
        self._metrics.on_request(kind, response_writer.status, outcome, took_ms / 1000)
        logger.info(
            "request",
            request_id=metadata.request_id if metadata is not None else "",
            route=request.route.name if request is not None else caller_request.path,
            outcome=outcome,
            status=response_writer.status,
            took_ms=took_ms,
            waited_ms=round((caller_request.read_s - caller_request.arrived_s) * 1000),
            first_ms=_first_event_ms(caller_request, request),
            attempts=_format_attempts(request),
            relayed_by=relay.relayed_by if relay is not None else None,
            number_on_connection=caller_request.number_on_connection,
            stopping_ms=caller_request.stopping_ms,
            configuration=request.configuration.version if request is not None else None,
            configuration_age_ms=self._configuration_state.reported_age_ms(now_s),
            endpoints_age_ms=self._endpoints_age_ms(now_s),
            **self._quarantine_fields(request, outcome),
        )

    def _quarantine_fields(
        self, request: ForwardRequest | None, outcome: str
    ) -> dict[str, str | list[str]]:
        """Return the names by which operators find and lift the quarantine of a request."""
        if request is None or outcome != QUARANTINED:
            return {}
        parts = self._quarantines.quarantined_parts(request.metadata.shared_parts)
        return {
            "fingerprint": format_fingerprint(request.fingerprint),
            "quarantined_parts": format_prompt_parts(parts),
        }


def _first_event_ms(caller_request: CallerRequest, request: ForwardRequest | None) -> int | None:
    if request is None or request.first_event_s is None:
        return None
    return round((request.first_event_s - caller_request.arrived_s) * 1000)


def _format_attempts(request: ForwardRequest | None) -> list[str]:
    if request is None:
        return []
    record = request.record
    return [f"{host} {state.value}" for host, state in record.states.items()] + [
        f"{peer} {state.value}" for peer, state in record.relays.items()
    ]
