"""The look at groups that stand still: which of their members answer no more."""

from collections.abc import Iterable

import structlog
import trio

from yewloom.directory import EndpointDirectory
from yewloom.ids import HostId
from yewloom.plan_state import PlanState, key_of
from yewloom.replica_orders import EngineOrders
from yewloom.schema.records_pb2 import Group
from yewloom.stalls import StallDetector
from yewloom.states import GroupIntent

logger = structlog.get_logger(__name__)

PROBE_AFTER_STALL_S = 2.0
"""Least pause between two looks at the members of a group that stands still."""


class StalledGroups:
    """Asks the members of groups that stand still, and suspects those that do not answer."""

    def __init__(
        self,
        directory: EndpointDirectory,
        stalls: StallDetector,
        engine_orders: EngineOrders,
        state: PlanState,
    ) -> None:
        self._directory = directory
        self._stalls = stalls
        self._engine_orders = engine_orders
        self._state = state
        self._looked_s: dict[HostId, float] = {}

    async def look(self, groups: Iterable[Group]) -> None:
        """Look at the suspects again, then at the recorded groups that stand still."""
        now_s = trio.current_time()
        await self._look_at_suspects(now_s)
        stalled = self._stalls.suspected(now_s)
        for group in groups:
            if group.intent != GroupIntent.ACTIVE.value or not group.members:
                continue
            head = HostId(group.members[0].host_id)
            if head in stalled and self._may_look(head, now_s):
                await self._look_at_members(group)

    async def _look_at_suspects(self, now_s: float) -> None:
        """Clear suspects that answer again or are no longer listed."""
        for suspect in list(self._state.suspects):
            endpoint = self._directory.by_id.get(suspect)
            if endpoint is None:
                self._state.suspects.discard(suspect)
            elif self._may_look(suspect, now_s):
                await self._probe(suspect, endpoint.address)

    def _may_look(self, host: HostId, now_s: float) -> bool:
        """Tell whether a look is due, and remember it as taken if it is."""
        if now_s - self._looked_s.get(host, float("-inf")) < PROBE_AFTER_STALL_S:
            return False
        self._looked_s[host] = now_s
        return True

    async def _look_at_members(self, group: Group) -> None:
        logger.info("group stands still", group=str(key_of(group)))
        async with trio.open_nursery() as nursery:
            for member in group.members:
                nursery.start_soon(self._probe, HostId(member.host_id), member.address)

    async def _probe(self, member: HostId, address: str) -> None:
        if await self._engine_orders.read_sequence(address) is None:
            logger.info("member silent", engine=member)
            self._state.suspects.add(member)
        else:
            self._state.suspects.discard(member)
