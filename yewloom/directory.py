"""The endpoints that the platform lists, and the groups that they say they belong to."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from enum import Enum

from yewloom.ids import DataCentreId, GroupId, HostId, ModelName, ServiceName
from yewloom.values import value_class

LAPSE_GRACE_S = 2.5
"""Time after the store's return for which endpoints that it had dropped stay listed: it lists
those that live again within about 2 s."""


class MemberState(Enum):
    """State of an endpoint within its group, as it reports it."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@value_class
class GroupKey:
    """One formation of a group; a new formation has a higher generation."""

    group_id: GroupId
    generation: int


@value_class
class Membership:
    """An endpoint's place in a group; rank 0 leads and takes the requests."""

    key: GroupKey
    rank: int
    state: MemberState


@value_class
class Endpoint:
    """An endpoint as the platform lists it.

    ``models`` are those that it serves, or served in its last group; ``staged`` are the models
    whose weights its host keeps. ``started_unix_ms`` tells the processes apart that run one after
    the other under the same id, and not which came first, since clocks are set back; it is 0 if
    the endpoint does not say.
    """

    id: HostId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    is_leaving: bool = False
    fabric_domain: str = ""
    models: frozenset[ModelName] = frozenset()
    staged: frozenset[ModelName] = frozenset()
    membership: Membership | None = None
    started_unix_ms: int = 0

    def is_prepared_for(self, model: ModelName) -> bool:
        """Tell whether it can join a group of a model without a load.

        An engine still holds the model of its last group, also when its host keeps the weights of
        another one; joining a group of the same model takes it a moment, and a load many seconds.
        """
        return model in self.staged or model in self.models


class EndpointDirectory:
    """All listed endpoints, indexed by service and group."""

    def __init__(self) -> None:
        self.by_id: dict[HostId, Endpoint] = {}
        self.is_known = False
        self._lapsing: dict[HostId, float] = {}
        self._by_service: defaultdict[ServiceName, dict[HostId, Endpoint]] = defaultdict(dict)
        self._leaders: defaultdict[ServiceName, dict[HostId, Endpoint]] = defaultdict(dict)
        self._members: defaultdict[GroupKey, dict[int, Endpoint]] = defaultdict(dict)

    def replace_all(self, endpoints: Iterable[Endpoint], now_s: float, after_outage: bool) -> None:
        """Take in a whole listing.

        After an outage of the store, endpoints that it lacks stay listed for a moment.
        """
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for missing in set(self.by_id) - set(listed):
            if after_outage:
                self._lapsing.setdefault(missing, now_s + LAPSE_GRACE_S)
            else:
                self.remove(missing)
        for endpoint in listed.values():
            self.put(endpoint)
        self.is_known = True

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace one endpoint."""
        self.remove(endpoint.id)
        self.by_id[endpoint.id] = endpoint
        self._by_service[endpoint.service][endpoint.id] = endpoint
        if endpoint.membership is None:
            return
        self._members[endpoint.membership.key][endpoint.membership.rank] = endpoint
        if endpoint.membership.rank == 0:
            self._leaders[endpoint.service][endpoint.id] = endpoint

    def remove(self, endpoint_id: HostId) -> None:
        """Drop one endpoint, if it is listed."""
        self._lapsing.pop(endpoint_id, None)
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

    def drop_lapsed(self, now_s: float) -> list[HostId]:
        """Drop endpoints that did not come back in time after an outage; return them."""
        lapsed = [endpoint for endpoint, until_s in self._lapsing.items() if now_s >= until_s]
        for endpoint in lapsed:
            self.remove(endpoint)
        return lapsed

    def of_service(self, service: ServiceName) -> Iterable[Endpoint]:
        """Return the endpoints of a service."""
        return self._by_service[service].values()

    def leaders_of(self, service: ServiceName) -> Iterable[Endpoint]:
        """Return the endpoints of a service that lead a group, which alone take its requests."""
        return self._leaders[service].values()

    def members(self, key: GroupKey) -> Mapping[int, Endpoint]:
        """Return the listed members of a group by rank."""
        return self._members.get(key, {})
