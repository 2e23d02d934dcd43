"""What the entry hosts tell each other of their load, of stalled groups and of the configuration.

A peer's word on the configuration counts from the time of this host's own message that the peer
had read before it spoke, less the age that the peer states: no delay on the way, and no pause of
either side, can make it look fresher than it is. What the peer had read from an earlier process of
this host counts for nothing: that process had another clock.
"""

from collections import Counter
from collections.abc import Collection, Mapping

from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.schema.entry_pb2 import EntryState, ListingWord
from yewloom.values import value_class

FRESH_S = 1.0
"""Least age up to which the word of a peer in the same data centre counts."""

REMOTE_FRESH_S = 3.0
"""The same for a peer in another data centre."""

MESSAGES_COUNTED = 2
"""Intervals of a peer's messages for which its word counts, so that one of them may be lost."""

MESSAGE_SLACK_S = 0.4
"""Time beyond those intervals by which a message may be late."""

SHARE_KEPT_S = 30.0
"""Time for which a silent host keeps its part of a limit that is divided: most cuts are shorter."""

LEAST_HOSTS = 12
"""Entry hosts among which a bound for all is divided at least, as some may not be known yet."""


@value_class
class ConfigurationWord:
    """A peer's word that a version was current at ``confirmed_s`` of this host's clock."""

    version: int
    confirmed_s: float


@value_class
class SharingHost:
    """A host among which limits are divided."""

    host: EntryHostId
    data_centre: DataCentreId


@value_class
class ConfirmedListing:
    """A peer's word that it knew the endpoints so far at ``confirmed_s`` of this host's clock."""

    word: ListingWord
    confirmed_s: float


@value_class
class PeerWords:
    """What a message of a peer proves, if anything."""

    configuration: ConfigurationWord | None = None
    listing: ConfirmedListing | None = None


@value_class
class _Heard:
    state: EntryState
    heard_s: float


class PeerBoard:
    """Keeps the latest message of each peer, and the peers that were ever known."""

    def __init__(
        self, me: EntryHostId, data_centre: DataCentreId, started_unix_ms: int = 0
    ) -> None:
        self._started_unix_ms = started_unix_ms
        self._me = me
        self._data_centre = data_centre
        self._heard: dict[EntryHostId, _Heard] = {}
        self._near: dict[EntryHostId, EntryState] = {}
        self._running: Counter[HostId] = Counter()
        self._known = {me}
        self._last_heard: dict[EntryHostId, _Heard] = {}

    def know(self, host: EntryHostId) -> None:
        """Take in that an entry host exists, whether it can be reached or not."""
        self._known.add(host)

    def known_hosts(self) -> Collection[EntryHostId]:
        """Return the entry hosts that were ever known, this one included."""
        return self._known

    def hosts_to_share_with(self) -> int:
        """Return among how many entry hosts a bound for all is divided, this one included.

        Hosts that fell silent still count: they may serve on the other side of a cut.
        """
        return max(LEAST_HOSTS, len(self._known))

    def sharing_hosts(self, now_s: float) -> list[SharingHost]:
        """Return the hosts among which a limit is divided, this one included.

        A host that fell silent stays among them for a time: it may serve on behind a cut.
        """
        recent = {p: h for p, h in self._last_heard.items() if now_s - h.heard_s < SHARE_KEPT_S}
        self._last_heard = recent
        mine = SharingHost(self._me, self._data_centre)
        others = [SharingHost(p, DataCentreId(h.state.data_centre)) for p, h in recent.items()]
        return [mine, *others]

    def take(self, state: EntryState, now_s: float) -> PeerWords:
        """Take in a message; return what it proves."""
        peer = EntryHostId(state.host_id)
        known = self._heard.get(peer)
        if peer == self._me or (known is not None and _order(state) <= _order(known.state)):
            return PeerWords()
        if known is not None:
            self._count(known.state, -1)
        self._count(state, 1)
        self._heard[peer] = self._last_heard[peer] = _Heard(state, now_s)
        if state.data_centre == self._data_centre:
            self._near[peer] = state
        is_echo = state.echoed_ms and state.echoed_started_unix_ms == self._started_unix_ms
        return _words_of(state) if is_echo else PeerWords()

    def states(self) -> list[EntryState]:
        """Return the latest message of each peer that was heard a short while ago."""
        return [heard.state for heard in self._heard.values()]

    def near_states(self) -> Mapping[EntryHostId, EntryState]:
        """Return the same for the peers in this data centre, by their names."""
        return self._near

    def drop_silent(self, now_s: float) -> None:
        """Stop counting the load of peers that fell silent."""
        for peer, heard in list(self._heard.items()):
            if now_s - heard.heard_s > self._fresh_s(heard.state):
                self._count(heard.state, -1)
                del self._heard[peer]
                self._near.pop(peer, None)

    def running(self, endpoint: HostId) -> int:
        """Return how many requests the peers run at an endpoint."""
        return self._running.get(endpoint, 0)

    def loads(self) -> Mapping[HostId, int]:
        """Return how many requests the peers run at each endpoint."""
        return self._running

    def live_peers(self) -> int:
        """Return how many peers were heard a short while ago."""
        return len(self._heard)

    def echo_for(self, peer: EntryHostId) -> EntryState:
        """Return the part of a message that tells a peer what was last read from it."""
        heard = self._heard.get(peer)
        if heard is None:
            return EntryState()
        state = heard.state
        return EntryState(echoed_ms=state.sent_ms, echoed_started_unix_ms=state.started_unix_ms)

    def _fresh_s(self, state: EntryState) -> float:
        is_near = state.data_centre == self._data_centre
        due_s = MESSAGES_COUNTED * state.interval_ms / 1000 + MESSAGE_SLACK_S
        return max(FRESH_S if is_near else REMOTE_FRESH_S, due_s)

    def _count(self, state: EntryState, sign: int) -> None:
        for load in state.loads:
            endpoint = HostId(load.endpoint)
            self._running[endpoint] += sign * load.running
            if not self._running[endpoint]:
                del self._running[endpoint]


def _words_of(state: EntryState) -> PeerWords:
    """Return what a message proves, by the time of this host's message that its sender had read."""
    read_s = state.echoed_ms / 1000
    configuration = listing = None
    if state.configuration_version:
        confirmed_s = read_s - state.configuration_age_ms / 1000
        configuration = ConfigurationWord(state.configuration_version, confirmed_s)
    if state.HasField("listing"):
        listing = ConfirmedListing(state.listing, read_s - state.listing.age_ms / 1000)
    return PeerWords(configuration, listing)


def _order(state: EntryState) -> tuple[int, int]:
    return state.started_unix_ms, state.sequence
