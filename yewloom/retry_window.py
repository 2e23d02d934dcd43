"""A retry budget for each service, which limits the attempts beyond the first of each request.

The limit is on all entry hosts together: in any window, their retries must not exceed ``ratio``
times the requests of that window or of the window before it, whichever are more, plus an extra
number. A host knows only its own requests and retries. So each host keeps to a stricter limit: in
any window, its retries are at most half of ``ratio`` times its requests of both windows, plus its
share of the extra. Half of a sum is never more than the greater part, so the limit on all hosts
holds wherever the callers go, and while hosts are cut off from each other.

A process does not know the retries of the host's previous process, which may have used the whole
share. So it has no share until those count no longer.
"""

import math
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from yewloom.ids import ServiceName

COUNTED_SHARE = 0.8
"""Share of a host's requests on which it relies. Others may not count all of them: among them are
those by which the platform tests each host, whatever the traffic."""

_ROUNDING = 1e-9
"""Tolerated error of sums of fractions."""


@dataclass(eq=False)
class Retry:
    """A retry that the budget allowed, and until when it may have reached its endpoint."""

    settled_s: float = math.inf

    def settle(self, now_s: float) -> None:
        """Record that it has reached its endpoint by now, or never will."""
        self.settled_s = min(self.settled_s, now_s)


@dataclass
class _ServiceWindow:
    """The requests and retries of a service; the times are sorted."""

    request_times_s: list[float] = field(default_factory=list)
    retries: list[Retry] = field(default_factory=list)

    def drop_requests_before(self, time_s: float) -> None:
        del self.request_times_s[: bisect_left(self.request_times_s, time_s)]

    def drop_retries_before(self, time_s: float) -> None:
        self.retries = [retry for retry in self.retries if retry.settled_s >= time_s]

    def latest_first(self, now_s: float) -> list[float]:
        """Return until when each retry may have reached its endpoint so far."""
        return sorted((min(retry.settled_s, now_s) for retry in self.retries), reverse=True)

    def requests_since(self, time_s: float) -> int:
        return len(self.request_times_s) - bisect_left(self.request_times_s, time_s)


class RetryBudget:
    """Allows one entry host its part of the retries.

    ``extra`` returns this host's share of the extra retries that all hosts together may make, and
    ``uptime_s`` the time since the host's previous process ended, at the least.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        extra: Callable[[], float],
        uptime_s: Callable[[float], float] = lambda now_s: math.inf,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra
        self._uptime_s = uptime_s
        self._services: defaultdict[ServiceName, _ServiceWindow] = defaultdict(_ServiceWindow)

    def on_request(self, service: ServiceName, arrived_s: float) -> None:
        """Count a caller's request."""
        window = self._services[service]
        insort(window.request_times_s, arrived_s)
        if window.request_times_s[0] < arrived_s - 3 * self._window_s:  # Not at each request.
            window.drop_requests_before(arrived_s - 2 * self._window_s)

    def remembered_requests(self, service: ServiceName) -> int:
        """Return the number of requests that are remembered."""
        return len(self._services[service].request_times_s)

    def try_acquire(self, service: ServiceName, now_s: float) -> Retry | None:
        """Return a retry, which counts from now on, or None if the budget allows none."""
        window = self._services[service]
        window.drop_retries_before(now_s - self._window_s)
        if not self._allows_another(window, now_s):
            return None
        retry = Retry()
        window.retries.append(retry)
        return retry

    def cancel(self, service: ServiceName, retry: Retry) -> None:
        """Stop counting a retry of which nothing was sent."""
        retries = self._services[service].retries
        if retry in retries:
            retries.remove(retry)

    def _allows_another(self, window: _ServiceWindow, now_s: float) -> bool:
        """Return whether one more retry now keeps each window that contains it within the limit.

        Only windows that begin with a retry need to be looked at. One that has not settled may
        reach its endpoint as late as the new one.
        """
        is_new = self._uptime_s(now_s) < self._window_s
        extra = _ROUNDING + (0.0 if is_new else self._extra())
        for count, start_s in enumerate([now_s, *window.latest_first(now_s)], 1):
            requests = window.requests_since(start_s - self._window_s)
            if count > extra + self._ratio * COUNTED_SHARE / 2 * requests:
                return False
        return True
