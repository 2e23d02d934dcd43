"""Tests of signals to an entry host's process."""

import signal
import time
import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from yewloom.early_signals import STOP_SIGNALS, EarlySignals
from yewloom.process_signals import ProcessSignals

HELD_UP_S = 0.2
"""Time for which the loop is held up in the tests."""


class TestProcessSignals(unittest.TestCase):
    """A stop counts from its arrival, and no signal is lost or acts on its own."""

    def setUp(self) -> None:
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.signals = ProcessSignals()
        self.signals.listen()
        self.reloads = 0

    def _reload(self) -> None:
        self.reloads += 1

    def _run(self, act: Callable[[], Awaitable[None]]) -> float:
        """Return how long ago a stop was asked for, by what ``act`` does meanwhile."""

        async def main() -> float:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(act)
                asked_s = await self.signals.wait_for_stop(self._reload)
            return trio.current_time() - asked_s

        return trio.run(main)

    def test_a_loop_that_is_held_up_does_not_make_a_stop_later(self) -> None:
        async def act() -> None:
            await trio.testing.wait_all_tasks_blocked()
            signal.raise_signal(signal.SIGTERM)
            time.sleep(HELD_UP_S)  # noqa: ASYNC251 - holds the loop up
            signal.raise_signal(signal.SIGINT)

        self.assertGreaterEqual(self._run(act), HELD_UP_S)

    def test_a_stop_that_was_asked_for_before_the_loop_began_counts(self) -> None:
        signal.raise_signal(signal.SIGTERM)
        time.sleep(HELD_UP_S)
        self.assertGreaterEqual(self._run(trio.lowlevel.checkpoint), HELD_UP_S)

    def test_a_stop_that_was_asked_for_while_the_program_was_imported_counts(self) -> None:
        early = EarlySignals()
        early.listen()
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)
        time.sleep(HELD_UP_S)
        self.signals = ProcessSignals(early)
        self.signals.listen()
        self.assertGreaterEqual(self._run(trio.lowlevel.checkpoint), HELD_UP_S)
        self.assertEqual(self.reloads, 0)

    def test_a_reload_is_called_for_and_asks_for_no_stop(self) -> None:
        async def act() -> None:
            for _ in range(2):
                signal.raise_signal(signal.SIGHUP)
                await trio.testing.wait_all_tasks_blocked()
            signal.raise_signal(signal.SIGTERM)

        self._run(act)
        self.assertEqual(self.reloads, 2)

    def test_signals_behind_the_end_of_the_loop_do_nothing(self) -> None:
        async def act() -> None:
            signal.raise_signal(signal.SIGTERM)

        self._run(act)
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.raise_signal(number)
