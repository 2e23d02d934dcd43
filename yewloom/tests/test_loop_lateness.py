"""Tests of measuring event loop delay."""

import unittest

from yewloom.loop_lateness import CATCH_UP_S, KEPT_S, MIN_BLOCKED_S, LoopDelayMonitor

BLOCKED_S = 3.0
SHORT_S = MIN_BLOCKED_S / 2


class TestLoopDelayMonitor(unittest.TestCase):
    """An event loop with simulated passes and waits."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.loop_delay = LoopDelayMonitor(lambda: self.now_s)
        self._wait(1.0, 1.0)

    def _wait(self, timeout_s: float, waited_s: float) -> None:
        """Simulate a wait for events with a timeout."""
        self.loop_delay.before_io_wait(timeout_s)
        self.now_s += waited_s
        self.loop_delay.after_io_wait(timeout_s)

    def _compute(self, duration_s: float) -> None:
        """Simulate a computation, followed by a poll for events."""
        self.now_s += duration_s
        self._wait(0.0, 0.0)

    def test_an_idle_loop_has_no_delay(self) -> None:
        for timeout_s, waited_s in ((5.0, 5.0), (5.0, 2.0), (1.0, 1.0 + SHORT_S), (0.0, 0.0)):
            self._wait(timeout_s, waited_s)
            self.assertEqual(self.loop_delay.delay_s(), 0.0)

    def test_data_read_after_long_work_may_date_from_its_start(self) -> None:
        self._compute(BLOCKED_S)
        self.assertAlmostEqual(self.loop_delay.delay_s(), BLOCKED_S)

    def test_data_read_after_a_suspension_may_date_from_the_wait(self) -> None:
        self._wait(0.2, BLOCKED_S)
        self.assertAlmostEqual(self.loop_delay.delay_s(), BLOCKED_S)

    def test_data_read_while_catching_up_may_be_as_old(self) -> None:
        self._wait(0.2, BLOCKED_S)
        self._compute(SHORT_S)
        self.assertAlmostEqual(self.loop_delay.delay_s(), BLOCKED_S + SHORT_S)

    def test_an_idle_loop_has_caught_up(self) -> None:
        self._compute(BLOCKED_S)
        self._wait(1.0, 0.01)
        self.assertEqual(self.loop_delay.delay_s(), 0.0)

    def test_a_busy_loop_reports_a_delay_only_for_a_limited_time(self) -> None:
        self._compute(BLOCKED_S)
        for _ in range(round(CATCH_UP_S / SHORT_S) + 1):
            self._compute(SHORT_S)
        self.assertEqual(self.loop_delay.delay_s(), 0.0)

    def test_the_delay_of_a_loop_blocked_in_each_pass_covers_the_latest_ones(self) -> None:
        for _ in range(100):
            self._compute(2 * MIN_BLOCKED_S)
        self.assertLessEqual(self.loop_delay.delay_s(), CATCH_UP_S + 2 * MIN_BLOCKED_S)

    def test_a_blocked_period_long_after_another_counts_alone(self) -> None:
        self._compute(BLOCKED_S)
        for _ in range(100):
            self._compute(SHORT_S)
        self._compute(2 * MIN_BLOCKED_S)
        self.assertAlmostEqual(self.loop_delay.delay_s(), 2 * MIN_BLOCKED_S)

    def test_an_event_noticed_after_a_blocked_period_may_date_from_its_start(self) -> None:
        self._wait(0.2, BLOCKED_S)
        self._compute(SHORT_S)
        self.assertAlmostEqual(self.loop_delay.unnoticed_s(noticed_ago_s=SHORT_S), BLOCKED_S)
        self.assertEqual(self.loop_delay.unnoticed_s(noticed_ago_s=SHORT_S / 2), 0.0)
        self.assertEqual(self.loop_delay.unnoticed_s(noticed_ago_s=BLOCKED_S + 1.0), 0.0)

    # Guards against a stop that counts from the end of a suspension in which it was requested.
    def test_a_blocked_period_is_known_until_a_long_pass_after_it_has_ended(self) -> None:
        self._wait(0.2, BLOCKED_S)
        self._compute(2 * CATCH_UP_S)
        self.assertAlmostEqual(self.loop_delay.delay_s(), 2 * CATCH_UP_S)
        self.assertAlmostEqual(self.loop_delay.unnoticed_s(2 * CATCH_UP_S), BLOCKED_S)

    def test_a_blocked_period_is_forgotten_in_the_end(self) -> None:
        for _ in range(100):
            self._compute(BLOCKED_S)
        self.assertLessEqual(len(self.loop_delay._blocked_periods), KEPT_S / BLOCKED_S + 1)
        self._wait(1.0, 1.0)
        self.assertEqual(self.loop_delay.unnoticed_s(1.0), 0.0)

    def test_short_work_causes_no_delay(self) -> None:
        self._compute(SHORT_S)
        self.assertEqual(self.loop_delay.delay_s(), 0.0)
