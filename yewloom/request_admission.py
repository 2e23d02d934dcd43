"""What a caller's request must bring to be forwarded: a route, a known key, and the time left."""

from collections.abc import Callable

from yewloom.attempts import AttemptRecord
from yewloom.caller_headers import HeaderCodec, HeaderError, RequestMarks
from yewloom.caller_messages import CallerRequest, Reply
from yewloom.configuration import Configuration, ConfigurationBook
from yewloom.event_stream import StreamCursor
from yewloom.forward_request import ForwardRequest, Refusal
from yewloom.ids import CustomerId
from yewloom.routes import Route
from yewloom.selection import Selector, Wanted

KEY_AGE_SHARE = 0.76
"""Part of the time allowed for taking keys away after which this host, having no proof that its
configuration is current, refuses keyed requests. Of 5 s, 1.2 s are left: a watch may hear nothing
for a second before it is cut, and the request has some milliseconds to go."""

ANSWER_MARGIN_S = 0.04
"""Time before the deadline at which a request is given up, so that the caller still hears it."""

DEFAULT_DEADLINE_MS = 60000
"""Time left to a request whose caller names none; the route's own limit is usually shorter."""

NOT_READY_RETRY_AFTER_S = 0.5
"""When a caller should come back to a host that has no current configuration."""


class RequestAdmission:
    """Finds a request's route and customer, or refuses it."""

    def __init__(
        self,
        book: ConfigurationBook,
        codec: HeaderCodec,
        selector: Selector,
        key_revocation_s: float,
        is_ready: Callable[[], bool],
    ) -> None:
        self._book = book
        self._codec = codec
        self._selector = selector
        self._max_key_age_s = key_revocation_s * KEY_AGE_SHARE
        self._is_ready = is_ready

    def marks(self, source: CallerRequest) -> RequestMarks:
        """Return what a request's headers say, or raise Refusal."""
        try:
            return self._codec.decode_request(source.headers)
        except HeaderError as error:
            raise Refusal(400, str(error)) from error

    def admit(self, source: CallerRequest, reply: Reply, marks: RequestMarks) -> ForwardRequest:
        """Return a request with its route and customer, or raise Refusal."""
        configuration = self._book.current
        if configuration is None or not self._is_ready():
            raise Refusal(503, "no configuration yet", NOT_READY_RETRY_AFTER_S)
        age_s = self._book.age_s(source.arrived_s)
        route = self._find_route(configuration, marks.host, source.path, age_s)
        customer = None
        if configuration.asks_for_keys and not route.is_open:
            customer = self._find_customer(configuration, marks.api_key or "", age_s)
        return self._build(source, reply, marks, configuration, route, customer)

    def _find_route(
        self, configuration: Configuration, host: str, path: str, age_s: float
    ) -> Route:
        route = configuration.routes.find(host, path)
        if route is not None:
            return route
        if self._is_fresh(age_s):
            raise Refusal(404, "no such route")
        raise Refusal(503, f"configuration {age_s:.1f} s old", NOT_READY_RETRY_AFTER_S)

    def _find_customer(self, configuration: Configuration, key: str, age_s: float) -> CustomerId:
        if not self._is_fresh(age_s):
            raise Refusal(503, f"keys {age_s:.1f} s old", NOT_READY_RETRY_AFTER_S)
        customer = configuration.customers.get(key)
        if customer is None:
            raise Refusal(401, "unknown key")
        return customer

    def _is_fresh(self, age_s: float) -> bool:
        """Tell whether a configuration of this age is recent enough to judge keys by."""
        return age_s <= self._max_key_age_s

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
