"""Membership of entry hosts, learnt by exchange, without the platform.

Every entry host raises its own heartbeat counter. Another counts as alive while its counter or
incarnation still rises; a repeated or delayed message can't keep a dead one alive. Work that is
divided (watching the platform, probing endpoints) goes by rendezvous hashing over the live
members, so all that see the same members agree without a word.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from yewloom.hashing import hash64
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.schema.peer_pb2 import Member

FORGET_FACTOR = 10
"""A silent member is forgotten after this many times the bound for being gone."""


@dataclass
class _Known:
    member: Member
    advanced_s: float


class Membership:
    """The entry hosts that one entry host knows, itself included.

    Times are seconds of the caller's monotonic clock; ``dead_after_s`` is the silence after which
    a member counts as gone.
    """

    def __init__(self, me: Member, dead_after_s: float) -> None:
        self._me = me
        self._dead_after_s = dead_after_s
        self._known: dict[EntryHostId, _Known] = {}

    @property
    def me(self) -> Member:
        """This entry host's own entry."""
        return self._me

    def beat(self) -> None:
        """Raise the own heartbeat counter."""
        self._me.heartbeat += 1

    def start_leaving(self) -> None:
        """Tell the others that this entry host is about to stop."""
        self._me.leaving = True

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Tell the others whether the platform answers this entry host."""
        self._me.is_cut_off = is_cut_off

    def merge(self, members: Iterable[Member], now_s: float) -> None:
        """Take in what another entry host knows."""
        for member in members:
            if member.id == self._me.id:
                self._outlive(member)
                continue
            known = self._known.get(EntryHostId(member.id))
            if known is None or _rank(member) > _rank(known.member):
                self._known[EntryHostId(member.id)] = _Known(member, now_s)
        self._forget(now_s)

    def alive(self, now_s: float) -> list[Member]:
        """Return the live members, this one included, in order of id."""
        live = [k.member for k in self._known.values() if self._is_alive(k, now_s)]
        return sorted([self._me, *live], key=lambda member: member.id)

    def alive_in(self, data_centre: DataCentreId, now_s: float) -> list[Member]:
        """Return the live members of one data centre."""
        return [m for m in self.alive(now_s) if m.data_centre == data_centre]

    def has_platform_duty(self, duty: str, count: int, now_s: float) -> bool:
        """Tell the same of a duty that needs the platform.

        Members that are cut off from it stand back, unless all are.
        """
        members = self.alive_in(DataCentreId(self._me.data_centre), now_s)
        has_reach = [member for member in members if not member.is_cut_off]
        return self._is_chosen(duty, count, has_reach or members)

    def has_duty(self, duty: str, count: int, now_s: float) -> bool:
        """Tell whether this entry host is among the ``count`` that carry a duty.

        Only live members of the own data centre that are not leaving carry duties.
        """
        members = self.alive_in(DataCentreId(self._me.data_centre), now_s)
        return self._is_chosen(duty, count, members)

    def _is_chosen(self, duty: str, count: int, members: Iterable[Member]) -> bool:
        candidates = [member for member in members if not member.leaving]
        chosen = sorted(candidates, key=lambda m: _weight(duty, m.id), reverse=True)[:count]
        return any(member.id == self._me.id for member in chosen)

    def _outlive(self, rumour: Member) -> None:
        """Rise above an entry of an earlier process with the same name and a faster clock."""
        if rumour.incarnation > self._me.incarnation:
            self._me.incarnation = rumour.incarnation + 1

    def _is_alive(self, known: _Known, now_s: float) -> bool:
        return now_s - known.advanced_s < self._dead_after_s

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - FORGET_FACTOR * self._dead_after_s
        for name in [n for n, known in self._known.items() if known.advanced_s < oldest_s]:
            del self._known[name]


def _rank(member: Member) -> tuple[int, int]:
    return member.incarnation, member.heartbeat


def _weight(duty: str, name: str) -> int:
    return hash64(f"{duty}/{name}")
