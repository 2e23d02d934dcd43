"""Selects the recipients of the next message: all peers that need each one, others in turn.

The known loads of endpoints may be some hundred milliseconds old. Messages between the hosts of a
data centre and those of them that follow the store must not be delayed: the age of a host's
information counts from the last of its messages that a follower had read before it sent its own. So
followers get each message, and the work of a host grows with the number of followers in its data
centre, not with the number of hosts. With very many peers, more of them get each message, so that
none waits too long for its turn.
"""

from collections.abc import Container, Sequence
from itertools import islice
from math import ceil

from yewloom.ids import EntryHostId
from yewloom.values import value_class

SEND_INTERVAL_S = 0.2
"""Interval between two messages of a host."""

MIN_NEAR_RECIPIENTS = 8
"""Minimum number of peers in the same data centre, besides followers, that get each message of a
host that does not follow the store."""

MIN_REMOTE_RECIPIENTS = 8
"""Minimum number of peers in other data centres that get each message."""

NEAR_ROUND_S = 1.2
"""Longest time between two messages to a peer in the same data centre."""

REMOTE_ROUND_S = 4.0
"""Longest time between two messages to a peer in another data centre."""


@value_class
class Turn:
    """A recipient of a message, and the longest time until it gets the next one."""

    peer: EntryHostId
    interval_s: float


class RoundRobin:
    """Selects peers in rotation, some for each message."""

    def __init__(self, min_recipients: int, round_s: float) -> None:
        self._min_recipients = min_recipients
        self._round_messages = round(round_s / SEND_INTERVAL_S)
        self._first = 0

    def recipients(self, peers: int) -> int:
        """Return the number of peers that get each message, given the number of all peers."""
        return min(peers, max(self._min_recipients, ceil(peers / self._round_messages)))

    def interval_s(self, peers: int) -> float:
        """Return the longest time between two messages to a peer, given the number of all peers."""
        return ceil(peers / self.recipients(peers)) * SEND_INTERVAL_S if peers else SEND_INTERVAL_S

    def next_peers(self, peers: Sequence[EntryHostId]) -> list[EntryHostId]:
        """Return the peers that get the next message."""
        count = self.recipients(len(peers))
        first = self._first % max(1, len(peers))
        self._first = first + count
        return list(islice([*peers, *peers], first, first + count))


class PeerTurns:
    """Selects the recipients of each message."""

    def __init__(self) -> None:
        self._near = RoundRobin(MIN_NEAR_RECIPIENTS, NEAR_ROUND_S)
        self._remote = RoundRobin(MIN_REMOTE_RECIPIENTS, REMOTE_ROUND_S)

    def next_turns(
        self,
        near: Sequence[EntryHostId],
        remote: Sequence[EntryHostId],
        always: Container[EntryHostId],
    ) -> list[Turn]:
        """Return the recipients of the next message.

        ``near`` and ``remote`` are the peers in this and in other data centres; those near peers
        that are in ``always`` get each message.
        """
        chosen = [peer for peer in near if peer in always]
        others = [peer for peer in near if peer not in always]
        return [
            *(Turn(peer, SEND_INTERVAL_S) for peer in chosen),
            *(
                Turn(peer, self._near.interval_s(len(others)))
                for peer in self._near.next_peers(others)
            ),
            *(
                Turn(peer, self._remote.interval_s(len(remote)))
                for peer in self._remote.next_peers(remote)
            ),
        ]
