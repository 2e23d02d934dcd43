"""Creates the objects with which an entry host knows, chooses and judges endpoints."""

import random
from collections.abc import Callable

from yewloom.configuration import ConfigurationState
from yewloom.crash_parts import CrashDetection
from yewloom.departures import Departures
from yewloom.directory import EndpointDirectory
from yewloom.ended_groups import EndedGroups
from yewloom.endpoint_availability import EndpointAvailability
from yewloom.endpoint_limits import EndpointLimits
from yewloom.endpoint_pauses import EndpointPauses
from yewloom.endpoint_probes import EndpointProbes
from yewloom.entry_states import PeerStates
from yewloom.event_paces import EventIntervals
from yewloom.forward_parts import build_stall_detector
from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.isolation import Isolation
from yewloom.outliers import OutlierDetector
from yewloom.reachability import Reachability
from yewloom.selection import Selector


class EndpointParts:
    """The connected objects; ``on_change`` is called when peers should soon be sent a change.

    ``loop_delay_s`` returns a value other than zero if the event loop was blocked just before;
    ``on_outlier_step`` is called with the name of each step of an outlier.
    """

    def __init__(
        self,
        host_id: EntryHostId,
        data_centre: DataCentreId,
        departures: Departures,
        configuration_state: ConfigurationState,
        peer_states: PeerStates,
        rng: random.Random,
        loop_delay_s: Callable[[], float],
        on_change: Callable[[], None],
        on_outlier_step: Callable[[str], None],
    ) -> None:
        self.directory = EndpointDirectory(departures.mark)
        intervals = EventIntervals()
        self.stalls = build_stall_detector(
            self.directory, configuration_state, intervals, on_change
        )
        self.reachability = Reachability(self.directory, lambda: self.probes.notify())
        self.probes = EndpointProbes(self.reachability, loop_delay_s)
        self.isolation = Isolation(self.directory, self.reachability, peer_states)
        self.ended = EndedGroups(on_change)
        self.limits = EndpointLimits(host_id, self.directory, peer_states.sharing_hosts, on_change)
        self.pauses = EndpointPauses(rng)
        self.availability = EndpointAvailability(self.limits, self.pauses, departures)
        self.selector = Selector(
            self.directory,
            data_centre,
            peer_states,
            rng,
            self.reachability,
            self.availability,
            intervals,
            self.ended,
            OutlierDetector(on_outlier_step),
        )
        self.crash_detection = CrashDetection(
            host_id,
            peer_states.known_hosts,
            self.directory,
            on_change,
            self.reachability.last_connected_in_s,
        )

    def count_ejected(self) -> int:
        """Return how many listed endpoints are left out because they fail."""
        return self.selector.outliers.count_out(self.directory.by_id)

    def forget(self, endpoint_id: HostId) -> None:
        """Discard the state recorded for an earlier process of an endpoint."""
        self.stalls.forget(endpoint_id)
        self.reachability.forget(endpoint_id)
        self.limits.forget(endpoint_id)
        self.pauses.forget(endpoint_id)
        self.ended.forget(endpoint_id)
        self.crash_detection.checks.on_restarted(endpoint_id)
