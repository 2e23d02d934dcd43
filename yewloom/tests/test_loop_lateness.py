"""Tests of how late a loop is with what it reads."""

import unittest

from yewloom.loop_lateness import CATCH_UP_S, LEAST_S, LoopLateness

HELD_UP_S = 3.0
SHORT_S = LEAST_S / 2


class TestLoopLateness(unittest.TestCase):
    """A loop whose passes and waits are played."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.lateness = LoopLateness(lambda: self.now_s)
        self._wait(1.0, 1.0)

    def _wait(self, timeout_s: float, waited_s: float) -> None:
        """Wait for events, for some time at most."""
        self.lateness.before_io_wait(timeout_s)
        self.now_s += waited_s
        self.lateness.after_io_wait(timeout_s)

    def _work(self, for_s: float) -> None:
        """Run for some time, and look for events."""
        self.now_s += for_s
        self._wait(0.0, 0.0)

    def test_a_loop_that_rests_is_not_late(self) -> None:
        for timeout_s, waited_s in ((5.0, 5.0), (5.0, 2.0), (1.0, 1.0 + SHORT_S), (0.0, 0.0)):
            self._wait(timeout_s, waited_s)
            self.assertEqual(self.lateness.late_s(), 0.0)

    def test_what_is_read_after_long_work_may_have_come_when_the_work_began(self) -> None:
        self._work(HELD_UP_S)
        self.assertAlmostEqual(self.lateness.late_s(), HELD_UP_S)

    def test_what_is_read_after_a_standstill_may_have_come_while_the_loop_waited(self) -> None:
        self._wait(0.2, HELD_UP_S)
        self.assertAlmostEqual(self.lateness.late_s(), HELD_UP_S)

    def test_what_is_read_while_the_loop_catches_up_may_have_come_as_early(self) -> None:
        self._wait(0.2, HELD_UP_S)
        self._work(SHORT_S)
        self.assertAlmostEqual(self.lateness.late_s(), HELD_UP_S + SHORT_S)

    def test_a_loop_that_rests_again_has_caught_up(self) -> None:
        self._work(HELD_UP_S)
        self._wait(1.0, 0.01)
        self.assertEqual(self.lateness.late_s(), 0.0)

    def test_a_loop_that_goes_on_working_is_late_for_a_time_only(self) -> None:
        self._work(HELD_UP_S)
        for _ in range(round(CATCH_UP_S / SHORT_S) + 1):
            self._work(SHORT_S)
        self.assertEqual(self.lateness.late_s(), 0.0)

    def test_a_loop_that_is_held_up_in_each_pass_is_late_by_the_latest_ones(self) -> None:
        for _ in range(100):
            self._work(2 * LEAST_S)
        self.assertLessEqual(self.lateness.late_s(), CATCH_UP_S + 2 * LEAST_S)

    def test_a_hold_up_long_after_another_one_counts_alone(self) -> None:
        self._work(HELD_UP_S)
        for _ in range(100):
            self._work(SHORT_S)
        self._work(2 * LEAST_S)
        self.assertAlmostEqual(self.lateness.late_s(), 2 * LEAST_S)

    def test_what_is_noticed_at_the_end_of_a_hold_up_may_have_come_at_its_beginning(self) -> None:
        self._wait(0.2, HELD_UP_S)
        self._work(SHORT_S)
        self.assertAlmostEqual(self.lateness.unnoticed_s(noticed_ago_s=SHORT_S), HELD_UP_S)
        self.assertEqual(self.lateness.unnoticed_s(noticed_ago_s=SHORT_S / 2), 0.0)
        self.assertEqual(self.lateness.unnoticed_s(noticed_ago_s=HELD_UP_S + 1.0), 0.0)

    def test_short_work_is_not_late(self) -> None:
        self._work(SHORT_S)
        self.assertEqual(self.lateness.late_s(), 0.0)
