"""Endpoints that have said in a response that they leave.

An endpoint's own word holds against every listing: a listing may be older, and the store may have
lost what the endpoint wrote there. It ends with the process that gave it.
"""

from collections.abc import Callable
from dataclasses import replace

import structlog

from yewloom.directory import Endpoint
from yewloom.ids import HostId

logger = structlog.get_logger(__name__)

MAX_DEPARTURES = 4096
"""Number of latest departures that are remembered, also of endpoints that are not listed any more:
a store that goes back to an older copy lists some of them again."""


class Departures:
    """Remembers which endpoints leave by their own word.

    ``on_departure`` is called with the id of each endpoint that gives its word for the first time.
    """

    def __init__(self) -> None:
        self.on_departure: Callable[[HostId], None] = lambda endpoint_id: None
        self._started_unix_ms: dict[HostId, int | None] = {}  # In the order of the words.

    def record(self, endpoint: HostId) -> None:
        """Record that an endpoint said in a response that it leaves."""
        if endpoint in self._started_unix_ms:
            return
        logger.info("endpoint leaving", endpoint=endpoint, source="response")
        self._started_unix_ms[endpoint] = None
        if len(self._started_unix_ms) > MAX_DEPARTURES:
            del self._started_unix_ms[next(iter(self._started_unix_ms))]
        self.on_departure(endpoint)

    def is_leaving(self, endpoint: HostId) -> bool:
        """Return whether an endpoint has said that it leaves."""
        return endpoint in self._started_unix_ms

    def mark(self, endpoint: Endpoint) -> Endpoint:
        """Return a listed endpoint, marked as leaving if its process has said so.

        A process that started later than the one that was listed at the time has not.
        """
        if endpoint.id not in self._started_unix_ms:
            return endpoint
        started_unix_ms = self._started_unix_ms[endpoint.id]
        if started_unix_ms is None:
            self._started_unix_ms[endpoint.id] = endpoint.started_unix_ms
        elif endpoint.started_unix_ms > started_unix_ms:
            del self._started_unix_ms[endpoint.id]
            return endpoint
        return endpoint if endpoint.is_leaving else replace(endpoint, is_leaving=True)
