"""Whether a host that has just started takes the store's word alone for what is current.

A store that has gone back to an older copy of itself gives out a configuration that may hold keys
which have been revoked since. Hosts that were running know better and tell each other. A host that
starts cannot tell an older copy from the latest state, so it lets its peers speak first.
"""

from collections.abc import Callable, Collection

from yewloom.ids import EntryHostId
from yewloom.schema.entry_pb2 import EntryState

HEARING_S = 0.6
"""Longest time after its start for which a host waits for its peers. They send messages every
0.2 s; with more peers than get each of them, those that follow the store reply at once."""


class StoreTrust:
    """Follows which peers have replied to this process; an extension of their messages.

    ``known_peers`` returns the peers whose addresses are known, or None while they have not been
    read; ``uptime_s`` returns the time since this process started.
    """

    def __init__(
        self,
        started_unix_ms: int,
        known_peers: Callable[[], Collection[EntryHostId] | None],
        uptime_s: Callable[[], float],
    ) -> None:
        self._started_unix_ms = started_unix_ms
        self._known_peers = known_peers
        self._uptime_s = uptime_s
        self._heard: set[EntryHostId] = set()
        self._trusts = False

    def trusts_store(self) -> bool:
        """Return whether all known peers have replied, or had the time to."""
        self._trusts = self._trusts or self._has_heard_all() or self._uptime_s() >= HEARING_S
        return self._trusts

    def add_fields(self, state: EntryState, now_s: float) -> None:
        """Add nothing: peers learn from this host's messages that it is there."""

    def process(self, state: EntryState, arrived_s: float, now_s: float) -> None:
        """Record a peer's message if the peer had read one of this process."""
        if state.echoed_ms and state.echoed_started_unix_ms == self._started_unix_ms:
            self._heard.add(EntryHostId(state.host_id))

    def _has_heard_all(self) -> bool:
        known = self._known_peers()
        return known is not None and self._heard.issuperset(known)
