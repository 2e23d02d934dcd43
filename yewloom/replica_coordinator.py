"""Runs the replicas of one data centre while this entry host holds its lease.

Each step plans from the listed endpoints and the recorded placement, writes the next record under
its version, and only then gives the orders that follow. A coordinator that was paused or cut off
reads the record anew before it plans: its own write fails if anyone else wrote.
"""

import uuid
from collections import Counter
from collections.abc import Callable

import structlog
import trio
from result import Err, Ok

from yewloom.configuration import ConfigurationBook, EngineProfile, Service
from yewloom.directory import EndpointDirectory
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import AttemptId, DataCentreId, EntryHostId, HostId, ModelName
from yewloom.leases import LeaseKeeper, LeaseTiming, ReadLease, WriteLease
from yewloom.model_need import DemandMeter
from yewloom.plan_state import PlannedOrder, PlanState, key_of, order_name
from yewloom.platforms import Platform, StoredObject
from yewloom.replica_orders import (
    EngineOrders,
    JoinGroup,
    LeaveGroup,
    OrderAnswer,
    StageModel,
)
from yewloom.replica_plan import ReplicaPlanner
from yewloom.replica_supply import LOADS_WINDOW_S, SupplyBounds
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.schema.records_pb2 import Lease, Placement
from yewloom.selection import Selector
from yewloom.stalls import StallDetector
from yewloom.states import GroupIntent
from yewloom.writes import RecordError, parse_record, write_settled

logger = structlog.get_logger(__name__)

STEP_S = 0.2
"""Pause between two plans: a fifth of the shortest warm-up of the trial deployments."""

WRITE_TIMEOUT_S = 2.0
"""Longest time for which a write of unknown effect is sent again before the record is read."""

LOADS_SHARE = 0.3
"""Part of the weight store's rate that one data centre uses; the trial deployments have three."""

PROBE_AFTER_STALL_S = 2.0
"""Least pause between two looks at the members of a group that stands still."""


