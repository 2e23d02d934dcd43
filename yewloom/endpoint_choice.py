"""Which endpoint a request may be sent to next, within all bounds: the route's, retries', a stop's.

An answer that comes slowly is left only if the request can go on elsewhere; else it is worth more
than a cut.
"""

import trio

from yewloom.directory import Endpoint
from yewloom.endpoint_limits import EndpointLimits
from yewloom.forward_request import ForwardRequest
from yewloom.planned_stop import PlannedStop
from yewloom.quarantine import Quarantine
from yewloom.retry_window import RetryWindow
from yewloom.route_durations import RouteDurations
from yewloom.selection import Selector


class EndpointChoice:
    """Chooses the next endpoint of a request, and tells whether there is one.

    ``durations`` are those of answered requests, which tell what still fits before a stop.
    """

    def __init__(
        self,
        selector: Selector,
        retries: RetryWindow,
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

    def next(self, request: ForwardRequest) -> Endpoint | None:
        """Return the endpoint that gets a request next, and count the sending; None if none may.

        The request counts as running there from now on.
        """
        claimed, request.claimed = request.claimed, None
        return claimed or self._take(request)

    def claim_another(self, request: ForwardRequest) -> bool:
        """Claim another endpoint for a request that was sent; tell whether it may leave this one.

        ``next`` returns what was claimed: a repeat that is only seen to be left may be gone to
        another request before this one has left its endpoint.
        """
        request.claimed = self._take(request)
        return request.claimed is not None

    def drop_claim(self, request: ForwardRequest) -> None:
        """Give back an endpoint that was claimed for a request which has ended."""
        if request.claimed is not None:
            self._selector.end(request.claimed.id)
            request.claimed = None

    def _take(self, request: ForwardRequest) -> Endpoint | None:
        """Choose an endpoint and count the sending, all without letting another request in."""
        endpoint = self._best(request)
        if endpoint is None:
            return None
        service, now_s = request.wanted.service, trio.current_time()
        if request.record.is_repeat() and not self._retries.try_repeat(service, now_s):
            return None
        self._limits.spend(endpoint, now_s)
        self._selector.begin(endpoint.id)
        return endpoint

    def limit_wait_s(self, request: ForwardRequest) -> float:
        """Return how long the limits of endpoints alone keep a request; 0 if they don't."""
        return self._selector.limit_wait_s(
            request.wanted, request.configuration, request.record.states, trio.current_time()
        )

    def has_time_before_stop(self, request: ForwardRequest) -> bool:
        """Tell whether a planned stop leaves the time that half of the latest on a route took."""
        if not self._stop.is_begun:
            return True
        usual_s = self.durations.usual_s(request.route.name)
        return self._stop.has_time_for(usual_s, trio.current_time())

    def _best(self, request: ForwardRequest) -> Endpoint | None:
        record = request.record
        if record.states and not record.may_try_another:
            return None
        if not self.has_time_before_stop(request) or self._was_quarantined(request):
            return None
        return self._selector.choose(
            request.wanted, request.configuration, record.states, trio.current_time()
        )

    def _was_quarantined(self, request: ForwardRequest) -> bool:
        """Tell whether a request was found to end endpoints since it was admitted."""
        if not self._quarantine.has_any:
            return False
        return self._quarantine.count_of(request.fingerprint) > request.quarantine_count
