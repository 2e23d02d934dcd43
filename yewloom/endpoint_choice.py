"""Choose the next endpoint for a request.

The choice respects the limits of the route, of retries and of a planned stop. A slow response is
abandoned only if the request can continue at another endpoint; otherwise a slow response is better
than a truncated one.
"""

import trio

from yewloom.attempts import AttemptState
from yewloom.directory import Endpoint
from yewloom.endpoint_availability import EndpointAvailability
from yewloom.forward_request import ForwardRequest
from yewloom.planned_stop import PlannedStop
from yewloom.quarantines import Quarantines
from yewloom.retry_window import RetryBudget
from yewloom.route_durations import RouteDurations
from yewloom.selection import Selector

MAX_WAIT_SHARE = 0.25
"""Longest wait for an endpoint that pauses, as a share of the request's time. A caller that is told
to retry needs a new connection and may be refused again; most of the time is left for the answer.
"""


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
        quarantines: Quarantines,
        availability: EndpointAvailability,
    ) -> None:
        self._availability = availability
        self._quarantines = quarantines
        self._selector = selector
        self._retries = retries
        self._stop = stop
        self.durations = RouteDurations()

    def may_send(self, request: ForwardRequest) -> bool:
        """Return whether a request may be sent once more, to an endpoint or through a peer."""
        if request.reserved_endpoint is not None:
            return True  # The rules were applied when it was reserved.
        if not request.record.may_try_another:
            return False
        return self.has_time_before_stop(request) and not self._was_quarantined(request)

    def take_next(self, request: ForwardRequest) -> Endpoint | None:
        """Return the endpoint that gets a request next, or None if there is none.

        The request must be one that may be sent. The attempt is counted, and from now on the
        request counts as running at that endpoint.
        """
        reserved, request.reserved_endpoint = request.reserved_endpoint, None
        return reserved or self._reserve(request)

    def reserve_another(self, request: ForwardRequest) -> bool:
        """Reserve another endpoint for a request that was sent; return whether there is one.

        If so, the request may abandon its current endpoint, and ``take_next`` returns the reserved
        one. Without the reservation, another request could use up the last allowed retry before
        this request has abandoned its endpoint.
        """
        if self.may_send(request):
            request.reserved_endpoint = self._reserve(request)
        return request.reserved_endpoint is not None

    def release_reserved(self, request: ForwardRequest) -> None:
        """Release the endpoint that was reserved for a request which has ended."""
        if request.reserved_endpoint is not None:
            self._selector.end(request.reserved_endpoint.id)
            request.reserved_endpoint = None
            self._cancel_retry(request)

    def _reserve(self, request: ForwardRequest) -> Endpoint | None:
        """Choose an endpoint and count the attempt, without yielding to other tasks in between."""
        endpoint = self._select(request)
        if endpoint is None:
            return None
        now_s = trio.current_time()
        if request.record.is_retry() and not self._acquire_retry(request, now_s):
            return None
        self._availability.limits.take_token(endpoint, now_s)
        self._selector.begin(endpoint.id)
        return endpoint

    def end_attempt(self, request: ForwardRequest, endpoint: Endpoint) -> None:
        """Record that an attempt has ended; a retry counts only if something was sent."""
        self._selector.end(endpoint.id)
        if request.reserved_endpoint is not None:
            return  # The retry is that of the next attempt.
        if request.record.states.get(endpoint.id) is AttemptState.NOTHING_SENT:
            self._cancel_retry(request)
        else:
            request.settle_retry(trio.current_time())

    def _acquire_retry(self, request: ForwardRequest, now_s: float) -> bool:
        """Take a retry from the budget; return whether it allows one."""
        retry = self._retries.try_acquire(request.requirements.service, now_s)
        if retry is None:
            return False
        request.settle_retry(now_s)
        request.retry = retry
        return True

    def _cancel_retry(self, request: ForwardRequest) -> None:
        if request.retry is not None:
            self._retries.cancel(request.requirements.service, request.retry)
            request.retry = None

    def retry_after_s(self, request: ForwardRequest) -> float:
        """Return when rate limits and pauses allow sending a request anew; 0 if they do now."""
        return self._selector.retry_after_s(
            request.requirements, request.configuration, trio.current_time()
        )

    def is_limited(self, request: ForwardRequest) -> bool:
        """Return whether only this host's shares of rate limits keep a request from endpoints."""
        return self._selector.is_limited(
            request.requirements, request.configuration, request.record.states, trio.current_time()
        )

    def pause_wait_s(self, request: ForwardRequest) -> float | None:
        """Return how long to wait for an endpoint that pauses; None if the request can't wait.

        The wait is part of the request's first MAX_WAIT_SHARE, and ends at a random time after the
        pause.
        """
        now_s = trio.current_time()
        pause_s = self._selector.pause_end_s(
            request.requirements, request.configuration, request.record.states, now_s
        )
        if pause_s is None:
            return None
        wait_s = self._availability.pauses.spread_wait_s(pause_s)
        read_s = request.caller_request.read_s
        wait_until_s = read_s + MAX_WAIT_SHARE * (request.deadline_s - read_s)
        return wait_s if now_s + wait_s <= wait_until_s else None

    def has_time_before_stop(self, request: ForwardRequest) -> bool:
        """Return whether a planned stop leaves enough time for one more attempt.

        An attempt is expected to take the median duration of the route's latest answered requests.
        """
        if not self._stop.has_begun:
            return True
        duration_s = self.durations.median_s(request.route.name)
        return self._stop.has_time_for(duration_s, trio.current_time())

    def _select(self, request: ForwardRequest) -> Endpoint | None:
        return self._selector.select(
            request.requirements, request.configuration, request.record.states, trio.current_time()
        )

    def _was_quarantined(self, request: ForwardRequest) -> bool:
        """Return whether a request or a part of it was quarantined since its admission."""
        if not self._quarantines.has_any:
            return False
        count = self._quarantines.count_of(request.fingerprint, request.metadata.shared_parts)
        return count > request.quarantine_count
