"""Choose the next endpoint for a request.

The choice respects the limits of the route, of retries and of a planned stop. A slow response is
abandoned only if the request can continue at another endpoint; otherwise a slow response is better
than a truncated one.
"""

import trio

from yewloom.directory import Endpoint
from yewloom.endpoint_limits import EndpointLimits
from yewloom.forward_request import ForwardRequest
from yewloom.planned_stop import PlannedStop
from yewloom.quarantine import Quarantine
from yewloom.retry_window import RetryBudget
from yewloom.route_durations import RouteDurations
from yewloom.selection import Selector


class EndpointChooser:
    """Chooses the next endpoint of a request, if there is one.

    ``durations`` holds the durations of answered requests. They determine whether a request can be
    expected to end before a planned stop.
    """

    def __init__(
        self,
        selector: Selector,
        retries: RetryBudget,
        stop: PlannedStop,
        quarantine: Quarantine,
        limits: EndpointLimits,
    ) -> None:
        self._limits = limits
        self._quarantine = quarantine
        self._selector = selector
        self._retries = retries
        self._stop = stop
        self.durations = RouteDurations()

    def take_next(self, request: ForwardRequest) -> Endpoint | None:
        """Return the endpoint that gets a request next, or None if there is none.

        The attempt is counted, and from now on the request counts as running at that endpoint.
        """
        reserved, request.reserved_endpoint = request.reserved_endpoint, None
        return reserved or self._reserve(request)

    def reserve_another(self, request: ForwardRequest) -> bool:
        """Reserve another endpoint for a request that was sent; return whether there is one.

        If so, the request may abandon its current endpoint, and ``take_next`` returns the reserved
        one. Without the reservation, another request could use up the last allowed retry before
        this request has abandoned its endpoint.
        """
        request.reserved_endpoint = self._reserve(request)
        return request.reserved_endpoint is not None

    def release_reserved(self, request: ForwardRequest) -> None:
        """Release the endpoint that was reserved for a request which has ended."""
        if request.reserved_endpoint is not None:
            self._selector.end(request.reserved_endpoint.id)
            request.reserved_endpoint = None

    def _reserve(self, request: ForwardRequest) -> Endpoint | None:
        """Choose an endpoint and count the attempt, without yielding to other tasks in between."""
        endpoint = self._select(request)
        if endpoint is None:
            return None
        service, now_s = request.requirements.service, trio.current_time()
        if request.record.is_retry() and not self._retries.try_acquire(service, now_s):
            return None
        self._limits.take_token(endpoint, now_s)
        self._selector.begin(endpoint.id)
        return endpoint

    def limit_wait_s(self, request: ForwardRequest) -> float:
        """Return how long only rate limits prevent sending a request; 0 if they do not."""
        return self._selector.limit_wait_s(
            request.requirements, request.configuration, request.record.states, trio.current_time()
        )

    def has_time_before_stop(self, request: ForwardRequest) -> bool:
        """Return whether a planned stop leaves enough time for one more attempt.

        An attempt is expected to take the median duration of the route's latest answered requests.
        """
        if not self._stop.has_begun:
            return True
        duration_s = self.durations.median_s(request.route.name)
        return self._stop.has_time_for(duration_s, trio.current_time())

    def _select(self, request: ForwardRequest) -> Endpoint | None:
        record = request.record
        if record.states and not record.may_try_another:
            return None
        if not self.has_time_before_stop(request) or self._was_quarantined(request):
            return None
        return self._selector.select(
            request.requirements, request.configuration, record.states, trio.current_time()
        )

    def _was_quarantined(self, request: ForwardRequest) -> bool:
        """Return whether a request was quarantined for crashing endpoints since its admission."""
        if not self._quarantine.has_any:
            return False
        return self._quarantine.count_of(request.fingerprint) > request.quarantine_count
