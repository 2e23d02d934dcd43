"""Forwarding of callers' requests to endpoints: routes, keys, attempts and final answers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog
import trio

from yewloom.attempts import AttemptRecord, FinalAnswer
from yewloom.caller_headers import HeaderCodec, HeaderError, RequestMarks
from yewloom.caller_messages import CallerGoneError, CallerRequest, Reply
from yewloom.configuration import Configuration, ConfigurationBook
from yewloom.directory import Endpoint
from yewloom.endpoint_calls import Header
from yewloom.event_stream import StreamCursor
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import CustomerId
from yewloom.retry_window import RetryWindow
from yewloom.routes import Route
from yewloom.selection import Selector, Wanted

logger = structlog.get_logger(__name__)

KEY_AGE_SHARE = 0.76
"""Part of the time allowed for taking keys away after which this host, having no proof that its
configuration is current, refuses keyed requests. Of 5 s, 1.2 s are left: a watch may hear nothing
for a second before it is cut, and the request has some milliseconds to go."""

ANSWER_MARGIN_S = 0.04
"""Time before the deadline at which a request is given up, so that the caller still hears it."""

DEFAULT_DEADLINE_MS = 60000
"""Time left to a request whose caller names none; the route's own limit is usually shorter."""

RETRY_AFTER_S = 0.25
"""When a refused caller should come back: endpoints' places free up several times a second."""

NOT_READY_RETRY_AFTER_S = 0.5
"""When a caller should come back to a host that has no current configuration."""


@dataclass
class ForwardRequest:
    """One request on its way; times are seconds of the runtime's clock."""

    source: CallerRequest
    reply: Reply
    marks: RequestMarks
    configuration: Configuration
    route: Route
    wanted: Wanted
    customer: CustomerId | None
    ends_s: float
    record: AttemptRecord
    cursor: StreamCursor
    first_event_s: float | None = None
    endpoints: list[Endpoint] = field(default_factory=list)

    def left_ms(self, now_s: float) -> int:
        """Return the time left in whole milliseconds."""
        return max(0, math.floor((self.ends_s - now_s) * 1000))


