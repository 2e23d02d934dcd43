"""Detect stalled groups, i.e. groups whose streams have stopped delivering events.

The members of a group work in lockstep, so one event of any stream shows that all of them work.
Streams that wait for their first event prove little by themselves, since an engine's queue may be
long. Together with the report of a peer whose streams had delivered events and stopped, they are
sufficient evidence. A group is identified by its leader. Times are seconds of the caller's
monotonic clock.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from yewloom.ids import HostId
from yewloom.stall_timeouts import DEFAULT_STALL_TIMEOUT_S

STALLED_AVOIDANCE_S = 2.0
"""Longest time for which a stalled group gets no new requests. Within half a second the coordinator
queries the members, and dissolves the group if one does not answer; otherwise the group was only
slow."""

REPORT_TTL_S = 1.0
"""Time for which a report that a group has stalled is valid."""

PEER_REPORTED_TIMEOUT_S = 0.2
"""Time without events on this host's own streams after which a group counts as stalled if a peer
has reported it: longer than either an event or the prefill of a long prompt takes."""

FIRST_EVENT_TIMEOUT_S = 1.2
"""Time without events after which a group counts as stalled if all its streams still wait for their
first event."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks for a stall: half the interval between two messages of a peer."""

RECENT_EVENT_S = 0.2
"""Time for which an event of a group is reported to peers: the interval between messages to them.
"""

SILENT_SHARE = 0.5
"""Share of its stall timeout after which an endpoint without events counts as silent. Of endpoints
that fall silent together, the others have not stalled yet when the first one has."""

MAX_MESSAGE_DELAY_S = 0.1
"""Longest time until a peer's message is read if the event loop was not delayed: it covers network
latency and other work on a slow host."""


class Activity(Enum):
    """What the streams of this host show of an endpoint.

    ``UNKNOWN``: it has no stream there, or none that has waited long for its first event.
    """

    UNKNOWN = "unknown"
    ACTIVE = "active"
    SILENT = "silent"


@dataclass
class _StreamActivity:
    """Activity of a group's streams.

    ``last_read_s`` is when their newest event was read, or the first stream was opened if there was
    no event. ``arrived_s`` is the earliest time at which that event can have arrived.
    """

    streams: int = 0
    last_read_s: float = 0.0
    arrived_s: float = 0.0
    has_events: bool = False


class _RecentReports:
    """Times at which leaders were reported; a report expires after ``REPORT_TTL_S``."""

    def __init__(self) -> None:
        self._reported_s: dict[HostId, float] = {}

    def add(self, leader: HostId, now_s: float) -> bool:
        """Record a report; return whether there was no recent one of the leader."""
        is_new = not self.has(leader, now_s)
        self._reported_s[leader] = max(now_s, self._reported_s.get(leader, now_s))
        return is_new

    def has(self, leader: HostId, now_s: float) -> bool:
        """Return whether a leader was reported recently."""
        return now_s - self._reported_s.get(leader, float("-inf")) < REPORT_TTL_S

    def drop(self, leader: HostId) -> None:
        """Drop the report of a leader."""
        self._reported_s.pop(leader, None)

    def recent(self, now_s: float) -> list[HostId]:
        """Return the leaders that were reported recently, and forget the others."""
        self._reported_s = {h: s for h, s in self._reported_s.items() if now_s - s < REPORT_TTL_S}
        return list(self._reported_s)


