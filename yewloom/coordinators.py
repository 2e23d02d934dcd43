"""The coordinator of a data centre: holds the lease, writes the placement and sends orders.

Every entry host runs a coordinator, which acts only while it holds the lease. Its actions are safe
even if two coordinators act at once: the placement is changed by conditional update, and orders
carry fences. Orders to engines that do not check fences are sent only until the lease duration
less its safety margin has elapsed.
"""

from collections.abc import Awaitable, Callable

import structlog
import trio
from result import Err, Ok

from yewloom import exchange
from yewloom.drafts import PlacementPlan
from yewloom.endpoints import Endpoints
from yewloom.ids import AttemptId, EntryHostId, HostId
from yewloom.leases import LeaseKeeper, ReadLease, WriteLease, lease_timing
from yewloom.node import COORDINATE_COUNT, COORDINATE_DUTY, Node
from yewloom.observers import EndpointProber
from yewloom.orders import DueOrder, due_orders
from yewloom.placement import FleetState, PlacementPlanner, PlacementTiming
from yewloom.platforms import Platform, StoredObject
from yewloom.schema.records_pb2 import GroupMember, Host, Lease, Placement
from yewloom.share_balancer import ShareBalancer
from yewloom.watchers import PLACEMENT_PREFIX, apply_object, parse_placement
from yewloom.writes import RecordError, WriteConflict, parse_record, write_until_settled

logger = structlog.get_logger(__name__)

LEASE_PREFIX = "leases/"


