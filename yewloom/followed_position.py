"""How far this host knows one kind of the store's objects, and since when that is proved."""

from yewloom.schema.entry_pb2 import ListingWord

RELAY_GRACE_S = 0.3
"""Time for which changes that a peer has and this host lacks may still be on their way: a message
and a half."""


class FollowedPosition:
    """The position up to which all changes are known; None before the first listing.

    ``changed_at`` is a position from which on nothing has changed since. Times are seconds of this
    host's clock.
    """

    def __init__(self) -> None:
        self.position: int | None = None
        self.changed_at = 0
        self.proved_s = float("-inf")
        self._needed = 0
        self._behind_since_s = float("inf")

    def forget(self) -> None:
        """Take in that changes may have been missed."""
        self.position = None

    def advance(self, position: int, has_changed: bool, proved_s: float) -> None:
        """Take in all changes up to a position, current at ``proved_s``."""
        if self.position is None or position > self.position:
            self.position = position
        if has_changed:
            self.changed_at = max(self.changed_at, position)
        self.proved_s = max(self.proved_s, proved_s)
        if self.position >= self._needed:
            self._behind_since_s = float("inf")

    def continues(self, base: int, position: int) -> bool:
        """Tell whether changes from ``base`` to ``position`` can be taken in, and are news."""
        return self.position is not None and base <= self.position < position

    def on_word(self, word: ListingWord, confirmed_s: float, now_s: float) -> None:
        """Take in a peer's word that it knew all changes at ``confirmed_s``."""
        if self.position is None:
            return
        if word.changed_at <= self.position:
            # The peer knows of no change that this host lacks.
            self.advance(word.position, False, confirmed_s)
            return
        self._needed = max(self._needed, word.changed_at)
        self._behind_since_s = min(self._behind_since_s, now_s)

    def age_s(self, now_s: float) -> float:
        """Return the time for which a change may have gone unseen.

        It is infinite once a change that a peer knows has not come in time.
        """
        if self.position is None or now_s - self._behind_since_s > RELAY_GRACE_S:
            return float("inf")
        return now_s - self.proved_s
