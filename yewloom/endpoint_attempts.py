"""Run one attempt: send a request to one endpoint, check the response and forward it."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import structlog
import trio

from yewloom.attempts import AttemptState
from yewloom.caller_headers import ForwardingMetadata, HeaderCodec, ResponseMetadata
from yewloom.crash_checks import CrashChecks
from yewloom.crash_record import CrashRecord
from yewloom.crash_reports import LostRequest
from yewloom.directory import Endpoint
from yewloom.endpoint_availability import EndpointAvailability
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    Exchange,
    ExchangeError,
    ExchangeFailure,
    OutgoingRequest,
    ResponseHead,
    open_exchange,
)
from yewloom.endpoint_choice import EndpointChooser
from yewloom.event_forwarding import StreamHead, forward_events
from yewloom.event_stream import EventStreamError
from yewloom.fingerprints import format_fingerprint
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_request import BufferedResponse, FailedResponse, ForwardRequest
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.part_record import BEGINNING_S
from yewloom.prompt_parts import format_prompt_parts
from yewloom.reachability import Reachability
from yewloom.selection import Selector
from yewloom.stalls import STALLED_AVOIDANCE_S, StallDetector
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

CONNECTION_LOST_AVOIDANCE_S = 1.0
"""Time for which an endpoint that dropped a connection gets no new requests."""

FULL_AVOIDANCE_S = 0.15
"""Time for which an endpoint that reported itself full gets no new requests: it processes a few
batches in this time."""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest status by which an endpoint reports that a request failed."""

_SUCCESS_STATUSES = range(200, 300)

MISDIRECTED_STATUS = 421
"""Status by which an endpoint reports that a request was meant for another one."""

_POSSIBLE_CRASH = {ExchangeFailure.CONNECTION_LOST, ExchangeFailure.TRUNCATED}
"""Failures that may mean that the endpoint's process has crashed."""

T = TypeVar("T")


class _Stalled(Exception):  # noqa: N818 - ends an attempt
    """The endpoint's group has stalled, and the request can continue elsewhere."""


class _Withdrawn(Exception):  # noqa: N818 - ends an attempt
    """The endpoint has asked for a pause or said that it leaves since it was chosen."""


@value_class
class _Response:
    """The head of a response, and what its headers say."""

    head: ResponseHead
    metadata: ResponseMetadata


