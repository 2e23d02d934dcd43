"""The endpoints listed in the store, and the groups of which they report to be members."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from types import MappingProxyType

from yewloom.ids import DataCentreId, GroupId, HostId, ModelName, ServiceName
from yewloom.values import value_class

REWRITE_S = 2.5
"""Time after the store's return in which endpoints that live have written their entries again:
about 2 s on the platform."""


class MemberState(Enum):
    """State of an endpoint within its group, as reported by the endpoint."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@value_class
class GroupKey:
    """Identifies a group and its generation, which increases each time the group is formed."""

    group_id: GroupId
    generation: int


@value_class
class GroupMembership:
    """An endpoint's position in a group; the leader has rank 0 and receives the requests."""

    key: GroupKey
    rank: int
    state: MemberState


@value_class
class Endpoint:
    """An endpoint as listed in the store.

    ``models`` are those that it serves, or served in its last group; ``staged`` are the models
    whose weights are stored on its host. ``started_unix_ms`` distinguishes successive processes
    with the same id. It does not order them, since clocks may be set back. It is 0 if the endpoint
    does not report it.
    """

    id: HostId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    is_leaving: bool = False
    fabric_domain: str = ""
    models: frozenset[ModelName] = frozenset()
    staged: frozenset[ModelName] = frozenset()
    membership: GroupMembership | None = None
    started_unix_ms: int = 0

    def can_join_without_load(self, model: ModelName) -> bool:
        """Return whether it can join a group of a model without loading weights.

        An engine keeps the model of its last group in memory, even if the weights staged on its
        host are those of another model. Joining a group of the same model is almost immediate,
        whereas loading weights takes many seconds.
        """
        return model in self.staged or model in self.models


_NONE_KEPT: Mapping[HostId, float] = MappingProxyType({})


class EndpointDirectory:
    """All listed endpoints, indexed by id, service and group.

    Endpoints that the latest listing lacks may be kept until ``missing_until_s``: their entries may
    have expired although they still run. ``mark`` adds what an endpoint has said itself to its
    listed state.
    """

    def __init__(self, mark: Callable[[Endpoint], Endpoint] = lambda endpoint: endpoint) -> None:
        self._mark = mark
        self.by_id: dict[HostId, Endpoint] = {}
        self.is_loaded = False
        self.missing_until_s: dict[HostId, float] = {}
        self._by_service: defaultdict[ServiceName, dict[HostId, Endpoint]] = defaultdict(dict)
        self._leaders: defaultdict[ServiceName, dict[HostId, Endpoint]] = defaultdict(dict)
        self._members: defaultdict[GroupKey, dict[int, Endpoint]] = defaultdict(dict)

    def replace_all(
        self, endpoints: Iterable[Endpoint], missing_until_s: Mapping[HostId, float] = _NONE_KEPT
    ) -> None:
        """Replace the contents by a full listing.

        ``missing_until_s`` holds the endpoints to keep although the listing lacks them.
        """
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for removed in self.by_id.keys() - listed.keys() - missing_until_s.keys():
            self.remove(removed)
        self.missing_until_s = dict(missing_until_s)
        for endpoint in listed.values():
            self.put(endpoint)
        self.is_loaded = True

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace one endpoint."""
        endpoint = self._mark(endpoint)
        self.remove(endpoint.id)
        self.by_id[endpoint.id] = endpoint
        self._by_service[endpoint.service][endpoint.id] = endpoint
        if endpoint.membership is None:
            return
        self._members[endpoint.membership.key][endpoint.membership.rank] = endpoint
        if endpoint.membership.rank == 0:
            self._leaders[endpoint.service][endpoint.id] = endpoint

    def refresh(self, endpoint_id: HostId) -> None:
        """Mark a listed endpoint again, since it has said something new."""
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is not None:
            self.put(endpoint)

    def next_removal_s(self) -> float:
        """Return when the first missing endpoint is to be removed; infinite if there is none."""
        return min(self.missing_until_s.values(), default=math.inf)

    def is_known_as(self, endpoint: Endpoint) -> bool:
        """Return whether listing an endpoint like this would change nothing."""
        return self.by_id.get(endpoint.id) == self._mark(endpoint)

    def remove(self, endpoint_id: HostId) -> None:
        """Remove one endpoint, if it is present."""
        self.missing_until_s.pop(endpoint_id, None)
        endpoint = self.by_id.pop(endpoint_id, None)
        if endpoint is None:
            return
        del self._by_service[endpoint.service][endpoint_id]
        self._leaders[endpoint.service].pop(endpoint_id, None)
        if endpoint.membership is not None:
            members = self._members[endpoint.membership.key]
            if members.get(endpoint.membership.rank) is endpoint:
                del members[endpoint.membership.rank]
            if not members:
                del self._members[endpoint.membership.key]

    def remove_missing(self, now_s: float) -> list[HostId]:
        """Remove and return missing endpoints that were not listed again in time."""
        removed = [
            endpoint_id for endpoint_id, until_s in self.missing_until_s.items() if now_s >= until_s
        ]
        for endpoint_id in removed:
            self.remove(endpoint_id)
        return removed

    def latest_generation(self, data_centre: DataCentreId) -> int:
        """Return the latest generation of the groups that endpoints of a data centre report."""
        return max(
            (
                key.generation
                for key, members in self._members.items()
                if any(member.data_centre == data_centre for member in members.values())
            ),
            default=0,
        )

    def services(self) -> set[ServiceName]:
        """Return the services that have listed endpoints."""
        return {service for service, endpoints in self._by_service.items() if endpoints}

    def endpoints_of(self, service: ServiceName) -> Iterable[Endpoint]:
        """Return the endpoints of a service."""
        return self._by_service[service].values()

    def leaders_of(self, service: ServiceName) -> Iterable[Endpoint]:
        """Return the group leaders of a service; only leaders receive requests."""
        return self._leaders[service].values()

    def members_of(self, key: GroupKey) -> Mapping[int, Endpoint]:
        """Return the listed members of a group, keyed by rank."""
        return self._members.get(key, {})
