"""Who follows the store: a few entry hosts of each data centre, and whoever hears too little.

The others take the configuration's age and the changes of endpoints from those few, so the calls to
the store grow with the data centres and not with the entry hosts. A host that is told nothing
recent asks the store itself, whatever the reason: peers that died, that are cut off, or that claim
a duty which they do not carry out.
"""

from collections.abc import Callable

from yewloom.entry_states import PeerBoard
from yewloom.follow_times import PATIENCE_SPREAD_S, FollowTimes
from yewloom.hashing import hash64
from yewloom.ids import EntryHostId
from yewloom.values import value_class

FOLLOWERS = 2
"""Entry hosts of a data centre that follow the store: the coordinator and one that stands by, since
either may die or be cut off from it."""

LISTEN_S = 0.6
"""Time for which a host that starts listens for its peers before it takes a duty: their messages
come every 0.2 s, and those that start together have heard each other by then."""


@value_class
class Standing:
    """Whether the store answers a host that is not about to stop, and whether it coordinates."""

    can_follow: bool
    is_coordinator: bool


class FollowDuty:
    """Tells whether this host follows the store now."""

    def __init__(
        self,
        me: EntryHostId,
        board: PeerBoard,
        standing: Callable[[], Standing],
        times: FollowTimes,
        patience_draw: float,
        is_listening: Callable[[], bool] = lambda: False,
    ) -> None:
        """Take ``patience_draw`` from 0 to 1, drawn for this host.

        ``is_listening`` tells whether this host has only just started, so that its peers may not
        have been heard yet.
        """
        self.is_listening = is_listening
        self._ranks: dict[EntryHostId, int] = {}
        self._me = me
        self._board = board
        self.standing = standing
        self._standby_s = times.standby_s
        self._patience_s = times.patience_s + PATIENCE_SPREAD_S * patience_draw

    def is_mine(self) -> bool:
        """Tell whether this host is among the followers of its data centre.

        A coordinator follows, since its plans need the latest; the rest goes by rendezvous hashing
        over the hosts that can reach the store.
        """
        standing = self.standing()
        if standing.is_coordinator:
            return True
        if self.is_listening():
            return False  # Else all hosts that start together would follow.
        near = self._board.near_states()
        peers = [peer for peer, state in near.items() if state.can_follow]
        if not peers and not standing.can_follow:
            peers = list(near)  # While the store answers nobody, the same few go on asking for all.
        others = [peer for peer in peers if not near[peer].is_coordinator]
        places = FOLLOWERS - min(len(peers) - len(others), FOLLOWERS - 1)
        before = sum(self._rank(peer) < self._rank(self._me) for peer in others)
        return before < places

    def near_followers(self) -> set[EntryHostId]:
        """Return the peers that may be followers of this data centre, as seen from here.

        A few too many do no harm: what they are told more often than the others costs little.
        """
        near = self._board.near_states()
        ranked = sorted(near, key=self._rank)
        coordinators = {peer for peer, state in near.items() if state.is_coordinator}
        first_able = [peer for peer in ranked if near[peer].can_follow][:FOLLOWERS]
        return coordinators | set(first_able) | set(ranked[:FOLLOWERS])

    def must_ask(self, age_s: float) -> bool:
        """Tell whether this host asks the store, given the age of what it knows.

        One that stands by asks where the coordinator tells it too little, and so finds out what
        there is before the others miss it.
        """
        if not self.is_mine():
            return age_s > self._patience_s
        return not self._stands_by() or age_s > self._standby_s

    def _stands_by(self) -> bool:
        """Tell whether a peer that the store answers coordinates, and so follows it."""
        if self.standing().is_coordinator:
            return False
        near = self._board.near_states().values()
        return any(peer.is_coordinator and peer.can_follow for peer in near)

    def near_hosts(self) -> int:
        """Return how many hosts of this data centre were heard lately, this one included."""
        return len(self._board.near_states()) + 1

    def _rank(self, host: EntryHostId) -> int:
        """Return a host's place among others, which is drawn once and the same everywhere."""
        rank = self._ranks.get(host)
        if rank is None:
            rank = self._ranks[host] = hash64(host)
        return rank