class StallDetector:
    """Tracks the events of every group leader at which this host has streams.

    ``on_report`` is called when peers should be notified at once, because this host reports a group
    that it had not reported recently, or disputes a peer's report. ``timeout_s`` returns how long a
    leader's group may be silent between two events, given the current time.
    """

    def __init__(
        self,
        on_report: Callable[[], None] = lambda: None,
        timeout_s: Callable[[HostId, float], float] = lambda _leader, _now: DEFAULT_STALL_TIMEOUT_S,
    ) -> None:
        self._on_report = on_report
        self._timeout_s = timeout_s
        self._activity: defaultdict[HostId, _StreamActivity] = defaultdict(_StreamActivity)
        self._stalled, self._unreachable = _RecentReports(), _RecentReports()
        self._stalled_by_peers, self._unreachable_by_peers = _RecentReports(), _RecentReports()
        self._arrived_by_peers_s: dict[HostId, float] = {}

    def on_stream_start(self, leader: HostId, now_s: float) -> None:
        """Record that a stream was opened."""
        activity = self._activity[leader]
        if not activity.streams:
            activity.last_read_s, activity.arrived_s, activity.has_events = now_s, now_s, False
        activity.streams += 1

    def on_event(self, leader: HostId, now_s: float, max_age_s: float = 0.0) -> None:
        """Record an event that is read now and arrived up to ``max_age_s`` ago.

        The time without events is counted from when the event is read. As evidence that the group
        works, the event counts only for the earliest time at which it may have arrived.
        """
        activity = self._activity[leader]
        activity.last_read_s, activity.arrived_s, activity.has_events = (
            now_s,
            now_s - max_age_s,
            True,
        )

    def on_stream_end(self, leader: HostId) -> None:
        """Record that a stream has ended."""
        activity = self._activity[leader]
        activity.streams -= 1
        if not activity.streams:
            del self._activity[leader]

    def report_stalled(self, leader: HostId, now_s: float) -> None:
        """Record that a group has stalled or dropped a connection.

        Streams without a first event may just be queued at a full engine, so they are not reported
        to others.
        """
        activity = self._activity.get(leader)
        if (activity is None or activity.has_events) and self._stalled.add(leader, now_s):
            self._on_report()

    def report_unreachable(self, leader: HostId, now_s: float) -> None:
        """Record that connecting to a leader failed; other hosts may still reach it."""
        if self._unreachable.add(leader, now_s):
            self._on_report()

    def on_peer_stall_report(self, leader: HostId, now_s: float) -> None:
        """Record that another entry host reported a group as stalled."""
        if self._stalled_by_peers.add(leader, now_s):
            self._dispute_report(leader, now_s)

    def on_peer_unreachable_report(self, leader: HostId, now_s: float) -> None:
        """Record that another entry host could not reach a leader."""
        if self._unreachable_by_peers.add(leader, now_s):
            self._dispute_report(leader, now_s)

    def _dispute_report(self, leader: HostId, now_s: float) -> None:
        """Notify peers soon if a group that one of them suspects still delivers events here."""
        if self._has_event_since(leader, now_s - RECENT_EVENT_S):
            self._on_report()

    def on_peer_progress(self, leader: HostId, age_s: float, now_s: float) -> None:
        """Record that another entry host got an event of a group, ``age_s`` before its message."""
        arrived_s = now_s - age_s - MAX_MESSAGE_DELAY_S
        self._arrived_by_peers_s[leader] = max(
            arrived_s, self._arrived_by_peers_s.get(leader, arrived_s)
        )

    def progressing(self, now_s: float) -> dict[HostId, float]:
        """Return the suspected leaders with a recent event on this host, and the event's age."""
        suspected = self.suspected(now_s)
        progressing = [
            leader for leader in suspected if self._has_event_since(leader, now_s - RECENT_EVENT_S)
        ]
        return {leader: now_s - self._activity[leader].arrived_s for leader in progressing}

    def has_progress_since(self, leader: HostId, since_s: float) -> bool:
        """Return whether this host or a peer got an event of a group after a given time."""
        by_peers_s = self._arrived_by_peers_s.get(leader, float("-inf"))
        return by_peers_s > since_s or self._has_event_since(leader, since_s)

    def _has_event_since(self, leader: HostId, since_s: float) -> bool:
        activity = self._activity.get(leader)
        return activity is not None and activity.has_events and activity.arrived_s > since_s

    def forget(self, leader: HostId) -> None:
        """Drop the reports of a leader that has restarted; its streams end by themselves."""
        for reports in (
            self._stalled,
            self._unreachable,
            self._stalled_by_peers,
            self._unreachable_by_peers,
        ):
            reports.drop(leader)
        self._arrived_by_peers_s.pop(leader, None)

    def reported_stalled(self, now_s: float) -> list[HostId]:
        """Return the leaders whose groups this host itself reported recently as stalled."""
        return self._stalled.recent(now_s)

    def reported_unreachable(self, now_s: float) -> list[HostId]:
        """Return the leaders that this host itself recently could not reach."""
        return self._unreachable.recent(now_s)

    def suspected(self, now_s: float) -> set[HostId]:
        """Return the leaders that any entry host reported recently."""
        own = {*self.reported_stalled(now_s), *self.reported_unreachable(now_s)}
        by_peers = {
            *self._stalled_by_peers.recent(now_s),
            *self._unreachable_by_peers.recent(now_s),
        }
        return own | by_peers

    def is_stalled(self, leader: HostId, now_s: float) -> bool:
        """Return whether a group has stalled."""
        activity = self._activity.get(leader)
        if activity is None:
            return False
        timeout_s = self._stall_timeout_s(leader, activity, now_s)
        if self._stalled_by_peers.has(leader, now_s):
            timeout_s = min(timeout_s, PEER_REPORTED_TIMEOUT_S)
        return now_s - activity.last_read_s >= timeout_s

    def activity_of(self, leader: HostId, now_s: float) -> Activity:
        """Return what this host's streams show of an endpoint."""
        activity = self._activity.get(leader)
        if activity is None:
            return Activity.UNKNOWN
        timeout_s = self._stall_timeout_s(leader, activity, now_s)
        if now_s - activity.last_read_s >= SILENT_SHARE * timeout_s:
            return Activity.SILENT
        return Activity.ACTIVE if activity.has_events else Activity.UNKNOWN

    def _stall_timeout_s(self, leader: HostId, activity: _StreamActivity, now_s: float) -> float:
        """Return the time without events after which a group counts as stalled."""
        return self._timeout_s(leader, now_s) if activity.has_events else FIRST_EVENT_TIMEOUT_S

    def next_check_s(self, leader: HostId, now_s: float) -> float:
        """Return when to check a group for a stall again, if no event arrives before.

        Streams that wait for their first event are checked often, as a peer's report may arrive at
        any time.
        """
        activity = self._activity[leader]
        if not activity.has_events:
            return now_s + CHECK_INTERVAL_S
        stall_s = activity.last_read_s + self._stall_timeout_s(leader, activity, now_s)
        return max(stall_s, now_s + CHECK_INTERVAL_S)
