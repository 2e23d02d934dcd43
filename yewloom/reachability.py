"""Track unreachable endpoints, and data centres that are cut off.

An endpoint to which a connection failed gets no requests until a connection succeeds. Probes, i.e.
connections on which nothing is sent, find this out. Callers' requests are not used for it, as each
of them would have to wait for the connect timeout.

Connection failures often have a common cause. If two endpoints of a data centre are unreachable and
none has been reached since, the whole data centre is avoided. Other endpoints of it are probed
immediately, so that a wrong conclusion is corrected within milliseconds.

If one data centre is cut off, the others are probed immediately too: this host itself may be cut
off from all endpoints, and each request that tries one of them would wait for a timeout.

All times are seconds of trio's clock.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.ids import DataCentreId, HostId

CUT_OFF_THRESHOLD = 2
"""Number of unreachable endpoints at which their data centre counts as cut off. Single endpoints
crash now and then; two within a second are rare except in a network partition."""

FAILURE_WINDOW_S = 1.0
"""Time for which a failed connection counts towards that threshold."""

PROBE_INTERVAL_S = 0.5
"""Interval between probes of an endpoint; its recovery is noticed after half of that on average."""

VERIFICATION_AGE_S = 0.1
"""Time since the last connection to a data centre after which it is probed when another one is cut
off: a busy host connects several times in it."""

CUT_OFF_PROBE_INTERVAL_S = 0.25
"""Interval between rounds of probes to a data centre that is cut off. A round takes as long, since
probes fail by the connect timeout."""

CUT_OFF_PROBE_COUNT = 2
"""Number of endpoints that are probed in each round while their data centre is cut off, and in each
other data centre when that begins."""


@dataclass
class _UnreachableEndpoint:
    """An endpoint that is unreachable."""

    endpoint: Endpoint
    failed_s: float
    probe_due_s: float


@dataclass
class _CutOffDataCentre:
    """A data centre that is cut off."""

    probe_due_s: float
    probed: set[HostId] = field(default_factory=set)


class Reachability:
    """Tracks which endpoints this host can connect to."""

    def __init__(
        self, directory: EndpointDirectory, on_unreachable: Callable[[], None] = lambda: None
    ) -> None:
        """Create a tracker; ``on_unreachable`` is called when an endpoint is found unreachable."""
        self._directory = directory
        self._on_unreachable = on_unreachable
        self._unreachable: dict[HostId, _UnreachableEndpoint] = {}
        self._cut_off: dict[DataCentreId, _CutOffDataCentre] = {}
        self._connected_s: defaultdict[DataCentreId, float] = defaultdict(lambda: -math.inf)
        self._to_verify: set[DataCentreId] = set()

    def is_avoided(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint should get no requests while there are others."""
        return endpoint.id in self._unreachable or endpoint.data_centre in self._cut_off

    def is_cut_off(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre counts as cut off."""
        return data_centre in self._cut_off

    def reaches_any(self, endpoints: Iterable[Endpoint]) -> bool:
        """Return whether any of some endpoints is not avoided."""
        return any(not self.is_avoided(endpoint) for endpoint in endpoints)

    @property
    def has_lost_all(self) -> bool:
        """Return whether this host reaches none of the listed endpoints."""
        listed = self._directory.by_id.values()
        return self.has_unreachable and not self.reaches_any(listed)

    def last_connected_in_s(self, data_centre: DataCentreId) -> float:
        """Return when this host last connected to an endpoint of a data centre."""
        return self._connected_s[data_centre]

    @property
    def last_connected_s(self) -> float:
        """Return when this host last connected to any endpoint."""
        return max(self._connected_s.values(), default=-math.inf)

    def on_failure(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that connecting to an endpoint failed."""
        self._unreachable[endpoint.id] = _UnreachableEndpoint(
            endpoint, now_s, now_s + PROBE_INTERVAL_S
        )
        data_centre = endpoint.data_centre
        if data_centre not in self._cut_off and self._looks_cut_off(data_centre, now_s):
            self._cut_off[data_centre] = _CutOffDataCentre(now_s)
            self._verify_others(now_s)
        self._on_unreachable()

    def on_probe_failure(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that a probe failed; only that of an endpoint that was not avoided is news."""
        if not self.is_avoided(endpoint) and endpoint.id in self._directory.by_id:
            self.on_failure(endpoint, now_s)

    def forget(self, endpoint: HostId) -> None:
        """Forget that an endpoint was unreachable, because it has restarted."""
        self._unreachable.pop(endpoint, None)

    @property
    def has_unreachable(self) -> bool:
        """Return whether any endpoint or data centre has to be probed, now or later."""
        return bool(self._unreachable or self._cut_off)

    def on_connected(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that connecting to an endpoint succeeded."""
        self._unreachable.pop(endpoint.id, None)
        self._cut_off.pop(endpoint.data_centre, None)
        self._connected_s[endpoint.data_centre] = now_s
        self._to_verify.discard(endpoint.data_centre)

    def take_due_probes(self, now_s: float) -> list[Endpoint]:
        """Return the endpoints to probe now, and mark them as probed."""
        self._drop_unlisted()
        due: dict[HostId, Endpoint] = {}
        for unreachable in self._unreachable.values():
            is_probed_individually = unreachable.endpoint.data_centre not in self._cut_off
            if is_probed_individually and now_s >= unreachable.probe_due_s:
                unreachable.probe_due_s = now_s + PROBE_INTERVAL_S
                due[unreachable.endpoint.id] = unreachable.endpoint
        for data_centre, cut_off in self._cut_off.items():
            if now_s >= cut_off.probe_due_s:
                cut_off.probe_due_s = now_s + CUT_OFF_PROBE_INTERVAL_S
                due |= {e.id: e for e in self._next_probes(data_centre, cut_off)}
        for data_centre in self._to_verify - self._cut_off.keys():
            due |= {e.id: e for e in self._next_probes(data_centre, _CutOffDataCentre(now_s))}
        self._to_verify.clear()
        return list(due.values())

    def _verify_others(self, now_s: float) -> None:
        """Schedule probes of the data centres that were not reached within VERIFICATION_AGE_S."""
        listed = {endpoint.data_centre for endpoint in self._directory.by_id.values()}
        self._to_verify |= {
            data_centre
            for data_centre in listed - self._cut_off.keys()
            if self._connected_s[data_centre] < now_s - VERIFICATION_AGE_S
        }

    def _looks_cut_off(self, data_centre: DataCentreId, now_s: float) -> bool:
        since_s = max(now_s - FAILURE_WINDOW_S, self._connected_s[data_centre])
        failed = [
            unreachable
            for unreachable in self._unreachable.values()
            if unreachable.endpoint.data_centre == data_centre and unreachable.failed_s >= since_s
        ]
        return len(failed) >= CUT_OFF_THRESHOLD

    def _next_probes(
        self, data_centre: DataCentreId, cut_off: _CutOffDataCentre
    ) -> Iterable[Endpoint]:
        """Return the next endpoints to probe in a data centre, in turn.

        In each turn, endpoints that are not known to be unreachable come first.
        """
        listed = [e for e in self._directory.by_id.values() if e.data_centre == data_centre]
        listed.sort(key=lambda e: (e.id in cut_off.probed, e.id in self._unreachable, e.id))
        chosen = listed[:CUT_OFF_PROBE_COUNT]
        cut_off.probed |= {endpoint.id for endpoint in chosen}
        if len(cut_off.probed) >= len(listed):
            cut_off.probed.clear()
        return chosen

    def _drop_unlisted(self) -> None:
        """Forget endpoints and data centres that are no longer in the directory."""
        for host in [host for host in self._unreachable if host not in self._directory.by_id]:
            del self._unreachable[host]
        if not self._cut_off:
            return
        listed = {endpoint.data_centre for endpoint in self._directory.by_id.values()}
        for data_centre in [name for name in self._cut_off if name not in listed]:
            del self._cut_off[data_centre]
