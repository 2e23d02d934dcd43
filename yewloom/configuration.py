"""The operator's configuration as one versioned snapshot, and how fresh it is known to be.

A snapshot is never replaced by an older one. Its age counts from before the question was sent
whose answer proved it current, so a pause or a delay makes it older, never fresher.
"""

import math
from collections.abc import Mapping
from dataclasses import field

from yewloom.ids import CustomerId, ModelName, ServiceName
from yewloom.routes import RouteTable
from yewloom.values import value_class

MAX_STATED_AGE_S = 1e6
"""Greatest age of a configuration that is told to peers and logs, in place of an infinite one."""


@value_class
class CallerLimits:
    """What a caller may send, and for how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@value_class
class ReplicaModel:
    """A model whose replicas span several hosts.

    ``share`` is its part of the hosts at the start; ``pace`` multiplies all its times.
    """

    name: ModelName
    group_size: int
    share: float
    pace: float
    load_s: float
    warm_up_s: float


@value_class
class EngineProfile:
    """What the endpoints of a service of model engines can do."""

    slots: int
    models: Mapping[ModelName, ReplicaModel]
    loads_per_s: float


@value_class
class Service:
    """A service; ``engine`` is None for a plain one."""

    name: ServiceName
    engine: EngineProfile | None = None


@value_class
class Configuration:
    """One version of the operator's configuration; ``customers`` is by API key."""

    version: int
    routes: RouteTable
    services: Mapping[ServiceName, Service]
    customers: Mapping[str, CustomerId]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def asks_for_keys(self) -> bool:
        """Tell whether routes that are not open need a key."""
        return bool(self.customers)

    def engine_services(self) -> list[Service]:
        """Return the services of model engines."""
        return [service for service in self.services.values() if service.engine is not None]


class ConfigurationBook:
    """Holds the newest configuration and the time from which it is known to be current."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self._confirmed_s = float("-inf")
        self.newest_version = 0
        """The newest version that is known to exist, whether or not this host has it."""

    @property
    def is_outdated(self) -> bool:
        """Tell whether a version newer than the current one is known to exist."""
        return self.current is not None and self.newest_version > self.current.version

    def apply(self, configuration: Configuration, proved_s: float) -> bool:
        """Take in a configuration read after ``proved_s``; tell whether it is a newer one."""
        is_newer = self.current is None or configuration.version > self.current.version
        if is_newer:
            self.current = configuration
        if self.current is not None and configuration.version >= self.current.version:
            self.confirm(proved_s)
        return is_newer

    def confirm(self, proved_s: float) -> None:
        """Take in that no newer version existed at some time after ``proved_s``."""
        self._confirmed_s = max(self._confirmed_s, proved_s)

    def note_version(self, version: int) -> None:
        """Take in that a version exists, whether or not this host can read it."""
        self.newest_version = max(self.newest_version, version)

    def age_s(self, now_s: float) -> float:
        """Return the time for which a newer version may have gone unseen; infinite at first."""
        return now_s - self._confirmed_s

    def stated_age_ms(self, now_s: float) -> int:
        """Return the age in whole milliseconds as it is told to peers and logs."""
        return math.ceil(min(self.age_s(now_s), MAX_STATED_AGE_S) * 1000)
