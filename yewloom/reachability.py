"""Endpoints that can't be reached, and data centres of which none can.

An endpoint to which no connection came up gets nothing until a connection does come up. That is
found out by probes, connections that carry nothing, rather than by callers' requests: each of those
would wait for as long as a connection may take.

Losses share causes. Where two endpoints of a data centre can't be reached and none has been reached
since, all of it is avoided; probes at once to others of its endpoints end that within milliseconds
if it was wrong.

All times are seconds of the runtime's clock.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.ids import DataCentreId, HostId

ENDPOINTS_OF_A_CUT = 2
"""Endpoints of a data centre that can't be reached at the same time, from which on it counts as cut
off: one crashes now and then, two within a second seldom but in a cut."""

FAILURE_COUNTS_S = 1.0
"""Time for which a failed connection counts towards that."""

PROBE_PAUSE_S = 0.5
"""Pause between two probes of an endpoint: its return goes unseen for half of that on average."""

CUT_PROBE_PAUSE_S = 0.25
"""Pause between two rounds of probes to a data centre that is cut off: as long as one takes."""

CUT_PROBES = 2
"""Endpoints of a data centre that is cut off that a round of probes goes to."""


@dataclass
class _Lost:
    """An endpoint that can't be reached."""

    endpoint: Endpoint
    failed_s: float
    probe_due_s: float


@dataclass
class _Cut:
    """A data centre that is cut off."""

    probe_due_s: float
    probed: set[HostId] = field(default_factory=set)


class Reachability:
    """Keeps what this host found out by its connections to endpoints."""

    def __init__(
        self, directory: EndpointDirectory, on_lost: Callable[[], None] = lambda: None
    ) -> None:
        """Take ``on_lost``, which is called whenever an endpoint can't be reached."""
        self._directory = directory
        self._on_lost = on_lost
        self._lost: dict[HostId, _Lost] = {}
        self._cut: dict[DataCentreId, _Cut] = {}
        self._reached_s: defaultdict[DataCentreId, float] = defaultdict(lambda: float("-inf"))

    def is_avoided(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint should get nothing while there is another."""
        return endpoint.id in self._lost or endpoint.data_centre in self._cut

    def is_cut_off(self, data_centre: DataCentreId) -> bool:
        """Tell whether a data centre counts as cut off."""
        return data_centre in self._cut

    def on_failure(self, endpoint: Endpoint, now_s: float) -> None:
        """Take in that no connection to an endpoint came up."""
        self._lost[endpoint.id] = _Lost(endpoint, now_s, now_s + PROBE_PAUSE_S)
        data_centre = endpoint.data_centre
        if data_centre not in self._cut and self._looks_cut_off(data_centre, now_s):
            self._cut[data_centre] = _Cut(now_s)
        self._on_lost()

    def forget(self, endpoint: HostId) -> None:
        """Drop a loss of an endpoint, which started again."""
        self._lost.pop(endpoint, None)

    @property
    def has_losses(self) -> bool:
        """Tell whether anything is to be probed, now or later."""
        return bool(self._lost or self._cut)

    def on_connected(self, endpoint: Endpoint, now_s: float) -> None:
        """Take in that a connection to an endpoint came up."""
        self._lost.pop(endpoint.id, None)
        self._cut.pop(endpoint.data_centre, None)
        self._reached_s[endpoint.data_centre] = now_s

    def take_due_probes(self, now_s: float) -> list[Endpoint]:
        """Return the endpoints to probe now; they count as probed."""
        self._drop_unlisted()
        due: dict[HostId, Endpoint] = {}
        for lost in self._lost.values():
            is_alone = lost.endpoint.data_centre not in self._cut
            if is_alone and now_s >= lost.probe_due_s:
                lost.probe_due_s = now_s + PROBE_PAUSE_S
                due[lost.endpoint.id] = lost.endpoint
        for data_centre, cut in self._cut.items():
            if now_s >= cut.probe_due_s:
                cut.probe_due_s = now_s + CUT_PROBE_PAUSE_S
                due |= {e.id: e for e in self._next_probes_into(data_centre, cut)}
        return list(due.values())

    def _looks_cut_off(self, data_centre: DataCentreId, now_s: float) -> bool:
        since_s = max(now_s - FAILURE_COUNTS_S, self._reached_s[data_centre])
        failed = [
            lost
            for lost in self._lost.values()
            if lost.endpoint.data_centre == data_centre and lost.failed_s >= since_s
        ]
        return len(failed) >= ENDPOINTS_OF_A_CUT

    def _next_probes_into(self, data_centre: DataCentreId, cut: _Cut) -> Iterable[Endpoint]:
        """Return endpoints of a data centre, in turn; those not known to be lost come first."""
        here = [e for e in self._directory.by_id.values() if e.data_centre == data_centre]
        here.sort(key=lambda e: (e.id in cut.probed, e.id in self._lost, e.id))
        chosen = here[:CUT_PROBES]
        cut.probed |= {endpoint.id for endpoint in chosen}
        if len(cut.probed) >= len(here):
            cut.probed.clear()
        return chosen

    def _drop_unlisted(self) -> None:
        """Forget what is no longer listed; the list decides about it."""
        for host in [host for host in self._lost if host not in self._directory.by_id]:
            del self._lost[host]
        if not self._cut:
            return
        listed = {endpoint.data_centre for endpoint in self._directory.by_id.values()}
        for data_centre in [name for name in self._cut if name not in listed]:
            del self._cut[data_centre]
