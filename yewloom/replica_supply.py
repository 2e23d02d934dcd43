"""Hosts for new groups: which group to form next, and which weights to load in advance.

Loading weights takes far longer than any other step, so a group is formed only from hosts that can
join it without a load. Weights are loaded in advance onto free hosts, or onto serving hosts of a
model with surplus replicas.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from yewloom.configuration import EngineProfile, ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory, MemberState
from yewloom.free_hosts import FreeHosts
from yewloom.group_exchanges import GroupExchange, GroupExchanges, listed_members
from yewloom.ids import DataCentreId, HostId, ModelName, ServiceName
from yewloom.model_need import ModelNeed
from yewloom.model_reserves import ModelReserves
from yewloom.plan_state import PlannedOrder, PlanState
from yewloom.schema.records_pb2 import Group, GroupMember
from yewloom.spare_weights import count_members, count_spares, model_without_spares
from yewloom.states import GroupIntent
from yewloom.weight_loads import LoadLimit, WeightLoads

FIRST_FORMATION_PAUSE_S = 0.9
"""Time without a new host after which the first groups are formed. Hosts appear within 3 s of the
start, a few hundred milliseconds apart, and loads are not limited until the first request."""

_FORMED = (MemberState.READY, MemberState.OPEN)


class ReplicaSupply:
    """Plans new groups and weight loads in one data centre."""

    def __init__(
        self,
        data_centre: DataCentreId,
        service: ServiceName,
        profile: EngineProfile,
        directory: EndpointDirectory,
        state: PlanState,
        load_limit: LoadLimit,
    ) -> None:
        self._data_centre = data_centre
        self._service = service
        self._profile = profile
        self._directory = directory
        self._state = state
        self._load_limit = load_limit
        self._free = FreeHosts(data_centre, service, directory, state)
        self._loads = WeightLoads(profile, directory, state, load_limit)
        self._exchanges = GroupExchanges(directory)
        self._reserves = ModelReserves(directory, state)

    @property
    def orders(self) -> list[PlannedOrder]:
        """Return the orders planned so far."""
        return [*self._free.orders, *self._loads.orders]

    def form(
        self, groups: Sequence[Group], need: ModelNeed, generation: int, now_s: float
    ) -> list[Group]:
        """Form groups from free hosts, for the model with the greatest shortage first."""
        formed: list[Group] = []
        free = self._free.by_domain(groups, now_s)
        if self._is_awaiting_hosts(now_s):
            return formed
        models = self._models_by_domain(groups)
        leaving = (
            [] if self._load_limit.is_unlimited else self._reserves.leaving_members(groups, now_s)
        )
        while (choice := self._next_group(free, need, models, leaving)) is not None:
            model, chosen = choice
            name = f"{self._data_centre}-{generation}-{len(formed)}"
            formed.append(_new_group(name, model, chosen, generation))
            models[chosen[0].fabric_domain][model.name] += 1
            need = need.with_added_replica(model.name)
            for endpoint in chosen:
                free[endpoint.fabric_domain].remove(endpoint)
        return formed

    def load_ahead(self, groups: Sequence[Group], need: ModelNeed, now_s: float) -> list[Group]:
        """Load weights for the next groups; return the groups to drain for an exchange now."""
        self._loads.drop_finished(now_s)
        free = self._free.by_domain(groups, now_s)
        members = count_members(groups, self._directory)
        if self._load_limit.is_unlimited:
            self._load_spare_weights(groups, now_s)
            for domain, endpoints in free.items():
                self._load_spares(endpoints, members[domain], now_s)
            return []
        chosen = self._exchanges.find_best(free, groups, need)
        for domain, endpoints in free.items():
            if chosen is not None and domain == chosen.domain:
                continue
            if len(endpoints) < self._smallest_group() and members[domain]:
                self._load_spares(endpoints, members[domain], now_s)
            else:
                self._load_for_domain(endpoints, need, now_s)
        return self._exchange(chosen, now_s) if chosen is not None else []

    def _smallest_group(self) -> int:
        """Return the number of hosts in a group of the model with the smallest groups."""
        return min(model.group_size for model in self._profile.models.values())

    def _load_spares(
        self, endpoints: Sequence[Endpoint], members: Mapping[ModelName, int], now_s: float
    ) -> None:
        """Load weights onto left-over hosts that have none, so that each model has a spare host."""
        models = list(self._profile.models.values())
        spares = count_spares(endpoints)
        spares.update(self._loads.loading_models(endpoints))
        for host in endpoints:
            if host.staged or host.models or self._loads.is_loading(host, now_s):
                continue
            model = model_without_spares(models, members, spares)
            if model is not None and self._loads.load(host, model, now_s):
                spares[model.name] += 1

    def _load_spare_weights(self, groups: Sequence[Group], now_s: float) -> None:
        """Load the largest model's weights onto the hosts of one other group in each domain.

        When a host of a large group is lost, one of these hosts can replace it without a load.
        """
        by_domain: defaultdict[str, list[Group]] = defaultdict(list)
        for group in groups:
            for domain in {
                member.fabric_domain for member in listed_members(group, self._directory)
            }:
                by_domain[domain].append(group)
        for here in by_domain.values():
            models = [self._profile.models[ModelName(g.model)] for g in here]
            largest = max(models, key=lambda model: model.group_size)
            others = [g for g in here if g.model != largest.name]
            for host in listed_members(others[0], self._directory) if others else ():
                is_formed = host.membership is not None and host.membership.state in _FORMED
                if is_formed and largest.name not in host.staged:
                    self._loads.load(host, largest, now_s)

    def _exchange(self, chosen: GroupExchange, now_s: float) -> list[Group]:
        """Return the groups to drain now, or load missing weights first while they still serve."""
        missing = chosen.hosts_to_load()
        if not missing:
            return list(chosen.released)
        for host in missing:
            self._loads.load(host, chosen.model, now_s)
        return []

    def _is_awaiting_hosts(self, now_s: float) -> bool:
        """Return whether to wait for more hosts to appear before the first groups are formed."""
        ids = {endpoint.id for endpoint in self._directory.endpoints_of(self._service)}
        if not ids <= self._state.known_hosts:
            self._state.known_hosts |= ids
            self._state.last_new_host_s = now_s
        return (
            self._load_limit.is_unlimited
            and now_s - self._state.last_new_host_s < FIRST_FORMATION_PAUSE_S
        )

    def _models_by_domain(self, groups: Iterable[Group]) -> defaultdict[str, Counter[ModelName]]:
        """Return the number of groups of each model by domain."""
        models: defaultdict[str, Counter[ModelName]] = defaultdict(Counter)
        for group in groups:
            for domain in {
                member.fabric_domain for member in listed_members(group, self._directory)
            }:
                models[domain][ModelName(group.model)] += 1
        return models

    def _next_group(
        self,
        free: Mapping[str, list[Endpoint]],
        need: ModelNeed,
        models: Mapping[str, Counter[ModelName]],
        leaving: Sequence[Endpoint],
    ) -> tuple[ReplicaModel, list[Endpoint]] | None:
        """Return the next group's model and hosts, or None if none can be formed.

        Groups of one model are spread over the domains, so that each domain has hosts of small
        groups that can replace a lost host of a large one. Hosts that will soon form a group of a
        model in greater need are reserved for it.
        """
        reserved: set[HostId] = set()
        for model in need.models_by_need():
            for domain in _domains_for(model, free, models):
                ready = [
                    e for e in free[domain] if e.id not in reserved and self._can_join(e, model)
                ]
                if len(ready) >= model.group_size:
                    ready.sort(key=lambda e: (model.name not in e.models, e.id))
                    return model, ready[: model.group_size]
            reserved |= self._reserves.reserved_for(model, free, leaving)
        return None

    def _can_join(self, endpoint: Endpoint, model: ReplicaModel) -> bool:
        return self._load_limit.is_unlimited or endpoint.can_join_without_load(model.name)

    def _load_for_domain(
        self, endpoints: Sequence[Endpoint], need: ModelNeed, now_s: float
    ) -> None:
        model = _model_to_load(endpoints, need)
        loading = [e for e in endpoints if self._loads.is_loading(e, now_s)]
        wanted = min(model.group_size, len(endpoints))
        wanted -= sum(e.can_join_without_load(model.name) or e in loading for e in endpoints)
        idle = [
            e for e in endpoints if e not in loading and not e.can_join_without_load(model.name)
        ]
        for endpoint in sorted(idle, key=lambda e: (bool(e.staged), e.id))[: max(0, wanted)]:
            self._loads.load(endpoint, model, now_s)


def _new_group(
    name: str, model: ReplicaModel, members: Sequence[Endpoint], generation: int
) -> Group:
    return Group(
        id=name,
        model=model.name,
        generation=generation,
        intent=GroupIntent.ACTIVE.value,
        members=[
            GroupMember(host_id=e.id, address=e.address, started_unix_ms=e.started_unix_ms)
            for e in members
        ],
    )


def _domains_for(
    model: ReplicaModel,
    free: Mapping[str, list[Endpoint]],
    models: Mapping[str, Counter[ModelName]],
) -> list[str]:
    """Return the domains with free hosts, the one with the fewest groups of this model first."""

    def sort_key(domain: str) -> tuple[int, int, str]:
        here = models.get(domain, Counter())
        return here[model.name], len(free[domain]), domain

    return sorted(free, key=sort_key)


def _model_to_load(endpoints: Sequence[Endpoint], need: ModelNeed) -> ReplicaModel:
    """Return the model whose weights a domain's free hosts should have.

    This is the model with the greatest shortage for which there are enough hosts to form a group,
    or for which some hosts already have the weights and wait for more hosts.
    """
    by_need = need.models_by_need()
    for model in by_need:
        has_prepared_host = any(
            endpoint.can_join_without_load(model.name) for endpoint in endpoints
        )
        if model.group_size <= len(endpoints) or has_prepared_host:
            return model
    return by_need[0]
