"""Builds the state that an entry host sends to its peers."""

import math
from collections.abc import Callable, Sequence

from yewloom.configuration import ConfigurationState
from yewloom.follow_duty import FollowStatus
from yewloom.followed_position import FollowedPosition
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.peer_topics import PeerMessageExtension
from yewloom.schema.entry_pb2 import EndpointLoad, EntryState, GroupMovement
from yewloom.selection import Selector
from yewloom.stalls import StallDetector
from yewloom.values import value_class


@value_class
class EntryHostProcess:
    """Identifies one process of an entry host; successive processes differ in their start time."""

    host_id: EntryHostId
    data_centre: DataCentreId
    started_unix_ms: int


class OwnStateBuilder:
    """Builds this host's states, numbered so that peers can recognise the latest one."""

    def __init__(
        self,
        process: EntryHostProcess,
        configuration_state: ConfigurationState,
        selector: Selector,
        stalls: StallDetector,
        followed_endpoints: FollowedPosition,
        status: Callable[[], FollowStatus],
        extensions: Sequence[PeerMessageExtension],
    ) -> None:
        self._extensions = extensions
        self._process = process
        self._configuration_state = configuration_state
        self._selector = selector
        self._stalls = stalls
        self._followed_endpoints = followed_endpoints
        self._status = status
        self._sequence = 0

    def next_state(self, now_s: float) -> EntryState:
        """Return the state at ``now_s`` with the next sequence number."""
        self._sequence += 1
        configuration, status = self._configuration_state.current, self._status()
        state = EntryState(
            host_id=self._process.host_id,
            data_centre=self._process.data_centre,
            started_unix_ms=self._process.started_unix_ms,
            sequence=self._sequence,
            sent_ms=int(now_s * 1000),
            configuration_version=configuration.version if configuration is not None else 0,
            configuration_age_ms=self._configuration_state.reported_age_ms(now_s),
            loads=[
                EndpointLoad(endpoint=endpoint, running=running)
                for endpoint, running in self._selector.running_here().items()
            ],
            stalled=self._stalls.reported_stalled(now_s),
            unreachable=self._stalls.reported_unreachable(now_s),
            moving=[
                GroupMovement(leader=leader, age_ms=math.ceil(age_s * 1000))
                for leader, age_s in self._stalls.progressing(now_s).items()
            ],
            can_follow=status.can_follow,
            is_coordinator=status.is_coordinator,
            is_stopping=status.is_stopping,
            listing=self._followed_endpoints.report(now_s),
        )
        for extension in self._extensions:
            extension.add_fields(state, now_s)
        return state
