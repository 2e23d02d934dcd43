"""Tests of finding slow groups: the pattern is a few engines that turn slow under steady load."""

import unittest

from yewloom.event_paces import MIN_SLOW_INTERVAL_S, RECENT_S, EventIntervals
from yewloom.ids import HostId

USUAL_S = 0.05
A, B, C = (HostId(name) for name in "abc")


class TestEventPaces(unittest.TestCase):
    """A group is slow beside others, by several events, for as long as they are recent."""

    def setUp(self) -> None:
        self.event_intervals = EventIntervals()
        for leader in (A, B, C):
            self._record(leader, USUAL_S)

    def _record(
        self, leader: HostId, interval_s: float, times: int = 5, now_s: float = 0.0
    ) -> None:
        for _ in range(times):
            self.event_intervals.record(leader, interval_s, now_s)

    def _slow(self, now_s: float = 0.0) -> set[HostId]:
        return self.event_intervals.find_slow((A, B, C), now_s)

    def test_groups_of_one_pace_are_not_slow(self) -> None:
        self.assertEqual(self._slow(), set())

    def test_a_group_that_turns_slow_is_found_within_a_few_events(self) -> None:
        self._record(B, 5 * USUAL_S, times=3)
        self.assertEqual(self._slow(), {B})

    def test_one_long_pause_does_not_make_a_group_slow(self) -> None:
        self._record(B, 2 * MIN_SLOW_INTERVAL_S, times=1)
        self.assertEqual(self._slow(), set())

    def test_a_group_that_still_serves_in_time_is_not_slow(self) -> None:
        for leader in (A, C):
            self._record(leader, MIN_SLOW_INTERVAL_S / 10, times=50)
        self._record(B, MIN_SLOW_INTERVAL_S, times=50)
        self.assertEqual(self._slow(), set())

    def test_all_being_slow_none_is_told_apart(self) -> None:
        for leader in (A, B, C):
            self._record(leader, 5 * USUAL_S, times=50)
        self.assertEqual(self._slow(), set())

    def test_a_group_without_news_is_tried_again(self) -> None:
        self._record(B, 5 * USUAL_S, times=50)
        for leader in (A, C):
            self._record(leader, USUAL_S, now_s=RECENT_S + 0.1)
        self.assertEqual(self._slow(RECENT_S + 0.1), set())

    def test_a_group_that_is_fast_again_is_known_by_its_open_streams(self) -> None:
        self._record(B, 5 * USUAL_S, times=50)
        self._record(B, USUAL_S, times=10)
        self.assertEqual(self._slow(), set())

    def test_one_group_alone_is_not_slow(self) -> None:
        self._record(B, 5 * USUAL_S, times=50)
        self.assertEqual(self.event_intervals.find_slow((B,), 0.0), set())

    def test_what_was_forgotten_counts_no_more(self) -> None:
        self._record(B, 5 * USUAL_S, times=50)
        self.event_intervals.forget(B)
        self.assertEqual(self._slow(), set())
