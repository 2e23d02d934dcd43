"""Tests of who follows the store."""

import unittest
from dataclasses import replace
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from yewloom.entry_states import FRESH_S, PeerBoard
from yewloom.follow_duty import (
    FOLLOWERS,
    PATIENCE_S,
    PATIENCE_SPREAD_S,
    FollowDuty,
    Standing,
)
from yewloom.ids import EntryHostId
from yewloom.schema.entry_pb2 import EntryState
from yewloom.tests.entry_support import HALL

NAMES = [f"e{number}" for number in range(6)]


def _state(name: str, can_follow: bool = True, is_coordinator: bool = False) -> EntryState:
    return EntryState(
        host_id=name,
        data_centre=HALL,
        started_unix_ms=1,
        sequence=1,
        can_follow=can_follow,
        is_coordinator=is_coordinator,
    )


def _duty(me: str, states: list[EntryState], is_coordinator: bool = False) -> FollowDuty:
    """Return the duty of a host that has heard all others."""
    board = PeerBoard(EntryHostId(me), HALL)
    for state in states:
        board.take(state, 0.0)
    can_follow = all(state.can_follow for state in states if state.host_id == me)
    standing = Standing(can_follow, is_coordinator)
    return FollowDuty(EntryHostId(me), HALL, board, lambda: standing, 0.5)


class TestFollowDuty(unittest.TestCase):
    """A few of each data centre, and nobody left without."""

    @given(st.sets(st.sampled_from(NAMES)), st.one_of(st.none(), st.sampled_from(NAMES)))
    def test_enough_follow_whoever_is_cut_off_or_coordinates(
        self, cut_off: set[str], coordinator: str | None
    ) -> None:
        states = [_state(name, name not in cut_off, name == coordinator) for name in NAMES]
        followers = {name for name in NAMES if _duty(name, states, name == coordinator).is_mine()}
        able = set(NAMES) - cut_off
        self.assertGreaterEqual(len(followers & able), min(FOLLOWERS, len(able)))
        if not cut_off:
            self.assertEqual(len(followers), FOLLOWERS)
        if coordinator is not None:
            self.assertIn(coordinator, followers)

    @given(st.sets(st.sampled_from(NAMES)), st.one_of(st.none(), st.sampled_from(NAMES)))
    def test_each_host_knows_those_near_it_that_follow_and_reach_the_store(
        self, cut_off: set[str], coordinator: str | None
    ) -> None:
        states = [_state(name, name not in cut_off, name == coordinator) for name in NAMES]
        duties = {name: _duty(name, states, name == coordinator) for name in NAMES}
        able = set(NAMES) - cut_off
        followers = {name for name in able if duties[name].is_mine()}
        for name, duty in duties.items():
            self.assertLessEqual(followers - {name}, set(duty.near_followers()))
            self.assertLessEqual(len(duty.near_followers()), 2 * FOLLOWERS + 1)

    def test_a_few_go_on_asking_while_the_store_answers_nobody(self) -> None:
        states = [_state(name, can_follow=False) for name in NAMES]
        followers = [name for name in NAMES if _duty(name, states).is_mine()]
        self.assertEqual(len(followers), FOLLOWERS)

    def test_a_host_that_hears_nobody_follows(self) -> None:
        self.assertTrue(_duty("e1", []).is_mine())

    def test_hosts_that_start_together_listen_for_each_other_before_they_follow(self) -> None:
        me, board = EntryHostId("e1"), PeerBoard(EntryHostId("e1"), HALL)
        for standing in (Standing(True, False), Standing(True, True)):
            duty = FollowDuty(me, HALL, board, partial(replace, standing), 0.5, lambda: True)
            self.assertEqual(duty.is_mine(), standing.is_coordinator)
            self.assertTrue(duty.must_ask(PATIENCE_S + PATIENCE_SPREAD_S + 0.01))

    def test_peers_elsewhere_do_not_follow_for_this_data_centre(self) -> None:
        states = [_state(name) for name in NAMES]
        for state in states:
            state.data_centre = "elsewhere"
        self.assertTrue(all(_duty(name, states).is_mine() for name in NAMES))

    def test_a_follower_that_falls_silent_is_replaced(self) -> None:
        states = [_state(name) for name in NAMES]
        resting = next(name for name in NAMES if not _duty(name, states).is_mine())
        board = PeerBoard(EntryHostId(resting), HALL)
        for state in states:
            board.take(state, 0.0)
        duty = FollowDuty(EntryHostId(resting), HALL, board, lambda: Standing(True, False), 0.5)
        board.drop_silent(FRESH_S + 0.1)
        self.assertTrue(duty.is_mine())

    def test_a_host_that_is_told_nothing_recent_asks_itself(self) -> None:
        states = [_state(name) for name in NAMES]
        resting = next(name for name in NAMES if not _duty(name, states).is_mine())
        duty = _duty(resting, states)
        self.assertFalse(duty.must_ask(PATIENCE_S))
        self.assertTrue(duty.must_ask(PATIENCE_S + PATIENCE_SPREAD_S + 0.01))
