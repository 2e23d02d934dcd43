"""Selects the recipients of the next message: all peers that need each one, others in turn.

The known loads of endpoints may be some hundred milliseconds old. Messages between the followers of
the store and the other hosts of their data centre must not be delayed, though. A host dates a
follower's information to the last of its own messages that the follower had read before sending it.
So followers get each message, and the work of a host grows with the number of followers in its data
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
"""Minimum number of near peers, besides followers, that get each message of a host.

Near peers are those in the same data centre. A host that follows the store itself sends each
message to all of them."""

MIN_REMOTE_RECIPIENTS = 8
"""Minimum number of peers in other data centres that get each message."""

NEAR_ROUND_S = 1.2
"""Longest time between two messages to a peer in the same data centre."""

REMOTE_ROUND_S = 4.0
"""Longest time between two messages to a peer in another data centre."""


@value_class
class Recipient:
    """A peer that gets a message, and the longest time until it gets the next one."""

    peer: EntryHostId
    interval_s: float


class RoundRobin:
    """Selects peers in rotation, some for each message."""

    def __init__(self, min_recipients: int, round_s: float) -> None:
        self._min_recipients = min_recipients
        self._round_messages = round(round_s / SEND_INTERVAL_S)
        self._first = 0

    def recipient_count(self, peer_count: int) -> int:
        """Return the number of peers that get each message, given the number of all peers."""
        return min(peer_count, max(self._min_recipients, ceil(peer_count / self._round_messages)))

    def interval_s(self, peer_count: int) -> float:
        """Return the longest time between two messages to a peer, given the number of all peers."""
        return (
            ceil(peer_count / self.recipient_count(peer_count)) * SEND_INTERVAL_S
            if peer_count
            else SEND_INTERVAL_S
        )

    def next_peers(self, peers: Sequence[EntryHostId]) -> list[EntryHostId]:
        """Return the peers that get the next message."""
        count = self.recipient_count(len(peers))
        first = self._first % max(1, len(peers))
        self._first = first + count
        return list(islice([*peers, *peers], first, first + count))


class RecipientSelector:
    """Selects the recipients of each message."""

    def __init__(self) -> None:
        self._near = RoundRobin(MIN_NEAR_RECIPIENTS, NEAR_ROUND_S)
        self._remote = RoundRobin(MIN_REMOTE_RECIPIENTS, REMOTE_ROUND_S)

    def next_recipients(
        self,
        near: Sequence[EntryHostId],
        remote: Sequence[EntryHostId],
        always: Container[EntryHostId],
    ) -> list[Recipient]:
        """Return the recipients of the next message.

        ``near`` and ``remote`` are the peers in this and in other data centres; those near peers
        that are in ``always`` get each message.
        """
        chosen = [peer for peer in near if peer in always]
        others = [peer for peer in near if peer not in always]
        return [
            *(Recipient(peer, SEND_INTERVAL_S) for peer in chosen),
            *(
                Recipient(peer, self._near.interval_s(len(others)))
                for peer in self._near.next_peers(others)
            ),
            *(
                Recipient(peer, self._remote.interval_s(len(remote)))
                for peer in self._remote.next_peers(remote)
            ),
        ]
