"""Exchange a request and its response with one endpoint, and pass on what arrives.

An endpoint whose group has fallen silent is not left: another one is asked beside it, and whichever
has what the caller needs next goes on.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import structlog
import trio

from yewloom.attempts import AttemptState
from yewloom.caller_headers import ForwardingMetadata, HeaderCodec, ResponseMetadata
from yewloom.directory import Endpoint
from yewloom.endpoint_answers import FailureKind
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
from yewloom.event_forwarding import StreamHead, forward_events
from yewloom.forward_request import (
    MIN_SERVER_ERROR_STATUS,
    Attempt,
    BufferedResponse,
    FailedResponse,
    ForwardRequest,
)
from yewloom.ids import HostId
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.part_record import BEGINNING_S, PartRecord
from yewloom.reachability import Reachability
from yewloom.selection import Selector
from yewloom.stalls import CHECK_INTERVAL_S, STALLED_AVOIDANCE_S, StallDetector
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

FULL_AVOIDANCE_S = 0.15
"""Time for which an endpoint that reported itself full, or that has just woken up, gets no new
requests: it processes a few batches in this time."""

MISDIRECTED_STATUS = 421
"""Status by which an endpoint reports that a request was meant for another one."""

T = TypeVar("T")


class Overtaken(Exception):  # noqa: N818 - ends an attempt
    """Another attempt answers the request."""


class Withdrawn(Exception):  # noqa: N818 - ends an attempt
    """The endpoint has asked for a pause or said that it leaves since it was chosen."""


@value_class
class _Response:
    """The head of a response, and what its headers say."""

    head: ResponseHead
    metadata: ResponseMetadata


class EndpointExchanges:
    """Runs the exchanges of attempts."""

    def __init__(
        self,
        codec: HeaderCodec,
        selector: Selector,
        stalls: StallDetector,
        reachability: Reachability,
        loop_delay: LoopDelayMonitor,
        crash_parts: PartRecord,
        availability: EndpointAvailability,
    ) -> None:
        self._availability = availability
        self._crash_parts = crash_parts
        self._codec = codec
        self._loop_delay = loop_delay
        self._reachability = reachability
        self._selector = selector
        self._stalls = stalls

    async def run(self, request: ForwardRequest, attempt: Attempt) -> tuple[bool, str]:
        """Return whether the caller gets this response, and the outcome of the attempt.

        Raises ExchangeError or EventStreamError if the endpoint gives no complete response, and
        Withdrawn or Overtaken if the request need not be sent to it or need not go on there.
        """
        endpoint = attempt.endpoint
        async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S) as exchange:
            self._reachability.on_connected(endpoint, trio.current_time())
            if self._availability.is_withdrawn(endpoint, trio.current_time()):
                raise Withdrawn
            request.record.set_state(endpoint.id, AttemptState.SENT)
            await exchange.send(self._build_outgoing(request, endpoint))
            if not request.route.is_stream:
                response = await self._read_response_head(attempt, exchange)
                return await self._forward_buffered(request, attempt, exchange, response)
            self._stalls.on_stream_start(endpoint.id, trio.current_time())
            try:
                read = partial(self._read_response_head, attempt, exchange)
                response = await self._run_beside_others(request, attempt, read)
                if response.head.status != 200:
                    return await self._forward_buffered(request, attempt, exchange, response)
                self._check_request_id(request, response.metadata)
                return await self._forward_events(request, attempt, exchange, response.head)
            finally:
                self._stalls.on_stream_end(endpoint.id)

    async def _read_response_head(self, attempt: Attempt, exchange: Exchange) -> _Response:
        """Wait for the head of a response, and record what the endpoint says of itself."""
        head = await exchange.read_head()
        attempt.settle_retry(trio.current_time())
        metadata = self._codec.decode_response(head)
        self._availability.record(attempt.endpoint.id, metadata.announcements, trio.current_time())
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
        attempt: Attempt,
        exchange: Exchange,
        response: _Response,
    ) -> tuple[bool, str]:
        """Buffer a complete response for the caller.

        It is discarded if the request did not run. One that reports a failure is kept in case no
        other endpoint answers.
        """
        head, endpoint = response.head, attempt.endpoint
        if response.metadata.is_not_run:
            request.record.set_state(endpoint.id, AttemptState.NOT_RUN)
            self._record_not_run(endpoint, head.status)
            return False, f"not run: status {head.status}"
        self._check_request_id(request, response.metadata)
        body = await exchange.read_body()
        if head.status >= MIN_SERVER_ERROR_STATUS:
            attempt.failure = FailureKind.SERVER_ERROR
        if request.response_writer.is_started:
            return False, f"failed: status {head.status} in the middle of a stream"
        headers = self._codec.build_response_headers(head)
        buffered = BufferedResponse(head.status, headers, body)
        if head.status >= MIN_SERVER_ERROR_STATUS:
            request.failed_response = FailedResponse(endpoint.id, buffered)
            return False, f"failed: status {head.status}"
        _claim(request, attempt)
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
        attempt: Attempt,
        exchange: Exchange,
        head: ResponseHead,
    ) -> tuple[bool, str]:
        """Forward events as they arrive, and record their intervals."""
        last_event_s: float | None = None
        check = self._silence_check(request, attempt)

        async def read_chunk() -> bytes | None:
            chunk = await self._run_beside_others(request, attempt, exchange.read_chunk)
            if attempt.is_overtaken:
                raise Overtaken
            return chunk

        def on_chunk(has_new_event: bool) -> None:
            nonlocal last_event_s
            if not has_new_event:
                check()
                return
            now_s, delay_s = trio.current_time(), self._loop_delay.delay_s()
            self._record_activity(attempt, now_s, delay_s)
            # If this host's event loop was delayed, the interval says nothing about the endpoint.
            if last_event_s is not None and not delay_s:
                self._selector.event_intervals.record(
                    attempt.endpoint.id, now_s - last_event_s, now_s
                )
            last_event_s = now_s
            self._record_progress(request, attempt, now_s)

        caller_head = StreamHead(head.status, self._codec.build_response_headers(head))
        claim = partial(_claim, request, attempt)
        await forward_events(request, caller_head, read_chunk, on_chunk, claim, head.is_framed)
        claim()
        request.record.set_state(attempt.endpoint.id, AttemptState.ANSWERED)
        await request.response_writer.finish()
        return True, "answered"

    def _record_activity(self, attempt: Attempt, now_s: float, delay_s: float) -> None:
        """Record that an endpoint has sent something, which ends its silence."""
        self._stalls.on_event(attempt.endpoint.id, now_s, delay_s)
        if attempt.is_silent:
            attempt.is_silent = False
            self._selector.shorten_avoidance(attempt.endpoint.id, now_s + FULL_AVOIDANCE_S)

    def _record_progress(self, request: ForwardRequest, attempt: Attempt, now_s: float) -> None:
        """Record when the response begins; a while later its endpoint has not crashed on it."""
        if attempt.responding_since_s is None:
            attempt.responding_since_s = now_s
        elif now_s - attempt.responding_since_s >= BEGINNING_S and not attempt.has_begun_well:
            attempt.has_begun_well = True
            self._crash_parts.record_answer(request.metadata.shared_parts, now_s)

    async def _run_beside_others(
        self, request: ForwardRequest, attempt: Attempt, step: Callable[[], Awaitable[T]]
    ) -> T:
        """Run a step that may be cancelled and restarted, and ask others if its group has stalled.

        If this host's event loop was delayed, checks a second time before that: events that arrived
        during the delay may not have been read yet.
        """
        if not request.route.is_resumable:
            return await step()
        was_delayed, leader = False, attempt.endpoint.id
        while True:
            check_s = self._stalls.next_check_s(leader, trio.current_time())
            with trio.move_on_at(check_s):
                return await step()
            is_stalled = self._stalls.is_stalled(leader, trio.current_time())
            if is_stalled and not was_delayed and self._loop_delay.delay_s():
                was_delayed = True
            elif is_stalled:
                self._ask_another(request, attempt)

    def _silence_check(self, request: ForwardRequest, attempt: Attempt) -> Callable[[], None]:
        """Return a check to run after bytes without a new event, as they end each wait for one."""
        next_check_s = trio.current_time() + CHECK_INTERVAL_S

        def check() -> None:
            nonlocal next_check_s
            now_s = trio.current_time()
            if not request.route.is_resumable or now_s < next_check_s:
                return
            next_check_s = now_s + CHECK_INTERVAL_S
            if (
                self._stalls.is_stalled(attempt.endpoint.id, now_s)
                and not self._loop_delay.delay_s()
            ):
                self._ask_another(request, attempt)

        return check

    def _ask_another(self, request: ForwardRequest, attempt: Attempt) -> None:
        """Ask another endpoint beside a silent one, if there is one."""
        if (asked := attempt.ask_another()) is not None:
            self._record_silence(request, attempt, asked)

    def _record_silence(self, request: ForwardRequest, attempt: Attempt, asked: HostId) -> None:
        """Avoid and report an endpoint beside which another one was asked."""
        now_s, endpoint = trio.current_time(), attempt.endpoint.id
        attempt.is_silent = True
        self._selector.avoid(endpoint, now_s + STALLED_AVOIDANCE_S)
        self._stalls.report_stalled(endpoint, now_s)
        logger.info(
            "endpoint silent",
            request_id=request.metadata.request_id,
            endpoint=endpoint,
            asked=asked,
            last_event_id=request.cursor.last_event_id,
        )


def _claim(request: ForwardRequest, attempt: Attempt) -> None:
    """Let an attempt answer the request; raise Overtaken if another one does."""
    if attempt.is_overtaken:
        raise Overtaken
    request.claim(attempt)
