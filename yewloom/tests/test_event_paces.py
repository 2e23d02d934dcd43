"""Tests of the detection of slow groups.

The scenario is a few engines that become slow under steady load.
"""

import unittest

from yewloom.event_paces import MIN_SLOW_INTERVAL_S, RECENT_S, EventIntervals
from yewloom.ids import HostId

NORMAL_INTERVAL_S = 0.05
A, B, C = (HostId(name) for name in "abc")


class TestEventIntervals(unittest.TestCase):
    """A group counts as slow relative to other groups, by several recent events."""

    def setUp(self) -> None:
        self.event_intervals = EventIntervals()
        for leader in (A, B, C):
            self._record(leader, NORMAL_INTERVAL_S)

    def _record(
        self, leader: HostId, interval_s: float, times: int = 5, now_s: float = 0.0
    ) -> None:
        for _ in range(times):
            self.event_intervals.record(leader, interval_s, now_s)

    def _slow(self, now_s: float = 0.0) -> set[HostId]:
        return self.event_intervals.find_slow((A, B, C), now_s)

    def test_groups_of_equal_speed_are_not_slow(self) -> None:
        self.assertEqual(self._slow(), set())

    def test_a_group_that_becomes_slow_is_detected_within_a_few_events(self) -> None:
        self._record(B, 5 * NORMAL_INTERVAL_S, times=3)
        self.assertEqual(self._slow(), {B})

    def test_one_long_interval_does_not_make_a_group_slow(self) -> None:
        self._record(B, 2 * MIN_SLOW_INTERVAL_S, times=1)
        self.assertEqual(self._slow(), set())

    def test_a_group_that_still_serves_in_time_is_not_slow(self) -> None:
        for leader in (A, C):
            self._record(leader, MIN_SLOW_INTERVAL_S / 10, times=50)
        self._record(B, MIN_SLOW_INTERVAL_S, times=50)
        self.assertEqual(self._slow(), set())

    def test_if_all_groups_are_slow_none_counts_as_slow(self) -> None:
        for leader in (A, B, C):
            self._record(leader, 5 * NORMAL_INTERVAL_S, times=50)
        self.assertEqual(self._slow(), set())

    def test_a_group_without_recent_events_is_tried_again(self) -> None:
        self._record(B, 5 * NORMAL_INTERVAL_S, times=50)
        for leader in (A, C):
            self._record(leader, NORMAL_INTERVAL_S, now_s=RECENT_S + 0.1)
        self.assertEqual(self._slow(RECENT_S + 0.1), set())

    def test_a_group_that_recovered_is_detected_by_its_open_streams(self) -> None:
        self._record(B, 5 * NORMAL_INTERVAL_S, times=50)
        self._record(B, NORMAL_INTERVAL_S, times=10)
        self.assertEqual(self._slow(), set())

    def test_one_group_alone_is_not_slow(self) -> None:
        self._record(B, 5 * NORMAL_INTERVAL_S, times=50)
        self.assertEqual(self.event_intervals.find_slow((B,), 0.0), set())

    def test_a_forgotten_average_does_not_count(self) -> None:
        self._record(B, 5 * NORMAL_INTERVAL_S, times=50)
        self.event_intervals.forget(B)
        self.assertEqual(self._slow(), set())
