"""Track the typical duration of answered requests on each route."""

from collections import defaultdict, deque

from yewloom.ids import RouteName
from yewloom.medians import median

MAX_SAMPLES = 16
"""Number of durations that are kept for each route: enough that one outlier does not move the
median, and few enough to follow a change within a second on a busy route."""

MIN_SAMPLES = 4
"""Number of durations below which a route has no typical duration."""


class RouteDurations:
    """The latest durations of each route's answered requests, in seconds."""

    def __init__(self) -> None:
        self._latest_s: defaultdict[RouteName, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_SAMPLES)
        )

    def record(self, route: RouteName, duration_s: float) -> None:
        """Record the duration of an answered request."""
        self._latest_s[route].append(duration_s)

    def median_s(self, route: RouteName) -> float:
        """Return the median duration of the latest requests; 0 if there are too few."""
        latest_s = self._latest_s.get(route, ())
        return median(latest_s) if len(latest_s) >= MIN_SAMPLES else 0.0
