"""What the entry hosts tell each other of their load, of stalled groups and of the configuration.

A peer's word on the configuration counts from the time of this host's own message that the peer
had read before it spoke, less the age that the peer states: no delay on the way, and no pause of
either side, can make it look fresher than it is.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from yewloom.ids import EntryHostId, HostId
from yewloom.schema.entry_pb2 import EntryState

FRESH_S = 1.0
"""Age up to which a peer's load counts: five of its messages."""

LEAST_HOSTS = 12
"""Entry hosts among which a bound for all is divided at least: nine and three spare ones on the
larger trial deployment, of which some may not be known yet."""


@dataclass(frozen=True, slots=True)
class ConfigurationWord:
    """A peer's word that a version was current at ``confirmed_s`` of this host's clock."""

    version: int
    confirmed_s: float


@dataclass(frozen=True, slots=True)
class _Heard:
    state: EntryState
    heard_s: float


class PeerBoard:
    """Keeps the latest message of each peer, and the peers that were ever known."""

    def __init__(self, me: EntryHostId) -> None:
        self._me = me
        self._heard: dict[EntryHostId, _Heard] = {}
        self._running: Counter[HostId] = Counter()
        self._known = {me}

    def know(self, host: EntryHostId) -> None:
        """Take in that an entry host exists, whether it can be reached or not."""
        self._known.add(host)

    def hosts_to_share_with(self) -> int:
        """Return among how many entry hosts a bound for all is divided, this one included.

        Hosts that fell silent still count: they may serve on the other side of a cut.
        """
        return max(LEAST_HOSTS, len(self._known))

    def take(self, state: EntryState, now_s: float) -> ConfigurationWord | None:
        """Take in a message; return what it proves of the configuration, if anything."""
        peer = EntryHostId(state.host_id)
        known = self._heard.get(peer)
        if peer == self._me or (known is not None and _order(state) <= _order(known.state)):
            return None
        if known is not None:
            self._count(known.state, -1)
        self._count(state, 1)
        self._heard[peer] = _Heard(state, now_s)
        if not state.echoed_ms or not state.configuration_version:
            return None
        confirmed_s = (state.echoed_ms - state.configuration_age_ms) / 1000
        return ConfigurationWord(state.configuration_version, confirmed_s)

    def drop_silent(self, now_s: float) -> None:
        """Stop counting the load of peers that fell silent."""
        for peer, heard in list(self._heard.items()):
            if now_s - heard.heard_s > FRESH_S:
                self._count(heard.state, -1)
                del self._heard[peer]

    def running(self, endpoint: HostId) -> int:
        """Return how many requests the peers run at an endpoint."""
        return self._running.get(endpoint, 0)

    def loads(self) -> Mapping[HostId, int]:
        """Return how many requests the peers run at each endpoint."""
        return self._running

    def live_peers(self) -> int:
        """Return how many peers were heard a short while ago."""
        return len(self._heard)

    def echo_for(self, peer: EntryHostId) -> int:
        """Return the sending time in a peer's latest message, on its own clock; 0 for none."""
        heard = self._heard.get(peer)
        return heard.state.sent_ms if heard is not None else 0

    def _count(self, state: EntryState, sign: int) -> None:
        for load in state.loads:
            endpoint = HostId(load.endpoint)
            self._running[endpoint] += sign * load.running
            if not self._running[endpoint]:
                del self._running[endpoint]


def _order(state: EntryState) -> tuple[int, int]:
    return state.started_unix_ms, state.sequence