class ReplicaCoordinator:
    """Keeps the replicas of one data centre formed and open."""

    def __init__(
        self,
        settings: EntrySettings,
        book: ConfigurationBook,
        directory: EndpointDirectory,
        stalls: StallDetector,
        selector: Selector,
        platform: Platform,
        stale_platform: Platform,
        orders: EngineOrders,
        metrics: ForwardMetrics,
        is_before_traffic: Callable[[], bool],
    ) -> None:
        self._data_centre = DataCentreId(settings.host.data_centre)
        self._book = book
        self._directory = directory
        self._stalls = stalls
        self._selector = selector
        self._platform = platform
        self._stale_platform = stale_platform
        self._engine_orders = orders
        self._metrics = metrics
        self._is_before_traffic = is_before_traffic
        lease = settings.lease
        timing = LeaseTiming(
            lease.duration_ms / 1000, lease.renew_interval_ms / 1000, lease.margin_ms / 1000
        )
        self._lease = LeaseKeeper(EntryHostId(settings.host.id), timing)
        self._lease_key = f"yewloom-leases/{self._data_centre}"
        self._placement_key = f"yewloom-placements/{self._data_centre}"
        self._state = PlanState()
        self._placement: tuple[Placement, int] | None = None
        self._demand = DemandMeter()
        self._sequences: dict[HostId, int] = {}
        self._looked_s: dict[HostId, float] = {}
        self._was_holding = False
        self.is_leaving = False

    @property
    def is_holding(self) -> bool:
        """Tell whether this host coordinates now."""
        return self._was_holding

    async def run(self) -> None:
        """Coordinate until cancelled."""
        while True:
            if not self.is_leaving:
                await self._keep_lease()
                holds = self._lease.holds(trio.current_time())
                if holds != self._was_holding:
                    logger.info("coordinator changed", holds=holds, term=self._lease.term)
                    self._placement, self._was_holding = None, holds
                    self._sequences.clear()
                if holds:
                    await self._step()
            await trio.sleep(STEP_S)

    async def _keep_lease(self) -> None:
        now_s = trio.current_time()
        match self._lease.next_action(now_s, AttemptId(uuid.uuid4().hex)):
            case ReadLease():
                await self._read_lease()
            case WriteLease(lease=lease, expected_version=version):
                await self._write_lease(lease, version)
            case None:
                return

    async def _read_lease(self) -> None:
        match await self._stale_platform.get(self._lease_key):
            case Ok(stored):
                self._take_lease(stored)
            case Err(error):
                logger.info("lease not read", reason=str(error))

    def _take_lease(self, stored: StoredObject | None) -> None:
        now_s = trio.current_time()
        try:
            lease = parse_record(stored, Lease()) if stored is not None else None
        except RecordError as error:
            logger.error("record unreadable", reason=str(error))
            lease = Lease()
        self._lease.on_read(lease, stored.version if stored is not None else 0, now_s)

    async def _write_lease(self, lease: Lease, version: int) -> None:
        sent_s = trio.current_time()
        written = await write_settled(
            self._platform,
            self._lease_key,
            lease,
            version,
            lambda stored: parse_record(stored, Lease()).attempt_id == lease.attempt_id,
            WRITE_TIMEOUT_S,
        )
        match written:
            case Ok(stored):
                self._lease.on_written(lease, stored.version, sent_s, trio.current_time())
            case Err(error):
                logger.info("lease not written", reason=str(error))
                self._lease.on_conflict()

    async def _step(self) -> None:
        """Plan once and carry the plan out, for each service of engines."""
        configuration = self._book.current
        if configuration is None or not self._directory.is_known:
            return
        services = configuration.engine_services()
        if services:
            self._demand.sample(self._running_by_model(), trio.current_time())
            await self._look_at_stalled_groups()
            await self._step_service(services[0])

    async def _step_service(self, service: Service) -> None:
        if self._placement is None and not await self._read_placement():
            return
        assert self._placement is not None and service.engine is not None
        record, version = self._placement
        planner = ReplicaPlanner(
            self._data_centre,
            service.name,
            service.engine,
            self._directory,
            self._state,
            self._supply_bounds(service.engine),
            self._demand.demand(service.engine),
        )
        plan = planner.plan(record, trio.current_time())
        orders = plan.orders
        if plan.record is not None:
            if not await self._write_placement(plan.record, version):
                return
            new = [group for group in plan.record.groups if self._is_new(record, group.id)]
            now_s = trio.current_time()
            for order in (order for group in new for order in planner.join_orders(group)):
                self._state.may_order(order, now_s)
                orders.append(order)
        await self._give(orders)

    def _running_by_model(self) -> Counter[ModelName]:
        """Return how many requests of each model run at the groups' leaders."""
        running: Counter[ModelName] = Counter()
        for endpoint_id, count in self._selector.running_everywhere().items():
            endpoint = self._directory.by_id.get(endpoint_id)
            for model in endpoint.models if endpoint is not None else ():
                running[model] += count
        return running

    def _supply_bounds(self, engine: EngineProfile) -> SupplyBounds:
        max_loads = max(1, int(engine.loads_per_s * LOADS_WINDOW_S * LOADS_SHARE))
        return SupplyBounds(self._is_before_traffic(), max_loads)

    @staticmethod
    def _is_new(record: Placement, group_id: str) -> bool:
        return all(group.id != group_id for group in record.groups)

    async def _read_placement(self) -> bool:
        match await self._platform.get(self._placement_key):
            case Ok(stored):
                if stored is None:
                    self._placement = Placement(data_centre=self._data_centre), 0
                    return True
                try:
                    self._placement = parse_record(stored, Placement()), stored.version
                except RecordError as error:
                    logger.error("record unreadable", reason=str(error))
                    return False
                return True
            case Err(error):
                logger.info("placement not read", reason=str(error))
        return False

    async def _write_placement(self, record: Placement, version: int) -> bool:
        attempt = uuid.uuid4().hex
        record.attempt_id = attempt
        written = await write_settled(
            self._platform,
            self._placement_key,
            record,
            version,
            lambda stored: parse_record(stored, Placement()).attempt_id == attempt,
            WRITE_TIMEOUT_S,
        )
        match written:
            case Ok(stored):
                self._placement = record, stored.version
                groups = [f"{g.id} {g.model} {g.intent}" for g in record.groups]
                logger.info(
                    "placement written",
                    generation=record.generation,
                    groups=groups,
                    running=self._running_by_model(),
                )
                return True
            case Err(error):
                logger.info("placement not written", reason=str(error))
                self._placement = None
        return False

    async def _give(self, orders: list[PlannedOrder]) -> None:
        async with trio.open_nursery() as nursery:
            for order in orders:
                nursery.start_soon(self._give_one, order)

    async def _give_one(self, planned: PlannedOrder) -> None:
        sequence = await self._sequence_for(planned)
        answer = await self._engine_orders.send(
            planned.engine, planned.address, planned.order, sequence
        )
        self._note_sequence(planned, sequence, answer)
        kind = type(planned.order).__name__
        self._metrics.on_order(kind, answer.value)
        logger.info("order", engine=planned.engine, order=str(planned.order), answer=answer.value)
        now_s = trio.current_time()
        if answer is OrderAnswer.UNREACHABLE or answer is OrderAnswer.UNKNOWN:
            self._state.unreachable_since_s.setdefault(planned.engine, now_s)
        else:
            self._state.unreachable_since_s.pop(planned.engine, None)
        if isinstance(planned.order, LeaveGroup) and answer in (
            OrderAnswer.BEGUN,
            OrderAnswer.HOLDS,
            OrderAnswer.OTHER_ENGINE,
        ):
            self._state.left.add(planned.order.key)

    async def _sequence_for(self, planned: PlannedOrder) -> int | None:
        """Return the count of orders that the engine must have taken for an order to hold.

        Orders that name a group are safe without: they affect no other group.
        """
        if not isinstance(planned.order, JoinGroup | StageModel):
            return None
        known = self._sequences.get(planned.engine)
        return (
            known if known is not None else await self._engine_orders.read_sequence(planned.address)
        )

    def _note_sequence(
        self, planned: PlannedOrder, sequence: int | None, answer: OrderAnswer
    ) -> None:
        known = self._sequences.pop(planned.engine, sequence)
        if answer is OrderAnswer.BEGUN and known is not None:
            self._sequences[planned.engine] = known + 1
        elif answer is OrderAnswer.HOLDS and known is not None:
            self._sequences[planned.engine] = known
        elif answer is OrderAnswer.OUT_OF_DATE:
            # The next plan gives the order again, with the sequence as it is then.
            self._state.ordered_s.pop(order_name(planned), None)
            self._state.staging.pop(planned.engine, None)

    async def _look_at_stalled_groups(self) -> None:
        """Ask the members of groups that stand still, and suspect those that do not answer."""
        if self._placement is None:
            return
        now_s = trio.current_time()
        await self._look_at_suspects(now_s)
        stalled = self._stalls.suspected(now_s)
        for group in self._placement[0].groups:
            if group.intent != GroupIntent.ACTIVE.value or not group.members:
                continue
            head = HostId(group.members[0].host_id)
            looked_s = self._looked_s.get(head, float("-inf"))
            if head in stalled and now_s - looked_s >= PROBE_AFTER_STALL_S:
                self._looked_s[head] = now_s
                logger.info("group stands still", group=str(key_of(group)))
                async with trio.open_nursery() as nursery:
                    for member in group.members:
                        nursery.start_soon(self._probe, HostId(member.host_id), member.address)

    async def _look_at_suspects(self, now_s: float) -> None:
        """Clear suspects that answer again or are no longer listed."""
        for suspect in list(self._state.suspects):
            endpoint = self._directory.by_id.get(suspect)
            if endpoint is None:
                self._state.suspects.discard(suspect)
            elif now_s - self._looked_s.get(suspect, float("-inf")) >= PROBE_AFTER_STALL_S:
                self._looked_s[suspect] = now_s
                await self._probe(suspect, endpoint.address)

    async def _probe(self, member: HostId, address: str) -> None:
        if await self._engine_orders.read_sequence(address) is None:
            logger.info("member silent", engine=member)
            self._state.suspects.add(member)
        else:
            self._state.suspects.discard(member)
