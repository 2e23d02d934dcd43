"""The operator's configuration as one versioned snapshot, and its age.

A snapshot is never replaced by an older version. Its age counts from the time at which the request
that last confirmed it was sent, so a pause or a delay can only make it look older than it is, never
more recent.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import field

from yewloom.engine_pace import EnginePace
from yewloom.ids import CustomerId, ModelName, ServiceName
from yewloom.routes import RouteTable
from yewloom.values import value_class

MAX_REPORTED_AGE_S = 1e6
"""Upper bound on the configuration age reported to peers and logs; replaces an infinite age."""


@value_class
class CallerLimits:
    """Size limits for callers' requests, and time-outs for headers and idle connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@value_class
class ReplicaModel:
    """A model whose replicas span several hosts.

    ``initial_host_share`` is the fraction of hosts initially assigned to the model;
    ``duration_factor`` is a factor that multiplies all of its durations.
    """

    name: ModelName
    group_size: int
    initial_host_share: float
    duration_factor: float
    load_s: float
    join_s: float


@value_class
class EngineProfile:
    """Capabilities of the endpoints of a model engine service.

    ``loads_per_s`` is the rate limit of the weight store, from which they load models' weights.
    ``pace`` is None if the engines do not publish it.
    """

    slots: int
    models: Mapping[ModelName, ReplicaModel]
    loads_per_s: float
    pace: EnginePace | None = None


@value_class
class Service:
    """A service; ``engine`` is None for a plain service."""

    name: ServiceName
    engine: EngineProfile | None = None


@value_class
class Configuration:
    """One version of the operator's configuration.

    ``requires_keys`` is whether routes that do not allow anonymous access require an API key;
    ``customers`` is keyed by API key. If keys are required and there are none, no request is
    allowed on these routes.
    """

    version: int
    routes: RouteTable
    services: Mapping[ServiceName, Service]
    requires_keys: bool
    customers: Mapping[str, CustomerId]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def engine_services(self) -> list[Service]:
        """Return the services whose endpoints are model engines."""
        return [service for service in self.services.values() if service.engine is not None]


class ConfigurationState:
    """Holds the newest configuration and the time at which it was last confirmed to be current.

    While ``trusts_store`` returns false, only peers confirm it; what the store has said until then
    counts from when it returns true, unless a peer has a newer version.
    """

    def __init__(self, trusts_store: Callable[[], bool] = lambda: True) -> None:
        self._trusts_store = trusts_store
        self.current: Configuration | None = None
        self._confirmed_s = float("-inf")
        self._store_confirmed_s = float("-inf")
        self.newest_version = 0
        """The newest version known to exist, whether or not this host has read it."""

    @property
    def is_outdated(self) -> bool:
        """Return whether a version newer than the current one is known to exist."""
        return self.current is not None and self.newest_version > self.current.version

    def apply(self, configuration: Configuration, confirmed_s: float) -> bool:
        """Apply a configuration read after ``confirmed_s``; return whether it is newer."""
        is_newer = self.current is None or configuration.version > self.current.version
        if is_newer:
            self.current = configuration
        if self.current is not None and configuration.version >= self.current.version:
            self.confirm(confirmed_s)
        return is_newer

    def confirm(self, confirmed_s: float) -> None:
        """Record that no newer version existed at some time after ``confirmed_s``."""
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def confirm_from_store(self, confirmed_s: float) -> None:
        """Record that the store knew no newer version at some time after ``confirmed_s``.

        A store that lacks a version which a peer has may have gone back to an older copy.
        """
        if not self.is_outdated:
            self._store_confirmed_s = max(self._store_confirmed_s, confirmed_s)

    def record_version(self, version: int) -> None:
        """Record that a version exists, whether or not this host can read it."""
        self.newest_version = max(self.newest_version, version)
        if self.is_outdated and not self._trusts_store():
            self._store_confirmed_s = float("-inf")

    @property
    def has_been_confirmed(self) -> bool:
        """Return whether the current version, or an earlier one, was ever known to be current."""
        return self._latest_confirmed_s() > float("-inf")

    def age_s(self, now_s: float) -> float:
        """Return for how long a newer version may have gone unnoticed; infinite at first."""
        return now_s - self._latest_confirmed_s()

    def read_age_s(self, now_s: float) -> float:
        """Return the same by what was read, whether or not the store is trusted."""
        return now_s - max(self._confirmed_s, self._store_confirmed_s)

    def _latest_confirmed_s(self) -> float:
        if not self._trusts_store():
            return self._confirmed_s
        return max(self._confirmed_s, self._store_confirmed_s)

    def reported_age_ms(self, now_s: float) -> int:
        """Return the age in whole milliseconds, bounded, for peers and logs."""
        return math.ceil(min(self.age_s(now_s), MAX_REPORTED_AGE_S) * 1000)
