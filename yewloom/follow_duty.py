"""Who follows the store: a few entry hosts of each data centre, and whoever hears too little.

The others take the configuration's age and the changes of endpoints from those few, so the calls to
the store grow with the data centres and not with the entry hosts. A host that is told nothing
recent asks the store itself, whatever the reason: peers that died, that are cut off, or that claim
a duty which they do not carry out.
"""

from collections.abc import Callable

from yewloom.entry_states import PeerBoard
from yewloom.hashing import hash64
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.schema.entry_pb2 import EntryState
from yewloom.values import value_class

FOLLOWERS = 2
"""Entry hosts of a data centre that follow the store: one may die or be cut off from it."""

PATIENCE_S = 1.2
"""Age of what is known after which a host without the duty asks the store itself. Changes may have
to be in force within 2 s; followers' watches last up to 1.5 s and end at different times."""

LISTEN_S = 0.6
"""Time for which a host that starts listens for its peers before it takes a duty: their messages
come every 0.2 s, and those that start together have heard each other by then."""

PATIENCE_SPREAD_S = 0.3
"""Greatest further patience of a host, so that not all of them ask the store at once."""


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
        data_centre: DataCentreId,
        board: PeerBoard,
        standing: Callable[[], Standing],
        patience_draw: float,
        is_listening: Callable[[], bool] = lambda: False,
    ) -> None:
        """Take ``patience_draw`` from 0 to 1, drawn for this host.

        ``is_listening`` tells whether this host has only just started, so that its peers may not
        have been heard yet.
        """
        self.is_listening = is_listening
        self._me = me
        self._data_centre = data_centre
        self._board = board
        self.standing = standing
        self._patience_s = PATIENCE_S + PATIENCE_SPREAD_S * patience_draw

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
        near = self._near_states()
        peers = [peer for peer in near if peer.can_follow]
        if not peers and not standing.can_follow:
            peers = near  # While the store answers nobody, the same few go on asking for all.
        coordinators = sum(peer.is_coordinator for peer in peers)
        ranked = sorted(hash64(peer.host_id) for peer in peers if not peer.is_coordinator)
        places = FOLLOWERS - min(coordinators, FOLLOWERS - 1)
        return len(ranked) < places or hash64(self._me) < ranked[places - 1]

    def near_followers(self) -> set[EntryHostId]:
        """Return the peers that may be followers of this data centre, as seen from here.

        A few too many do no harm: what they are told more often than the others costs little.
        """
        near = self._near_states()
        ranked = sorted((EntryHostId(state.host_id) for state in near), key=hash64)
        coordinators = {EntryHostId(state.host_id) for state in near if state.is_coordinator}
        able = {EntryHostId(state.host_id) for state in near if state.can_follow}
        first_able = [host for host in ranked if host in able][:FOLLOWERS]
        return coordinators | set(first_able) | set(ranked[:FOLLOWERS])

    def must_ask(self, age_s: float) -> bool:
        """Tell whether this host asks the store, given the age of what it knows."""
        return self.is_mine() or age_s > self._patience_s

    def near_hosts(self) -> int:
        """Return how many hosts of this data centre were heard lately, this one included."""
        return len(self._near_states()) + 1

    def _near_states(self) -> list[EntryState]:
        """Return what the peers in this data centre told last."""
        return [peer for peer in self._board.states() if peer.data_centre == self._data_centre]
