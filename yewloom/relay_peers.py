"""Chooses the peer that gets a request which this host cannot send to an endpoint itself."""

import random
from collections import Counter
from collections.abc import Callable, Container

from yewloom.entry_addresses import PeerAddress
from yewloom.entry_states import PeerStates
from yewloom.ids import DataCentreId, EntryHostId, ServiceName
from yewloom.schema.entry_pb2 import EntryState
from yewloom.values import value_class

CHOICES = 2
"""Number of random peers of which the less loaded one is chosen. Hosts that are cut off together
know the same loads; if each chose the least loaded peer, all would choose the same one."""

REMOTE_PENALTY = 3
"""Added to the requests that a peer in another data centre has running, as traffic between data
centres costs money and adds a few milliseconds."""


@value_class
class RelayPeer:
    """A peer to which requests can be relayed; ``address`` is ip:port."""

    host: EntryHostId
    address: str


class RelayPeers:
    """Knows which peers reach the endpoints of a service, and counts the requests relayed to each.

    ``address_of`` returns the address of a peer, or None if it is not known.
    """

    def __init__(
        self,
        data_centre: DataCentreId,
        peer_states: PeerStates,
        address_of: Callable[[EntryHostId], PeerAddress | None],
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._peer_states = peer_states
        self._address_of = address_of
        self._rng = rng
        self._running: Counter[EntryHostId] = Counter()
        self._refusing_until_s: dict[tuple[EntryHostId, ServiceName], float] = {}

    def choose(self, service: ServiceName, tried: Container[EntryHostId]) -> RelayPeer | None:
        """Return a peer that was not tried and may reach a service's endpoints, if any."""
        suitable = [
            state
            for state in self._peer_states.states()
            if state.host_id not in tried and _may_reach(state, service)
        ]
        sample = self._rng.sample(suitable, min(CHOICES, len(suitable)))
        for state in sorted(sample, key=self._load):
            host = EntryHostId(state.host_id)
            address = self._address_of(host)
            if address is not None:
                return RelayPeer(host, address.address)
        return None

    def record_refusal(self, host: EntryHostId, service: ServiceName, until_s: float) -> None:
        """Record that a peer refuses requests for a service, and until when."""
        self._refusing_until_s[host, service] = until_s

    def refusing(self, service: ServiceName, now_s: float) -> set[EntryHostId]:
        """Return the peers that refuse requests for a service now."""
        self._refusing_until_s = {
            key: until_s for key, until_s in self._refusing_until_s.items() if until_s > now_s
        }
        return {host for host, refused in self._refusing_until_s if refused == service}

    def is_live(self, host: EntryHostId) -> bool:
        """Return whether a peer still sends messages."""
        return self._peer_states.is_live(host)

    def begin(self, host: EntryHostId) -> None:
        """Count a request as relayed to a peer."""
        self._running[host] += 1

    def end(self, host: EntryHostId) -> None:
        """Stop counting a request that was relayed to a peer."""
        self._running[host] -= 1

    def _load(self, state: EntryState) -> int:
        """Return the number of requests that a peer has running, as far as this host knows."""
        running = sum(load.running for load in state.loads)
        penalty = 0 if state.data_centre == self._data_centre else REMOTE_PENALTY
        return running + self._running[EntryHostId(state.host_id)] + penalty


def _may_reach(state: EntryState, service: ServiceName) -> bool:
    """Return whether a peer knows what it needs, is not stopping and has not lost the service."""
    knows_all = state.configuration_version > 0 and state.HasField("listing")
    return knows_all and not state.is_stopping and service not in state.lost_services
