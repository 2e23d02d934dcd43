"""Builds the state that an entry host sends to its peers."""

import math
from collections.abc import Callable, Sequence

from yewloom.configuration import ConfigurationBook
from yewloom.follow_duty import Standing
from yewloom.followed_position import FollowedPosition
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.peer_topics import PeerTopic
from yewloom.schema.entry_pb2 import EndpointLoad, EntryState, GroupMovement
from yewloom.selection import Selector
from yewloom.stalls import StallDetector
from yewloom.values import value_class


@value_class
class EntryIdentity:
    """Identifies one process of an entry host; successive processes differ in their start time."""

    host_id: EntryHostId
    data_centre: DataCentreId
    started_unix_ms: int


class OwnState:
    """Collects this host's state, with sequence numbers by which peers recognise the latest one."""

    def __init__(
        self,
        me: EntryIdentity,
        book: ConfigurationBook,
        selector: Selector,
        stalls: StallDetector,
        followed_endpoints: FollowedPosition,
        standing: Callable[[], Standing],
        topics: Sequence[PeerTopic],
    ) -> None:
        self._topics = topics
        self._me = me
        self._book = book
        self._selector = selector
        self._stalls = stalls
        self._followed_endpoints = followed_endpoints
        self._standing = standing
        self._sequence = 0

    def next_state(self, now_s: float) -> EntryState:
        """Return the state at ``now_s`` with the next sequence number."""
        self._sequence += 1
        configuration, standing = self._book.current, self._standing()
        state = EntryState(
            host_id=self._me.host_id,
            data_centre=self._me.data_centre,
            started_unix_ms=self._me.started_unix_ms,
            sequence=self._sequence,
            sent_ms=int(now_s * 1000),
            configuration_version=configuration.version if configuration is not None else 0,
            configuration_age_ms=self._book.stated_age_ms(now_s),
            loads=[
                EndpointLoad(endpoint=endpoint, running=running)
                for endpoint, running in self._selector.running().items()
            ],
            stalled=self._stalls.reported(now_s),
            unreachable=self._stalls.reported_unreachable(now_s),
            moving=[
                GroupMovement(leader=leader, age_ms=math.ceil(age_s * 1000))
                for leader, age_s in self._stalls.moving(now_s).items()
            ],
            can_follow=standing.can_follow,
            is_coordinator=standing.is_coordinator,
            listing=self._followed_endpoints.report(now_s),
        )
        for topic in self._topics:
            topic.write(state, now_s)
        return state
