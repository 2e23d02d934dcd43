"""A retry budget for each service, which limits the attempts beyond the first of each request.

Each entry host stays within its own share. The limit on the sum therefore holds even while entry
hosts are cut off from each other.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from yewloom.ids import ServiceName


@dataclass
class _ServiceWindow:
    request_times_s: deque[float] = field(default_factory=deque)
    retry_times_s: deque[float] = field(default_factory=deque)

    def drop_before(self, time_s: float) -> None:
        for times_s in (self.request_times_s, self.retry_times_s):
            while times_s and times_s[0] < time_s:
                times_s.popleft()


class RetryBudget:
    """Allows ``ratio`` retries for each request of the last ``window_s``, plus an extra number.

    ``extra`` returns this host's share of the extra retries that all hosts together may make.
    """

    def __init__(self, ratio: float, window_s: float, extra: Callable[[], float]) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra
        self._services: defaultdict[ServiceName, _ServiceWindow] = defaultdict(_ServiceWindow)

    def on_request(self, service: ServiceName, now_s: float) -> None:
        """Count a caller's request."""
        window = self._services[service]
        window.drop_before(now_s - self._window_s)
        window.request_times_s.append(now_s)

    def try_acquire(self, service: ServiceName, now_s: float) -> bool:
        """Count one retry if the budget allows it; return whether it does."""
        window = self._services[service]
        window.drop_before(now_s - self._window_s)
        allowed = self._ratio * len(window.request_times_s) + self._extra()
        if len(window.retry_times_s) + 1 > allowed:
            return False
        window.retry_times_s.append(now_s)
        return True
