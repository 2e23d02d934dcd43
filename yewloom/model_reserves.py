"""Reservation of free hosts for the model with the greatest shortage of replicas.

When many hosts are lost at once, for example with a rack that holds three groups, all groups of a
domain break and their surviving hosts become free one by one within a few seconds. A group of
another model formed from the first of them would use hosts that hold the weights of the model in
shortage. Too few such hosts would then remain, and loading the weights again takes longer than
waiting.
"""

from collections.abc import Iterable, Mapping, Sequence

from yewloom.configuration import ReplicaModel
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.group_exchanges import listed_members
from yewloom.ids import HostId, ModelName
from yewloom.plan_state import PlanState, group_key
from yewloom.schema.records_pb2 import Group
from yewloom.states import GroupIntent

RESERVE_TIMEOUT_S = 3.0
"""Longest time for which free hosts are reserved while the members of an abandoned group leave it.
Leaving takes a second or two."""


class ModelReserves:
    """Finds free hosts that should not be used until others of their domain become free."""

    def __init__(self, directory: EndpointDirectory, state: PlanState) -> None:
        self._directory = directory
        self._state = state

    def leaving_members(self, groups: Iterable[Group], now_s: float) -> list[Endpoint]:
        """Return the responsive hosts of groups that were abandoned recently."""
        members: list[Endpoint] = []
        for group in groups:
            if group.intent != GroupIntent.REPLACING.value:
                continue
            since_s = self._state.abandoned_since_s.setdefault(group_key(group), now_s)
            if now_s - since_s <= RESERVE_TIMEOUT_S:
                members += listed_members(group, self._directory)
        return [e for e in members if not e.is_leaving and not self._state.is_unresponsive(e.id)]

    def reserved_for(
        self,
        model: ReplicaModel,
        free: Mapping[str, Sequence[Endpoint]],
        leaving: Sequence[Endpoint],
    ) -> set[HostId]:
        """Return the free hosts that can form a group of a model with the leaving hosts."""
        reserved: set[HostId] = set()
        for domain, endpoints in free.items():
            ready = _prepared(endpoints, model.name)
            expected = _prepared((e for e in leaving if e.fabric_domain == domain), model.name)
            if expected and len(ready) + len(expected) >= model.group_size:
                reserved |= {endpoint.id for endpoint in ready}
        return reserved


def _prepared(endpoints: Iterable[Endpoint], model: ModelName) -> list[Endpoint]:
    return [endpoint for endpoint in endpoints if endpoint.can_join_without_load(model)]
