"""Duration of watches on the store, and the ages at which other hosts call the store themselves.

A change must take effect on every host within the time set by ``configuration_apply_ms``, even if
the host that follows the store for its data centre dies or loses its connection right before the
change. So a watch must be short enough for the standby and then the other hosts to call the store
in time afterwards. It should not be shorter than that, since each watch that ends without changes
costs a call. It never exceeds the limits in the settings.
"""

from yewloom.schema.entry_pb2 import EntrySettings, StoreAccess
from yewloom.values import value_class

MAX_WATCH_FRACTION = 0.4
"""Longest duration of a watch, as a fraction of the time within which a change must take effect."""

PROPAGATION_S = 0.35
"""Time from the end of a watch until all peers know its result: about one and a half message
intervals, and twice the time that datagrams wait to be read."""

STANDBY_LEAD_S = 0.15
"""Time by which the standby calls the store before the other hosts, so that they hear from it
instead."""

MAX_FALLBACK_JITTER_S = 0.3
"""Maximum random delay added for the other hosts, so that they do not all call at once."""

MAX_BEHIND_PAUSE_FRACTION = 0.2
"""Longest pause between the calls of a host that lacks a change, as a fraction of the time within
which a change must take effect. Most of that time passes before the host knows that it lacks one,
and in the call itself."""

BEFORE_TRAFFIC_PAUSE_S = 2.0
"""Batching time of endpoint changes before the first request, on a host without follow duty: all
endpoints appear one by one then, and such a host has no use for them yet."""


@value_class
class FollowTimes:
    """Duration of watches, and the ages of information at which other hosts call the store.

    The standby calls at ``standby_s``, the hosts without the duty at ``fallback_s``.
    """

    watch_s: float
    standby_s: float
    fallback_s: float


def follow_times(settings: EntrySettings) -> FollowTimes:
    """Return the times derived from an entry host's settings."""
    store = settings.store
    max_watch_ms = min(store.configuration_watch_ms, store.endpoint_watch_ms)
    watch_ms = min(max_watch_ms, settings.bounds.configuration_apply_ms * MAX_WATCH_FRACTION)
    standby_s = watch_ms / 1000 + PROPAGATION_S
    return FollowTimes(watch_ms / 1000, standby_s, standby_s + STANDBY_LEAD_S)


def longest_behind_pause_s(settings: EntrySettings) -> float:
    """Return the longest pause after failed calls of a host that lacks a change."""
    return settings.bounds.configuration_apply_ms / 1000 * MAX_BEHIND_PAUSE_FRACTION


def endpoint_pause_s(
    store: StoreAccess, is_before_traffic: bool, has_duty: bool, holds_lease: bool
) -> float:
    """Return how long endpoint changes are batched; a coordinator waits for each batch."""
    if is_before_traffic and not has_duty:
        return BEFORE_TRAFFIC_PAUSE_S
    needs_changes_soon = is_before_traffic or holds_lease
    pause_ms = store.coordinator_pause_ms if needs_changes_soon else store.endpoint_pause_ms
    return pause_ms / 1000