class EndpointAttemptRunner:
    """Sends requests to endpoints, each over its own connection."""

    def __init__(
        self,
        codec: HeaderCodec,
        selector: Selector,
        stalls: StallDetector,
        metrics: ForwardMetrics,
        reachability: Reachability,
        chooser: EndpointChooser,
        loop_delay: LoopDelayMonitor,
        crash_record: CrashRecord,
        crash_checks: CrashChecks,
        availability: EndpointAvailability,
    ) -> None:
        self._availability = availability
        self._crash_record = crash_record
        self._crash_checks = crash_checks
        self._codec = codec
        self._loop_delay = loop_delay
        self._reachability = reachability
        self._chooser = chooser
        self._selector = selector
        self._stalls = stalls
        self._metrics = metrics

    async def run(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        """Send a request to an endpoint; return whether its response is the one the caller gets.

        A stream has been forwarded by then; a buffered response is stored in the request.
        """
        request.responding_since_s, request.has_begun_well = None, False
        is_answered, outcome = await self._run_attempt(request, endpoint)
        self._metrics.on_attempt(outcome.split(":")[0])
        if is_answered:
            self._clear_crash_suspicion(request)
        else:
            logger.info(
                "attempt failed",
                request_id=request.metadata.request_id,
                fingerprint=format_fingerprint(request.fingerprint),
                shared_parts=format_prompt_parts(request.metadata.shared_parts),
                endpoint=endpoint.id,
                outcome=outcome,
                last_event_id=request.cursor.last_event_id,
            )
        return is_answered

    def _clear_crash_suspicion(self, request: ForwardRequest) -> None:
        """Stop suspecting a request of causing crashes if it did not end in a server error."""
        status = (
            request.response.status
            if request.response is not None
            else request.response_writer.status
        )
        now_s = trio.current_time()
        if status < MIN_SERVER_ERROR_STATUS and self._crash_record.has_any:
            self._crash_record.record_success(request.fingerprint, now_s)
        if status in _SUCCESS_STATUSES:
            self._crash_record.parts.record_answer(request.metadata.shared_parts, now_s)

    async def _run_attempt(self, request: ForwardRequest, endpoint: Endpoint) -> tuple[bool, str]:
        """Return whether the caller gets this response, and the outcome of the attempt.

        The outcome is a kind, followed by a colon and details in some cases.
        """
        try:
            return await self._exchange_with_reconnect(request, endpoint)
        except ExchangeError as error:
            outcome = self._record_failure(request, endpoint, error)
            if error.failure in _POSSIBLE_CRASH:
                await self._check_crash(request, endpoint)
            return False, outcome
        except _Stalled:
            self._avoid_and_report(endpoint, STALLED_AVOIDANCE_S)
            return False, "stalled"
        except _Withdrawn:
            return False, "withdrawn"
        except EventStreamError as error:
            return False, f"unreadable: {error}"

    async def _check_crash(self, request: ForwardRequest, endpoint: Endpoint) -> None:
        """Check whether an endpoint that has aborted the exchange of a request has crashed."""
        parts, since_s = request.metadata.shared_parts, request.responding_since_s
        has_begun = since_s is not None and trio.current_time() - since_s >= BEGINNING_S
        lost = LostRequest(request.fingerprint, () if has_begun else parts)
        await self._crash_checks.on_exchange_aborted(endpoint, lost, parts)

    async def _exchange_with_reconnect(
        self, request: ForwardRequest, endpoint: Endpoint
    ) -> tuple[bool, str]:
        """Run the exchange; retry a failed connection if this host's event loop was delayed.

        The failure may be due to the delay, and then says nothing about the endpoint.
        """
        try:
            return await self._exchange(request, endpoint)
        except ExchangeError as error:
            if error.failure is not ExchangeFailure.NOT_CONNECTED or not self._loop_delay.delay_s():
                raise
        return await self._exchange(request, endpoint)

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
                self._avoid_and_report(endpoint, CONNECTION_LOST_AVOIDANCE_S)
            case ExchangeFailure.TRUNCATED | ExchangeFailure.INVALID_RESPONSE:
                pass  # One response was wrong, which says nothing about other requests.
        return str(error)

    def _avoid_and_report(self, endpoint: Endpoint, avoid_s: float) -> None:
        """Send an endpoint no new requests for some time, and report it to the coordinator."""
        now_s = trio.current_time()
        self._selector.avoid(endpoint.id, now_s + avoid_s)
        self._stalls.report_stalled(endpoint.id, now_s)

    async def _exchange(self, request: ForwardRequest, endpoint: Endpoint) -> tuple[bool, str]:
        async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S) as exchange:
            self._reachability.on_connected(endpoint, trio.current_time())
            if self._availability.is_withdrawn(endpoint, trio.current_time()):
                raise _Withdrawn
            request.record.set_state(endpoint.id, AttemptState.SENT)
            await exchange.send(self._build_outgoing(request, endpoint))
            if not request.route.is_stream:
                response = await self._read_response_head(request, endpoint, exchange)
                return await self._forward_buffered(request, endpoint, exchange, response)
            self._stalls.on_stream_start(endpoint.id, trio.current_time())
            try:
                read = partial(self._read_response_head, request, endpoint, exchange)
                response = await self._run_unless_stalled(request, endpoint, read)
                if response.head.status != 200:
                    return await self._forward_buffered(request, endpoint, exchange, response)
                self._check_request_id(request, response.metadata)
                return await self._forward_events(request, endpoint, exchange, response.head)
            finally:
                self._stalls.on_stream_end(endpoint.id)

    async def _read_response_head(
        self, request: ForwardRequest, endpoint: Endpoint, exchange: Exchange
    ) -> _Response:
        """Wait for the head of a response, and record what the endpoint says of itself."""
        head = await exchange.read_head()
        request.settle_retry(trio.current_time())
        metadata = self._codec.decode_response(head)
        self._availability.record(endpoint.id, metadata.announcements, trio.current_time())
        return _Response(head, metadata)

    def _build_outgoing(self, request: ForwardRequest, endpoint: Endpoint) -> OutgoingRequest:
        is_resumed = request.cursor.has_events or request.metadata.last_event_id > 0
        metadata = ForwardingMetadata(
            endpoint=endpoint.id,
            customer=request.customer,
            deadline_ms=max(1, request.remaining_ms(trio.current_time())),
            last_event_id=request.cursor.last_event_id if is_resumed else None,
        )
        caller_request = request.caller_request
        headers = self._codec.build_request_headers(caller_request.headers, metadata)
        if caller_request.body or caller_request.method not in (
            b"GET",
            b"HEAD",
            b"DELETE",
            b"OPTIONS",
        ):
            headers.append((b"content-length", str(len(caller_request.body)).encode()))
        return OutgoingRequest(
            caller_request.method, caller_request.target, headers, caller_request.body
        )

    def _check_request_id(self, request: ForwardRequest, metadata: ResponseMetadata) -> None:
        """Raise ExchangeError unless the response belongs to the request."""
        if metadata.request_id != request.metadata.request_id:
            raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, True, "answer to another request")

    async def _forward_buffered(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        exchange: Exchange,
        response: _Response,
    ) -> tuple[bool, str]:
        """Buffer a complete response for the caller.

        It is discarded if the request did not run. One that reports a failure is kept in case no
        other endpoint answers.
        """
        head = response.head
        if response.metadata.is_not_run:
            request.record.set_state(endpoint.id, AttemptState.NOT_RUN)
            self._record_not_run(endpoint, head.status)
            return False, f"not run: status {head.status}"
        self._check_request_id(request, response.metadata)
        body = await exchange.read_body()
        if request.response_writer.is_started:
            return False, f"failed: status {head.status} in the middle of a stream"
        headers = self._codec.build_response_headers(head)
        buffered = BufferedResponse(head.status, headers, body)
        if head.status >= MIN_SERVER_ERROR_STATUS:
            request.failed_response = FailedResponse(endpoint.id, buffered)
            return False, f"failed: status {head.status}"
        request.record.set_state(endpoint.id, AttemptState.ANSWERED)
        request.response = buffered
        return True, "answered"

    def _record_not_run(self, endpoint: Endpoint, status: int) -> None:
        """Avoid an endpoint that did not run a request, since it is full or no longer leads."""
        now_s = trio.current_time()
        if status == MISDIRECTED_STATUS:
            self._selector.record_misdirected(endpoint, now_s)
        else:
            self._selector.avoid(endpoint.id, now_s + FULL_AVOIDANCE_S)

    async def _forward_events(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        exchange: Exchange,
        head: ResponseHead,
    ) -> tuple[bool, str]:
        """Forward events as they arrive, and record their intervals."""
        last_event_s: float | None = None

        async def read_chunk() -> bytes | None:
            return await self._run_unless_stalled(request, endpoint, exchange.read_chunk)

        def on_chunk() -> None:
            nonlocal last_event_s
            now_s, delay_s = trio.current_time(), self._loop_delay.delay_s()
            self._stalls.on_event(endpoint.id, now_s, delay_s)
            # If this host's event loop was delayed, the interval says nothing about the endpoint.
            if last_event_s is not None and not delay_s:
                self._selector.event_intervals.record(endpoint.id, now_s - last_event_s, now_s)
            last_event_s = now_s
            self._record_progress(request, now_s)

        caller_head = StreamHead(head.status, self._codec.build_response_headers(head))
        await forward_events(request, caller_head, read_chunk, on_chunk, head.is_framed)
        request.record.set_state(endpoint.id, AttemptState.ANSWERED)
        await request.response_writer.finish()
        return True, "answered"

    def _record_progress(self, request: ForwardRequest, now_s: float) -> None:
        """Record when the response begins; a while later its endpoint has not crashed on it."""
        if request.responding_since_s is None:
            request.responding_since_s = now_s
        elif now_s - request.responding_since_s >= BEGINNING_S and not request.has_begun_well:
            request.has_begun_well = True
            self._crash_record.parts.record_answer(request.metadata.shared_parts, now_s)

    async def _run_unless_stalled(
        self, request: ForwardRequest, endpoint: Endpoint, step: Callable[[], Awaitable[T]]
    ) -> T:
        """Run a step that may be cancelled and restarted.

        Raises _Stalled if the group has stalled and another endpoint can take over. If this host's
        event loop was delayed, checks a second time before that: events that arrived during the
        delay may not have been read yet.
        """
        if not request.route.may_retry:
            return await step()
        was_delayed = False
        while True:
            check_s = self._stalls.next_check_s(endpoint.id, trio.current_time())
            with trio.move_on_at(check_s):
                return await step()
            is_stalled = self._stalls.is_stalled(endpoint.id, trio.current_time())
            if is_stalled and not was_delayed and self._loop_delay.delay_s():
                was_delayed = True
            elif is_stalled and self._chooser.reserve_another(request):
                raise _Stalled
