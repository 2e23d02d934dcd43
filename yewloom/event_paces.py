"""How fast groups write, by the pauses between two events of a stream that this host sees.

A group runs at the pace of its slowest member. One that has turned slow keeps few requests more at
once than the others, so their number alone tells of it late, and each stream that it gets misses
its aim while other groups have places free.

All times are seconds of the runtime's clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from yewloom.ids import HostId
from yewloom.medians import median_low

NEWEST_WEIGHT = 0.3
"""Part that the newest pause has in the average: some three pauses decide."""

RECENT_S = 2.0
"""Age up to which an average counts. After it a group that got nothing meanwhile is tried again."""

SLOW_FACTOR = 2.5
"""How many times the usual pause of its model a slow group takes. A full group takes twice what an
empty one does, by the published times of a step."""

LEAST_SLOW_S = 0.12
"""Pause up to which a group is not slow, whatever others do: well within what a stream may
pause."""


@dataclass
class _Pace:
    average_s: float
    noted_s: float


class EventPaces:
    """Keeps the average pause of each group's leader."""

    def __init__(self) -> None:
        self._paces: dict[HostId, _Pace] = {}

    def note(self, head: HostId, pause_s: float, now_s: float) -> None:
        """Take in the pause between two events of one stream."""
        pace = self._paces.get(head)
        if pace is None or now_s - pace.noted_s > RECENT_S:
            self._paces[head] = _Pace(pause_s, now_s)
            return
        pace.average_s += NEWEST_WEIGHT * (pause_s - pace.average_s)
        pace.noted_s = now_s

    def slow_among(self, heads: Iterable[HostId], now_s: float) -> set[HostId]:
        """Return those of the leaders of one model's groups whose groups are slow."""
        recent = {
            head: pace.average_s
            for head in heads
            if (pace := self._paces.get(head)) and now_s - pace.noted_s <= RECENT_S
        }
        if len(recent) < 2:  # Nothing to compare with.
            return set()
        limit_s = max(LEAST_SLOW_S, SLOW_FACTOR * median_low(recent.values()))
        return {head for head, average_s in recent.items() if average_s > limit_s}

    def forget(self, head: HostId) -> None:
        """Drop what is known of an endpoint that is no longer listed, or leads another group."""
        self._paces.pop(head, None)
