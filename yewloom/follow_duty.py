"""Selection of the entry hosts that follow the store, that is, list and watch its objects.

A few hosts of each data centre follow it; the others learn the configuration's age and changes of
endpoints from those followers. So the number of calls to the store grows with the number of data
centres and not with the number of entry hosts. A host whose information gets too old calls the
store itself, whatever the reason: the followers may have died, be cut off, or not do their duty.
"""

import math
from collections.abc import Callable, Iterable

from yewloom.entry_states import PeerStates
from yewloom.follow_times import MAX_FALLBACK_JITTER_S, FollowTimes
from yewloom.hashing import hash64
from yewloom.ids import EntryHostId
from yewloom.schema.entry_pb2 import EntryState
from yewloom.values import value_class

FOLLOWER_COUNT = 2
"""Entry hosts of a data centre that follow the store: the coordinator and a standby, since either
may die or lose its connection to the store."""

STARTUP_LISTEN_S = 0.6
"""Time for which a starting host only receives messages before it may become a follower.

Peers send messages every 0.2 s, so hosts that start together have heard from each other by then.
"""

DISCOVERY_S = 3.6
"""Time after its start in which a host may know only a few of its peers: addresses are read twice,
from a cache that lags by seconds."""

URGENT_WATCH_S = 0.05
"""Duration of a watch by a host whose information is old; the store answers in milliseconds."""


@value_class
class FollowStatus:
    """Whether a host can follow the store, and whether it is its data centre's coordinator.

    ``can_follow`` is true if the store answers the host, and the host is not about to stop and
    reaches endpoints, as a follower may have to coordinate. ``is_stopping`` is whether it has begun
    a planned stop.
    """

    can_follow: bool
    is_coordinator: bool
    is_stopping: bool = False


class FollowDuty:
    """Decides whether this host follows the store now.

    Near hosts are those in the same data centre.
    """

    def __init__(
        self,
        own_id: EntryHostId,
        peer_states: PeerStates,
        status: Callable[[], FollowStatus],
        times: FollowTimes,
        fallback_jitter: float,
        uptime_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Create the duty of one host.

        ``fallback_jitter`` is a random number from 0 to 1, drawn for this host. ``uptime_s``
        returns the time since this host started.
        """
        self._uptime_s = uptime_s
        self._ranks: dict[EntryHostId, int] = {}
        self._own_id = own_id
        self._peer_states = peer_states
        self.status = status
        self._standby_s = times.standby_s
        self._fallback_s = times.fallback_s + MAX_FALLBACK_JITTER_S * fallback_jitter

    def is_starting(self) -> bool:
        """Return whether this host may not have heard from any of its peers yet."""
        return self._uptime_s() < STARTUP_LISTEN_S

    def has_duty(self) -> bool:
        """Return whether this host is among the followers of its data centre.

        The coordinator always is, since its plans need the latest state. The other followers are
        chosen by rendezvous hashing among the hosts that can reach the store.
        """
        status = self.status()
        if status.is_coordinator:
            return True
        if self.is_starting():
            return False  # Otherwise all hosts that start together would follow.
        near = self._peer_states.near_states()
        if self._uptime_s() < DISCOVERY_S and self._has_earlier_follower(near.values()):
            return False
        peers = [peer for peer, state in near.items() if state.can_follow]
        if not peers and not status.can_follow:
            peers = list(near)  # If the store answers no host, the chosen ones keep calling.
        others = [peer for peer in peers if not near[peer].is_coordinator]
        needed = FOLLOWER_COUNT - min(len(peers) - len(others), FOLLOWER_COUNT - 1)
        ranked_before = sum(self._rank(peer) < self._rank(self._own_id) for peer in others)
        return ranked_before < needed

    def _has_earlier_follower(self, near: Iterable[EntryState]) -> bool:
        """Return whether a near host that started earlier can follow the store.

        Of hosts that start together and know only a few others each, almost all would follow it.
        """
        own_start = self._peer_states.started_unix_ms
        return any(state.can_follow and state.started_unix_ms < own_start for state in near)

    def near_followers(self) -> set[EntryHostId]:
        """Return the peers that may be followers in this data centre, by this host's information.

        Including too many is harmless: the extra messages that they get cost little.
        """
        near = self._peer_states.near_states()
        ranked = sorted(near, key=self._rank)
        coordinators = {peer for peer, state in near.items() if state.is_coordinator}
        first_able = [peer for peer in ranked if near[peer].can_follow][:FOLLOWER_COUNT]
        return coordinators | set(first_able) | set(ranked[:FOLLOWER_COUNT])

    def must_call_store(self, age_s: float) -> bool:
        """Return whether this host must call the store, given the age of its information.

        A standby calls the store if the coordinator's messages do not keep it up to date. Its
        threshold is lower than that of the hosts without the duty, so it sends them the changes
        before they call the store themselves.
        """
        if not self.has_duty():
            return age_s > self._fallback_s
        return not self._is_standby() or age_s > self._standby_s

    def max_watch_s(self, age_s: float) -> float:
        """Return the longest duration of the next watch, given the age of the information.

        A watch confirms that nothing has changed only when it ends. If this host's information is
        already older than the followers' watches should let it become, it does not wait that long.
        """
        return URGENT_WATCH_S if age_s > self._standby_s else math.inf

    def _is_standby(self) -> bool:
        """Return whether another host is the coordinator and can reach the store."""
        if self.status().is_coordinator:
            return False
        near = self._peer_states.near_states().values()
        return any(peer.is_coordinator and peer.can_follow for peer in near)

    def near_host_count(self) -> int:
        """Return the number of live hosts in this data centre, this one included."""
        return len(self._peer_states.near_states()) + 1

    def _rank(self, host: EntryHostId) -> int:
        """Return a host's rank for rendezvous hashing: a hash that is the same on every host."""
        rank = self._ranks.get(host)
        if rank is None:
            rank = self._ranks[host] = hash64(host)
        return rank
