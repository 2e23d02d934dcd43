"""Groups that are known to have ended although the listing still shows them serving.

The listing lags behind an order to leave by up to some seconds, during which requests sent to the
former leader come back as not run. Its coordinator and the hosts that were turned away know better.
What they know is passed on among the entry hosts with its age, so it ends after a bounded time
whatever path it took. A group that forms anew has another key and is not affected.
"""

from collections.abc import Callable, Iterable

from yewloom.directory import Endpoint, GroupKey
from yewloom.ids import HostId
from yewloom.values import value_class

ENDED_TTL_S = 10.0
"""Time for which a group counts as ended: entries of the listing lag by less."""

REPORT_PERIOD_S = 1.0
"""Time for which a host passes on what it has learned. In this time its messages reach dozens of
peers, each of which does the same; a host that is still not reached is turned away once."""

MAX_REPORTS = 32
"""Maximum number of groups in one message to a peer; the latest to end are sent."""


@value_class
class EndedReport:
    """The leader and key of a group that had ended ``age_s`` ago."""

    leader: HostId
    key: GroupKey
    age_s: float


@value_class
class _EndedGroup:
    key: GroupKey
    ended_s: float
    learned_s: float


class EndedGroups:
    """Holds the latest ended group of each leader.

    ``on_change`` is called when peers should soon be told of a group that this host found ended.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self._on_change = on_change
        self._by_leader: dict[HostId, _EndedGroup] = {}

    def record(self, leader: HostId, key: GroupKey, now_s: float) -> None:
        """Record that this host knows of a group's end from its leader or its coordinator."""
        if self._add(leader, key, now_s, now_s):
            self._on_change()

    def apply(self, report: EndedReport, arrived_s: float, now_s: float) -> None:
        """Apply a peer's report that arrived at ``arrived_s`` at the earliest."""
        ended_s = arrived_s - report.age_s
        if now_s - ended_s < ENDED_TTL_S:
            self._add(report.leader, report.key, ended_s, now_s)

    def has_ended(self, leader: Endpoint, now_s: float) -> bool:
        """Return whether the group that a listed endpoint leads is known to have ended."""
        ended = self._by_leader.get(leader.id)
        if ended is None or leader.membership is None or leader.membership.key != ended.key:
            return False
        return now_s - ended.ended_s < ENDED_TTL_S

    def forget(self, leader: HostId) -> None:
        """Drop what is known of an endpoint that has restarted."""
        self._by_leader.pop(leader, None)

    def reports(self, now_s: float) -> Iterable[EndedReport]:
        """Return the groups to report to peers, and drop those that ended long ago."""
        if not self._by_leader:
            return []
        self._by_leader = {
            leader: ended
            for leader, ended in self._by_leader.items()
            if now_s - ended.ended_s < ENDED_TTL_S
        }
        reports = [
            EndedReport(leader, ended.key, now_s - ended.ended_s)
            for leader, ended in self._by_leader.items()
            if now_s - ended.learned_s < REPORT_PERIOD_S
        ]
        return sorted(reports, key=lambda report: report.age_s)[:MAX_REPORTS]

    def _add(self, leader: HostId, key: GroupKey, ended_s: float, learned_s: float) -> bool:
        """Add a group, unless it or a later one of the same leader is known."""
        known = self._by_leader.get(leader)
        if known is not None and known.key.generation >= key.generation:
            return False
        self._by_leader[leader] = _EndedGroup(key, ended_s, learned_s)
        return True
