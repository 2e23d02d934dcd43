"""Model of many entry hosts with a retry budget each, and of the bound on all of them together."""

from bisect import bisect_left, bisect_right

from yewloom.retry_window import RetryBudget
from yewloom.tests.entry_support import PLAIN

RATIO = 0.1
WINDOW_S = 10.0


class RetryDeployment:
    """Entry hosts that receive requests and retry them.

    In any window, the retries of all hosts must not exceed ``RATIO`` times the requests plus the
    extra. The requests are those of the window, of the one before it or of the one that begins half
    a window earlier, whichever are most.
    """

    def __init__(self, host_count: int, extra: float) -> None:
        self._extra = extra
        self._share = extra / host_count
        self._budgets = [self._new_budget(0.0) for _ in range(host_count)]
        self._requests_s: list[float] = []
        self._retries_s: list[float] = []

    def request(self, host: int, now_s: float, is_counted: bool = True) -> None:
        """Send a request to a host; ``is_counted`` is whether the bound on the sum counts it."""
        self._budgets[host].on_request(PLAIN, now_s)
        if is_counted:
            self._requests_s.append(now_s)

    def retry(self, host: int, now_s: float, arrives_s: float | None = None) -> None:
        """Let a host retry a request if its budget allows it; it arrives now if not said else."""
        retry = self._budgets[host].try_acquire(PLAIN, now_s)
        if retry is not None:
            retry.settle(now_s if arrives_s is None else arrives_s)
            self._retries_s.append(retry.settled_s)

    def restart(self, host: int, now_s: float) -> None:
        """Replace a host's process by one that starts now."""
        self._budgets[host] = self._new_budget(now_s)

    def excess(self) -> float:
        """Return by how much the retries of the worst window exceed the bound; call it once."""
        self._requests_s.sort()
        self._retries_s.sort()
        return max((self._excess_of_window(from_s) for from_s in self._retries_s), default=0.0)

    def _excess_of_window(self, from_s: float) -> float:
        retries = _count(self._retries_s, from_s, from_s + WINDOW_S)
        starts_s = (from_s, from_s - WINDOW_S / 2, from_s - WINDOW_S)
        requests = max(_count(self._requests_s, start, start + WINDOW_S) for start in starts_s)
        return retries - RATIO * requests - self._extra

    def _new_budget(self, started_s: float) -> RetryBudget:
        return RetryBudget(RATIO, WINDOW_S, lambda: self._share, lambda now_s: now_s - started_s)


def _count(times_s: list[float], from_s: float, to_s: float) -> int:
    return bisect_right(times_s, to_s) - bisect_left(times_s, from_s)
