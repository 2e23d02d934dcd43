"""Detects members that no longer answer, in groups that are stalled or have unlisted members."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

import structlog
import trio

from yewloom.background import BackgroundTasks
from yewloom.directory import EndpointDirectory
from yewloom.ids import HostId
from yewloom.plan_state import PlanState, group_key
from yewloom.process_starts import may_be_same_process
from yewloom.replica_orders import REPORT_TIMEOUT_S, EngineOrders, EngineReport
from yewloom.schema.records_pb2 import Group, GroupMember
from yewloom.stalls import StallDetector
from yewloom.states import GroupIntent
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

PROBE_INTERVAL_S = 2.0
"""Minimum pause between two probes of a suspect or of the members of a stalled group."""

SUSPECT_REPORT_TIMEOUT_S = 1.8
"""Longest wait for the report of a suspect, or of a member of a group none of whose members has
answered. It is long because an engine that answers slowly can still serve, and just shorter than
``PROBE_INTERVAL_S``, after which the next probe may start."""

SILENT_REPORT_TIMEOUT_S = 0.8
"""Longest wait for the second report of a member of a stalled group. With the wait for the first
one and the time until the group counted as stalled, it outlasts a silence of 1.6 s."""

UNLISTED_PROBE_INTERVAL_S = 0.8
"""Pause between two probes of a member that the store no longer lists."""


@value_class
class _ProbeKey:
    """Key of a member's probe among the background tasks, distinct from the key of its orders."""

    member: HostId


@dataclass
class _GroupProbe:
    """A probe of all members of a group; ``has_answer`` is set once any member has answered."""

    leader: HostId
    members: int
    has_answer: bool = False

    @property
    def is_unanswered(self) -> bool:
        """Return whether the group has several members and none has answered."""
        return self.members > 1 and not self.has_answer

    @property
    def retry_timeout_s(self) -> float:
        """Return the longest wait for the second report of a member."""
        return SUSPECT_REPORT_TIMEOUT_S if self.is_unanswered else SILENT_REPORT_TIMEOUT_S


@value_class
class _MemberProbe:
    """A probe of one engine process.

    ``group_probe`` is the probe of its group, or None if only this engine is probed; ``timeout_s``
    is the longest wait for an answer.
    """

    member: HostId
    address: str
    started_unix_ms: int
    group_probe: _GroupProbe | None = None
    timeout_s: float = REPORT_TIMEOUT_S


