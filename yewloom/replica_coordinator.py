"""Manages the replicas of one data centre while this entry host holds its coordinator lease.

Each step plans from the listed endpoints and the recorded placement, writes the next record
conditionally on its version, and only then sends the resulting orders. After a pause or a partition
the coordinator's write fails if another host wrote in between, and it reads the record again before
it plans.
"""

from collections import Counter
from collections.abc import Callable

import structlog
import trio

from yewloom.background import BackgroundTasks
from yewloom.configuration import ConfigurationState, EngineProfile, Service
from yewloom.coordinator_records import LeaseRecord, PlacementRecord
from yewloom.directory import EndpointDirectory
from yewloom.ended_groups import EndedGroups
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import DataCentreId, HostId, ModelName
from yewloom.model_need import DemandMeter
from yewloom.order_delivery import OrderDelivery
from yewloom.plan_state import PlannedOrder, PlanState, ReplicaPlan, group_key
from yewloom.platform_parts import PlatformParts
from yewloom.replica_plan import ReplicaPlanner
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.schema.records_pb2 import Placement
from yewloom.selection import Selector
from yewloom.stalled_groups import StalledGroups
from yewloom.stalls import StallDetector
from yewloom.states import GroupIntent
from yewloom.weight_loads import compute_load_limit

logger = structlog.get_logger(__name__)

PLAN_INTERVAL_S = 0.2
"""Longest pause between two plans, well below the time that a group takes to form."""

MIN_PLAN_PAUSE_S = 0.05
"""Shortest pause between two plans; several answers and changes arrive in this time."""


