"""The latest state received from each peer: its load, stalled groups and configuration version.

Each message echoes the send time of the last message that its sender read from the recipient. A
peer's report on the configuration or the endpoints is dated to that echoed time, less the age that
the peer reports. So neither network delay nor a pause on either side can make it look more recent
than it is. An echo of a message from an earlier process of this host is ignored, since that process
had another clock.
"""

from collections import Counter
from collections.abc import Collection, Mapping

from yewloom.configuration import MAX_REPORTED_AGE_S
from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.schema.entry_pb2 import EntryState, ListingWord
from yewloom.values import value_class

MIN_STATE_TTL_S = 1.0
"""Shortest time for which the state of a peer in the same data centre is valid."""

MIN_REMOTE_STATE_TTL_S = 3.0
"""Shortest time for which the state of a peer in another data centre is valid."""

TTL_INTERVALS = 2
"""Message intervals for which a peer's state is valid, so that one message may be lost."""

TTL_SLACK_S = 0.4
"""Tolerated delay of a message beyond TTL_INTERVALS message intervals."""

LIMIT_SHARE_RETENTION_S = 30.0
"""Time for which a host that sends no messages keeps its share of a divided limit.

Most network partitions are shorter."""

MIN_SHARING_HOSTS = 12
"""Minimum number of entry hosts among which a common bound is divided.

Some of them may not be known yet."""


@value_class
class ConfirmedConfiguration:
    """A peer's report that a version was current at ``confirmed_s`` on this host's clock."""

    version: int
    confirmed_s: float


@value_class
class LimitSharingHost:
    """An entry host that gets a share of divided limits."""

    host: EntryHostId
    data_centre: DataCentreId


@value_class
class ConfirmedListing:
    """A peer's report on the endpoint listing, valid at ``confirmed_s`` on this host's clock."""

    report: ListingWord
    confirmed_s: float


@value_class
class PeerConfirmations:
    """What a peer's message confirms, if anything."""

    configuration: ConfirmedConfiguration | None = None
    listing: ConfirmedListing | None = None


@value_class
class _ReceivedState:
    state: EntryState
    received_s: float


