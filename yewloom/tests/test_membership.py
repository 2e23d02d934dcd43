"""Tests of membership: which members are alive, and which are chosen for duties."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from yewloom.ids import DataCentreId
from yewloom.membership import Membership
from yewloom.schema.peer_pb2 import Member

DEAD_AFTER_S = 5.0
NAMES = ["e0", "e1", "e2", "e3"]


def _membership(name: str, incarnation: int = 1) -> Membership:
    own_member = Member(id=name, incarnation=incarnation, data_centre="a", peer_address=f"{name}:1")
    return Membership(own_member, DEAD_AFTER_S)


def _copy(members: list[Member]) -> list[Member]:
    copies = []
    for member in members:
        copied = Member()
        copied.CopyFrom(member)
        copies.append(copied)
    return copies


class MembershipMachine(RuleBasedStateMachine):
    """Entry hosts send heartbeats, exchange members, die and are replaced; messages may be old."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.memberships = {name: _membership(name) for name in NAMES}
        self.last_beat_s = dict.fromkeys(NAMES, 0.0)
        self.is_alive = dict.fromkeys(NAMES, True)
        self.sent: list[list[Member]] = []

    @rule(seconds=st.floats(0.1, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(name=st.sampled_from(NAMES))
    def beat(self, name: str) -> None:
        if self.is_alive[name]:
            self.memberships[name].increment_heartbeat()
            self.last_beat_s[name] = self.now_s

    @rule(requester=st.sampled_from(NAMES), responder=st.sampled_from(NAMES))
    def exchange(self, requester: str, responder: str) -> None:
        if self.is_alive[requester] and self.is_alive[responder]:
            members = _copy(self.memberships[responder].alive(self.now_s))
            self.sent.append(members)
            self.memberships[requester].merge(members, self.now_s)

    @rule(requester=st.sampled_from(NAMES), data=st.data())
    def repeat_an_old_message(self, requester: str, data: st.DataObject) -> None:
        if self.sent:
            members = data.draw(st.sampled_from(self.sent))
            self.memberships[requester].merge(_copy(members), self.now_s)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.is_alive[name] = False

    @rule(name=st.sampled_from(NAMES))
    def replace(self, name: str) -> None:
        if not self.is_alive[name]:
            incarnation = self.memberships[name].own_member.incarnation + 1
            self.memberships[name] = _membership(name, incarnation)
            self.is_alive[name] = True

    @invariant()
    def repeated_message_does_not_keep_a_dead_member_alive(self) -> None:
        """Only a heartbeat increases a counter, so a message merged again has no effect."""
        for membership in self.memberships.values():
            for member in membership.alive(self.now_s):
                assert member.heartbeat <= self.memberships[member.id].own_member.heartbeat or (
                    member.incarnation < self.memberships[member.id].own_member.incarnation
                )


TestMembershipMachine = MembershipMachine.TestCase


class TestMembership(unittest.TestCase):
    """Single cases."""

    def test_silent_member_is_dead_although_its_entry_is_repeated(self) -> None:
        mine, other = _membership("e0"), _membership("e1")
        members = _copy([other.own_member])
        for second in range(8):
            mine.merge(_copy(members), float(second))
        self.assertEqual([m.id for m in mine.alive(7.0)], ["e0"])

    def test_replaced_member_with_a_new_address_wins_by_its_higher_incarnation(self) -> None:
        mine = _membership("e0")
        old = Member(id="e1", incarnation=5, heartbeat=900, data_centre="a", peer_address="old:1")
        new = Member(id="e1", incarnation=6, heartbeat=1, data_centre="a", peer_address="new:1")
        mine.merge([old], 0.0)
        mine.merge([new], 1.0)
        mine.merge([old], 2.0)
        self.assertEqual([m.peer_address for m in mine.alive(2.0)], ["e0:1", "new:1"])

    def test_members_with_the_same_view_agree_on_duties(self) -> None:
        memberships = [_membership(name) for name in NAMES]
        for membership in memberships:
            membership.merge(_copy([other.own_member for other in memberships]), 0.0)
        for number in range(50):
            chosen = [membership.has_duty(f"group/{number}", 2, 0.0) for membership in memberships]
            self.assertEqual(sum(chosen), 2)

    def test_leaving_member_is_not_chosen_for_duties(self) -> None:
        memberships = [_membership(name) for name in NAMES]
        memberships[0].start_leaving()
        for membership in memberships:
            membership.merge(_copy([other.own_member for other in memberships]), 0.0)
        chosen = [
            [membership.has_duty(f"g{n}", 2, 0.0) for membership in memberships] for n in range(20)
        ]
        self.assertFalse(any(row[0] for row in chosen))
        self.assertTrue(all(sum(row) == 2 for row in chosen))

    def test_members_that_cannot_reach_the_platform_are_not_chosen_for_its_duties(self) -> None:
        memberships = [_membership(name) for name in NAMES]
        memberships[0].set_platform_unreachable(True)
        memberships[1].set_platform_unreachable(True)
        for membership in memberships:
            membership.merge(_copy([other.own_member for other in memberships]), 0.0)
        chosen = [membership.has_platform_duty("watch", 2, 0.0) for membership in memberships]
        self.assertEqual(chosen, [False, False, True, True])

    def test_platform_duties_are_assigned_even_if_no_member_can_reach_it(self) -> None:
        memberships = [_membership(name) for name in NAMES]
        for membership in memberships:
            membership.set_platform_unreachable(True)
        for membership in memberships:
            membership.merge(_copy([other.own_member for other in memberships]), 0.0)
        self.assertEqual(
            sum(membership.has_platform_duty("watch", 2, 0.0) for membership in memberships), 2
        )

    def test_duties_are_assigned_within_the_data_centre(self) -> None:
        mine = _membership("e0")
        mine.merge([Member(id=f"x{i}", incarnation=1, data_centre="b") for i in range(20)], 0.0)
        self.assertTrue(all(mine.has_duty(f"d{i}", 1, 0.0) for i in range(20)))
        self.assertEqual(len(mine.alive_in(DataCentreId("b"), 0.0)), 20)
