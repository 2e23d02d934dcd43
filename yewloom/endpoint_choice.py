"""Choose the next endpoint for a request.

The choice respects the limits of the route, of retries and of a planned stop.
"""

import math
from collections.abc import Container

import trio

from yewloom.attempts import AttemptState
from yewloom.endpoint_availability import EndpointAvailability
from yewloom.forward_request import Attempt, ForwardRequest
from yewloom.ids import HostId
from yewloom.planned_stop import PlannedStop
from yewloom.quarantines import Quarantines
from yewloom.retry_window import RetryBudget
from yewloom.route_durations import RouteDurations
from yewloom.selection import Selector
from yewloom.shared_silence import find_silent
from yewloom.stalls import StallDetector

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
        stalls: StallDetector,
    ) -> None:
        self._stalls = stalls
        self._availability = availability
        self._quarantines = quarantines
        self._selector = selector
        self._retries = retries
        self._stop = stop
        self.durations = RouteDurations()

    def may_send(self, request: ForwardRequest) -> bool:
        """Return whether a request may be sent once more, to an endpoint or through a peer."""
        record = request.record
        if not record.may_try_another and not self._may_return(request):
            return False
        return self.has_time_before_stop(request) and not self._was_quarantined(request)

    def take_next(self, request: ForwardRequest) -> Attempt | None:
        """Return the next attempt of a request that may be sent, or None if there is no endpoint.

        The attempt is counted, and from now on the request counts as running at its endpoint.
        """
        return self._take(request, self._tried(request))

    def take_beside(self, request: ForwardRequest, silent: Attempt) -> Attempt | None:
        """Return an attempt beside one whose endpoint is silent.

        Its endpoint is neither avoided nor likely to be silent. Without such an endpoint, the
        request waits where it is: a run that may go on is worth more than one elsewhere that may
        not begin. If it has waited for that reason, it waits once more when the first endpoint
        wakes up, since its own is likely to follow.
        """
        if not self.may_send(request):
            return None
        now_s, tried = trio.current_time(), self._tried(request)
        candidates = self._selector.candidates(request.requirements, request.configuration, now_s)
        excluded = find_silent(candidates, tried, self._stalls, now_s).union(tried)
        excluded |= {each.id for each in candidates if self._selector.is_avoided(each, now_s)}
        was_held_back = silent.is_held_back
        silent.is_held_back = all(each.id in excluded for each in candidates)
        return None if was_held_back else self._take(request, excluded)

    def return_wait_s(self, request: ForwardRequest) -> float | None:
        """Return how long to wait before a request goes back to an endpoint that turned it away.

        None if there is no such endpoint, if the request's time ends before, or if it is due now.
        """
        now_s = trio.current_time()
        return_s = self._return_s(request, now_s)
        if now_s >= return_s or return_s >= request.deadline_s:
            return None
        return return_s - now_s

    def end_attempt(self, request: ForwardRequest, attempt: Attempt) -> None:
        """Record that an attempt has ended; a retry counts only if something was sent."""
        self._selector.end(attempt.endpoint.id)
        self._selector.outliers.end(attempt.endpoint.id, attempt.began_s)
        request.record.end(attempt.endpoint.id)
        state = request.record.states[attempt.endpoint.id]
        if state is AttemptState.NOT_RUN:
            request.returns.record_not_run(trio.current_time())
        if attempt.retry is None:
            return
        if state is AttemptState.NOTHING_SENT:
            self._retries.cancel(request.requirements.service, attempt.retry)
        else:
            attempt.settle_retry(trio.current_time())

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

    def _may_return(self, request: ForwardRequest) -> bool:
        """Return whether a request may be sent again now to an endpoint that turned it away."""
        now_s = trio.current_time()
        return now_s >= self._return_s(request, now_s)

    def _return_s(self, request: ForwardRequest, now_s: float) -> float:
        """Return when a request may be sent again to an endpoint that turned it away.

        The endpoint may have asked for a pause with it. Infinite if there is no such endpoint.
        """
        returnable = _returnable(request)
        if not returnable:
            return math.inf
        candidates = self._selector.candidates(request.requirements, request.configuration, now_s)
        wait_s = min(
            (
                self._availability.wait_s(each, now_s)
                for each in candidates
                if each.id in returnable
            ),
            default=math.inf,
        )
        return max(request.returns.next_s, now_s + wait_s)

    def _tried(self, request: ForwardRequest) -> set[HostId]:
        """Return the endpoints that a request may not be sent to next.

        If its route allows no further ones, these are all but those that turned it away.
        """
        record = request.record
        if record.may_try_another:
            return set(record.states)
        candidates = self._selector.candidates(
            request.requirements, request.configuration, trio.current_time()
        )
        return {each.id for each in candidates} - _returnable(request)

    def _take(self, request: ForwardRequest, excluded: Container[HostId]) -> Attempt | None:
        """Choose an endpoint and count the attempt, without yielding to other tasks in between."""
        now_s = trio.current_time()
        may_retry = request.route.may_retry
        endpoint = self._selector.select(
            request.requirements, request.configuration, excluded, now_s, may_retry
        )
        if endpoint is None:
            return None
        retry = None
        if request.record.is_retry():
            retry = self._retries.try_acquire(request.requirements.service, now_s)
            if retry is None:
                return None
        self._availability.limits.take_token(endpoint, now_s)
        self._selector.begin(endpoint.id)
        self._selector.outliers.begin(endpoint.id, now_s)
        request.record.begin(endpoint.id)
        return Attempt(endpoint, retry, began_s=now_s)

    def _was_quarantined(self, request: ForwardRequest) -> bool:
        """Return whether a request or a part of it was quarantined since its admission."""
        if not self._quarantines.has_any:
            return False
        count = self._quarantines.count_of(request.fingerprint, request.metadata.shared_parts)
        return count > request.quarantine_count


def _returnable(request: ForwardRequest) -> set[HostId]:
    """Return the endpoints to which a request may be sent again, as no further ones.

    They turned it away. A caller that has a part of its answer would lose it; any other is better
    told at once, so that it can ask another host.
    """
    return request.record.turned_away() if request.response_writer.is_started else set()
