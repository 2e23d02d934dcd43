"""Which peers get the next message: all that need each one, and some of the others in turn.

Loads of endpoints may be some hundred milliseconds old. What passes between a data centre's hosts
and those of them that follow the store may not: the age of what the others know counts from the
last message of theirs that a follower had read before it spoke. So a host's work grows with the
followers of its data centre, not with all of its hosts. Of very many peers more get each message,
so that none waits for its turn for too long.
"""

from collections.abc import Container, Sequence
from itertools import islice
from math import ceil

from yewloom.ids import EntryHostId
from yewloom.values import value_class

SEND_INTERVAL_S = 0.2
"""Pause between two messages of a host."""

NEAR_PEERS_AT_ONCE = 8
"""Least peers in the data centre, beside the followers, that get one message of a host that follows
nothing."""

REMOTE_PEERS_AT_ONCE = 8
"""Least peers in other data centres that get one message."""

NEAR_ROUND_S = 1.2
"""Longest time until a peer in the data centre has its turn again."""

REMOTE_ROUND_S = 4.0
"""The same for a peer in another data centre."""


@value_class
class Turn:
    """A peer that gets a message, and the longest time until it gets the next one."""

    peer: EntryHostId
    interval_s: float


class Turns:
    """Hands out peers a few at a time, each as often as the others."""

    def __init__(self, at_once: int, round_s: float) -> None:
        self._at_once = at_once
        self._round_messages = round(round_s / SEND_INTERVAL_S)
        self._first = 0

    def at_once(self, peers: int) -> int:
        """Return how many of so many peers get one message."""
        return min(peers, max(self._at_once, ceil(peers / self._round_messages)))

    def interval_s(self, peers: int) -> float:
        """Return the longest time between two messages to one of so many peers."""
        return ceil(peers / self.at_once(peers)) * SEND_INTERVAL_S if peers else SEND_INTERVAL_S

    def next(self, peers: Sequence[EntryHostId]) -> list[EntryHostId]:
        """Return the peers whose turn it is."""
        count = self.at_once(len(peers))
        first = self._first % max(1, len(peers))
        self._first = first + count
        return list(islice([*peers, *peers], first, first + count))


class PeerTurns:
    """Chooses the peers of each message."""

    def __init__(self) -> None:
        self._near = Turns(NEAR_PEERS_AT_ONCE, NEAR_ROUND_S)
        self._remote = Turns(REMOTE_PEERS_AT_ONCE, REMOTE_ROUND_S)

    def next(
        self,
        near: Sequence[EntryHostId],
        remote: Sequence[EntryHostId],
        always: Container[EntryHostId],
    ) -> list[Turn]:
        """Return who gets the next message; ``always`` are near peers that get each one."""
        chosen = [peer for peer in near if peer in always]
        others = [peer for peer in near if peer not in always]
        return [
            *(Turn(peer, SEND_INTERVAL_S) for peer in chosen),
            *(Turn(peer, self._near.interval_s(len(others))) for peer in self._near.next(others)),
            *(Turn(p, self._remote.interval_s(len(remote))) for p in self._remote.next(remote)),
        ]
