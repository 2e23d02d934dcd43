"""Tests of the timer that ends a process whose loop is held up."""

import signal
import time
import unittest
from unittest import mock

import trio

from yewloom.exit_timer import ExitTimer

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
        self.timer = ExitTimer(self._end)

    def _end(self) -> None:
        self.ends += 1

    def _hold_up(self) -> None:
        limit_s = time.monotonic() + LIMIT_S
        while not self.ends and time.monotonic() < limit_s:
            pass

    def test_a_pass_of_the_loop_that_outlasts_the_time_is_interrupted(self) -> None:
        async def main() -> None:
            self.timer.start(DELAY_S)
            self._hold_up()

        trio.run(main)
        self.assertEqual(self.ends, 1)

    def test_a_time_that_has_passed_ends_at_once(self) -> None:
        self.timer.start(-1.0)
        self._hold_up()
        self.assertEqual(self.ends, 1)

    def test_a_system_without_timers_is_told_and_ends_by_the_loop(self) -> None:
        with mock.patch("signal.setitimer", side_effect=OSError("not there")):
            self.timer.start(DELAY_S)
        self.assertEqual(self.ends, 0)