class StalledGroups:
    """Probes the members of stalled groups, and members that are no longer listed."""

    def __init__(
        self,
        directory: EndpointDirectory,
        stalls: StallDetector,
        engine_orders: EngineOrders,
        state: PlanState,
        loop_delay_s: Callable[[], float] = lambda: 0.0,
        on_suspect: Callable[[], None] = lambda: None,
        has_lost_all: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialize.

        ``loop_delay_s`` is not zero if the event loop was blocked just before; ``on_suspect`` is
        called when a member is suspected; ``has_lost_all`` returns whether this host reaches no
        endpoint at present.
        """
        self._has_lost_all = has_lost_all
        self._on_suspect = on_suspect
        self._loop_delay_s = loop_delay_s
        self._directory = directory
        self._stalls = stalls
        self._engine_orders = engine_orders
        self._state = state
        self._last_probe_s: dict[HostId, float] = {}

    def start_probes(self, groups: Iterable[Group], tasks: BackgroundTasks) -> None:
        """Start probes of suspects, of stalled groups and of members that are not listed.

        This does not wait for the answers; their results are used by later plans.
        """
        now_s = trio.current_time()
        self._probe_suspects(now_s, tasks)
        stalled = self._stalls.suspected(now_s)
        for group in groups:
            if group.intent != GroupIntent.ACTIVE.value or not group.members:
                continue
            leader = HostId(group.members[0].host_id)
            if leader in stalled and self._is_probe_due(leader, now_s, PROBE_INTERVAL_S):
                self._state.stalled_s[group_key(group)] = now_s
                self._probe_members(group, tasks)
            self._probe_unlisted(group, now_s, tasks)

    def _probe_suspects(self, now_s: float, tasks: BackgroundTasks) -> None:
        """Drop suspects that are no longer listed, and probe the others."""
        for suspect in list(self._state.suspects):
            endpoint = self._directory.by_id.get(suspect)
            if endpoint is None:
                self._state.suspects.discard(suspect)
            elif self._is_probe_due(suspect, now_s, PROBE_INTERVAL_S):
                probe = _MemberProbe(
                    suspect,
                    endpoint.address,
                    endpoint.started_unix_ms,
                    timeout_s=SUSPECT_REPORT_TIMEOUT_S,
                )
                self._start_probe(probe, tasks)

    def _probe_unlisted(self, group: Group, now_s: float, tasks: BackgroundTasks) -> None:
        """Probe members that the store no longer lists, as they may be partitioned only from it."""
        for member in group.members[1:]:
            host = HostId(member.host_id)
            if host in self._directory.by_id:
                self._state.unlisted_since_s.pop(host, None)
            elif self._is_probe_due(host, now_s, UNLISTED_PROBE_INTERVAL_S):
                tasks.start(_ProbeKey(host), partial(self._probe_unlisted_member, member))

    async def _probe_unlisted_member(self, member: GroupMember) -> None:
        """Probe a member; an answer counts only if it is from the process in the group."""
        report = await self._engine_orders.read_report(member.address)
        if report is not None and may_be_same_process(
            report.started_unix_ms, member.started_unix_ms
        ):
            self._state.last_answer_s[HostId(member.host_id)] = trio.current_time()

    def _is_probe_due(self, host: HostId, now_s: float, pause_s: float) -> bool:
        """Return whether a probe is due, and if so record it as started."""
        if now_s - self._last_probe_s.get(host, float("-inf")) < pause_s:
            return False
        self._last_probe_s[host] = now_s
        return True

    def _probe_members(self, group: Group, tasks: BackgroundTasks) -> None:
        logger.info("group stalled", group=str(group_key(group)))
        group_probe = _GroupProbe(HostId(group.members[0].host_id), len(group.members))
        for member in group.members:
            host = HostId(member.host_id)
            self._start_probe(
                _MemberProbe(host, member.address, member.started_unix_ms, group_probe), tasks
            )

    def _start_probe(self, probe: _MemberProbe, tasks: BackgroundTasks) -> None:
        tasks.start(_ProbeKey(probe.member), partial(self._probe, probe))

    async def _probe(self, probe: _MemberProbe) -> None:
        """Probe a member; suspect it if it does not answer and its group makes no progress.

        A group makes progress only if all members work, so an event that any entry host received
        after the query was sent shows that this host alone cannot reach the member. Without this
        check, a leader that is unreachable only from its coordinator would lose its group while it
        serves streams of other entry hosts. While this host reaches no endpoint at all, a missing
        answer says nothing; the probe is repeated soon.
        """
        sent_s, group_probe = trio.current_time(), probe.group_probe
        report = await self._query_report(probe)
        if report is not None and may_be_same_process(
            report.started_unix_ms, probe.started_unix_ms
        ):
            self._state.suspects.discard(probe.member)
            return
        has_progress = group_probe is not None and self._stalls.has_progress_since(
            group_probe.leader, sent_s
        )
        if report is None and has_progress:
            logger.info("member unreachable from this host only", engine=probe.member)
            return
        if report is None and self._has_lost_all():
            logger.info("member not suspected", engine=probe.member, reason="no endpoint reached")
            self._last_probe_s.pop(probe.member, None)
            return
        reason = "no answer" if report is None else "process was restarted"
        logger.info("member unresponsive", engine=probe.member, reason=reason)
        self._state.suspects.add(probe.member)
        self._on_suspect()

    async def _query_report(self, probe: _MemberProbe) -> EngineReport | None:
        """Query a member's report, a second time if needed; return None if there is no answer.

        A sound member may be silent for a moment. If no member of a group answers, abandoning the
        group would free no usable host soon, and all may just be slow, so the wait is longer still.
        """
        report = await self._engine_orders.read_report(probe.address, probe.timeout_s)
        group_probe = probe.group_probe
        if report is not None:
            if group_probe is not None:
                group_probe.has_answer = True
            return report
        if group_probe is not None:
            return await self._engine_orders.read_report(probe.address, group_probe.retry_timeout_s)
        if self._loop_delay_s():
            # The answer may have arrived while the event loop was blocked.
            return await self._engine_orders.read_report(probe.address, probe.timeout_s)
        return None
