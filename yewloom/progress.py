"""The state of a model request while it is dispatched."""

from dataclasses import dataclass, field

from yewloom.crash_reports import EndpointProcess, LostRequest
from yewloom.experiments import Observation, Side
from yewloom.ids import GroupId, PolicyName
from yewloom.requests import ModelRequest
from yewloom.retries import AttemptTracker
from yewloom.schema.records_pb2 import Group
from yewloom.states import Outcome
from yewloom.streams import StreamAssembler
from yewloom.values import value_class


@value_class
class LostResponse:
    """A response that an engine's process broke off, and when."""

    process: EndpointProcess
    request: LostRequest
    lost_s: float


@dataclass
class Progress:
    """The state of one model request while it is dispatched.

    ``pending_tokens`` have been received but not yet passed to the caller; ``delivered`` have been
    passed on. The request has failed on the groups in ``failed_groups``. ``responding_since_s`` is
    when the response to the current call began, if it has, and ``lost_response`` the last one that
    was broken off. ``quarantine_count`` is how often the request had been quarantined when it was
    first sent. Times are in seconds of Trio's clock.
    """

    request: ModelRequest
    policy: PolicyName
    tracker: AttemptTracker
    assembler: StreamAssembler
    arrived_s: float
    pending_tokens: list[str] = field(default_factory=list)
    delivered: list[str] = field(default_factory=list)
    failed_groups: set[GroupId] = field(default_factory=set)
    group: Group | None = None
    is_resuming: bool = False
    experiment: str = ""
    side: Side = Side.A
    first_token_s: float | None = None
    last_token_s: float | None = None
    responding_since_s: float | None = None
    lost_response: LostResponse | None = None
    quarantine_count: int | None = None

    def should_flush(self, now_s: float, coalesce_s: float) -> bool:
        """Return whether the pending tokens should go to the caller now."""
        if self.assembler.is_complete:
            return True
        if not self.pending_tokens:
            return False
        return self.last_token_s is None or now_s - self.last_token_s >= coalesce_s

    def note_response(self, now_s: float) -> None:
        """Note that a part of the response to the current call has arrived."""
        if self.responding_since_s is None:
            self.responding_since_s = now_s

    def observation(self, outcome: Outcome) -> Observation:
        """Return the outcome and latencies of this request for its experiment."""
        first_s, last_s = self.first_token_s, self.last_token_s
        gaps = len(self.delivered) - 1
        first_ms = between_ms = None
        if first_s is not None and last_s is not None:
            first_ms = (first_s - self.arrived_s) * 1000
            between_ms = (last_s - first_s) * 1000 / gaps if gaps > 0 else None
        return Observation(self.side, outcome, first_ms, between_ms)
