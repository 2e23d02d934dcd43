"""Free hosts that are kept for the model that lacks replicas most.

When many hosts are lost at once, all groups of a domain break, and their other hosts come free one
after the other, within some seconds. A group of another model formed of the first of them takes
hosts that hold the weights which the model in need waits for; then too few are left for it, and a
load takes longer than all of that. The pattern is a rack that fails: of three groups none is left.
"""

from collections.abc import Iterable, Mapping, Sequence

from yewloom.configuration import ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.group_exchanges import members_of
from yewloom.ids import HostId, ModelName
from yewloom.plan_state import PlanState, key_of
from yewloom.schema.records_pb2 import Group
from yewloom.states import GroupIntent

KEPT_FOR_S = 3.0
"""Longest time for which hosts are kept for those of a group that was given up: its members are
free once they have left it, which takes a second or two."""


class ModelReserves:
    """Tells which free hosts of a domain wait for others that hold the same weights."""

    def __init__(self, directory: EndpointDirectory, state: PlanState) -> None:
        self._directory = directory
        self._state = state

    def leaving(self, groups: Iterable[Group], now_s: float) -> list[Endpoint]:
        """Return the hosts of groups that were given up a short while ago, but for lost ones."""
        found: list[Endpoint] = []
        for group in groups:
            if group.intent != GroupIntent.REPLACING.value:
                continue
            since_s = self._state.given_up_s.setdefault(key_of(group), now_s)
            if now_s - since_s <= KEPT_FOR_S:
                found += members_of(group, self._directory)
        return [e for e in found if not e.is_leaving and not self._state.is_silent(e.id)]

    def kept_for(
        self,
        model: ReplicaModel,
        free: Mapping[str, Sequence[Endpoint]],
        leaving: Sequence[Endpoint],
    ) -> set[HostId]:
        """Return the free hosts that form a group of a model with those that are leaving."""
        kept: set[HostId] = set()
        for domain, endpoints in free.items():
            ready = _prepared(endpoints, model.name)
            coming = _prepared((e for e in leaving if e.fabric_domain == domain), model.name)
            if coming and len(ready) + len(coming) >= model.group_size:
                kept |= {endpoint.id for endpoint in ready}
        return kept


def _prepared(endpoints: Iterable[Endpoint], model: ModelName) -> list[Endpoint]:
    return [endpoint for endpoint in endpoints if endpoint.is_prepared_for(model)]
