"""Tests of the timer that ends a process whose event loop is blocked."""

import signal
import time
import unittest
from unittest import mock

import trio

from yewloom.exit_timer import MAX_INTERVAL_S, ExitTimer

DELAY_S = 0.05
"""Delay of the timer in the tests."""

LIMIT_S = 20.0
"""Maximum time for which a test blocks its loop; reaching it fails the test."""


class TestExitTimer(unittest.TestCase):
    """The end function is called in the middle of a pass of the loop."""

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

    def _block_until_end(self) -> None:
        limit_s = time.monotonic() + LIMIT_S
        while not self.ends and time.monotonic() < limit_s:
            pass

    def test_a_loop_pass_that_takes_too_long_is_interrupted(self) -> None:
        async def main() -> None:
            self._start(DELAY_S)
            self._block_until_end()

        trio.run(main)
        self.assertEqual(self.ends, 1)

    def test_a_time_in_the_past_ends_at_once(self) -> None:
        self._start(-1.0)
        self._block_until_end()
        self.assertEqual(self.ends, 1)

    def test_without_system_timers_only_the_loop_ends_the_process(self) -> None:
        with mock.patch("signal.setitimer", side_effect=OSError("not there")):
            self._start(DELAY_S)
        self.assertEqual(self.ends, 0)

    def test_it_reports_the_delay_of_its_signal(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGALRM])
        self._start(3 * MAX_INTERVAL_S)
        time.sleep(2 * MAX_INTERVAL_S)  # Stands for a process that is not scheduled.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGALRM])
        self._block_until_end()
        self.assertGreaterEqual(self.late_s[0], MAX_INTERVAL_S * 0.9)
        self.assertEqual(self.ends, 1)

    def test_an_end_that_moves_earlier_is_respected(self) -> None:
        left_s = [60.0]
        self.timer.start(lambda: left_s[0], lambda late_s: left_s.append(left_s.pop() - 60.0))
        self._block_until_end()
        self.assertEqual(self.ends, 1)