class ReplicaCoordinator:
    """Forms and opens the replicas of one data centre, and replaces lost ones."""

    def __init__(
        self,
        settings: EntrySettings,
        parts: PlatformParts,
        configuration_state: ConfigurationState,
        directory: EndpointDirectory,
        stalls: StallDetector,
        selector: Selector,
        metrics: ForwardMetrics,
        is_before_traffic: Callable[[], bool],
        may_coordinate: Callable[[], bool],
        ended: EndedGroups,
        loop_delay_s: Callable[[], float] = lambda: 0.0,
        is_isolated: Callable[[], bool] = lambda: False,
        has_lost_all: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_isolated = is_isolated
        self._ended = ended
        self._data_centre = DataCentreId(settings.host.data_centre)
        self._configuration_state = configuration_state
        self._directory = directory
        self._selector = selector
        self._is_before_traffic = is_before_traffic
        self._may_coordinate = may_coordinate
        self._state = PlanState()
        self._demand = DemandMeter()
        self._lease = LeaseRecord(settings, parts.records_store, parts.stale_store)
        self._placement = PlacementRecord(self._data_centre, parts.records_store)
        self._change = trio.Event()
        self._delivery = OrderDelivery(parts.orders, self._state, metrics, self.plan_soon)
        self._stalled_groups = StalledGroups(
            directory,
            stalls,
            parts.orders,
            self._state,
            loop_delay_s,
            self.plan_soon,
            has_lost_all,
        )
        self._holds_lease = False
        self._data_centres = 1
        self.is_stopping = False

    @property
    def holds_lease(self) -> bool:
        """Return whether this host is the coordinator now."""
        return self._holds_lease

    async def run(self) -> None:
        """Coordinate until cancelled."""
        async with trio.open_nursery() as nursery:
            tasks = BackgroundTasks(nursery)
            while True:
                self._change = trio.Event()
                await self._coordinate(tasks)
                await trio.sleep(MIN_PLAN_PAUSE_S)
                with trio.move_on_after(PLAN_INTERVAL_S - MIN_PLAN_PAUSE_S):
                    await self._change.wait()

    def plan_soon(self) -> None:
        """Plan without waiting for the interval, since something that a plan depends on changed."""
        if self._holds_lease:
            self._change.set()

    async def _coordinate(self, tasks: BackgroundTasks) -> None:
        """Acquire or renew the lease, and plan once if it is held."""
        if self.is_stopping or self._is_isolated():
            # Another host takes over; this one can't tell lost engines from unreachable ones.
            self._set_holding(False, tasks)
            await self._lease.release()
        elif self._holds_lease or self._may_coordinate():
            await self._lease.run_due_action()
            # The host may have begun to stop while the store call was in progress.
            self._set_holding(self._lease.holds() and not self.is_stopping, tasks)
            if self._holds_lease:
                await self._step(tasks)

    def _set_holding(self, holds: bool, tasks: BackgroundTasks) -> None:
        """Start or stop coordinating, and discard what another coordinator may have changed."""
        if holds == self._holds_lease:
            return
        tasks.cancel_all()
        logger.info("coordinator role changed", holds=holds, term=self._lease.term)
        self._holds_lease = holds
        self._placement.invalidate()
        self._state.clear_observations()
        self._delivery.clear_order_counts()

    async def _step(self, tasks: BackgroundTasks) -> None:
        """Plan once and execute the plan, for the first engine service."""
        configuration = self._configuration_state.current
        if configuration is None or not self._directory.is_loaded:
            return
        services = configuration.engine_services()
        if not services:
            return
        self._demand.sample(self._running_by_model(), trio.current_time())
        if self._placement.current is not None:
            self._stalled_groups.start_probes(self._placement.current.groups, tasks)
        await self._step_service(services[0], tasks)

    async def _step_service(self, service: Service, tasks: BackgroundTasks) -> None:
        if self._placement.current is None and not await self._placement.read():
            return
        record = self._placement.current
        assert record is not None and service.engine is not None
        self._count_data_centres(service)
        planner = self._make_planner(service, service.engine)
        plan = planner.plan(record, trio.current_time())
        _log_ended(plan)
        orders = plan.orders
        if plan.record is not None:
            if not await self._write_placement(plan.record):
                return
            orders = [*orders, *self._orders_to_form(planner, plan.record, record)]
        self._delivery.send_all(orders, tasks)

    def _make_planner(self, service: Service, engine: EngineProfile) -> ReplicaPlanner:
        return ReplicaPlanner(
            self._data_centre,
            service.name,
            engine,
            self._directory,
            self._state,
            compute_load_limit(self._is_before_traffic(), engine.loads_per_s, self._data_centres),
            self._demand.demand(engine),
        )

    def _count_data_centres(self, service: Service) -> None:
        """Update the number of data centres that have engines.

        It never decreases, as a data centre that is not visible continues to load weights.
        """
        engines = self._directory.endpoints_of(service.name)
        listed = {self._data_centre, *(engine.data_centre for engine in engines)}
        self._data_centres = max(self._data_centres, len(listed))

    def _running_by_model(self) -> Counter[ModelName]:
        """Return the number of requests of each model that are running at the groups' leaders."""
        running: Counter[ModelName] = Counter()
        for endpoint_id, count in self._selector.running_everywhere().items():
            endpoint = self._directory.by_id.get(endpoint_id)
            for model in endpoint.models if endpoint is not None else ():
                running[model] += count
        return running

    async def _write_placement(self, record: Placement) -> bool:
        if not await self._placement.write(record):
            return False
        groups = [f"{group.id} {group.model} {group.intent}" for group in record.groups]
        self._record_ended(record)
        logger.info(
            "placement written",
            generation=record.generation,
            groups=groups,
            running=self._running_by_model(),
        )
        return True

    def _record_ended(self, record: Placement) -> None:
        """Record the groups that are given up, so that no entry host sends them requests."""
        now_s = trio.current_time()
        for group in record.groups:
            if group.intent != GroupIntent.ACTIVE.value:
                self._ended.record(HostId(group.members[0].host_id), group_key(group), now_s)

    def _orders_to_form(
        self, planner: ReplicaPlanner, written: Placement, before: Placement
    ) -> list[PlannedOrder]:
        """Return the orders that form the groups that are new in a written record.

        The orders are recorded as sent.
        """
        known = {group.id for group in before.groups}
        now_s = trio.current_time()
        orders: list[PlannedOrder] = []
        for group in written.groups:
            if group.id not in known:
                orders += planner.join_orders(group)
        for order in orders:
            self._state.mark_sent_if_due(order, now_s)
        return orders


def _log_ended(plan: ReplicaPlan) -> None:
    """Log why groups are considered ended, as their hosts may be used again for that reason."""
    for ended in plan.ended:
        logger.info(
            "group ended",
            group=str(ended.key),
            evidence=ended.evidence.value,
        )
