"""How long watches of the store last, and how old news may be before another host asks for it.

A change must be in force everywhere within a time that the settings state, also while the host that
follows the store for its data centre dies or is cut off right before it. So watches are as long as
that leaves time for one host after the other to find out, and no longer than the settings allow:
each watch that ends without news is a call.
"""

from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.values import value_class

WATCH_SHARE = 0.4
"""Longest watch as a part of the time within which a change must be in force."""

WORD_S = 0.35
"""Time from the end of a watch until all peers have heard of it: a message and a half."""

STANDBY_HEAD_S = 0.15
"""Time by which the host that stands by asks before the others, so that they hear from it."""

PATIENCE_SPREAD_S = 0.3
"""Greatest further patience of the others, so that not all of them ask the store at once."""


@value_class
class FollowTimes:
    """Longest watch, and the ages of news at which the standby and then the others ask."""

    watch_s: float
    standby_s: float
    patience_s: float


def follow_times(settings: EntrySettings) -> FollowTimes:
    """Return the times that follow from an entry host's settings."""
    store = settings.store
    longest_ms = min(store.configuration_watch_ms, store.endpoint_watch_ms)
    watch_ms = min(longest_ms, settings.bounds.configuration_apply_ms * WATCH_SHARE)
    standby_s = watch_ms / 1000 + WORD_S
    return FollowTimes(watch_ms / 1000, standby_s, standby_s + STANDBY_HEAD_S)
