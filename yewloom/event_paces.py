"""Find slow groups by the intervals between events of the streams that this host forwards.

A group runs at the speed of its slowest member. A slow group has only a few more requests running
than the others, so its load alone shows only late that it is slow. Until then, each stream that it
gets misses its latency objective while other groups have free slots.

All times are seconds of trio's clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from yewloom.ids import HostId
from yewloom.medians import median_low

SMOOTHING_FACTOR = 0.3
"""Weight of the newest interval in the moving average, which about three intervals dominate."""

RECENT_S = 2.0
"""Age up to which an average counts. A group that got no requests for this long is tried again."""

SLOW_FACTOR = 2.5
"""Ratio of a group's average interval to its model's median above which the group counts as slow.
According to published step times, the interval of a full group is twice that of an empty one."""

MIN_SLOW_INTERVAL_S = 0.12
"""Average interval up to which a group never counts as slow; well below the longest interval that
is acceptable in a stream."""


@dataclass
class _Interval:
    average_s: float
    updated_s: float


class EventIntervals:
    """Moving averages of the intervals between events, by group leader."""

    def __init__(self) -> None:
        self._intervals: dict[HostId, _Interval] = {}

    def record(self, leader: HostId, interval_s: float, now_s: float) -> None:
        """Record the interval between two consecutive events of one stream."""
        interval = self._intervals.get(leader)
        if interval is None or now_s - interval.updated_s > RECENT_S:
            self._intervals[leader] = _Interval(interval_s, now_s)
            return
        interval.average_s += SMOOTHING_FACTOR * (interval_s - interval.average_s)
        interval.updated_s = now_s

    def average_s(self, leader: HostId, now_s: float) -> float | None:
        """Return the average interval of a group's streams; None without a recent one."""
        interval = self._intervals.get(leader)
        if interval is None or now_s - interval.updated_s > RECENT_S:
            return None
        return interval.average_s

    def find_slow(self, leaders: Iterable[HostId], now_s: float) -> set[HostId]:
        """Return the leaders whose groups are slow, out of the leaders of one model's groups."""
        recent = {
            leader: interval.average_s
            for leader in leaders
            if (interval := self._intervals.get(leader)) and now_s - interval.updated_s <= RECENT_S
        }
        if len(recent) < 2:  # Nothing to compare with.
            return set()
        limit_s = max(MIN_SLOW_INTERVAL_S, SLOW_FACTOR * median_low(recent.values()))
        return {leader for leader, average_s in recent.items() if average_s > limit_s}

    def forget(self, leader: HostId) -> None:
        """Drop the average of an endpoint that is no longer listed or leads another group."""
        self._intervals.pop(leader, None)
