"""Retries: what a failed call to an endpoint means, and whether it may be sent again.

Three outcomes and never a fourth: answered, not run, unknown. Not run is said only when it is
known. An unsafe call is sent again only when it is known not to have run.
"""

from dataclasses import dataclass
from enum import Enum

from yewloom.states import Outcome


class CallFailure(Enum):
    """How a call to an endpoint failed."""

    CONNECT = "connect"
    REFUSED = "refused"
    BROKEN = "broken"
    STALLED = "stalled"
    ENDPOINT_ERROR = "endpoint_error"


_KNOWN_NOT_RUN = {CallFailure.CONNECT, CallFailure.REFUSED}


def outcome_of(failure: CallFailure) -> Outcome:
    """Return what is known of a call after a failure."""
    return Outcome.NOT_RUN if failure in _KNOWN_NOT_RUN else Outcome.UNKNOWN


def may_repeat(outcome: Outcome, is_unsafe: bool) -> bool:
    """Tell whether a call with this outcome may be sent again."""
    return outcome is Outcome.NOT_RUN or (outcome is Outcome.UNKNOWN and not is_unsafe)


@dataclass
class RetryBudget:
    """Allows retries as a share of the successes, so that retries can't multiply an overload.

    ``ratio`` retries are earned by each success; ``burst`` is the most that can be saved up.
    """

    ratio: float
    burst: float

    def __post_init__(self) -> None:
        self._saved = self.burst

    def on_success(self) -> None:
        """Earn a part of a retry."""
        self._saved = min(self.burst, self._saved + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


class NextStep(Enum):
    """What to do after a failed call."""

    RESUME = "resume"
    REROUTE = "reroute"
    GIVE_UP = "give_up"


MAX_RESUMES = 2
"""Tries to go on with one engine's stream before another group is asked."""


class AttemptTracker:
    """Decides what follows each failed call of one request, and what its caller may be told.

    Once a call may have run, the request's outcome stays unknown, whatever later calls say.
    """

    def __init__(self, is_unsafe: bool, can_resume: bool, budget: RetryBudget) -> None:
        self._is_unsafe = is_unsafe
        self._can_resume = can_resume
        self._budget = budget
        self._resumes = 0
        self.outcome = Outcome.NOT_RUN

    def on_progress(self) -> None:
        """Take in that tokens came, so that a later break is resumed afresh."""
        self._resumes = 0
        self.outcome = Outcome.UNKNOWN

    def on_failure(self, failure: CallFailure, now_s: float, deadline_s: float) -> NextStep:
        """Return the step after a failed call; times are seconds of one clock."""
        if outcome_of(failure) is Outcome.UNKNOWN:
            self.outcome = Outcome.UNKNOWN
        if now_s >= deadline_s:
            return NextStep.GIVE_UP
        is_cut = failure in (CallFailure.BROKEN, CallFailure.STALLED)
        if is_cut and self._can_resume and self._resumes < MAX_RESUMES:
            self._resumes += 1
            return NextStep.RESUME
        if not may_repeat(self.outcome, self._is_unsafe):
            return NextStep.GIVE_UP
        return NextStep.REROUTE if self._budget.try_spend() else NextStep.GIVE_UP
