"""Pauses that endpoints ask for when they reject a request.

A pause concerns the host that was asked only: an endpoint asks each host for one according to what
it gets from it, so pauses are not reported to peers. Within a pause the host sends the endpoint no
request at all, neither a first attempt nor a retry, even if no other endpoint is available.

All times are seconds of trio's clock.
"""

import random
from collections.abc import Iterable

import structlog

from yewloom.endpoint_announcements import RequestedPause
from yewloom.ids import HostId
from yewloom.retry_after import DEFAULT_RETRY_AFTER_S, bounded_retry_after_s

logger = structlog.get_logger(__name__)

MAX_SPREAD_S = 0.25
"""Longest time over which requests that waited for the same endpoint return to it: some dozens of
an engine's batches."""


class EndpointPauses:
    """Remembers until when each endpoint wants no requests from this host."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._until_s: dict[HostId, float] = {}
        self._invalid_texts: dict[HostId, str] = {}

    def record(self, endpoint: HostId, pause: RequestedPause, now_s: float) -> None:
        """Record what a response says; an invalid duration is logged and changes nothing."""
        if pause.invalid_text:
            self._log_invalid(endpoint, pause.invalid_text)
        elif pause.pause_s > 0:
            self.apply(endpoint, pause.pause_s, now_s)

    def apply(self, endpoint: HostId, pause_s: float, now_s: float) -> None:
        """Start a pause, or extend it; a pause that would end earlier does not shorten it."""
        self._drop_ended(now_s)
        if now_s + pause_s <= self._until_s.get(endpoint, now_s):
            return
        logger.info("endpoint asked for a pause", endpoint=endpoint, pause_s=pause_s)
        self._until_s[endpoint] = now_s + pause_s

    def _log_invalid(self, endpoint: HostId, text: str) -> None:
        """Log an invalid duration, which an endpoint may repeat in each response, once."""
        if self._invalid_texts.get(endpoint) == text:
            return
        self._invalid_texts[endpoint] = text
        logger.warning("invalid endpoint pause", endpoint=endpoint, text=text)

    def forget(self, endpoint: HostId) -> None:
        """End the pause of an endpoint that was restarted."""
        self._until_s.pop(endpoint, None)
        self._invalid_texts.pop(endpoint, None)

    def wait_s(self, endpoint: HostId, now_s: float) -> float:
        """Return the time until the pause ends; 0 without a pause."""
        return max(0.0, self._until_s.get(endpoint, now_s) - now_s)

    def spread_wait_s(self, wait_s: float) -> float:
        """Return a wait for the end of a pause, extended so that requests return one by one."""
        return wait_s + self._rng.uniform(0, min(wait_s, MAX_SPREAD_S))

    def retry_after_s(self, waits_s: Iterable[float]) -> float:
        """Return when to retry a request that found no endpoint, given the waits for each."""
        wait_s = min(waits_s, default=0.0)
        if not wait_s:
            return DEFAULT_RETRY_AFTER_S
        return bounded_retry_after_s(self.spread_wait_s(wait_s))

    def _drop_ended(self, now_s: float) -> None:
        self._until_s = {e: until_s for e, until_s in self._until_s.items() if until_s > now_s}
