"""One caller's request on its way to an endpoint, or the refusal that ends it before."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from yewloom.attempts import AttemptRecord
from yewloom.caller_headers import RequestMarks
from yewloom.caller_messages import CallerRequest, Reply
from yewloom.configuration import Configuration
from yewloom.directory import Endpoint
from yewloom.endpoint_calls import Header
from yewloom.event_stream import StreamCursor
from yewloom.fingerprints import fingerprint_of
from yewloom.ids import CustomerId, Fingerprint
from yewloom.routes import Route
from yewloom.selection import Wanted
from yewloom.values import value_class


@value_class
class WholeAnswer:
    """An endpoint's whole answer, as the caller gets it."""

    status: int
    headers: Sequence[Header]
    body: bytes


@dataclass
class ForwardRequest:
    """One request on its way; times are seconds of the runtime's clock.

    ``answer`` is the final answer of an endpoint that is no stream, once it is here.
    ``quarantine_count`` is how often the request had been quarantined when it was admitted.
    ``claimed`` is the endpoint that it goes to once it has left the one that it is at.
    """

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
    answer: WholeAnswer | None = None
    quarantine_count: int = 0
    claimed: Endpoint | None = None
    _fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return what names this request whenever it comes; drawn from it once it is asked for."""
        if self._fingerprint is None:
            source = self.source
            self._fingerprint = fingerprint_of(
                self.marks.host, source.target, self.customer, source.body
            )
        return self._fingerprint

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