class Coordinator:
    """Coordinates the groups of one data centre while this host holds the lease."""

    def __init__(
        self,
        node: Node,
        platform: Platform,
        endpoints: Endpoints,
        prober: EndpointProber,
        new_attempt: Callable[[], AttemptId],
    ) -> None:
        self._node = node
        self._platform = platform
        self._endpoints = endpoints
        self._prober = prober
        self._new_attempt = new_attempt
        self._writer = EntryHostId(f"{node.id}/{node.membership.own_member.incarnation}")
        self._lease = LeaseKeeper(self._writer, lease_timing(node.settings.lease))
        self._planner = PlacementPlanner(self._writer, _placement_timing(node))
        self._listed_hosts: dict[HostId, Host] | None = None
        self._version = 0
        self._is_placement_current = False
        self._was_holding = False
        self._next_hosts_read_s = float("-inf")
        self._balancer = ShareBalancer(node, platform, new_attempt)
        # Evaluated at scrape time: after a pause, the lease has expired before any task runs again.
        node.metrics.is_coordinator.set_function(lambda: self.holds_lease)

    @property
    def holds_lease(self) -> bool:
        """Return whether this entry host holds the lease now."""
        return self._lease.holds(trio.current_time())

    async def run(self) -> None:
        """Maintain the lease and coordinate until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            nursery.start_soon(self._coordinate)

    def release(self) -> None:
        """Stop coordinating; the lease record is left to expire."""
        self._lease.release(self._new_attempt(), trio.current_time())

    async def _keep_lease(self) -> None:
        step_s = self._node.settings.lease.renew_interval_ms / 4000
        while True:
            if self._node.is_isolated(trio.current_time()):
                self.release()  # Another host's orders reach the engines.
            elif self._has_duty():
                await self._run_step(self._run_lease_action)
            self._check_holding_change()
            await trio.sleep(step_s)

    async def _run_step(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run one step; a record that cannot be decoded must not terminate the daemon."""
        try:
            await step()
        except RecordError as error:
            logger.error("cannot decode platform record", reason=str(error))

    def _has_duty(self) -> bool:
        """Return whether to read, acquire or renew the lease; a holder does so until it expires."""
        now_s, membership = trio.current_time(), self._node.membership
        is_chosen = membership.has_platform_duty(COORDINATE_DUTY, COORDINATE_COUNT, now_s)
        return not self._node.work.is_stopping and (is_chosen or self.holds_lease)

    async def _run_lease_action(self) -> None:
        key = f"{LEASE_PREFIX}{self._node.data_centre}"
        sent_s = trio.current_time()
        match self._lease.next_action(sent_s, self._new_attempt()):
            case ReadLease():
                match await self._platform.get(key):
                    case Ok(stored):
                        self._apply_read_lease(stored)
            case WriteLease(record, version):
                await self._write_lease(key, record, version, sent_s)

    async def _write_lease(self, key: str, record: Lease, version: int, sent_s: float) -> None:
        written = await write_until_settled(
            self._platform,
            key,
            record,
            version,
            lambda stored: _parse_lease(stored).attempt_id == record.attempt_id,
            self._node.settings.lease.renew_interval_ms / 1000,
        )
        match written:
            case Ok(stored):
                self._lease.on_written(record, stored.version, sent_s, trio.current_time())
            case Err(WriteConflict()):
                self._lease.on_conflict()

    def _apply_read_lease(self, stored: StoredObject | None) -> None:
        record = _parse_lease(stored) if stored is not None else None
        version = stored.version if stored is not None else 0
        self._lease.on_read(record, version, trio.current_time())

    def _check_holding_change(self) -> None:
        holds = self.holds_lease
        if holds != self._was_holding:
            self._was_holding = holds
            self._is_placement_current = False
            logger.info("lease changed", is_holding=holds, term=self._lease.term)

    async def _coordinate(self) -> None:
        interval_s = self._node.settings.groups.probe_interval_ms / 1000
        while True:
            if self.holds_lease:
                await self._run_step(self._coordinate_once)
            await trio.sleep(interval_s)

    async def _coordinate_once(self) -> None:
        """Probe the engines, update the placement if needed, and send the orders that are due."""
        if not self._is_placement_current and not await self._read_placement():
            return
        await self._read_hosts()
        await self._prober.probe_members(self._members_to_probe())
        self._aggregate_closed_groups()
        plan = self._plan()
        if plan.placement is not None and self.holds_lease:
            await self._write_placement(plan)
        if self.holds_lease:
            await self._send_orders()
        if self.holds_lease:
            await self._balancer.run_if_due((self._listed_hosts or {}).values())

    async def _read_placement(self) -> bool:
        """Read the record from the platform, as the copy received from peers may be outdated."""
        match await self._platform.get(self._key):
            case Ok(stored):
                self._version = stored.version if stored is not None else 0
                if stored is not None:
                    apply_object(self._node, stored)
                self._is_placement_current = True
                return True
            case Err(error):
                logger.warning("cannot read placement record", reason=str(error))
        return False

    async def _read_hosts(self) -> None:
        now_s = trio.current_time()
        if now_s < self._next_hosts_read_s:
            return
        self._next_hosts_read_s = now_s + self._node.settings.platform.hosts_interval_ms / 1000
        match await self._platform.hosts(self._node.data_centre):
            case Ok(hosts):
                self._listed_hosts = {HostId(host.id): host for host in hosts}
            case Err(error):
                logger.warning("cannot read host list", reason=str(error))

    def _members_to_probe(self) -> list[GroupMember]:
        """Return the engines that are in no group, and the members of groups that are not open."""
        placement, now_s = self._placement, trio.current_time()
        members = [
            m for g in placement.groups if not self._node.fleet.is_open(g, now_s) for m in g.members
        ]
        assigned = {member.host_id for group in placement.groups for member in group.members}
        listed = (self._listed_hosts or {}).values()
        free = [h for h in listed if not (h.service or h.is_entry_host or h.id in assigned)]
        return members + [GroupMember(host_id=host.id, address=host.address) for host in free]

    def _aggregate_closed_groups(self) -> None:
        """Aggregate this host's own probes of groups that are not open.

        The entry hosts that are assigned to probe such a group may have stopped or be partitioned.
        """
        now_s = trio.current_time()
        for group in self._placement.groups:
            if group.members and not self._node.fleet.is_open(group, now_s):
                self._node.fleet.aggregate_probes(group, now_s)

    def _plan(self) -> PlacementPlan:
        state = FleetState(
            listed=self._listed_hosts,
            hosts=self._node.fleet.hosts,
            groups=self._node.fleet.group_observations,
            policies=self._node.table.policies(),
        )
        return self._planner.plan(self._placement, state, trio.current_time(), self._new_attempt())

    async def _write_placement(self, plan: PlacementPlan) -> None:
        placement = plan.placement
        assert placement is not None
        written = await write_until_settled(
            self._platform,
            self._key,
            placement,
            self._version,
            lambda stored: parse_placement(stored).attempt_id == placement.attempt_id,
            self._node.settings.platform.timeout_ms / 1000,
        )
        match written:
            case Ok(stored):
                self._version = stored.version
                exchange.apply_placements(self._node, [placement])
                self._log_plan(plan)
            case Err(error):
                self._is_placement_current = False
                logger.warning("cannot write placement record", reason=str(error))

    def _log_plan(self, plan: PlacementPlan) -> None:
        for decision in plan.decisions:
            logger.info(
                "placed",
                change=decision.change.value,
                group=decision.group_id,
                generation=decision.generation,
                hosts=decision.hosts,
                reason=decision.reason,
            )

    async def _send_orders(self) -> None:
        due = due_orders(
            self._placement,
            self._node.fleet.group_observations,
            self._node.fleet.hosts,
            self._listed_hosts or {},
            self._node.settings.groups.max_loading,
        )
        async with trio.open_nursery() as nursery:
            for due_order in due:
                nursery.start_soon(self._send_order, due_order)

    async def _send_order(self, due_order: DueOrder) -> None:
        """Send one order; an engine that does not check fences gets it only under the lease."""
        if not due_order.checks_fences and not self.holds_lease:
            return
        timeout_s = self._node.settings.lease.margin_ms / 1000
        result = await self._endpoints.send_order(due_order.address, due_order.order, timeout_s)
        logger.info(
            "ordered",
            host=due_order.host_id,
            group=due_order.order.group_id,
            generation=due_order.order.generation,
            rank=due_order.order.rank,
            reason=result.err() or "accepted",
        )

    @property
    def _key(self) -> str:
        return f"{PLACEMENT_PREFIX}{self._node.data_centre}"

    @property
    def _placement(self) -> Placement:
        return self._node.fleet.placement(self._node.data_centre)


def _parse_lease(stored: StoredObject) -> Lease:
    return parse_record(stored, Lease())


def _placement_timing(node: Node) -> PlacementTiming:
    groups = node.settings.groups
    return PlacementTiming(
        groups.freshness_ms / 1000, groups.load_timeout_ms / 1000, groups.settle_ms / 1000
    )
