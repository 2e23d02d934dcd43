"""Which model's weights the hosts that are left over in a domain should hold.

Groups rarely use up a domain, so some of its hosts belong to none. Such a host can replace a lost
member at once if it has the weights of that group's model; loading them takes longer than any other
step. So the left-over hosts are divided among the models that have groups in the domain.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from yewloom.configuration import ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.group_exchanges import listed_members
from yewloom.ids import ModelName
from yewloom.schema.records_pb2 import Group
from yewloom.states import GroupIntent


def count_members(
    groups: Iterable[Group], directory: EndpointDirectory
) -> defaultdict[str, Counter[ModelName]]:
    """Return the number of hosts in active groups by domain and model."""
    members: defaultdict[str, Counter[ModelName]] = defaultdict(Counter)
    for group in groups:
        if group.intent == GroupIntent.ACTIVE.value:
            for host in listed_members(group, directory):
                members[host.fabric_domain][ModelName(group.model)] += 1
    return members


def count_spares(hosts: Iterable[Endpoint]) -> Counter[ModelName]:
    """Return the number of left-over hosts that can join a group of each model without a load."""
    return Counter(model for host in hosts for model in host.staged | host.models)


def model_without_spares(
    models: Sequence[ReplicaModel],
    members: Mapping[ModelName, int],
    spares: Mapping[ModelName, int],
) -> ReplicaModel | None:
    """Return the model with the most members per spare host, or None if there are no groups.

    Any member may be lost, whatever the size of its group. Among equals, the model with the smaller
    groups comes first, as more of them can break.
    """

    def sort_key(model: ReplicaModel) -> tuple[float, int, str]:
        members_per_spare = members[model.name] / (spares.get(model.name, 0) + 1)
        return -members_per_spare, model.group_size, model.name

    candidates = [model for model in models if members.get(model.name, 0) > 0]
    return min(candidates, key=sort_key, default=None)
