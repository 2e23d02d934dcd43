"""Tests of membership: who is alive, and who carries which duty."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from yewloom.ids import DataCentreId
from yewloom.membership import Membership
from yewloom.schema.peer_pb2 import Member

DEAD_AFTER_S = 5.0
NAMES = ["e0", "e1", "e2", "e3"]


def _membership(name: str, incarnation: int = 1) -> Membership:
    me = Member(id=name, incarnation=incarnation, data_centre="a", peer_address=f"{name}:1")
    return Membership(me, DEAD_AFTER_S)


def _copy(members: list[Member]) -> list[Member]:
    copies = []
    for member in members:
        copied = Member()
        copied.CopyFrom(member)
        copies.append(copied)
    return copies


class MembershipMachine(RuleBasedStateMachine):
    """Entry hosts that beat, exchange, die and are replaced; messages may be old."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.nodes = {name: _membership(name) for name in NAMES}
        self.last_beat_s = dict.fromkeys(NAMES, 0.0)
        self.is_alive = dict.fromkeys(NAMES, True)
        self.old: list[list[Member]] = []

    @rule(seconds=st.floats(0.1, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(name=st.sampled_from(NAMES))
    def beat(self, name: str) -> None:
        if self.is_alive[name]:
            self.nodes[name].increment_heartbeat()
            self.last_beat_s[name] = self.now_s

    @rule(asker=st.sampled_from(NAMES), answerer=st.sampled_from(NAMES))
    def exchange(self, asker: str, answerer: str) -> None:
        if self.is_alive[asker] and self.is_alive[answerer]:
            told = _copy(self.nodes[answerer].alive(self.now_s))
            self.old.append(told)
            self.nodes[asker].merge(told, self.now_s)

    @rule(asker=st.sampled_from(NAMES), data=st.data())
    def repeat_an_old_message(self, asker: str, data: st.DataObject) -> None:
        if self.old:
            told = data.draw(st.sampled_from(self.old))
            self.nodes[asker].merge(_copy(told), self.now_s)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.is_alive[name] = False

    @rule(name=st.sampled_from(NAMES))
    def replace(self, name: str) -> None:
        if not self.is_alive[name]:
            incarnation = self.nodes[name].me.incarnation + 1
            self.nodes[name] = _membership(name, incarnation)
            self.is_alive[name] = True

    @invariant()
    def a_repeated_message_keeps_no_dead_member_alive(self) -> None:
        """Each entry rises only by beats, so what was merged once does not count again."""
        for node in self.nodes.values():
            for member in node.alive(self.now_s):
                assert member.heartbeat <= self.nodes[member.id].me.heartbeat or (
                    member.incarnation < self.nodes[member.id].me.incarnation
                )


TestMembershipMachine = MembershipMachine.TestCase


class TestMembership(unittest.TestCase):
    """Single cases."""

    def test_a_silent_member_counts_as_gone_though_its_entry_is_repeated(self) -> None:
        mine, other = _membership("e0"), _membership("e1")
        told = _copy([other.me])
        for second in range(8):
            mine.merge(_copy(told), float(second))
        self.assertEqual([m.id for m in mine.alive(7.0)], ["e0"])

    def test_a_replaced_member_with_a_new_address_is_known_by_its_higher_incarnation(self) -> None:
        mine = _membership("e0")
        old = Member(id="e1", incarnation=5, heartbeat=900, data_centre="a", peer_address="old:1")
        new = Member(id="e1", incarnation=6, heartbeat=1, data_centre="a", peer_address="new:1")
        mine.merge([old], 0.0)
        mine.merge([new], 1.0)
        mine.merge([old], 2.0)
        self.assertEqual([m.peer_address for m in mine.alive(2.0)], ["e0:1", "new:1"])

    def test_members_with_the_same_view_agree_on_duties(self) -> None:
        nodes = [_membership(name) for name in NAMES]
        for node in nodes:
            node.merge(_copy([other.me for other in nodes]), 0.0)
        for number in range(50):
            carriers = [node.has_duty(f"group/{number}", 2, 0.0) for node in nodes]
            self.assertEqual(sum(carriers), 2)

    def test_a_leaving_member_carries_no_duty(self) -> None:
        nodes = [_membership(name) for name in NAMES]
        nodes[0].start_leaving()
        for node in nodes:
            node.merge(_copy([other.me for other in nodes]), 0.0)
        carriers = [[node.has_duty(f"g{n}", 2, 0.0) for node in nodes] for n in range(20)]
        self.assertFalse(any(row[0] for row in carriers))
        self.assertTrue(all(sum(row) == 2 for row in carriers))

    def test_members_cut_off_from_the_platform_leave_its_duties_to_others(self) -> None:
        nodes = [_membership(name) for name in NAMES]
        nodes[0].set_cut_off(True)
        nodes[1].set_cut_off(True)
        for node in nodes:
            node.merge(_copy([other.me for other in nodes]), 0.0)
        chosen = [node.has_platform_duty("watch", 2, 0.0) for node in nodes]
        self.assertEqual(chosen, [False, False, True, True])

    def test_when_all_are_cut_off_the_platforms_duties_are_still_carried(self) -> None:
        nodes = [_membership(name) for name in NAMES]
        for node in nodes:
            node.set_cut_off(True)
        for node in nodes:
            node.merge(_copy([other.me for other in nodes]), 0.0)
        self.assertEqual(sum(node.has_platform_duty("watch", 2, 0.0) for node in nodes), 2)

    def test_duties_stay_within_the_data_centre(self) -> None:
        mine = _membership("e0")
        mine.merge([Member(id=f"x{i}", incarnation=1, data_centre="b") for i in range(20)], 0.0)
        self.assertTrue(all(mine.has_duty(f"d{i}", 1, 0.0) for i in range(20)))
        self.assertEqual(len(mine.alive_in(DataCentreId("b"), 0.0)), 20)
