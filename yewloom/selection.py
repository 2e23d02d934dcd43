"""Choice of the endpoint that gets a request, from what this entry host and its peers run."""

import random
from collections import Counter, defaultdict
from collections.abc import Container, Iterator, Mapping

from yewloom.configuration import Configuration, EngineProfile
from yewloom.directory import Endpoint, EndpointDirectory, MemberState
from yewloom.endpoint_limits import EndpointLimits
from yewloom.entry_states import PeerBoard
from yewloom.event_paces import EventPaces
from yewloom.ids import DataCentreId, HostId, ModelName, ServiceName
from yewloom.reachability import Reachability
from yewloom.routes import Route
from yewloom.values import value_class

REMOTE_PENALTY = 0.25
"""Load that another data centre's endpoint must be below a near one to be preferred, as a part of
its slots: bytes between data centres are priced and add some milliseconds."""

INCOMPLETE_PENALTY = 0.5
"""Added for a group of which a member is not listed: that one may be lost, or be cut off from the
store alone while the group serves on. A loss shows by the streams' silence."""

LEAVING_PENALTY = 0.3
"""Added for a group with a leaving member: it may stop taking requests at any moment."""

SLOW_PENALTY = 0.6
"""Added for a group that has turned slow: it gets a request only where the others have more than
half of their places taken, and then still before those that are avoided."""

AVOIDED_PENALTY = 5.0
"""Added for an endpoint that is avoided for a time: chosen only if all are, since a request that
is sent may still be answered and one that is refused is not."""

PLAIN_SLOTS = 6
"""Requests at once that a plain service's endpoint is taken to bear."""


@value_class
class Wanted:
    """What a request needs: an endpoint of ``service``, leading a group with ``model`` if given."""

    service: ServiceName
    model: ModelName | None


class Selector:
    """Chooses endpoints and keeps count of what this host has running at each."""

    def __init__(
        self,
        directory: EndpointDirectory,
        data_centre: DataCentreId,
        peers: PeerBoard,
        rng: random.Random,
        reachability: Reachability,
        limits: EndpointLimits,
    ) -> None:
        self._limits = limits
        self._directory = directory
        self._reachability = reachability
        self._peers = peers
        self._data_centre = data_centre
        self._rng = rng
        self._running: defaultdict[HostId, int] = defaultdict(int)
        self._avoid_until_s: dict[HostId, float] = {}
        self.paces = EventPaces()

    def service_of(self, route: Route) -> ServiceName:
        """Return the service for one request of a route, drawn by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        return self._rng.choices(route.services, weights)[0].service

    def choose(
        self,
        wanted: Wanted,
        configuration: Configuration,
        tried: Container[HostId],
        now_s: float,
    ) -> Endpoint | None:
        """Return the least loaded endpoint that takes requests and was not tried; None if none."""
        engine = _engine_of(wanted, configuration)
        best, best_score = None, float("inf")
        candidates = list(self._candidates(wanted, engine))
        slow = self.paces.slow_among((endpoint.id for endpoint, _ in candidates), now_s)
        for endpoint, penalty in candidates:
            if endpoint.id in tried or self._limits.wait_s(endpoint, now_s) > 0:
                continue
            if endpoint.id in slow:
                penalty += SLOW_PENALTY
            if self._is_avoided(endpoint, now_s):
                penalty += AVOIDED_PENALTY
            score = penalty + self._load(endpoint, engine) + self._rng.random() * 0.01
            if score < best_score:
                best, best_score = endpoint, score
        return best

    def limit_wait_s(
        self,
        wanted: Wanted,
        configuration: Configuration,
        tried: Container[HostId],
        now_s: float,
    ) -> float:
        """Return how long limits alone keep this host from sending a request; 0 if they don't."""
        if not self._limits.has_any:
            return 0.0
        engine = _engine_of(wanted, configuration)
        untried = (e for e, _ in self._candidates(wanted, engine) if e.id not in tried)
        return min((self._limits.wait_s(endpoint, now_s) for endpoint in untried), default=0.0)

    def begin(self, endpoint: HostId) -> None:
        """Count a request as running at an endpoint."""
        self._running[endpoint] += 1

    def end(self, endpoint: HostId) -> None:
        """Count a request at an endpoint as over."""
        self._running[endpoint] -= 1
        if not self._running[endpoint]:
            del self._running[endpoint]

    def avoid(self, endpoint: HostId, until_s: float) -> None:
        """Send nothing new to an endpoint for a time, while there is another."""
        self._avoid_until_s[endpoint] = max(until_s, self._avoid_until_s.get(endpoint, 0.0))

    def forget(self, endpoint: HostId) -> None:
        """Drop what is known of an endpoint that is no longer listed."""
        self._avoid_until_s.pop(endpoint, None)
        self.paces.forget(endpoint)

    def running(self) -> Mapping[HostId, int]:
        """Return how many requests of this host run at each endpoint."""
        return self._running

    def running_everywhere(self) -> Counter[HostId]:
        """Return how many requests this host and its peers run at each endpoint."""
        return Counter(self._running) + Counter(self._peers.loads())

    def _is_avoided(self, endpoint: Endpoint, now_s: float) -> bool:
        if self._avoid_until_s.get(endpoint.id, 0.0) > now_s:
            return True
        return self._reachability.is_avoided(endpoint)

    def _candidates(
        self, wanted: Wanted, engine: EngineProfile | None
    ) -> Iterator[tuple[Endpoint, float]]:
        find = self._directory.of_service if engine is None else self._directory.leaders_of
        for endpoint in find(wanted.service):
            if endpoint.is_leaving:
                continue
            penalty = 0.0 if endpoint.data_centre == self._data_centre else REMOTE_PENALTY
            if engine is None:
                yield endpoint, penalty
            elif self._is_open(endpoint, wanted.model):
                yield endpoint, penalty + self._incompleteness(endpoint, engine)

    def _is_open(self, leader: Endpoint, model: ModelName | None) -> bool:
        member = leader.membership
        if member is None or member.state is not MemberState.OPEN:
            return False
        return model is None or model in leader.models

    def _incompleteness(self, head: Endpoint, engine: EngineProfile) -> float:
        assert head.membership is not None
        members = self._directory.members(head.membership.key)
        sizes = [engine.models[m].group_size for m in head.models if m in engine.models]
        if len(members) < max(sizes, default=1):
            return INCOMPLETE_PENALTY
        is_leaving = any(member.is_leaving for member in members.values())
        return LEAVING_PENALTY if is_leaving else 0.0

    def _load(self, endpoint: Endpoint, engine: EngineProfile | None) -> float:
        slots = engine.slots if engine is not None else PLAIN_SLOTS
        running = self._running.get(endpoint.id, 0) + self._peers.running(endpoint.id)
        return running / slots


def _engine_of(wanted: Wanted, configuration: Configuration) -> EngineProfile | None:
    """Return the profile of the engines that a request needs; None for a plain service."""
    service = configuration.services.get(wanted.service)
    return service.engine if service is not None else None
