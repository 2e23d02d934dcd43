"""Select the endpoint for a request by the load from this entry host and its peers."""

import random
from collections import Counter, defaultdict
from collections.abc import Container, Iterator, Mapping

from yewloom.configuration import Configuration, EngineProfile
from yewloom.directory import Endpoint, EndpointDirectory, MemberState
from yewloom.ended_groups import EndedGroups
from yewloom.endpoint_availability import EndpointAvailability
from yewloom.entry_states import PeerStates
from yewloom.event_paces import EventIntervals
from yewloom.ids import DataCentreId, HostId, ModelName, ServiceName
from yewloom.load_uncertainty import LoadUncertainty, choose_by_score
from yewloom.outliers import OutlierDetector
from yewloom.reachability import Reachability
from yewloom.routes import Route
from yewloom.values import value_class

REMOTE_PENALTY = 0.25
"""Added to the score of an endpoint in another data centre, as traffic between data centres costs
money and adds a few milliseconds. An endpoint with a low score is selected. Without penalties the
score is the endpoint's load, which is 1.0 if all its slots are taken."""

INCOMPLETE_PENALTY = 0.5
"""Added for a group with a member that is not listed. Either the member is lost and the
group's streams stall, or it is only cut off from the store and the group continues to serve."""

LEAVING_PENALTY = 0.3
"""Added for a group with a leaving member; it may stop accepting requests at any moment."""

SLOW_PENALTY = 0.6
"""Added for a group that has become slow: it gets requests only while more than half of the other
groups' slots are taken, but is still preferred to avoided endpoints."""

AVOIDED_PENALTY = 5.0
"""Added for an endpoint that is avoided temporarily. It is selected only if all are avoided: a
request that is sent may still be answered, whereas a refused one is not."""

MISSING_PENALTY = 1.0
"""Added for an endpoint that the latest listing lacks, as if all its slots were taken: the listed
ones get the requests while they have room."""

FULL_AVOIDANCE_S = 0.15
"""Time for which an endpoint that reported itself full, or that has just woken up, gets no new
requests: it processes a few batches in this time."""

MISDIRECTED_AVOIDANCE_S = 2.0
"""Time for which an endpoint that answered as another one gets no new requests; its entry in the
listing changes soon."""

PLAIN_SERVICE_SLOTS = 6
"""Number of concurrent requests that an endpoint of a plain service is assumed to handle."""


@value_class
class EndpointRequirements:
    """The endpoint that a request needs: one of ``service``.

    If ``model`` is given, the endpoint must lead a group that serves this model.
    """

    service: ServiceName
    model: ModelName | None