class PeerStates:
    """Holds the latest state of each peer, and the set of all entry hosts known so far.

    Near peers are those in the same data centre.
    """

    def __init__(
        self, own_id: EntryHostId, data_centre: DataCentreId, started_unix_ms: int = 0
    ) -> None:
        self.started_unix_ms = started_unix_ms
        self._own_id = own_id
        self._data_centre = data_centre
        self._live: dict[EntryHostId, _ReceivedState] = {}
        self._received_sum_s = 0.0  # Sum over the live peers.
        self._near: dict[EntryHostId, EntryState] = {}
        self._running: Counter[HostId] = Counter()
        self._known = {own_id}
        self._recent: dict[EntryHostId, _ReceivedState] = {}

    def add_host(self, host: EntryHostId) -> None:
        """Record that an entry host exists, whether or not it is reachable."""
        self._known.add(host)

    def known_hosts(self) -> Collection[EntryHostId]:
        """Return all entry hosts known so far, this one included."""
        return self._known

    def sharing_host_count(self) -> int:
        """Return the number of entry hosts among which a common bound is divided.

        This host counts, and so do known hosts that send no messages: they may still be serving on
        the other side of a network partition.
        """
        return max(MIN_SHARING_HOSTS, len(self._known))

    def sharing_hosts(self, now_s: float) -> list[LimitSharingHost]:
        """Return the hosts among which a limit is divided, this one included.

        A host that sends no messages is kept for LIMIT_SHARE_RETENTION_S, since it may still be
        serving on the other side of a network partition.
        """
        recent = {
            peer: received
            for peer, received in self._recent.items()
            if now_s - received.received_s < LIMIT_SHARE_RETENTION_S
        }
        self._recent = recent
        mine = LimitSharingHost(self._own_id, self._data_centre)
        others = [
            LimitSharingHost(peer, DataCentreId(received.state.data_centre))
            for peer, received in recent.items()
        ]
        return [mine, *others]

    def update(self, state: EntryState, now_s: float) -> PeerConfirmations:
        """Process a peer's state and return what it confirms; outdated messages are ignored."""
        peer = EntryHostId(state.host_id)
        known = self._live.get(peer)
        if peer == self._own_id or (known is not None and _recency(state) <= _recency(known.state)):
            return PeerConfirmations()
        if known is not None:
            self._add_loads(known.state, -1)
            self._received_sum_s -= known.received_s
        self._received_sum_s += now_s
        self._add_loads(state, 1)
        self._live[peer] = self._recent[peer] = _ReceivedState(state, now_s)
        if state.data_centre == self._data_centre:
            self._near[peer] = state
        is_echo = state.echoed_ms and state.echoed_started_unix_ms == self.started_unix_ms
        return _confirmations_in(state) if is_echo else PeerConfirmations()

    def states(self) -> list[EntryState]:
        """Return the latest state of each live peer."""
        return [received.state for received in self._live.values()]

    def near_states(self) -> Mapping[EntryHostId, EntryState]:
        """Return the latest state of each live peer in this data centre, keyed by host id."""
        return self._near

    def drop_expired(self, now_s: float) -> None:
        """Drop the states of peers that have not sent a message within their time to live."""
        for peer, received in list(self._live.items()):
            if now_s - received.received_s > self._ttl_s(received.state):
                self._add_loads(received.state, -1)
                self._received_sum_s -= received.received_s
                del self._live[peer]
                self._near.pop(peer, None)

    def running(self, endpoint: HostId) -> int:
        """Return the number of requests that the live peers have running at an endpoint."""
        return self._running.get(endpoint, 0)

    def loads(self) -> Mapping[HostId, int]:
        """Return the number of requests that the live peers have running at each endpoint."""
        return self._running

    def state_age_sum_s(self, now_s: float) -> float:
        """Return the sum of the ages of all live peers' states."""
        return len(self._live) * now_s - self._received_sum_s

    def live_peer_count(self) -> int:
        """Return the number of live peers: those with a valid state."""
        return len(self._live)

    def is_live(self, peer: EntryHostId) -> bool:
        """Return whether a peer has a valid state."""
        return peer in self._live

    def echo_for(self, peer: EntryHostId) -> EntryState:
        """Return the echo fields for a peer: the send time of the last message read from it."""
        received = self._live.get(peer)
        if received is None:
            return EntryState()
        state = received.state
        return EntryState(echoed_ms=state.sent_ms, echoed_started_unix_ms=state.started_unix_ms)

    def _ttl_s(self, state: EntryState) -> float:
        is_near = state.data_centre == self._data_centre
        due_s = TTL_INTERVALS * state.interval_ms / 1000 + TTL_SLACK_S
        return max(MIN_STATE_TTL_S if is_near else MIN_REMOTE_STATE_TTL_S, due_s)

    def _add_loads(self, state: EntryState, sign: int) -> None:
        for load in state.loads:
            endpoint = HostId(load.endpoint)
            self._running[endpoint] += sign * load.running
            if not self._running[endpoint]:
                del self._running[endpoint]


def _confirmations_in(state: EntryState) -> PeerConfirmations:
    """Return what a message confirms, dated to the echoed send time of this host's message."""
    echoed_s = state.echoed_ms / 1000
    configuration = listing = None
    if state.configuration_version:
        age_s = state.configuration_age_ms / 1000
        confirmed_s = echoed_s - age_s if age_s < MAX_REPORTED_AGE_S else float("-inf")
        configuration = ConfirmedConfiguration(state.configuration_version, confirmed_s)
    if state.HasField("listing"):
        listing = ConfirmedListing(state.listing, echoed_s - state.listing.age_ms / 1000)
    return PeerConfirmations(configuration, listing)


def _recency(state: EntryState) -> tuple[int, int]:
    return state.started_unix_ms, state.sequence
