"""Hosts for new groups: which are free, which group comes next, and which weights to load ahead.

Loading takes far longer than anything else, so a group is formed only of hosts that keep its
model's weights, and weights are loaded ahead onto free hosts, or onto hosts of a model that has
replicas to spare while they go on serving.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory, MemberState
from yewloom.ids import DataCentreId, HostId, ModelName, ServiceName
from yewloom.model_need import ModelNeed
from yewloom.plan_state import PlannedOrder, PlanState, Staging
from yewloom.replica_orders import LeaveGroup, StageModel
from yewloom.schema.records_pb2 import Group, GroupMember
from yewloom.states import GroupIntent

GATHER_S = 0.9
"""Time without a new host after which the first groups are formed: hosts appear within 3 s of the
start, some hundred milliseconds apart, and loads cost nothing until the first request."""

LOADS_WINDOW_S = 5.0
"""Window over which loads from the weight store are counted, as the platform counts them."""

STAGE_LIMIT_FACTOR = 3.0
"""Loading that takes this many times its usual time is begun anew."""

_SETTLED = (MemberState.READY, MemberState.OPEN)


@dataclass(frozen=True, slots=True)
class SupplyBounds:
    """``loads_are_free`` before the first request; else at most ``max_loads`` in a window."""

    loads_are_free: bool
    max_loads: int


@dataclass(frozen=True, slots=True)
class Exchange:
    """Groups of one model that would be given up for one group of another."""

    domain: str
    model: ReplicaModel
    given: Sequence[Group]
    hosts: Sequence[Endpoint]

    def hosts_to_load(self) -> list[Endpoint]:
        """Return the hosts that lack the weights."""
        return [host for host in self.hosts if self.model.name not in host.staged]


class ReplicaSupply:
    """Plans new groups and loads in one data centre; ``orders`` gathers what is to be ordered."""

    def __init__(
        self,
        data_centre: DataCentreId,
        service: ServiceName,
        profile: EngineProfile,
        directory: EndpointDirectory,
        state: PlanState,
        bounds: SupplyBounds,
    ) -> None:
        self._data_centre = data_centre
        self._service = service
        self._profile = profile
        self._directory = directory
        self._state = state
        self._bounds = bounds
        self.orders: list[PlannedOrder] = []

    def form(
        self, kept: Sequence[Group], need: ModelNeed, generation: int, now_s: float
    ) -> list[Group]:
        """Form groups out of free hosts, of the model that lacks replicas most first."""
        formed: list[Group] = []
        free = self._free_by_domain(kept, now_s)
        if self._is_gathering(now_s):
            return formed
        models = self._models_by_domain(kept)
        while (choice := self._next_group(free, need, models)) is not None:
            model, chosen = choice
            name = f"{self._data_centre}-{generation}-{len(formed)}"
            formed.append(_new_group(name, model, chosen, generation))
            models[chosen[0].fabric_domain][model.name] += 1
            need = need.with_one_more(model.name)
            for endpoint in chosen:
                free[endpoint.fabric_domain].remove(endpoint)
        return formed

    def load_ahead(self, groups: Sequence[Group], need: ModelNeed, now_s: float) -> list[Group]:
        """Load weights for the next groups; return the groups to close for one of them now."""
        self._forget_staging(now_s)
        if self._bounds.loads_are_free:
            self._stage_reserves(groups, now_s)
            return []
        chosen = self._best_exchange(groups, need, now_s)
        for domain, endpoints in self._free_by_domain(groups, now_s).items():
            if chosen is None or domain != chosen.domain:
                self._stage_domain(endpoints, need, now_s)
        return self._exchange(chosen, now_s) if chosen is not None else []

    def _stage_reserves(self, groups: Sequence[Group], now_s: float) -> None:
        """Load the largest model onto the hosts of one other group in each domain.

        When a host of a large group is lost, such a host takes its place without a load.
        """
        by_domain: defaultdict[str, list[Group]] = defaultdict(list)
        for group in groups:
            for domain in {member.fabric_domain for member in self._members(group)}:
                by_domain[domain].append(group)
        for here in by_domain.values():
            models = [self._profile.models[ModelName(g.model)] for g in here]
            largest = max(models, key=lambda model: model.group_size)
            others = [g for g in here if g.model != largest.name]
            for host in self._members(others[0]) if others else ():
                is_open = host.membership is not None and host.membership.state in _SETTLED
                if is_open and largest.name not in host.staged:
                    self._load(host, largest, now_s)

    def _exchange(self, chosen: Exchange, now_s: float) -> list[Group]:
        """Return the groups to close now; weights are loaded onto their hosts while they serve."""
        missing = chosen.hosts_to_load()
        if not missing:
            return list(chosen.given)
        for host in missing:
            self._load(host, chosen.model, now_s)
        return []

    def _best_exchange(
        self, groups: Sequence[Group], need: ModelNeed, now_s: float
    ) -> Exchange | None:
        """Return the exchange that needs the fewest loads; None if none is worth it."""
        wanted = need.order()[0]
        free = self._free_by_domain(groups, now_s)
        found = [
            exchange
            for domain, endpoints in free.items()
            if len(endpoints) < wanted.group_size
            and (exchange := self._exchange_in(domain, endpoints, groups, wanted, need))
        ]
        return min(found, key=lambda exchange: len(exchange.hosts_to_load()), default=None)

    def _exchange_in(
        self,
        domain: str,
        free: Sequence[Endpoint],
        groups: Sequence[Group],
        wanted: ReplicaModel,
        need: ModelNeed,
    ) -> Exchange | None:
        """Return the exchange that completes the free hosts of one domain."""
        hosts = list(free)
        given: list[Group] = []
        by_weights = sorted(groups, key=lambda group: self._hosts_to_load(group, wanted))
        for group in by_weights:
            members = self._members(group)
            is_here = any(member.fabric_domain == domain for member in members)
            is_active = group.intent == GroupIntent.ACTIVE.value
            if len(hosts) >= wanted.group_size or not is_here or not is_active:
                continue
            if need.may_exchange(ModelName(group.model), wanted.name, len(given) + 1):
                given.append(group)
                hosts += members
        if len(hosts) < wanted.group_size or not given:
            return None
        hosts.sort(key=lambda host: wanted.name not in host.staged)
        return Exchange(domain, wanted, given, hosts[: wanted.group_size])

    def _hosts_to_load(self, group: Group, wanted: ReplicaModel) -> int:
        return sum(wanted.name not in member.staged for member in self._members(group))

    def _members(self, group: Group) -> list[Endpoint]:
        ids = [HostId(member.host_id) for member in group.members]
        return [self._directory.by_id[i] for i in ids if i in self._directory.by_id]

    def _is_gathering(self, now_s: float) -> bool:
        """Tell whether hosts still appear before the first request, so that domains fill up."""
        ids = {endpoint.id for endpoint in self._directory.of_service(self._service)}
        if not ids <= self._state.gathered:
            self._state.gathered |= ids
            self._state.gathered_s = now_s
        return self._bounds.loads_are_free and now_s - self._state.gathered_s < GATHER_S

    def _models_by_domain(self, groups: Iterable[Group]) -> defaultdict[str, Counter[ModelName]]:
        """Count each domain's groups by model."""
        models: defaultdict[str, Counter[ModelName]] = defaultdict(Counter)
        for group in groups:
            for domain in {member.fabric_domain for member in self._members(group)}:
                models[domain][ModelName(group.model)] += 1
        return models

    def _next_group(
        self,
        free: Mapping[str, list[Endpoint]],
        need: ModelNeed,
        models: Mapping[str, Counter[ModelName]],
    ) -> tuple[ReplicaModel, list[Endpoint]] | None:
        """Return the next group's model and hosts.

        Groups of one model are spread over the domains, so that each has hosts of small groups
        that can take the place of a lost host of a large one.
        """
        for model in need.order():
            for domain in _domains_for(model, free, models):
                ready = [e for e in free[domain] if self._can_join(e, model)]
                if len(ready) >= model.group_size:
                    ready.sort(key=lambda e: (model.name not in e.models, e.id))
                    return model, ready[: model.group_size]
        return None

    def _can_join(self, endpoint: Endpoint, model: ReplicaModel) -> bool:
        return self._bounds.loads_are_free or model.name in endpoint.staged

    def _free_by_domain(self, groups: Iterable[Group], now_s: float) -> dict[str, list[Endpoint]]:
        """Return the hosts that belong to no group, by fabric domain."""
        taken = {member.host_id for group in groups for member in group.members}
        free: defaultdict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in sorted(self._directory.of_service(self._service), key=lambda e: e.id):
            if endpoint.data_centre != self._data_centre or endpoint.is_leaving:
                continue
            if endpoint.id in taken or endpoint.id in self._state.suspects:
                continue
            if not self._is_held(endpoint, now_s):
                free[endpoint.fabric_domain].append(endpoint)
        return free

    def _is_held(self, endpoint: Endpoint, now_s: float) -> bool:
        """Tell whether the leader of a group that is in no record still holds a host.

        Such a group comes back with a leader that was cut off; it is told to end.
        """
        member = endpoint.membership
        if member is None or member.key in self._state.left:
            return False
        head = self._directory.members(member.key).get(0)
        if head is None or head.membership is None:
            return False
        if head.membership.state not in (MemberState.OPEN, MemberState.CLOSING):
            return False
        planned = PlannedOrder(head.id, head.address, LeaveGroup(member.key))
        if self._state.may_order(planned, now_s):
            self.orders.append(planned)
        return True

    def _stage_domain(self, endpoints: Sequence[Endpoint], need: ModelNeed, now_s: float) -> None:
        model = _model_to_stage(endpoints, need)
        loading = [e for e in endpoints if e.id in self._state.staging]
        wanted = min(model.group_size, len(endpoints))
        wanted -= sum(model.name in e.staged for e in endpoints) + len(loading)
        idle = [e for e in endpoints if e not in loading and model.name not in e.staged]
        for endpoint in sorted(idle, key=lambda e: (bool(e.staged), e.id))[: max(0, wanted)]:
            self._load(endpoint, model, now_s)

    def _load(self, endpoint: Endpoint, model: ReplicaModel, now_s: float) -> None:
        if endpoint.id in self._state.staging:
            return
        recent = [time_s for time_s in self._state.load_times_s if now_s - time_s < LOADS_WINDOW_S]
        if len(recent) >= self._bounds.max_loads and not self._bounds.loads_are_free:
            return
        self._state.load_times_s = [*recent, now_s]
        self._state.staging[endpoint.id] = Staging(model.name, now_s)
        self.orders.append(PlannedOrder(endpoint.id, endpoint.address, StageModel(model.name)))

    def _forget_staging(self, now_s: float) -> None:
        for host, staging in list(self._state.staging.items()):
            model = self._profile.models.get(staging.model)
            limit_s = STAGE_LIMIT_FACTOR * model.load_s if model is not None else 0.0
            endpoint = self._directory.by_id.get(host)
            is_done = endpoint is None or staging.model in endpoint.staged
            if is_done or now_s - staging.since_s > limit_s:
                del self._state.staging[host]


def _new_group(
    name: str, model: ReplicaModel, members: Sequence[Endpoint], generation: int
) -> Group:
    return Group(
        id=name,
        model=model.name,
        generation=generation,
        intent=GroupIntent.ACTIVE.value,
        members=[GroupMember(host_id=e.id, address=e.address) for e in members],
    )


def _domains_for(
    model: ReplicaModel,
    free: Mapping[str, list[Endpoint]],
    models: Mapping[str, Counter[ModelName]],
) -> list[str]:
    """Return the domains with free hosts, those with the fewest groups of this model first."""

    def rank(domain: str) -> tuple[int, int, str]:
        here = models.get(domain, Counter())
        return here[model.name], len(free[domain]), domain

    return sorted(free, key=rank)


def _model_to_stage(endpoints: Sequence[Endpoint], need: ModelNeed) -> ReplicaModel:
    """Return the model whose weights a domain's free hosts should have.

    That is the one that lacks replicas most, if the hosts are enough for a group of it, or if some
    keep its weights already and wait for more hosts.
    """
    by_need = need.order()
    for model in by_need:
        has_weights = any(model.name in endpoint.staged for endpoint in endpoints)
        if model.group_size <= len(endpoints) or has_weights:
            return model
    return by_need[0]
