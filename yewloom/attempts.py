"""What was sent to which endpoint for one request, and what its caller may be told.

A refusal promises that the request has not run and never will; it is given only when the record
proves it.
"""

from dataclasses import dataclass, field
from enum import Enum

from yewloom.ids import HostId
from yewloom.routes import Route


class AttemptState(Enum):
    """How far a request came at one endpoint."""

    NOTHING_SENT = "nothing_sent"
    SENT = "sent"
    NOT_RUN = "not_run"
    ANSWERED = "answered"


class FinalAnswer(Enum):
    """The final answer to a request that no endpoint answered."""

    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"
    TIMED_OUT = "timed_out"


_PROVED_NOT_RUN = {AttemptState.NOTHING_SENT, AttemptState.NOT_RUN}


@dataclass
class AttemptRecord:
    """The endpoints that one request was sent to, in order."""

    route: Route
    states: dict[HostId, AttemptState] = field(default_factory=dict)

    def begin(self, endpoint: HostId) -> None:
        """Note that an endpoint was chosen; nothing is sent yet."""
        self.states[endpoint] = AttemptState.NOTHING_SENT

    def note(self, endpoint: HostId, state: AttemptState) -> None:
        """Note how far the request came."""
        self.states[endpoint] = state

    @property
    def is_proved_not_run(self) -> bool:
        """Tell whether no endpoint can have run the request."""
        return all(state in _PROVED_NOT_RUN for state in self.states.values())

    @property
    def is_answered(self) -> bool:
        """Tell whether an endpoint gave the answer that the caller gets."""
        return AttemptState.ANSWERED in self.states.values()

    @property
    def may_try_another(self) -> bool:
        """Tell whether one more endpoint may get the request."""
        if self._reached() >= max(1, self.route.max_endpoints):
            return False
        return self.is_proved_not_run or self.route.may_repeat

    def is_repeat(self) -> bool:
        """Tell whether the next sending would be one beyond the first."""
        return self._reached() > 0

    def final_answer(self, is_out_of_time: bool) -> FinalAnswer:
        """Return what the caller is told when no endpoint answered."""
        if is_out_of_time:
            return FinalAnswer.TIMED_OUT
        return FinalAnswer.REFUSED if self.is_proved_not_run else FinalAnswer.MAY_HAVE_RUN

    def _reached(self) -> int:
        return sum(state is not AttemptState.NOTHING_SENT for state in self.states.values())
