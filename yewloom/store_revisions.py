"""Revisions of the store, qualified by its era.

The store counts changes by a revision. In a drill it may go back to an older copy of itself; it
then loses its latest changes and gives out their revisions again, for other changes. Its era counts
how often that has happened. A qualified revision holds the era in its high bits, so whatever the
store says in a later era is greater than all that it said before, and the revisions of two eras are
never compared with each other.
"""

import structlog

logger = structlog.get_logger(__name__)

NUMBER_BITS = 48
"""Bits of a qualified revision that hold the store's own revision. The rest of a signed 64-bit
integer, as messages carry it, is enough for 32,768 eras."""

_NUMBER_MASK = (1 << NUMBER_BITS) - 1
_MAX_ERA = (1 << (63 - NUMBER_BITS)) - 1
_MAX_ERA_DIGITS = 10


def qualify_revision(era: int, number: int) -> int:
    """Return the qualified revision for a revision that the store gave out in an era."""
    return era << NUMBER_BITS | number & _NUMBER_MASK


def era_of(revision: int) -> int:
    """Return the era of a qualified revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own revision for a qualified one."""
    return revision & _NUMBER_MASK


class StoreEra:
    """The latest era in which the store has answered this host."""

    def __init__(self) -> None:
        self._latest: int | None = None

    @property
    def latest(self) -> int:
        """Return the latest era; 0 before the first answer."""
        return self._latest or 0

    def observe(self, text: str | None) -> bool:
        """Record the era that an answer names; return False for one of an earlier era.

        An answer that names none, or no whole number, belongs to the latest era.
        """
        if text is None or not (text.isascii() and text.isdigit()):
            return True
        era = min(int(text[:_MAX_ERA_DIGITS]), _MAX_ERA)
        if self._latest is not None and era > self._latest:
            logger.warning("store went back to an older copy", era=era, before=self._latest)
        self._latest = max(era, self.latest)
        return era == self._latest
