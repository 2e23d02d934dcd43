"""State of a caller's request and of its attempts while it is forwarded, and its refusal."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio

from yewloom.attempts import AttemptRecord, AttemptState
from yewloom.caller_headers import RequestMetadata
from yewloom.caller_messages import CallerRequest, ResponseWriter
from yewloom.configuration import Configuration
from yewloom.directory import Endpoint
from yewloom.endpoint_answers import FailureKind
from yewloom.endpoint_calls import Header
from yewloom.event_stream import StreamCursor
from yewloom.fingerprints import compute_fingerprint
from yewloom.ids import CustomerId, Fingerprint, HostId
from yewloom.retry_window import Retry
from yewloom.routes import Route
from yewloom.selection import EndpointRequirements
from yewloom.values import value_class

MIN_SERVER_ERROR_STATUS = 500
"""Lowest status by which an endpoint reports that a request failed."""


@value_class
class BufferedResponse:
    """An endpoint's complete response, as it is sent to the caller."""

    status: int
    headers: Sequence[Header]
    body: bytes


@value_class
class FailedResponse:
    """The complete response by which an endpoint reported that a request failed there."""

    endpoint: HostId
    response: BufferedResponse


@dataclass(eq=False)
class Attempt:
    """An attempt to get a request answered by an endpoint; several may run at the same time.

    ``retry`` is what it takes from the budget of retries, if it is not the first. ``ask_another``
    starts an attempt at another endpoint beside this one, and returns that endpoint, if any;
    ``is_silent`` is whether it was called since the endpoint's last event, and ``is_held_back``
    whether no endpoint could be asked when this was last tried. ``responding_since_s`` is when the
    response began, if it has, and ``has_begun_well`` whether it went on long enough to show that
    the request crashes no endpoint. ``began_s`` is when its endpoint was chosen, and ``failure``
    how the endpoint's own answer failed, if it did. ``exchange_scope`` is cancelled when another
    attempt answers the request.
    """

    endpoint: Endpoint
    retry: Retry | None = None
    ask_another: Callable[[], HostId | None] = lambda: None
    is_silent: bool = False
    is_held_back: bool = False
    responding_since_s: float | None = None
    has_begun_well: bool = False
    began_s: float = 0.0
    failure: FailureKind | None = None
    exchange_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def is_overtaken(self) -> bool:
        """Return whether another attempt answers the request."""
        return self.exchange_scope.cancel_called

    def settle_retry(self, now_s: float) -> None:
        """Record that this attempt has reached its endpoint by now, or never will."""
        if self.retry is not None:
            self.retry.settle(now_s)


MAX_RETURNS = 4
"""Number of times that a stream is sent again to endpoints that turned it away. With the growing
pauses, the last time is when a caller would give up a silent stream."""

FIRST_RETURN_PAUSE_S = 0.15
"""Pause before the first of these times, in which a full endpoint processes a few batches; each
further one is twice as long."""


@dataclass
class Returns:
    """When a request may be sent again to an endpoint that turned it away.

    ``count`` is how often it was turned away; ``next_s`` is infinite after too many times.
    """

    count: int = 0
    next_s: float = 0.0

    def record_not_run(self, now_s: float) -> None:
        """Record that an endpoint has turned the request away."""
        self.count += 1
        pause_s = FIRST_RETURN_PAUSE_S * 2 ** (self.count - 1)
        self.next_s = now_s + pause_s if self.count <= MAX_RETURNS else math.inf


@dataclass
class ForwardRequest:
    """A request that is being forwarded; times are seconds of trio's clock.

    ``response_writer`` writes the response to the caller. ``response`` is the final response of an
    endpoint, if it is not a stream, once it has arrived. ``failed_response`` is the newest one that
    reports a failure, which the caller gets if no endpoint answers. ``quarantine_count`` is the
    number of times that the request had been quarantined when it was admitted. ``is_relayed`` is
    whether a peer received it from the caller. ``is_counted`` is whether it was counted for a
    budget of retries. ``first_unreachable_s`` is when an endpoint was first found unreachable for
    it. ``returns`` says when it may be sent again to an endpoint that turned it away. ``running``
    are the attempts that run now, in the order in which they began.
    """

    caller_request: CallerRequest
    response_writer: ResponseWriter
    metadata: RequestMetadata
    configuration: Configuration
    route: Route
    requirements: EndpointRequirements
    customer: CustomerId | None
    deadline_s: float
    record: AttemptRecord
    cursor: StreamCursor
    first_event_s: float | None = None
    response: BufferedResponse | None = None
    failed_response: FailedResponse | None = None
    quarantine_count: int = 0
    is_relayed: bool = False
    is_counted: bool = False
    first_unreachable_s: float = math.inf
    returns: Returns = field(default_factory=Returns)
    running: list[Attempt] = field(default_factory=list)
    _fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint, which identifies the same request when a caller sends it again.

        It is computed on first use.
        """
        if self._fingerprint is None:
            caller_request = self.caller_request
            self._fingerprint = compute_fingerprint(
                self.metadata.host, caller_request.target, self.customer, caller_request.body
            )
        return self._fingerprint

    @property
    def answered_status(self) -> int:
        """Return the status of the answer that an endpoint has given."""
        return self.response.status if self.response is not None else self.response_writer.status

    def fall_back(self) -> None:
        """Use the response that reports a failure, if there is no better one."""
        failed = self.failed_response
        if failed is None or self.response is not None or self.response_writer.is_started:
            return
        self.response = failed.response
        self.record.set_state(failed.endpoint, AttemptState.ANSWERED)

    def claim(self, attempt: Attempt) -> None:
        """Let an attempt answer the request, and end all others.

        The caller has checked in the same step that no other attempt answers it.
        """
        for other in self.running:
            if other is not attempt:
                other.exchange_scope.cancel()

    def remaining_ms(self, now_s: float) -> int:
        """Return the time until the deadline in whole milliseconds."""
        return max(0, math.floor((self.deadline_s - now_s) * 1000))


class Refusal(Exception):  # noqa: N818 - a response, not an error
    """A request that has not run is refused with this status."""

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
