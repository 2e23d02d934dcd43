"""Routes: which service answers a request, and what may be done with the request.

A route is found by the host name that the caller asked for and the longest path prefix.
"""

from collections import defaultdict
from collections.abc import Iterable
from enum import Enum

from yewloom.ids import RouteName, ServiceName
from yewloom.values import value_class


class RouteKind(Enum):
    """How a route's requests may be repeated and how their answers come."""

    REPEATABLE = "repeatable"
    UNSAFE = "unsafe"
    STREAM = "stream"


@value_class
class ServiceWeight:
    """A service that gets a part of a route's requests, by weight."""

    service: ServiceName
    weight: float


@value_class
class Route:
    """A route. ``max_endpoints`` bounds the endpoints that one request may be sent to.

    ``is_open`` routes ask for no key; streams of ``is_resumable`` routes may go on elsewhere.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[ServiceWeight, ...]
    max_endpoints: int
    timeout_ms: int
    objective_ms: int
    priority: int
    is_open: bool = False
    is_resumable: bool = False

    @property
    def is_stream(self) -> bool:
        """Tell whether answers come as events."""
        return self.kind is RouteKind.STREAM

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request that may have run can be sent to another endpoint."""
        return self.kind is RouteKind.REPEATABLE or self.is_resumable


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: defaultdict[str, list[Route]] = defaultdict(list)
        for route in routes:
            self._by_host[route.host.lower()].append(route)
        for same_host in self._by_host.values():
            same_host.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path; None if there is none."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
