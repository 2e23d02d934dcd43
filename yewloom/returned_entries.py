"""Entries of endpoints in a store that has just gone back to an older copy of itself.

The copy may list endpoints that have left since, and others as they were some seconds ago. Live
endpoints soon write their entries again, and those of dead ones expire. Until then, an entry that
looks older than what this host already knew is held back, and applied only if it stays as it is.

All times are seconds of trio's clock.
"""

import math
from collections.abc import Iterable, Mapping

from yewloom.directory import REWRITE_S, Endpoint, GroupMembership, MemberState
from yewloom.ids import HostId
from yewloom.values import value_class

EXPIRY_S = 5.0
"""Time for which an endpoint that had been removed stays removed: its entry expires after three
missed heartbeats, of 1.2 s at most."""

MAX_REMOVALS = 1024
"""Number of latest removals that are remembered: many more than happen within some seconds."""

_LIFECYCLE = (
    MemberState.JOINING,
    MemberState.READY,
    MemberState.OPEN,
    MemberState.CLOSING,
    MemberState.BROKEN,
)
"""States of a member in the order in which it usually goes through them."""


@value_class
class _HeldEntry:
    """An entry that is not believed yet, and when it will be if it has not changed by then."""

    endpoint: Endpoint
    due_s: float


class ReturnedEntries:
    """Decides which entries of listings are believed after the store went back."""

    def __init__(self) -> None:
        self._held: dict[HostId, _HeldEntry] = {}
        self._removed: dict[HostId, None] = {}  # In the order of removal.

    def record_removal(self, endpoint: HostId) -> None:
        """Record that an endpoint has been removed."""
        self.record_write(endpoint)
        self._removed[endpoint] = None
        if len(self._removed) > MAX_REMOVALS:
            del self._removed[next(iter(self._removed))]

    def record_write(self, endpoint: HostId) -> None:
        """Record a change of an endpoint's entry, which is believed at once."""
        self._held.pop(endpoint, None)
        self._removed.pop(endpoint, None)

    def hold_back(
        self, listed: Iterable[Endpoint], known: Mapping[HostId, Endpoint], now_s: float
    ) -> None:
        """Hold back the entries of the first listing after the return that look outdated."""
        self._held.clear()
        for endpoint in listed:
            if endpoint.id in known and _looks_older(endpoint, known[endpoint.id]):
                self._held[endpoint.id] = _HeldEntry(endpoint, now_s + REWRITE_S)
            elif endpoint.id in self._removed:
                self._held[endpoint.id] = _HeldEntry(endpoint, now_s + EXPIRY_S)

    def believed(
        self, listed: Iterable[Endpoint], known: Mapping[HostId, Endpoint]
    ) -> list[Endpoint]:
        """Return a listing with the known state in place of each entry that is held back.

        An entry that has changed since the first listing has been written again.
        """
        believed: list[Endpoint] = []
        for endpoint in listed:
            held = self._held.get(endpoint.id)
            if held is None or held.endpoint != endpoint:
                self.record_write(endpoint.id)
                believed.append(endpoint)
            elif endpoint.id in known:
                believed.append(known[endpoint.id])
        return believed

    def next_due_s(self) -> float:
        """Return when the first entry that is held back is due; infinite if there is none."""
        return min((held.due_s for held in self._held.values()), default=math.inf)

    def take_due(self, now_s: float) -> list[Endpoint]:
        """Return the entries that have stayed as they are for long enough, and release them."""
        due = [held.endpoint for held in self._held.values() if now_s >= held.due_s]
        for endpoint in due:
            self.record_write(endpoint.id)
        return due


def _looks_older(listed: Endpoint, known: Endpoint) -> bool:
    """Return whether an entry tells an earlier state of an endpoint than the known one."""
    if listed.started_unix_ms != known.started_unix_ms:
        return listed.started_unix_ms < known.started_unix_ms
    if known.is_leaving and not listed.is_leaving:
        return True
    return _progress(listed.membership) < _progress(known.membership)


def _progress(member: GroupMembership | None) -> tuple[int, int]:
    """Return a number pair that increases as an endpoint goes through its groups."""
    if member is None:
        return 0, 0
    return member.key.generation, _LIFECYCLE.index(member.state)