class Refusal(Exception):  # noqa: N818 - an answer, not a fault
    """A request that ends before it goes to an endpoint, with its status."""

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class Attempts(Protocol):
    """Sends a request to one endpoint."""

    async def run(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        """Send a request to an endpoint; tell whether its answer is with the caller."""
        ...


class Forwarder:
    """Answers callers' requests by way of endpoints."""

    def __init__(
        self,
        book: ConfigurationBook,
        codec: HeaderCodec,
        selector: Selector,
        retries: RetryWindow,
        attempts: Attempts,
        metrics: ForwardMetrics,
        key_revocation_s: float,
        is_ready: Callable[[], bool],
    ) -> None:
        self._book = book
        self._codec = codec
        self._selector = selector
        self._retries = retries
        self._attempts = attempts
        self._metrics = metrics
        self._max_key_age_s = key_revocation_s * KEY_AGE_SHARE
        self._is_ready = is_ready

    async def handle(self, source: CallerRequest, reply: Reply) -> None:
        """Answer one request."""
        request = marks = None
        try:
            marks = self._marks(source)
            request = self._admit(source, reply, marks)
            self._retries.on_request(request.wanted.service, source.arrived_s)
            outcome = await self._forward(request)
        except Refusal as refusal:
            outcome = refusal.reason
            await self._send_refusal(reply, refusal)
        except (CallerGoneError, trio.Cancelled):
            self._log(source, marks, request, reply, "caller gone")
            raise
        self._log(source, marks, request, reply, outcome)

    def _marks(self, source: CallerRequest) -> RequestMarks:
        try:
            return self._codec.decode_request(source.headers)
        except HeaderError as error:
            raise Refusal(400, str(error)) from error

    def _admit(self, source: CallerRequest, reply: Reply, marks: RequestMarks) -> ForwardRequest:
        """Return a request with its route and customer, or raise Refusal."""
        configuration = self._book.current
        if configuration is None or not self._is_ready():
            raise Refusal(503, "no configuration yet", NOT_READY_RETRY_AFTER_S)
        age_s = self._book.age_s(source.arrived_s)
        is_fresh = age_s <= self._max_key_age_s
        route = configuration.routes.find(marks.host, source.path)
        if route is None and is_fresh:
            raise Refusal(404, "no such route")
        if route is None:
            raise Refusal(503, f"configuration {age_s:.1f} s old", NOT_READY_RETRY_AFTER_S)
        customer = None
        if configuration.asks_for_keys and not route.is_open:
            if not is_fresh:
                raise Refusal(503, f"keys {age_s:.1f} s old", NOT_READY_RETRY_AFTER_S)
            customer = configuration.customers.get(marks.api_key or "")
            if customer is None:
                raise Refusal(401, "unknown key")
        return self._build(source, reply, marks, configuration, route, customer)

    def _build(
        self,
        source: CallerRequest,
        reply: Reply,
        marks: RequestMarks,
        configuration: Configuration,
        route: Route,
        customer: CustomerId | None,
    ) -> ForwardRequest:
        deadline_ms = marks.deadline_ms if marks.deadline_ms is not None else DEFAULT_DEADLINE_MS
        limit_ms = min(deadline_ms, route.timeout_ms)
        wanted = Wanted(self._selector.service_of(route), marks.model)
        return ForwardRequest(
            source=source,
            reply=reply,
            marks=marks,
            configuration=configuration,
            route=route,
            wanted=wanted,
            customer=customer,
            ends_s=source.arrived_s + limit_ms / 1000 - ANSWER_MARGIN_S,
            record=AttemptRecord(route),
            cursor=StreamCursor(marks.last_event_id),
        )

    async def _forward(self, request: ForwardRequest) -> str:
        """Try endpoints until one answers; return what became of the request."""
        with trio.move_on_at(request.ends_s) as timer:
            while True:
                endpoint = self._next_endpoint(request)
                if endpoint is None:
                    break
                if await self._attempt(request, endpoint):
                    return "answered"
        return await self._give_up(request, timer.cancelled_caught)

    def _next_endpoint(self, request: ForwardRequest) -> Endpoint | None:
        """Return the endpoint that gets the request next, within all bounds; None if none may."""
        record, service = request.record, request.wanted.service
        if record.states and not record.may_try_another:
            return None
        now_s = trio.current_time()
        endpoint = self._selector.choose(
            request.wanted, request.configuration, record.states, now_s
        )
        if endpoint is None:
            return None
        if record.is_repeat() and not self._retries.try_repeat(service, now_s):
            return None
        return endpoint

    async def _attempt(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        request.record.begin(endpoint.id)
        request.endpoints.append(endpoint)
        self._selector.begin(endpoint.id)
        try:
            return await self._attempts.run(request, endpoint)
        finally:
            self._selector.end(endpoint.id)

    async def _give_up(self, request: ForwardRequest, is_out_of_time: bool) -> str:
        """Give the final answer to a request that no endpoint answered."""
        if request.reply.is_started:
            return "cut off"  # Left unfinished, so that it can't look complete.
        match request.record.final_answer(is_out_of_time):
            case FinalAnswer.REFUSED:
                reason = "no endpoint free"
                await self._send_refusal(request.reply, Refusal(503, reason, RETRY_AFTER_S))
                return reason
            case FinalAnswer.MAY_HAVE_RUN:
                await request.reply.send_whole(502, [], b"")
                return "may have run"
            case FinalAnswer.TIMED_OUT:
                await request.reply.send_whole(504, [], b"")
                return "out of time"

    async def _send_refusal(self, reply: Reply, refusal: Refusal) -> None:
        headers: list[Header] = []
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", f"{refusal.retry_after_s:g}".encode()))
        await reply.send_whole(refusal.status, headers, b"")

    def _log(
        self,
        source: CallerRequest,
        marks: RequestMarks | None,
        request: ForwardRequest | None,
        reply: Reply,
        outcome: str,
    ) -> None:
        """Write the one line that tells what became of a request, and count it."""
        now_s = trio.current_time()
        took_ms = round((now_s - source.arrived_s) * 1000)
        kind = request.route.kind.value if request is not None else "none"
        self._metrics.on_request(kind, reply.status, outcome, took_ms / 1000)
        logger.info(
            "request",
            request_id=marks.request_id if marks is not None else "",
            route=request.route.name if request is not None else source.path,
            outcome=outcome,
            status=reply.status,
            took_ms=took_ms,
            first_ms=_since_ms(source, request),
            attempts=_attempts_text(request),
            configuration=request.configuration.version if request is not None else None,
            configuration_age_ms=self._book.stated_age_ms(now_s),
        )


def _since_ms(source: CallerRequest, request: ForwardRequest | None) -> int | None:
    if request is None or request.first_event_s is None:
        return None
    return round((request.first_event_s - source.arrived_s) * 1000)


def _attempts_text(request: ForwardRequest | None) -> list[str]:
    if request is None:
        return []
    return [f"{endpoint} {state.value}" for endpoint, state in request.record.states.items()]