class Selector:
    """Selects endpoints, and counts the requests that this host has running at each."""

    def __init__(
        self,
        directory: EndpointDirectory,
        data_centre: DataCentreId,
        peers: PeerStates,
        rng: random.Random,
        reachability: Reachability,
        availability: EndpointAvailability,
        event_intervals: EventIntervals,
        ended: EndedGroups,
        outliers: OutlierDetector,
    ) -> None:
        self.outliers = outliers
        self._availability = availability
        self._ended = ended
        self._directory = directory
        self._reachability = reachability
        self._peers = peers
        self._data_centre = data_centre
        self._rng = rng
        self._running: defaultdict[HostId, int] = defaultdict(int)
        self._avoid_until_s: dict[HostId, float] = {}
        self.event_intervals = event_intervals
        self._uncertainties: defaultdict[EndpointRequirements, LoadUncertainty] = defaultdict(
            LoadUncertainty
        )

    def draw_service(self, route: Route) -> ServiceName:
        """Return the service for one request on a route, drawn at random by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [service.weight for service in route.services]
        return self._rng.choices(route.services, weights)[0].service

    def select(
        self,
        requirements: EndpointRequirements,
        configuration: Configuration,
        tried: Container[HostId],
        now_s: float,
        may_retry: bool = True,
    ) -> Endpoint | None:
        """Return an endpoint that accepts requests and was not tried, if any.

        It is one of the least loaded, by what this host knows of its peers' requests. One that the
        latest listing lacks may end at any moment. Without ``may_retry``, that would lose the
        request, so it is sent there only if there is no other endpoint.
        """
        engine = _engine_of(requirements, configuration)
        candidates = list(self._candidates(requirements, engine, now_s))
        slow = self.event_intervals.find_slow((endpoint.id for endpoint, _ in candidates), now_s)
        endpoints: list[Endpoint] = []
        scores: list[float] = []
        for endpoint, penalty in candidates:
            if endpoint.id in tried or self._availability.wait_s(endpoint, now_s) > 0:
                continue
            if endpoint.id in slow:
                penalty += SLOW_PENALTY
            if endpoint.id in self._directory.missing_until_s:
                penalty += MISSING_PENALTY if may_retry else AVOIDED_PENALTY
            if self.is_avoided(endpoint, now_s):
                penalty += AVOIDED_PENALTY
            endpoints.append(endpoint)
            scores.append(penalty + self._load(endpoint, engine, now_s))
        if not endpoints:
            return None
        uncertainty = self._uncertainties[requirements]
        uncertainty.record_choice(now_s)
        age_sum_s = self._peers.state_age_sum_s(now_s)
        spread = uncertainty.spread(age_sum_s, len(endpoints), _slots_of(engine), now_s)
        return endpoints[choose_by_score(scores, spread, self._rng)]

    def retry_after_s(
        self,
        requirements: EndpointRequirements,
        configuration: Configuration,
        now_s: float,
    ) -> float:
        """Return when to retry a request; 0 if an endpoint accepts it now, or if there is none.

        Only what endpoints have said themselves counts: their rate limits and pauses.
        """
        engine = _engine_of(requirements, configuration)
        endpoints = (endpoint for endpoint, _ in self._candidates(requirements, engine, now_s))
        return min((self._availability.retry_after_s(e, now_s) for e in endpoints), default=0.0)

    def is_limited(
        self,
        requirements: EndpointRequirements,
        configuration: Configuration,
        tried: Container[HostId],
        now_s: float,
    ) -> bool:
        """Return whether a rate limit alone keeps this host from each suitable untried endpoint.

        Another host may have a part of the limit left. False if there is no such endpoint, or if
        one accepts requests from this host.
        """
        engine = _engine_of(requirements, configuration)
        untried = [
            endpoint
            for endpoint, _ in self._candidates(requirements, engine, now_s)
            if endpoint.id not in tried and not self._availability.is_pausing(endpoint, now_s)
        ]
        return bool(untried) and all(self._availability.wait_s(e, now_s) > 0 for e in untried)

    def pause_end_s(
        self,
        requirements: EndpointRequirements,
        configuration: Configuration,
        tried: Container[HostId],
        now_s: float,
    ) -> float | None:
        """Return the time until the first pause of an untried endpoint ends.

        None if no such endpoint pauses, or if another one is available.
        """
        engine = _engine_of(requirements, configuration)
        candidates = self._candidates(requirements, engine, now_s)
        untried = [endpoint for endpoint, _ in candidates if endpoint.id not in tried]
        if any(self._availability.wait_s(endpoint, now_s) == 0 for endpoint in untried):
            return None
        pausing = (e for e in untried if self._availability.is_pausing(e, now_s))
        return min((self._availability.wait_s(e, now_s) for e in pausing), default=None)

    def has_lost_all(
        self, requirements: EndpointRequirements, configuration: Configuration, now_s: float
    ) -> bool:
        """Return whether this host reaches none of the endpoints that accept such requests."""
        if not self._reachability.has_unreachable:
            return False
        engine, has_candidates = _engine_of(requirements, configuration), False
        for endpoint, _ in self._candidates(requirements, engine, now_s):
            if not self._reachability.is_avoided(endpoint):
                return False
            has_candidates = True
        return has_candidates

    def begin(self, endpoint: HostId) -> None:
        """Count a request as running at an endpoint."""
        self._running[endpoint] += 1

    def end(self, endpoint: HostId) -> None:
        """Count a request at an endpoint as ended."""
        self._running[endpoint] -= 1
        if not self._running[endpoint]:
            del self._running[endpoint]

    def record_misdirected(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that an endpoint answered that it is not the one that requests are meant for.

        A group leader has left its group. At the address of a plain service's endpoint, another
        one may be running by now.
        """
        if endpoint.membership is not None:
            self._ended.record(endpoint.id, endpoint.membership.key, now_s)
        self.avoid(endpoint.id, now_s + MISDIRECTED_AVOIDANCE_S)

    def avoid(self, endpoint: HostId, until_s: float) -> None:
        """Send no new requests to an endpoint for some time, while there are others."""
        self._avoid_until_s[endpoint] = max(until_s, self._avoid_until_s.get(endpoint, 0.0))

    def shorten_avoidance(self, endpoint: HostId, until_s: float) -> None:
        """Avoid an endpoint no longer than until a given time."""
        if endpoint in self._avoid_until_s:
            self._avoid_until_s[endpoint] = min(until_s, self._avoid_until_s[endpoint])

    def candidates(
        self, requirements: EndpointRequirements, configuration: Configuration, now_s: float
    ) -> list[Endpoint]:
        """Return all endpoints that accept such requests, whether or not one could be sent now."""
        engine = _engine_of(requirements, configuration)
        return [endpoint for endpoint, _ in self._candidates(requirements, engine, now_s)]

    def is_avoided(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether an endpoint should get new requests only if there is no other one."""
        if self._avoid_until_s.get(endpoint.id, 0.0) > now_s:
            return True
        if self.outliers.is_left(endpoint.id, now_s):
            return True
        return self._reachability.is_avoided(endpoint)

    def forget(self, endpoint: HostId) -> None:
        """Drop the state of an endpoint that is no longer listed."""
        self._avoid_until_s.pop(endpoint, None)
        self.event_intervals.forget(endpoint)
        self.outliers.forget(endpoint)

    def running_here(self) -> Mapping[HostId, int]:
        """Return how many requests this host has running at each endpoint."""
        return self._running

    def running_everywhere(self) -> Counter[HostId]:
        """Return how many requests this host and its peers have running at each endpoint."""
        return Counter(self._running) + Counter(self._peers.loads())

    def _candidates(
        self, requirements: EndpointRequirements, engine: EngineProfile | None, now_s: float
    ) -> Iterator[tuple[Endpoint, float]]:
        find = self._directory.endpoints_of if engine is None else self._directory.leaders_of
        for endpoint in find(requirements.service):
            if endpoint.is_leaving:
                continue
            penalty = 0.0 if endpoint.data_centre == self._data_centre else REMOTE_PENALTY
            if engine is None:
                yield endpoint, penalty
            elif self._accepts_requests(endpoint, requirements.model, now_s):
                yield endpoint, penalty + self._membership_penalty(endpoint, engine)

    def _accepts_requests(self, leader: Endpoint, model: ModelName | None, now_s: float) -> bool:
        member = leader.membership
        if member is None or member.state is not MemberState.OPEN:
            return False
        if self._ended.has_ended(leader, now_s):
            return False
        return model is None or model in leader.models

    def _membership_penalty(self, leader: Endpoint, engine: EngineProfile) -> float:
        assert leader.membership is not None
        members = self._directory.members_of(leader.membership.key)
        sizes = [engine.models[m].group_size for m in leader.models if m in engine.models]
        if len(members) < max(sizes, default=1):
            return INCOMPLETE_PENALTY
        is_leaving = any(member.is_leaving for member in members.values())
        return LEAVING_PENALTY if is_leaving else 0.0

    def _load(self, endpoint: Endpoint, engine: EngineProfile | None, now_s: float) -> float:
        running = self._running.get(endpoint.id, 0) + self._peers.running(endpoint.id)
        running += self.outliers.failed_load(endpoint.id, now_s)
        return running / _slots_of(engine)


def _slots_of(engine: EngineProfile | None) -> int:
    """Return the number of concurrent requests of one endpoint of a service."""
    return engine.slots if engine is not None else PLAIN_SERVICE_SLOTS


def _engine_of(
    requirements: EndpointRequirements, configuration: Configuration
) -> EngineProfile | None:
    """Return the profile of the engines that serve a request, or None for a plain service."""
    service = configuration.services.get(requirements.service)
    return service.engine if service is not None else None
