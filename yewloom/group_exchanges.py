"""Giving up groups of a model that has replicas to spare for one group of another model."""

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
    """Groups of one model that would be given up for one group of another."""

    domain: str
    model: ReplicaModel
    given: Sequence[Group]
    hosts: Sequence[Endpoint]

    def hosts_to_load(self) -> list[Endpoint]:
        """Return the hosts that lack the weights."""
        return [host for host in self.hosts if not host.is_prepared_for(self.model.name)]


class GroupExchanges:
    """Finds exchanges that are worth their loads."""

    def __init__(self, directory: EndpointDirectory) -> None:
        self._directory = directory

    def best(
        self, free: Mapping[str, Sequence[Endpoint]], groups: Sequence[Group], need: ModelNeed
    ) -> GroupExchange | None:
        """Return the exchange that needs the fewest loads; None if none is worth it."""
        wanted = need.order()[0]
        found = [
            exchange
            for domain, endpoints in free.items()
            if len(endpoints) < wanted.group_size
            and (exchange := self._in_domain(domain, endpoints, groups, wanted, need))
        ]
        return min(found, key=lambda exchange: len(exchange.hosts_to_load()), default=None)

    def _in_domain(
        self,
        domain: str,
        free: Sequence[Endpoint],
        groups: Sequence[Group],
        wanted: ReplicaModel,
        need: ModelNeed,
    ) -> GroupExchange | None:
        """Return the exchange that completes the free hosts of one domain."""
        hosts = list(free)
        given: list[Group] = []
        by_weights = sorted(groups, key=lambda group: self._hosts_to_load(group, wanted))
        for group in by_weights:
            members = members_of(group, self._directory)
            is_here = any(member.fabric_domain == domain for member in members)
            is_active = group.intent == GroupIntent.ACTIVE.value
            if len(hosts) >= wanted.group_size or not is_here or not is_active:
                continue
            if need.may_exchange(ModelName(group.model), wanted.name, len(given) + 1):
                given.append(group)
                hosts += members
        if len(hosts) < wanted.group_size or not given:
            return None
        hosts.sort(key=lambda host: not host.is_prepared_for(wanted.name))
        return GroupExchange(domain, wanted, given, hosts[: wanted.group_size])

    def _hosts_to_load(self, group: Group, wanted: ReplicaModel) -> int:
        return sum(
            not member.is_prepared_for(wanted.name) for member in members_of(group, self._directory)
        )


def members_of(group: Group, directory: EndpointDirectory) -> list[Endpoint]:
    """Return the members of a recorded group that are listed."""
    ids = [HostId(member.host_id) for member in group.members]
    return [directory.by_id[i] for i in ids if i in directory.by_id]
