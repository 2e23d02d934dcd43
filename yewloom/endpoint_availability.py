"""Whether an endpoint accepts a request from this host now, by what it has said itself.

Other modules estimate whether a request is likely to succeed; such an endpoint is only less
preferred. What an endpoint has said is binding: it gets no request, even as the last resort.
"""

from yewloom.departures import Departures
from yewloom.directory import Endpoint
from yewloom.endpoint_announcements import EndpointAnnouncements
from yewloom.endpoint_limits import EndpointLimits
from yewloom.endpoint_pauses import EndpointPauses
from yewloom.ids import HostId


class EndpointAvailability:
    """Combines the rate limits, pauses and departures of endpoints."""

    def __init__(
        self, limits: EndpointLimits, pauses: EndpointPauses, departures: Departures
    ) -> None:
        self.limits = limits
        self.pauses = pauses
        self._departures = departures

    def record(self, endpoint: HostId, said: EndpointAnnouncements, now_s: float) -> None:
        """Record what an endpoint says of itself in a response.

        Another process that answers at its address speaks for itself only.
        """
        if said.is_leaving:
            self._departures.record(said.answered_by or endpoint)
        limit = said.limit
        if limit.is_announced:
            self.limits.apply_announced(endpoint, limit.per_s, now_s)
        elif limit.invalid_text:
            self.limits.log_invalid(endpoint, limit.invalid_text)
        self.pauses.record(endpoint, said.pause, now_s)

    def wait_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return the time until this host may send a request; 0 if it may send one now."""
        return max(self.limits.wait_s(endpoint, now_s), self.pauses.wait_s(endpoint.id, now_s))

    def retry_after_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return ``wait_s`` for a caller that is refused, spread at the end of a pause."""
        pause_s = self.pauses.wait_s(endpoint.id, now_s)
        return max(self.limits.wait_s(endpoint, now_s), self.pauses.spread_wait_s(pause_s))

    def is_withdrawn(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether a request that was admitted for an endpoint may no longer be sent.

        The endpoint may have asked for a pause or said that it leaves since. The request is part of
        its rate limit already.
        """
        return self._departures.is_leaving(endpoint.id) or self.is_pausing(endpoint, now_s)

    def is_pausing(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether an endpoint wants no requests from this host for some time."""
        return self.pauses.wait_s(endpoint.id, now_s) > 0
