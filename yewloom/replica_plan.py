"""Plan of a data centre's replicas: which groups to form, open, close and abandon.

Planning does no I/O: it reads the listed endpoints and the recorded groups, and returns the next
record and the orders to send. Orders that form a group are derived only from a record that has been
written.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from yewloom.configuration import EngineProfile
from yewloom.directory import EndpointDirectory, MemberState
from yewloom.ids import DataCentreId, ModelName, ServiceName
from yewloom.model_need import ModelNeed
from yewloom.plan_state import PlannedOrder, PlanState, ReplicaPlan, group_key
from yewloom.replica_lifecycle import GroupLifecycle
from yewloom.replica_supply import ReplicaSupply
from yewloom.schema.records_pb2 import Group, Placement
from yewloom.states import GroupIntent
from yewloom.weight_loads import LoadLimit


class ReplicaPlanner:
    """Plans the replicas of one engine service in one data centre."""

    def __init__(
        self,
        data_centre: DataCentreId,
        service: ServiceName,
        profile: EngineProfile,
        directory: EndpointDirectory,
        state: PlanState,
        load_limit: LoadLimit,
        demand: Mapping[ModelName, float],
    ) -> None:
        self._data_centre = data_centre
        self._service = service
        self._profile = profile
        self._directory = directory
        self._demand = demand
        self._state = state
        self._lifecycle = GroupLifecycle(profile, directory, state)
        self._supply = ReplicaSupply(data_centre, service, profile, directory, state, load_limit)

    def plan(self, record: Placement, now_s: float) -> ReplicaPlan:
        """Return the plan that follows the given record; a planner is used for one plan only."""
        for endpoint in self._directory.endpoints_of(self._service):
            self._state.record_process(endpoint.id, endpoint.started_unix_ms)
        draft = Placement()
        draft.CopyFrom(record)
        for group in draft.groups:
            self._lifecycle.record_joined(group)
        kept = [group for group in draft.groups if not self._lifecycle.has_ended(group, now_s)]
        for group in kept:
            self._lifecycle.reconcile(group, now_s)
        generation = self._next_generation(record)
        formed = self._supply.form(kept, self._need(kept), generation, now_s)
        groups = [*kept, *formed]
        need = self._need(groups)
        for group in self._supply.load_ahead(groups, need, now_s):
            self._lifecycle.retire(group, group_key(group), GroupIntent.DRAINING)
        orders = [*self._lifecycle.orders, *self._supply.orders]
        if groups == list(record.groups):
            return ReplicaPlan(None, orders, self._lifecycle.ended)
        result = Placement(data_centre=self._data_centre, generation=generation, groups=groups)
        return ReplicaPlan(result, orders, self._lifecycle.ended)

    def join_orders(self, group: Group) -> list[PlannedOrder]:
        """Return the orders that form a recorded group."""
        return self._lifecycle.join_orders(group)

    def _next_generation(self, record: Placement) -> int:
        """Return the generation of the next record.

        It is later than those of listed groups too, which may be in a record that the store lost.
        """
        return max(record.generation, self._directory.latest_generation(self._data_centre)) + 1

    def _need(self, groups: Sequence[Group]) -> ModelNeed:
        """Return the need for replicas, counting local ones as recorded and others as listed."""
        active = GroupIntent.ACTIVE.value
        replicas = Counter(ModelName(g.model) for g in groups if g.intent == active)
        for leader in self._directory.leaders_of(self._service):
            member = leader.membership
            if leader.data_centre == self._data_centre or member is None:
                continue
            if member.state is not MemberState.BROKEN:
                replicas.update(leader.models)
        return ModelNeed(self._profile, replicas, self._demand)
