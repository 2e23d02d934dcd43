"""Plan of a data centre's replicas: which groups to form, open, close and give up.

The plan is pure: it reads the endpoints as listed and the groups as recorded, and returns the
next record and the orders that follow from a record that was written. A group is dissolved before
its hosts are used again, and it counts as dissolved only once its leader is known to have left.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory, GroupKey, MemberState
from yewloom.ids import DataCentreId, GroupId, HostId, ModelName, ServiceName
from yewloom.replica_orders import (
    CloseGroup,
    EngineOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from yewloom.schema.records_pb2 import Group, GroupMember, Placement
from yewloom.states import GroupIntent

FORM_SLACK_S = 3.0
"""Time beyond its warm-up after which a group that is not ready is formed anew."""

ORDER_REPEAT_S = 1.5
"""Pause before an order whose effect has not shown is given again: a listing shows an effect
within some hundred milliseconds."""

CLOSE_LIMIT_S = 10.0
"""Longest time that a closing group is left to finish; engines hold a leaving member no longer."""

GATHER_S = 0.9
"""Time without a new host after which the first groups are formed: hosts appear within 3 s of the
start, some hundred milliseconds apart, and loads cost nothing until the first request."""

EVEN_HOSTS = 3.0
"""Hosts for a share of one by which models must differ to count as uneven: half a group of the
trial deployments."""

LOADS_WINDOW_S = 5.0
"""Window over which loads from the weight store are counted, as the platform counts them."""

STAGE_LIMIT_FACTOR = 3.0
"""Loading that takes this many times its usual time is begun anew."""

UNREACHABLE_IS_GONE_S = 3.0
"""Time for which the leader of a lost group must be both unlisted and unreachable before it counts
as ended: entries lapse after three heartbeats of 1.2 s."""


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order to one engine."""

    engine: HostId
    address: str
    order: EngineOrder


@dataclass
class PlanState:
    """What the coordinator remembers between two plans; all of it may be lost at any time."""

    first_seen_s: dict[GroupKey, float] = field(default_factory=dict)
    ordered_s: dict[tuple[HostId, str], float] = field(default_factory=dict)
    left: set[GroupKey] = field(default_factory=set)
    unreachable_since_s: dict[HostId, float] = field(default_factory=dict)
    staging: dict[HostId, tuple[ModelName, float]] = field(default_factory=dict)
    suspects: set[HostId] = field(default_factory=set)
    load_times_s: list[float] = field(default_factory=list)
    gathered: set[HostId] = field(default_factory=set)
    gathered_s: float = 0.0


@dataclass
class ReplicaPlan:
    """The next record, None if nothing changes in it, and the orders to give."""

    record: Placement | None
    orders: list[PlannedOrder]


def key_of(group: Group) -> GroupKey:
    """Return the name of one formation of a recorded group."""
    return GroupKey(GroupId(group.id), group.generation)


def order_key(engine: HostId, order: EngineOrder) -> tuple[HostId, str]:
    """Return the name under which an order is remembered as given."""
    return engine, f"{type(order).__name__} {getattr(order, 'key', '')}"


