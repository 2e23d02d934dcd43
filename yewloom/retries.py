"""Retries: the outcome of a failed call to an endpoint, and whether the call may be sent again.

A call has exactly one of three outcomes: answered, not run, or unknown. "Not run" is reported only
if it is certain. An unsafe call is sent again only if it has certainly not run.
"""

from dataclasses import dataclass
from enum import Enum

from yewloom.states import Outcome


class CallFailure(Enum):
    """How a call to an endpoint failed."""

    CONNECT = "connect"
    REFUSED = "refused"
    CONNECTION_LOST = "broken"
    STALLED = "stalled"
    ENDPOINT_ERROR = "endpoint_error"


_NOT_RUN_FAILURES = {CallFailure.CONNECT, CallFailure.REFUSED}


def outcome_of(failure: CallFailure) -> Outcome:
    """Return the outcome of a call that failed in this way."""
    return Outcome.NOT_RUN if failure in _NOT_RUN_FAILURES else Outcome.UNKNOWN


def may_retry(outcome: Outcome, is_unsafe: bool) -> bool:
    """Return whether a call with this outcome may be sent again."""
    return outcome is Outcome.NOT_RUN or (outcome is Outcome.UNKNOWN and not is_unsafe)


@dataclass
class RetryBudget:
    """Limits retries to a fraction of the successes, so that they cannot amplify an overload.

    Each success adds ``ratio`` retries to the budget, which holds ``burst`` at most.
    """

    ratio: float
    burst: float

    def __post_init__(self) -> None:
        self._available = self.burst

    def on_success(self) -> None:
        """Add ``ratio`` retries to the budget."""
        self._available = min(self.burst, self._available + self.ratio)

    def try_spend(self) -> bool:
        """Take a retry from the budget; return whether one was available."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


class NextStep(Enum):
    """What to do after a failed call."""

    RESUME = "resume"
    REROUTE = "reroute"
    GIVE_UP = "give_up"


MAX_RESUMES = 2
"""Attempts to resume a stream on the same engine before another group is tried."""


class AttemptTracker:
    """Decides on the next step after each failed call of a request, and tracks its outcome.

    Once a call may have run, the request's outcome stays unknown, however later calls fail.
    """

    def __init__(self, is_unsafe: bool, can_resume: bool, budget: RetryBudget) -> None:
        self._is_unsafe = is_unsafe
        self._can_resume = can_resume
        self._budget = budget
        self._resumes = 0
        self.outcome = Outcome.NOT_RUN

    def on_tokens_received(self) -> None:
        """Record that tokens arrived: reset the resume count; the call may now have run."""
        self._resumes = 0
        self.outcome = Outcome.UNKNOWN

    def on_failure(self, failure: CallFailure, now_s: float, deadline_s: float) -> NextStep:
        """Return the next step after a failed call; both times are of the same clock."""
        if outcome_of(failure) is Outcome.UNKNOWN:
            self.outcome = Outcome.UNKNOWN
        if now_s >= deadline_s:
            return NextStep.GIVE_UP
        is_broken_stream = failure in (CallFailure.CONNECTION_LOST, CallFailure.STALLED)
        if is_broken_stream and self._can_resume and self._resumes < MAX_RESUMES:
            self._resumes += 1
            return NextStep.RESUME
        if not may_retry(self.outcome, self._is_unsafe):
            return NextStep.GIVE_UP
        return NextStep.REROUTE if self._budget.try_spend() else NextStep.GIVE_UP
