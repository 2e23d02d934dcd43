"""Signs that a group stands still: streams of it that should have moved and did not.

A group moves only as a whole, so one event of any stream shows that all members work. Times are
seconds of the caller's monotonic clock.
"""

from collections import defaultdict
from dataclasses import dataclass

from yewloom.ids import HostId

QUIET_S = 0.45
"""Silence of all streams of a group after which it counts as standing still. Batches on the trial
days gave an event at least every 0.12 s; prompts of 6,000 tokens add 0.13 s."""

REPORT_S = 1.0
"""Time for which a report that a group stands still counts."""

FIRST_EVENT_S = 1.2
"""Silence after which a group with nothing but streams that wait for their first event counts as
standing still."""


@dataclass
class _Pace:
    streams: int = 0
    moved_s: float = 0.0
    has_events: bool = False

    @property
    def quiet_limit_s(self) -> float:
        """Return the silence after which the group counts as standing still."""
        return QUIET_S if self.has_events else FIRST_EVENT_S


class StallDetector:
    """Follows the events of every group head that this host has streams at."""

    def __init__(self) -> None:
        self._paces: defaultdict[HostId, _Pace] = defaultdict(_Pace)
        self._reported_s: dict[HostId, float] = {}
        self._told_s: dict[HostId, float] = {}

    def on_begin(self, head: HostId, now_s: float) -> None:
        """Take in that a stream was opened."""
        pace = self._paces[head]
        if not pace.streams:
            pace.moved_s, pace.has_events = now_s, False
        pace.streams += 1

    def on_event(self, head: HostId, now_s: float) -> None:
        """Take in that an event came."""
        pace = self._paces[head]
        pace.moved_s, pace.has_events = now_s, True

    def on_end(self, head: HostId) -> None:
        """Take in that a stream is over."""
        pace = self._paces[head]
        pace.streams -= 1
        if not pace.streams:
            del self._paces[head]

    def report(self, head: HostId, now_s: float) -> None:
        """Take in that a group stands still or can't be reached.

        Streams that only wait for their first event may wait in a full engine's queue: that is no
        news for others.
        """
        pace = self._paces.get(head)
        if pace is None or pace.has_events:
            self._reported_s[head] = now_s

    def report_by_peer(self, head: HostId, now_s: float) -> None:
        """Take in that another entry host saw a group stand still."""
        self._told_s[head] = now_s

    def reported(self, now_s: float) -> list[HostId]:
        """Return the heads of groups that this host itself reported a short while ago."""
        self._reported_s = _recent(self._reported_s, now_s)
        return list(self._reported_s)

    def suspected(self, now_s: float) -> set[HostId]:
        """Return the heads of groups that any entry host reported a short while ago."""
        self._told_s = _recent(self._told_s, now_s)
        return {*self.reported(now_s), *self._told_s}

    def is_stalled(self, head: HostId, now_s: float) -> bool:
        """Tell whether a group stands still."""
        pace = self._paces.get(head)
        if pace is None:
            return False
        return now_s - pace.moved_s >= pace.quiet_limit_s

    def due_s(self, head: HostId) -> float:
        """Return when a group will count as standing still if nothing moves."""
        pace = self._paces[head]
        return pace.moved_s + pace.quiet_limit_s


def _recent(times_s: dict[HostId, float], now_s: float) -> dict[HostId, float]:
    return {head: time_s for head, time_s in times_s.items() if now_s - time_s < REPORT_S}
