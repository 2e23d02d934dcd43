"""The look at groups that may have lost a member: which of their members answer no more."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

import structlog
import trio

from yewloom.background import BackgroundTasks
from yewloom.directory import EndpointDirectory
from yewloom.ids import HostId
from yewloom.plan_state import PlanState, key_of
from yewloom.process_starts import is_same_process
from yewloom.replica_orders import REPORT_TIMEOUT_S, EngineOrders, EngineReport
from yewloom.schema.records_pb2 import Group, GroupMember
from yewloom.stalls import StallDetector
from yewloom.states import GroupIntent
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

PROBE_AFTER_STALL_S = 2.0
"""Least pause between two looks at the members of a group that stands still."""

SUSPECT_REPORT_TIMEOUT_S = 1.8
"""Longest wait for the report of a suspect, and of a group's members that are all silent: a suspect
is asked again only after that, and one that answers slowly can still serve."""

PROBE_UNLISTED_S = 0.8
"""Pause between two questions to a member that the store no longer lists."""


@value_class
class _Question:
    """Names the question to a member among the tasks that run, apart from its orders."""

    member: HostId


@dataclass
class _GroupLook:
    """A look at the members of a group; ``heard`` tells whether any has answered."""

    head: HostId
    members: int
    heard: bool = False

    @property
    def is_all_silent(self) -> bool:
        """Tell whether several were asked and none has answered."""
        return self.members > 1 and not self.heard


@value_class
class _Asked:
    """The process of an engine that is asked whether it still answers.

    ``look`` is the one at its group, None if it is asked for itself; ``timeout_s`` is how long an
    answer is waited for.
    """

    member: HostId
    address: str
    started_unix_ms: int
    look: _GroupLook | None = None
    timeout_s: float = REPORT_TIMEOUT_S


class StalledGroups:
    """Asks the members of groups that stand still, and those that are no longer listed."""

    def __init__(
        self,
        directory: EndpointDirectory,
        stalls: StallDetector,
        engine_orders: EngineOrders,
        state: PlanState,
        late_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Take ``late_s``, which is not zero if this host was held up just before."""
        self._late_s = late_s
        self._directory = directory
        self._stalls = stalls
        self._engine_orders = engine_orders
        self._state = state
        self._looked_s: dict[HostId, float] = {}

    def look(self, groups: Iterable[Group], tasks: BackgroundTasks) -> None:
        """Look at the suspects again, and at groups that stand still or lack listed members.

        Nothing waits for members that may be dead: their answers, or silence, count later.
        """
        now_s = trio.current_time()
        self._look_at_suspects(now_s, tasks)
        stalled = self._stalls.suspected(now_s)
        for group in groups:
            if group.intent != GroupIntent.ACTIVE.value or not group.members:
                continue
            head = HostId(group.members[0].host_id)
            if head in stalled and self._may_look(head, now_s, PROBE_AFTER_STALL_S):
                self._state.stood_still_s[key_of(group)] = now_s
                self._look_at_members(group, tasks)
            self._look_at_unlisted(group, now_s, tasks)

    def _look_at_suspects(self, now_s: float, tasks: BackgroundTasks) -> None:
        """Clear suspects that answer again or are no longer listed."""
        for suspect in list(self._state.suspects):
            endpoint = self._directory.by_id.get(suspect)
            if endpoint is None:
                self._state.suspects.discard(suspect)
            elif self._may_look(suspect, now_s, PROBE_AFTER_STALL_S):
                asked = _Asked(
                    suspect,
                    endpoint.address,
                    endpoint.started_unix_ms,
                    timeout_s=SUSPECT_REPORT_TIMEOUT_S,
                )
                self._start_probe(asked, tasks)

    def _look_at_unlisted(self, group: Group, now_s: float, tasks: BackgroundTasks) -> None:
        """Ask members that the store lists no more; one cut off from the store may still work."""
        for member in group.members[1:]:
            host = HostId(member.host_id)
            if host in self._directory.by_id:
                self._state.unlisted_since_s.pop(host, None)
            elif self._may_look(host, now_s, PROBE_UNLISTED_S):
                tasks.start(_Question(host), partial(self._ask_unlisted, member))

    async def _ask_unlisted(self, member: GroupMember) -> None:
        """Ask a member; only the process counts that is in the group, not one after it."""
        report = await self._engine_orders.read_report(member.address)
        if report is not None and is_same_process(report.started_unix_ms, member.started_unix_ms):
            self._state.answered_s[HostId(member.host_id)] = trio.current_time()

    def _may_look(self, host: HostId, now_s: float, pause_s: float) -> bool:
        """Tell whether a look is due, and remember it as taken if it is."""
        if now_s - self._looked_s.get(host, float("-inf")) < pause_s:
            return False
        self._looked_s[host] = now_s
        return True

    def _look_at_members(self, group: Group, tasks: BackgroundTasks) -> None:
        logger.info("group stands still", group=str(key_of(group)))
        look = _GroupLook(HostId(group.members[0].host_id), len(group.members))
        for member in group.members:
            host = HostId(member.host_id)
            self._start_probe(_Asked(host, member.address, member.started_unix_ms, look), tasks)

    def _start_probe(self, asked: _Asked, tasks: BackgroundTasks) -> None:
        tasks.start(_Question(asked.member), partial(self._probe, asked))

    async def _probe(self, asked: _Asked) -> None:
        """Ask a member; one that is silent to this host alone is not suspected.

        A group moves only as a whole, so an event that any entry host saw after the question shows
        that all members work. Without that a leader out of reach of its coordinator alone would
        lose its group, while callers elsewhere have their streams at it.
        """
        asked_s, look = trio.current_time(), asked.look
        report = await self._ask(asked)
        if report is not None and is_same_process(report.started_unix_ms, asked.started_unix_ms):
            self._state.suspects.discard(asked.member)
            return
        is_seen = look is not None and self._stalls.moved_since(look.head, asked_s)
        if report is None and is_seen:
            logger.info("member silent to this host alone", engine=asked.member)
            return
        reason = "no answer" if report is None else "started again"
        logger.info("member silent", engine=asked.member, reason=reason)
        self._state.suspects.add(asked.member)

    async def _ask(self, asked: _Asked) -> EngineReport | None:
        """Return a member's word of itself; None if it does not give it, asked twice if need be.

        If all members of a group are silent, none is there to be used elsewhere soon. All may be
        slow, so the second answer is waited for longer.
        """
        report = await self._engine_orders.read_report(asked.address, asked.timeout_s)
        look = asked.look
        if report is not None:
            if look is not None:
                look.heard = True
            return report
        if look is not None and look.is_all_silent:
            return await self._engine_orders.read_report(asked.address, SUSPECT_REPORT_TIMEOUT_S)
        if self._late_s():
            # The answer may have come while this host was held up.
            return await self._engine_orders.read_report(asked.address, asked.timeout_s)
        return None
