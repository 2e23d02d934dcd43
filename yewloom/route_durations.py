"""How long answered requests of each route usually take."""

from collections import defaultdict, deque

from yewloom.ids import RouteName
from yewloom.medians import median

KEPT = 16
"""Durations that are kept of a route: enough for a median that one odd request does not move, and
few enough to follow a change within a second on a busy route."""

LEAST = 4
"""Durations without which nothing is known of a route."""


class RouteDurations:
    """The latest durations of each route's answered requests, in seconds."""

    def __init__(self) -> None:
        self._latest_s: defaultdict[RouteName, deque[float]] = defaultdict(
            lambda: deque(maxlen=KEPT)
        )

    def note(self, route: RouteName, took_s: float) -> None:
        """Take in how long an answered request took."""
        self._latest_s[route].append(took_s)

    def usual_s(self, route: RouteName) -> float:
        """Return the time that half of the latest requests took at most; 0 if too few are known."""
        latest_s = self._latest_s.get(route, ())
        return median(latest_s) if len(latest_s) >= LEAST else 0.0
