"""How long a group may be silent before it counts as stalled.

A healthy group is silent for one pass of its engine at most, which follows from the engine's
published figures and differs by a factor between deployments and models. A group that has become
slow is given time in proportion to the intervals that its streams have shown.
"""

from yewloom.configuration import ConfigurationState, EngineProfile
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.event_paces import EventIntervals
from yewloom.ids import HostId

DEFAULT_STALL_TIMEOUT_S = 0.45
"""Timeout for engines that publish no figures: several events take this long, with the prefill of a
long prompt between two of them."""

ARRIVAL_MARGIN_S = 0.1
"""Time that an event may take to arrive and to be read, beyond the pass that generated it."""

MIN_STALL_TIMEOUT_S = 0.2
"""Shortest timeout: the minimum time after which TCP retransmits a lost packet."""

MAX_STALL_TIMEOUT_S = 1.2
"""Longest timeout, however slow a group has become: the time given to streams that wait for their
first event."""


class StallTimeouts:
    """Computes the stall timeout of each group."""

    def __init__(
        self,
        directory: EndpointDirectory,
        configuration_state: ConfigurationState,
        intervals: EventIntervals,
    ) -> None:
        self._directory = directory
        self._configuration_state = configuration_state
        self._intervals = intervals

    def timeout_s(self, leader: HostId, now_s: float) -> float:
        """Return the time without events after which a leader's group counts as stalled."""
        endpoint = self._directory.by_id.get(leader)
        profile = self._profile_of(endpoint) if endpoint is not None else None
        if endpoint is None or profile is None or profile.pace is None:
            return DEFAULT_STALL_TIMEOUT_S
        factor = max(
            (profile.models[m].duration_factor for m in endpoint.models if m in profile.models),
            default=1.0,
        )
        longest_s = factor * profile.pace.longest_pass_s(profile.slots)
        usual_s = factor * profile.pace.usual_pass_s(profile.slots)
        shown_s = self._intervals.average_s(leader, now_s) or 0.0
        timeout_s = longest_s * max(1.0, shown_s / usual_s) + ARRIVAL_MARGIN_S
        return min(MAX_STALL_TIMEOUT_S, max(MIN_STALL_TIMEOUT_S, timeout_s))

    def _profile_of(self, endpoint: Endpoint) -> EngineProfile | None:
        configuration = self._configuration_state.current
        service = configuration.services.get(endpoint.service) if configuration else None
        return service.engine if service is not None else None
