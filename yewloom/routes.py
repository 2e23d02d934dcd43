"""Routes: which services answer a request, and whether the request may be retried.

A route is found by the host name in the request and the longest matching path prefix.
"""

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum

from yewloom.ids import RouteName, ServiceName
from yewloom.values import value_class


class RouteKind(Enum):
    """Whether requests that may have run can be retried, and whether responses are streams."""

    RETRYABLE = "repeatable"
    UNSAFE = "unsafe"
    STREAM = "stream"


@value_class
class ServiceWeight:
    """A service that gets a share of a route's requests, in proportion to its weight."""

    service: ServiceName
    weight: float


@value_class
class Route:
    """A route.

    ``max_endpoints`` limits the number of endpoints that one request may be sent to. Routes with
    ``allows_anonymous`` require no API key. Streams of routes with ``is_resumable`` may be resumed
    at another endpoint.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[ServiceWeight, ...]
    max_endpoints: int
    timeout_ms: int
    latency_objective_ms: int
    priority: int
    allows_anonymous: bool = False
    is_resumable: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether responses are streams of server-sent events."""
        return self.kind is RouteKind.STREAM

    @property
    def may_retry(self) -> bool:
        """Return whether a request that may have run can be sent to another endpoint."""
        return self.kind is RouteKind.RETRYABLE or self.is_resumable


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: defaultdict[str, list[Route]] = defaultdict(list)
        for route in routes:
            self._by_host[route.host.lower()].append(route)
        for same_host in self._by_host.values():
            same_host.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None if there is none."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