class ReplicaPlanner:
    """Plans for one service of engines in one data centre."""

    def __init__(
        self,
        data_centre: DataCentreId,
        service: ServiceName,
        profile: EngineProfile,
        directory: EndpointDirectory,
        state: PlanState,
        loads_are_free: bool,
        max_loads: int,
    ) -> None:
        self._data_centre = data_centre
        self._service = service
        self._profile = profile
        self._directory = directory
        self._state = state
        self._loads_are_free = loads_are_free
        self._max_loads = max_loads
        self._orders: list[PlannedOrder] = []

    def plan(self, record: Placement, now_s: float) -> ReplicaPlan:
        """Return what should follow the record as it stands."""
        draft = Placement()
        draft.CopyFrom(record)
        self._orders = []
        kept = [group for group in draft.groups if not self._is_over(group, now_s)]
        changed = len(kept) != len(draft.groups)
        for group in kept:
            changed |= self._tend(group, now_s)
        generation = record.generation + 1
        formed = self._form(kept, generation, now_s)
        self._stage(kept + formed, now_s)
        if not changed and not formed:
            return ReplicaPlan(None, self._orders)
        result = Placement(
            data_centre=self._data_centre, generation=generation, groups=[*kept, *formed]
        )
        return ReplicaPlan(result, self._orders)

    def join_orders(self, group: Group) -> list[PlannedOrder]:
        """Return the orders that form a group which the record holds."""
        members = [HostId(member.host_id) for member in group.members]
        order = JoinGroup(key_of(group), ModelName(group.model), members)
        return [
            PlannedOrder(endpoint.id, endpoint.address, order)
            for member in members
            if (endpoint := self._directory.by_id.get(member)) is not None
        ]

    # Groups that stand in the record.

    def _is_over(self, group: Group, now_s: float) -> bool:
        """Tell whether a group that was given up is dissolved, so that its hosts are free."""
        if group.intent == GroupIntent.ACTIVE.value:
            return False
        if group.intent == GroupIntent.DRAINING.value and not self._is_drained(group, now_s):
            return False
        key = key_of(group)
        if key in self._state.left:
            return True
        head = HostId(group.members[0].host_id)
        listed = self._directory.by_id.get(head)
        if listed is not None and (listed.membership is None or listed.membership.key != key):
            return True
        since_s = self._state.unreachable_since_s.get(head)
        if listed is None and since_s is not None and now_s - since_s >= UNREACHABLE_IS_GONE_S:
            return True
        self._order_once(head, group.members[0].address, LeaveGroup(key), now_s)
        return False

    def _is_drained(self, group: Group, now_s: float) -> bool:
        """Tell whether a closing group has finished its requests."""
        key = key_of(group)
        head = HostId(group.members[0].host_id)
        listed = self._directory.by_id.get(head)
        if listed is None or listed.membership is None or listed.membership.key != key:
            return True
        if listed.membership.state in (MemberState.READY, MemberState.BROKEN):
            return True
        began_s = self._state.first_seen_s.setdefault(key, now_s)
        if now_s - began_s > CLOSE_LIMIT_S:
            return True
        if listed.membership.state is MemberState.OPEN:
            self._order_once(head, listed.address, CloseGroup(key), now_s)
        return False

    def _tend(self, group: Group, now_s: float) -> bool:
        """Open a group that is ready, and give up one that lost a member; tell of a change."""
        if group.intent != GroupIntent.ACTIVE.value:
            return False
        key = key_of(group)
        members = [self._directory.by_id.get(HostId(m.host_id)) for m in group.members]
        began_s = self._state.first_seen_s.setdefault(key, now_s)
        if any(member is None or self._has_failed(member, key) for member in members):
            return self._retire(group, key, GroupIntent.REPLACING)
        present = [member for member in members if member is not None]
        in_group = [m for m in present if m.membership is not None and m.membership.key == key]
        if len(in_group) < len(members):
            for order in self.join_orders(group):
                if order.engine not in {member.id for member in in_group}:
                    self._order_once(order.engine, order.address, order.order, now_s)
            return self._tend_forming(group, key, now_s - began_s)
        states = {m.membership.state for m in in_group if m.membership is not None}
        if MemberState.OPEN in states:
            if any(member.is_leaving for member in present):
                return self._retire(group, key, GroupIntent.DRAINING)
            return False
        if states == {MemberState.READY}:
            self._order_once(present[0].id, present[0].address, OpenGroup(key), now_s)
            return False
        return self._tend_forming(group, key, now_s - began_s)

    def _has_failed(self, member: Endpoint, key: GroupKey) -> bool:
        if member.id in self._state.suspects:
            return True
        if member.membership is None or member.membership.key != key:
            return False
        return member.membership.state is MemberState.BROKEN

    def _tend_forming(self, group: Group, key: GroupKey, age_s: float) -> bool:
        """Give up a group that takes too long to form."""
        model = self._profile.models.get(ModelName(group.model))
        usual_s = (model.load_s if model is not None else 0.0) + FORM_SLACK_S
        members = [HostId(member.host_id) for member in group.members]
        if all(self._has_staged(member, group.model) for member in members):
            usual_s = (model.warm_up_s if model is not None else 0.0) + FORM_SLACK_S
        if age_s <= usual_s:
            return False
        return self._retire(group, key, GroupIntent.REPLACING)

    def _has_staged(self, member: HostId, model: str) -> bool:
        listed = self._directory.by_id.get(member)
        return listed is not None and ModelName(model) in listed.staged

    def _retire(self, group: Group, key: GroupKey, intent: GroupIntent) -> bool:
        group.intent = intent.value
        self._state.first_seen_s.pop(key, None)
        return True

    # Groups that are formed anew.

    def _form(self, kept: Iterable[Group], generation: int, now_s: float) -> list[Group]:
        """Form groups out of free hosts, the model that is furthest behind its share first."""
        formed: list[Group] = []
        free = self._free_by_domain(kept)
        if self._is_gathering(free, now_s):
            return formed
        hosts = self._hosts_by_model(kept)
        while (choice := self._next_group(free, hosts)) is not None:
            model, chosen = choice
            name = f"{self._data_centre}-{generation}-{len(formed)}"
            formed.append(
                Group(
                    id=name,
                    model=model.name,
                    generation=generation,
                    intent=GroupIntent.ACTIVE.value,
                    members=[GroupMember(host_id=e.id, address=e.address) for e in chosen],
                )
            )
            hosts[model.name] += model.group_size
            for endpoint in chosen:
                free[endpoint.fabric_domain].remove(endpoint)
        return formed

    def _is_gathering(self, free: Mapping[str, list[Endpoint]], now_s: float) -> bool:
        """Tell whether hosts still appear before the first request, so that domains fill up."""
        ids = {endpoint.id for endpoints in free.values() for endpoint in endpoints}
        if not ids <= self._state.gathered:
            self._state.gathered |= ids
            self._state.gathered_s = now_s
        return self._loads_are_free and now_s - self._state.gathered_s < GATHER_S

    def _next_group(
        self, free: Mapping[str, list[Endpoint]], hosts: Mapping[ModelName, int]
    ) -> tuple[ReplicaModel, list[Endpoint]] | None:
        for model in self._by_need(hosts):
            for domain in sorted(free, key=lambda name: len(free[name])):
                ready = [e for e in free[domain] if self._can_join(e, model)]
                if len(ready) >= model.group_size:
                    ready.sort(key=lambda e: (model.name not in e.models, e.id))
                    return model, ready[: model.group_size]
        return None

    def _can_join(self, endpoint: Endpoint, model: ReplicaModel) -> bool:
        return self._loads_are_free or model.name in endpoint.staged

    def _by_need(self, hosts: Mapping[ModelName, int]) -> list[ReplicaModel]:
        """Return the models in order: the one with the fewest hosts for its share first.

        Models that are about even go by size: of small groups, a lost host breaks less.
        """

        def need(model: ReplicaModel) -> tuple[int, int, str]:
            hosts_for_share = hosts.get(model.name, 0) / max(model.share, 1e-6)
            return round(hosts_for_share / EVEN_HOSTS), model.group_size, model.name

        return sorted(self._profile.models.values(), key=need)

    def _hosts_by_model(self, groups: Iterable[Group]) -> dict[ModelName, int]:
        hosts: defaultdict[ModelName, int] = defaultdict(int)
        for group in groups:
            if group.intent == GroupIntent.ACTIVE.value:
                hosts[ModelName(group.model)] += len(group.members)
        return hosts

    def _free_by_domain(self, groups: Iterable[Group]) -> dict[str, list[Endpoint]]:
        """Return the hosts that belong to no recorded group, by fabric domain."""
        taken = {member.host_id for group in groups for member in group.members}
        free: defaultdict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in sorted(self._directory.of_service(self._service), key=lambda e: e.id):
            if endpoint.data_centre != self._data_centre or endpoint.is_leaving:
                continue
            if endpoint.id in taken or endpoint.id in self._state.suspects:
                continue
            if self._leads_unknown_group(endpoint):
                continue
            free[endpoint.fabric_domain].append(endpoint)
        return free

    def _leads_unknown_group(self, endpoint: Endpoint) -> bool:
        """Tell whether a host still serves as the leader of a group that is in no record."""
        member = endpoint.membership
        if member is None or member.rank != 0 or member.key in self._state.left:
            return False
        return member.state in (MemberState.OPEN, MemberState.CLOSING)

    # Weights that are loaded ahead.

    def _stage(self, groups: list[Group], now_s: float) -> None:
        """Load weights onto free hosts, so that the next group can be formed without a load."""
        if self._loads_are_free:
            return
        self._forget_staging(now_s)
        hosts = self._hosts_by_model(groups)
        for endpoints in self._free_by_domain(groups).values():
            loading = [e for e in endpoints if e.id in self._state.staging]
            model = self._model_to_stage(endpoints, hosts)
            if model is None:
                continue
            wanted = model.group_size if len(endpoints) >= model.group_size else 1
            wanted -= sum(model.name in e.staged for e in endpoints) + len(loading)
            idle = [e for e in endpoints if e not in loading and model.name not in e.staged]
            for endpoint in sorted(idle, key=lambda e: (bool(e.staged), e.id))[: max(0, wanted)]:
                self._stage_one(endpoint, model, now_s)

    def _model_to_stage(
        self, endpoints: list[Endpoint], hosts: Mapping[ModelName, int]
    ) -> ReplicaModel | None:
        """Return the model whose next group in a domain needs the fewest loads."""
        count = len(endpoints)

        def loads(model: ReplicaModel) -> int:
            staged = sum(model.name in endpoint.staged for endpoint in endpoints)
            return model.group_size - min(staged, model.group_size)

        fitting = [model for model in self._by_need(hosts) if model.group_size <= count]
        if fitting:
            return min(fitting, key=loads)
        if all(endpoint.staged for endpoint in endpoints):
            return None
        return self._by_need(hosts)[0]

    def _stage_one(self, endpoint: Endpoint, model: ReplicaModel, now_s: float) -> None:
        recent = [time_s for time_s in self._state.load_times_s if now_s - time_s < LOADS_WINDOW_S]
        if len(recent) >= self._max_loads:
            return
        self._state.load_times_s = [*recent, now_s]
        self._state.staging[endpoint.id] = (model.name, now_s)
        order = StageModel(model.name)
        self._orders.append(PlannedOrder(endpoint.id, endpoint.address, order))

    def _forget_staging(self, now_s: float) -> None:
        for host, (name, began_s) in list(self._state.staging.items()):
            model = self._profile.models.get(name)
            limit_s = STAGE_LIMIT_FACTOR * model.load_s if model is not None else 0.0
            endpoint = self._directory.by_id.get(host)
            if endpoint is None or name in endpoint.staged or now_s - began_s > limit_s:
                del self._state.staging[host]

    def _order_once(self, engine: HostId, address: str, order: EngineOrder, now_s: float) -> None:
        """Give an order unless it was given a short while ago."""
        key = order_key(engine, order)
        given_s = self._state.ordered_s.get(key)
        if given_s is not None and now_s - given_s < ORDER_REPEAT_S:
            return
        self._state.ordered_s[key] = now_s
        self._orders.append(PlannedOrder(engine, address, order))
