"""Tests of the timer that ends a process whose loop is held up."""

import signal
import time
import unittest
from unittest import mock

import trio

from yewloom.exit_timer import TICK_S, ExitTimer

DELAY_S = 0.05
"""Time that the tests set."""

LIMIT_S = 20.0
"""Longest time for which a test holds its loop up; reaching it fails the test."""


class TestExitTimer(unittest.TestCase):
    """The end is called in the middle of a pass of the loop."""

    def setUp(self) -> None:
        self.addCleanup(signal.signal, signal.SIGALRM, signal.getsignal(signal.SIGALRM))
        self.addCleanup(signal.setitimer, signal.ITIMER_REAL, 0.0)
        self.ends = 0
        self.late_s: list[float] = []
        self.timer = ExitTimer(self._end)

    def _end(self) -> None:
        self.ends += 1

    def _start(self, delay_s: float) -> None:
        ends_s = time.monotonic() + delay_s
        self.timer.start(lambda: ends_s - time.monotonic(), self.late_s.append)

    def _hold_up(self) -> None:
        limit_s = time.monotonic() + LIMIT_S
        while not self.ends and time.monotonic() < limit_s:
            pass

    def test_a_pass_of_the_loop_that_outlasts_the_time_is_interrupted(self) -> None:
        async def main() -> None:
            self._start(DELAY_S)
            self._hold_up()

        trio.run(main)
        self.assertEqual(self.ends, 1)

    def test_a_time_that_has_passed_ends_at_once(self) -> None:
        self._start(-1.0)
        self._hold_up()
        self.assertEqual(self.ends, 1)

    def test_a_system_without_timers_is_told_and_ends_by_the_loop(self) -> None:
        with mock.patch("signal.setitimer", side_effect=OSError("not there")):
            self._start(DELAY_S)
        self.assertEqual(self.ends, 0)

    def test_it_tells_how_late_the_process_got_its_signal(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGALRM])
        self._start(3 * TICK_S)
        time.sleep(2 * TICK_S)  # As if the system let the process wait.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGALRM])
        self._hold_up()
        self.assertGreaterEqual(self.late_s[0], TICK_S * 0.9)
        self.assertEqual(self.ends, 1)

    def test_an_end_that_comes_to_be_earlier_is_kept(self) -> None:
        left_s = [60.0]
        self.timer.start(lambda: left_s[0], lambda late_s: left_s.append(left_s.pop() - 60.0))
        self._hold_up()
        self.assertEqual(self.ends, 1)
