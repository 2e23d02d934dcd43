"""Gossip-based membership of entry hosts, independent of the platform.

Every entry host increments its own heartbeat counter. Others consider it alive while its counter or
incarnation still rises, so a repeated or delayed message cannot keep a dead member alive. Shared
duties (watching the platform, probing endpoints) are assigned by rendezvous hashing over the live
members, so hosts that see the same members agree without communicating.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from yewloom.hashing import hash64
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.schema.peer_pb2 import Member

FORGET_FACTOR = 10
"""A member without heartbeats is forgotten after this multiple of ``dead_after_s``."""


@dataclass
class _KnownMember:
    member: Member
    advanced_s: float


class Membership:
    """The entry hosts known to one entry host, itself included.

    Times are seconds on the caller's monotonic clock; ``dead_after_s`` is the time without a
    heartbeat after which a member is considered dead.
    """

    def __init__(self, own_member: Member, dead_after_s: float) -> None:
        self._own_member = own_member
        self._dead_after_s = dead_after_s
        self._known: dict[EntryHostId, _KnownMember] = {}

    @property
    def own_member(self) -> Member:
        """This entry host's own entry."""
        return self._own_member

    def increment_heartbeat(self) -> None:
        """Increment this entry host's heartbeat counter."""
        self._own_member.heartbeat += 1

    def start_leaving(self) -> None:
        """Announce that this entry host is about to stop."""
        self._own_member.leaving = True

    def set_platform_unreachable(self, is_unreachable: bool) -> None:
        """Announce whether the platform is unreachable from this entry host."""
        self._own_member.is_cut_off = is_unreachable

    def merge(self, members: Iterable[Member], now_s: float) -> None:
        """Merge the members known to another entry host."""
        for member in members:
            if member.id == self._own_member.id:
                self._supersede(member)
                continue
            known = self._known.get(EntryHostId(member.id))
            if known is None or _recency(member) > _recency(known.member):
                self._known[EntryHostId(member.id)] = _KnownMember(member, now_s)
        self._forget_dead(now_s)

    def alive(self, now_s: float) -> list[Member]:
        """Return the live members, this one included, sorted by id."""
        live = [known.member for known in self._known.values() if self._is_alive(known, now_s)]
        return sorted([self._own_member, *live], key=lambda member: member.id)

    def alive_in(self, data_centre: DataCentreId, now_s: float) -> list[Member]:
        """Return the live members of one data centre."""
        return [m for m in self.alive(now_s) if m.data_centre == data_centre]

    def has_platform_duty(self, duty: str, count: int, now_s: float) -> bool:
        """Return whether this entry host is chosen for a duty that needs the platform.

        This is as in ``has_duty``, but members that cannot reach the platform are not chosen,
        unless no member can reach it.
        """
        members = self.alive_in(DataCentreId(self._own_member.data_centre), now_s)
        connected = [member for member in members if not member.is_cut_off]
        return self._is_chosen(duty, count, connected or members)

    def has_duty(self, duty: str, count: int, now_s: float) -> bool:
        """Return whether this entry host is among the ``count`` members chosen for a duty.

        Only live members of the same data centre that are not leaving are chosen.
        """
        members = self.alive_in(DataCentreId(self._own_member.data_centre), now_s)
        return self._is_chosen(duty, count, members)

    def _is_chosen(self, duty: str, count: int, members: Iterable[Member]) -> bool:
        candidates = [member for member in members if not member.leaving]
        chosen = sorted(candidates, key=lambda m: _weight(duty, m.id), reverse=True)[:count]
        return any(member.id == self._own_member.id for member in chosen)

    def _supersede(self, reported: Member) -> None:
        """Raise this process's incarnation above that of an earlier process of this host.

        The earlier incarnation may be higher if the clock ran faster then.
        """
        if reported.incarnation > self._own_member.incarnation:
            self._own_member.incarnation = reported.incarnation + 1

    def _is_alive(self, known: _KnownMember, now_s: float) -> bool:
        return now_s - known.advanced_s < self._dead_after_s

    def _forget_dead(self, now_s: float) -> None:
        oldest_s = now_s - FORGET_FACTOR * self._dead_after_s
        for name in [n for n, known in self._known.items() if known.advanced_s < oldest_s]:
            del self._known[name]


def _recency(member: Member) -> tuple[int, int]:
    return member.incarnation, member.heartbeat


def _weight(duty: str, name: str) -> int:
    return hash64(f"{duty}/{name}")
