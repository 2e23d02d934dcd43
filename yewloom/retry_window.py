"""A bound on sendings beyond the first of each request, by service, over a sliding window.

Each entry host keeps to its own part, so the sum holds when entry hosts are cut off from each
other.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from yewloom.ids import ServiceName


@dataclass
class _ServiceWindow:
    requests_s: deque[float] = field(default_factory=deque)
    repeats_s: deque[float] = field(default_factory=deque)

    def forget_before(self, time_s: float) -> None:
        for times_s in (self.requests_s, self.repeats_s):
            while times_s and times_s[0] < time_s:
                times_s.popleft()


class RetryWindow:
    """Allows repeats up to ``ratio`` of the requests of the last ``window_s`` plus an extra.

    ``extra`` returns this host's part of the extra of all hosts.
    """

    def __init__(self, ratio: float, window_s: float, extra: Callable[[], float]) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra
        self._services: defaultdict[ServiceName, _ServiceWindow] = defaultdict(_ServiceWindow)

    def on_request(self, service: ServiceName, now_s: float) -> None:
        """Count a request of a caller."""
        window = self._services[service]
        window.forget_before(now_s - self._window_s)
        window.requests_s.append(now_s)

    def try_repeat(self, service: ServiceName, now_s: float) -> bool:
        """Count one sending beyond the first, if it is allowed; tell whether it is."""
        window = self._services[service]
        window.forget_before(now_s - self._window_s)
        allowed = self._ratio * len(window.requests_s) + self._extra()
        if len(window.repeats_s) + 1 > allowed:
            return False
        window.repeats_s.append(now_s)
        return True
