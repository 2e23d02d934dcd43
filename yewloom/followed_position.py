"""The position in the store's history up to which this host knows all objects of one kind."""

import math

from yewloom.configuration import MAX_REPORTED_AGE_S
from yewloom.schema.entry_pb2 import ListingWord
from yewloom.store_revisions import era_of

RELAY_GRACE_S = 0.3
"""Time that a change known to a peer may take to reach this host: about one and a half message
intervals."""

LISTING_REPORT_DELAY_S = 2.0
"""Time after a listing for which no report is sent, unless the last change's position is known.

A listing does not contain that position. A report without it would make all peers call the store;
a peer's watch reveals it in the meantime."""


class FollowedPosition:
    """The position up to which all changes are known; None until a listing has been recorded.

    No object changed after ``changed_at``, up to ``position``. All changes made until
    ``confirmed_s`` are known. Times are seconds on this host's clock.
    """

    def __init__(self) -> None:
        self.position: int | None = None
        self.changed_at = 0
        self.confirmed_s = float("-inf")
        self._withhold_until_s = float("-inf")
        self._missing_position = 0
        self._behind_since_s = float("inf")
        self._forgotten_position: int | None = None
        self._latest_era, self._era_began_s = 0, float("-inf")

    @property
    def last_position(self) -> int | None:
        """Return the latest position whose objects this host knew, even if it was forgotten."""
        return self._forgotten_position if self.position is None else self.position

    def forget(self) -> None:
        """Reset the position to None, since changes may have been missed."""
        self._forgotten_position = self.last_position
        self.position = None

    def hear_of(self, position: int, now_s: float) -> float:
        """Record that this host or a peer knows a position.

        Return when the latest era was first heard of.
        """
        if era_of(position) > self._latest_era:
            self._latest_era, self._era_began_s = era_of(position), now_s
        return self._era_began_s

    def record_listing(self, position: int, confirmed_s: float) -> None:
        """Record a full listing as of a position, current at ``confirmed_s``.

        If its differences to the last position were recorded before, this adds nothing.
        """
        if self.position is None or position > self.position:
            self.changed_at = position
            self._withhold_until_s = confirmed_s + LISTING_REPORT_DELAY_S
        self._advance(position, confirmed_s)

    def record_changes(self, position: int, has_changed: bool, confirmed_s: float) -> None:
        """Record all changes up to a position, current at ``confirmed_s``; there may be none."""
        if has_changed:
            self.changed_at = max(self.changed_at, position)
            self._withhold_until_s = float("-inf")
        self._advance(position, confirmed_s)

    def can_apply(self, base: int, position: int, unchanged_until: int | None = None) -> bool:
        """Return whether changes from ``base`` to ``position`` are new and leave no gap.

        The difference of two listings can be applied up to the position ``unchanged_until`` only.
        """
        if self.position is None or not base <= self.position < position:
            return False
        return unchanged_until is None or self.position <= unchanged_until

    def on_peer_report(self, report: ListingWord, confirmed_s: float, now_s: float) -> None:
        """Process a peer's report that it knew all changes made until ``confirmed_s``.

        A peer that has not noticed yet that the store went back to an older copy confirms nothing.
        """
        if self.position is not None and era_of(report.position) < era_of(self.position):
            return
        self.hear_of(report.position, now_s)
        if self.position is None or report.changed_at > self.position:
            self._missing_position = max(self._missing_position, report.changed_at)
            self._behind_since_s = min(self._behind_since_s, now_s)
            return
        # The peer knows of no change that this host lacks.
        if self.position <= report.position and report.changed_at <= self.changed_at:
            self.changed_at = report.changed_at
            self._withhold_until_s = float("-inf")
        self._advance(report.position, confirmed_s)

    def report(self, now_s: float) -> ListingWord | None:
        """Return the report for peers; None while there is nothing to report."""
        if self.position is None or now_s < self._withhold_until_s:
            return None
        age_ms = math.ceil((now_s - self.confirmed_s) * 1000)
        return ListingWord(changed_at=self.changed_at, position=self.position, age_ms=age_ms)

    def is_behind(self, now_s: float) -> bool:
        """Return whether a change known to a peer did not arrive within RELAY_GRACE_S."""
        return now_s - self._behind_since_s > RELAY_GRACE_S

    def age_s(self, now_s: float) -> float:
        """Return for how long a change may have gone unnoticed; infinite if this host is behind."""
        if self.position is None or self.is_behind(now_s):
            return float("inf")
        return now_s - self.confirmed_s

    def reported_age_ms(self, now_s: float) -> int:
        """Return the age in whole milliseconds, bounded, for logs and metrics."""
        return math.ceil(min(self.age_s(now_s), MAX_REPORTED_AGE_S) * 1000)

    def _advance(self, position: int, confirmed_s: float) -> None:
        if self.position is None or position > self.position:
            self.position = position
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        if self.position >= self._missing_position:
            self._behind_since_s = float("inf")
