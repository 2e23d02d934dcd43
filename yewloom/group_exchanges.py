"""Exchange of groups of a model that has surplus replicas for one group of another model."""

from collections.abc import Mapping, Sequence

from yewloom.configuration import ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.ids import HostId, ModelName
from yewloom.model_need import ModelNeed
from yewloom.schema.records_pb2 import Group
from yewloom.states import GroupIntent
from yewloom.values import value_class


@value_class
class GroupExchange:
    """Groups that would be dissolved so that their hosts form one group of another model."""

    domain: str
    model: ReplicaModel
    released: Sequence[Group]
    hosts: Sequence[Endpoint]

    def hosts_to_load(self) -> list[Endpoint]:
        """Return the hosts that do not have the model's weights."""
        return [host for host in self.hosts if not host.can_join_without_load(self.model.name)]


class GroupExchanges:
    """Finds exchanges that are worth the weight loads they need."""

    def __init__(self, directory: EndpointDirectory) -> None:
        self._directory = directory

    def find_best(
        self, free: Mapping[str, Sequence[Endpoint]], groups: Sequence[Group], need: ModelNeed
    ) -> GroupExchange | None:
        """Return the exchange with the fewest weight loads, or None if none is worthwhile."""
        wanted = need.models_by_need()[0]
        candidates = [
            exchange
            for domain, endpoints in free.items()
            if len(endpoints) < wanted.group_size
            and (exchange := self._in_domain(domain, endpoints, groups, wanted, need))
        ]
        return min(candidates, key=lambda exchange: len(exchange.hosts_to_load()), default=None)

    def _in_domain(
        self,
        domain: str,
        free: Sequence[Endpoint],
        groups: Sequence[Group],
        wanted: ReplicaModel,
        need: ModelNeed,
    ) -> GroupExchange | None:
        """Return an exchange whose hosts and the free hosts of one domain suffice for a group."""
        hosts = list(free)
        released: list[Group] = []
        by_load_count = sorted(groups, key=lambda group: self._count_loads(group, wanted))
        for group in by_load_count:
            members = listed_members(group, self._directory)
            is_in_domain = any(member.fabric_domain == domain for member in members)
            is_active = group.intent == GroupIntent.ACTIVE.value
            if len(hosts) >= wanted.group_size or not is_in_domain or not is_active:
                continue
            if need.is_exchange_worthwhile(ModelName(group.model), wanted.name, len(released) + 1):
                released.append(group)
                hosts += members
        if len(hosts) < wanted.group_size or not released:
            return None
        hosts.sort(key=lambda host: not host.can_join_without_load(wanted.name))
        return GroupExchange(domain, wanted, released, hosts[: wanted.group_size])

    def _count_loads(self, group: Group, wanted: ReplicaModel) -> int:
        return sum(
            not member.can_join_without_load(wanted.name)
            for member in listed_members(group, self._directory)
        )


def listed_members(group: Group, directory: EndpointDirectory) -> list[Endpoint]:
    """Return the members of a recorded group that are in the endpoint directory."""
    ids = [HostId(member.host_id) for member in group.members]
    return [directory.by_id[i] for i in ids if i in directory.by_id]
