"""Signs that a group stands still: streams of it that should have moved and did not.

A group moves only as a whole, so one event of any stream shows that all members work. Streams that
wait for their first event tell little by themselves, since an engine's queue may be long; together
with the word of a peer whose streams had moved before and stopped they tell enough. Times are
seconds of the caller's monotonic clock.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from yewloom.ids import HostId

QUIET_S = 0.45
"""Silence of all streams of a group after which it counts as standing still: some events, and the
reading of a long prompt between two of them."""

AVOID_STALLED_S = 2.0
"""Longest time for which a group that stands still gets nothing new. The coordinator asks its
members within half a second and gives the group up if one is silent; else it was only slow."""

REPORT_S = 1.0
"""Time for which a report that a group stands still counts."""

TOLD_QUIET_S = 0.2
"""Silence of this host's own streams after which the word of a peer that a group stands still is
borne out: longer than an event or a long prompt takes alone."""

FIRST_EVENT_S = 1.2
"""Silence after which a group with nothing but streams that wait for their first event counts as
standing still."""

LOOK_S = 0.1
"""Pause between two looks at whether a group stands still: half of that between two words of a
peer."""


MOVING_S = 0.2
"""Time for which an event of a group is news to peers: the pause between two messages to them."""

READ_LATE_S = 0.1
"""Time by which a message of a peer is read late at most by a loop that was not held up: the way,
and other work on a slow host."""


@dataclass
class _Pace:
    """How a group's streams move: ``read_s`` is when their newest event was read.

    ``moved_s`` is when that event may have come at the earliest.
    """

    streams: int = 0
    read_s: float = 0.0
    moved_s: float = 0.0
    has_events: bool = False

    @property
    def quiet_limit_s(self) -> float:
        """Return the silence after which the group counts as standing still."""
        return QUIET_S if self.has_events else FIRST_EVENT_S


class _Reports:
    """When which heads were reported; a report counts for a short time."""

    def __init__(self) -> None:
        self._reported_s: dict[HostId, float] = {}

    def add(self, head: HostId, now_s: float) -> bool:
        """Take in a report; tell whether it is news."""
        is_news = not self.has(head, now_s)
        self._reported_s[head] = max(now_s, self._reported_s.get(head, now_s))
        return is_news

    def has(self, head: HostId, now_s: float) -> bool:
        """Tell whether a head was reported a short while ago."""
        return now_s - self._reported_s.get(head, float("-inf")) < REPORT_S

    def drop(self, head: HostId) -> None:
        """Let a report of a head count no more."""
        self._reported_s.pop(head, None)

    def recent(self, now_s: float) -> list[HostId]:
        """Return the heads that were reported a short while ago, and forget the others."""
        self._reported_s = {h: s for h, s in self._reported_s.items() if now_s - s < REPORT_S}
        return list(self._reported_s)


class StallDetector:
    """Follows the events of every group head that this host has streams at.

    ``on_report`` is called when this host reports a group that it had not reported lately.
    """

    def __init__(self, on_report: Callable[[], None] = lambda: None) -> None:
        self._on_report = on_report
        self._paces: defaultdict[HostId, _Pace] = defaultdict(_Pace)
        self._still, self._unreachable = _Reports(), _Reports()
        self._still_by_peers, self._unreachable_by_peers = _Reports(), _Reports()
        self._moved_by_peers_s: dict[HostId, float] = {}

    def on_begin(self, head: HostId, now_s: float) -> None:
        """Take in that a stream was opened."""
        pace = self._paces[head]
        if not pace.streams:
            pace.read_s, pace.moved_s, pace.has_events = now_s, now_s, False
        pace.streams += 1

    def on_event(self, head: HostId, now_s: float, late_s: float = 0.0) -> None:
        """Take in an event that is read now and came ``late_s`` before at the earliest.

        Silence counts from when it was read; it proves movement from when it may have come.
        """
        pace = self._paces[head]
        pace.read_s, pace.moved_s, pace.has_events = now_s, now_s - late_s, True

    def on_end(self, head: HostId) -> None:
        """Take in that a stream is over."""
        pace = self._paces[head]
        pace.streams -= 1
        if not pace.streams:
            del self._paces[head]

    def report(self, head: HostId, now_s: float) -> None:
        """Take in that a group stands still, or broke off.

        Streams that only wait for their first event may wait in a full engine's queue: that is no
        news for others.
        """
        pace = self._paces.get(head)
        if (pace is None or pace.has_events) and self._still.add(head, now_s):
            self._on_report()

    def report_unreachable(self, head: HostId, now_s: float) -> None:
        """Take in that no connection to a head came up; others may reach it."""
        if self._unreachable.add(head, now_s):
            self._on_report()

    def report_by_peer(self, head: HostId, now_s: float) -> None:
        """Take in that another entry host saw a group stand still."""
        if self._still_by_peers.add(head, now_s):
            self._contradict(head, now_s)

    def report_unreachable_by_peer(self, head: HostId, now_s: float) -> None:
        """Take in that another entry host could not reach a head."""
        if self._unreachable_by_peers.add(head, now_s):
            self._contradict(head, now_s)

    def _contradict(self, head: HostId, now_s: float) -> None:
        """Tell peers soon of a group that one of them suspects, if it moves here."""
        if self._has_moved(head, now_s - MOVING_S):
            self._on_report()

    def move_by_peer(self, head: HostId, age_s: float, now_s: float) -> None:
        """Take in that another entry host saw a group move some time before it told of that."""
        moved_s = now_s - age_s - READ_LATE_S
        self._moved_by_peers_s[head] = max(moved_s, self._moved_by_peers_s.get(head, moved_s))

    def moving(self, now_s: float) -> dict[HostId, float]:
        """Return the heads that some host suspects and that this host saw move; how long ago."""
        suspected = self.suspected(now_s)
        moving = [head for head in suspected if self._has_moved(head, now_s - MOVING_S)]
        return {head: now_s - self._paces[head].moved_s for head in moving}

    def moved_since(self, head: HostId, since_s: float) -> bool:
        """Tell whether this host or a peer saw a group move after a time."""
        by_peers_s = self._moved_by_peers_s.get(head, float("-inf"))
        return by_peers_s > since_s or self._has_moved(head, since_s)

    def _has_moved(self, head: HostId, since_s: float) -> bool:
        pace = self._paces.get(head)
        return pace is not None and pace.has_events and pace.moved_s > since_s

    def forget(self, head: HostId) -> None:
        """Drop the reports of a head, which started again; its streams end by themselves."""
        for reports in (
            self._still,
            self._unreachable,
            self._still_by_peers,
            self._unreachable_by_peers,
        ):
            reports.drop(head)
        self._moved_by_peers_s.pop(head, None)

    def reported(self, now_s: float) -> list[HostId]:
        """Return the heads whose groups this host itself saw stand still a short while ago."""
        return self._still.recent(now_s)

    def reported_unreachable(self, now_s: float) -> list[HostId]:
        """Return the heads that this host itself could not reach a short while ago."""
        return self._unreachable.recent(now_s)

    def suspected(self, now_s: float) -> set[HostId]:
        """Return the heads of groups that any entry host reported a short while ago."""
        own = {*self.reported(now_s), *self.reported_unreachable(now_s)}
        by_peers = {*self._still_by_peers.recent(now_s), *self._unreachable_by_peers.recent(now_s)}
        return own | by_peers

    def is_stalled(self, head: HostId, now_s: float) -> bool:
        """Tell whether a group stands still."""
        pace = self._paces.get(head)
        if pace is None:
            return False
        is_told = self._still_by_peers.has(head, now_s)
        return now_s - pace.read_s >= (TOLD_QUIET_S if is_told else pace.quiet_limit_s)

    def next_look_s(self, head: HostId, now_s: float) -> float:
        """Return when to ask again whether a group stands still, if nothing moves.

        A peer's word may come at any time for streams that wait for their first event.
        """
        pace = self._paces[head]
        if not pace.has_events:
            return now_s + LOOK_S
        return max(pace.read_s + pace.quiet_limit_s, now_s + LOOK_S)
