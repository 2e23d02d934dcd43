"""How far this host knows one kind of the store's objects, and since when that is proved."""

import math

from yewloom.schema.entry_pb2 import ListingWord

RELAY_GRACE_S = 0.3
"""Time for which changes that a peer has and this host lacks may still be on their way: a message
and a half."""

LISTED_SILENCE_S = 2.0
"""Time after a listing for which nothing is told, unless it is known when the last change was. A
listing does not tell, so all peers would have to ask the store; one of their watches does."""


class FollowedPosition:
    """The position up to which all changes are known; None before the first listing.

    ``changed_at`` is a position from which on nothing has changed since. Times are seconds of this
    host's clock.
    """

    def __init__(self) -> None:
        self.position: int | None = None
        self.changed_at = 0
        self.proved_s = float("-inf")
        self._silent_until_s = float("-inf")
        self._needed = 0
        self._behind_since_s = float("inf")

    def forget(self) -> None:
        """Take in that changes may have been missed."""
        self.position = None

    def take_listing(self, position: int, proved_s: float) -> None:
        """Take in a whole listing as of a position, current at ``proved_s``."""
        if self.position is None or position > self.position:
            self.changed_at = position
            self._silent_until_s = proved_s + LISTED_SILENCE_S
        self._advance(position, proved_s)

    def take_changes(self, position: int, has_changed: bool, proved_s: float) -> None:
        """Take in all changes up to a position, if any, current at ``proved_s``."""
        if has_changed:
            self.changed_at = max(self.changed_at, position)
            self._silent_until_s = float("-inf")
        self._advance(position, proved_s)

    def continues(self, base: int, position: int) -> bool:
        """Tell whether changes from ``base`` to ``position`` can be taken in, and are news."""
        return self.position is not None and base <= self.position < position

    def on_word(self, word: ListingWord, confirmed_s: float, now_s: float) -> None:
        """Take in a peer's word that it knew all changes at ``confirmed_s``."""
        if self.position is None:
            return
        if word.changed_at > self.position:
            self._needed = max(self._needed, word.changed_at)
            self._behind_since_s = min(self._behind_since_s, now_s)
            return
        # The peer knows of no change that this host lacks.
        if self.position <= word.position and word.changed_at <= self.changed_at:
            self.changed_at = word.changed_at
            self._silent_until_s = float("-inf")
        self._advance(word.position, confirmed_s)

    def word(self, now_s: float) -> ListingWord | None:
        """Return what peers should be told; None if nothing yet."""
        if self.position is None or now_s < self._silent_until_s:
            return None
        age_ms = math.ceil((now_s - self.proved_s) * 1000)
        return ListingWord(changed_at=self.changed_at, position=self.position, age_ms=age_ms)

    def age_s(self, now_s: float) -> float:
        """Return the time for which a change may have gone unseen.

        It is infinite once a change that a peer knows has not come in time.
        """
        if self.position is None or now_s - self._behind_since_s > RELAY_GRACE_S:
            return float("inf")
        return now_s - self.proved_s

    def _advance(self, position: int, proved_s: float) -> None:
        if self.position is None or position > self.position:
            self.position = position
        self.proved_s = max(self.proved_s, proved_s)
        if self.position >= self._needed:
            self._behind_since_s = float("inf")
