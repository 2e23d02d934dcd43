"""Tests of signals to an entry host's process."""

import signal
import time
import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from yewloom.early_signals import STOP_SIGNALS, EarlySignals
from yewloom.process_signals import ProcessSignals

BLOCKED_S = 0.2
"""Time for which the event loop is blocked in the tests."""


class TestProcessSignals(unittest.TestCase):
    """A stop counts from its arrival, and no signal is lost or has its default action."""

    def setUp(self) -> None:
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.signals = ProcessSignals()
        self.signals.listen()
        self.reloads = 0

    def _reload(self) -> None:
        self.reloads += 1

    def _run(self, act: Callable[[], Awaitable[None]]) -> float:
        """Return how long ago a stop was requested; ``act`` runs concurrently."""

        async def main() -> float:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(act)
                requested_s = await self.signals.wait_for_stop(self._reload)
            return trio.current_time() - requested_s

        return trio.run(main)

    def test_a_blocked_loop_does_not_delay_a_stop(self) -> None:
        async def act() -> None:
            await trio.testing.wait_all_tasks_blocked()
            signal.raise_signal(signal.SIGTERM)
            time.sleep(BLOCKED_S)  # noqa: ASYNC251 - blocks the loop
            signal.raise_signal(signal.SIGINT)

        self.assertGreaterEqual(self._run(act), BLOCKED_S)

    def test_a_stop_is_known_before_the_loop_has_noticed_it(self) -> None:
        self.assertIsNone(self.signals.requested_ago_s())
        signal.raise_signal(signal.SIGTERM)
        time.sleep(BLOCKED_S)
        self.assertGreaterEqual(self.signals.requested_ago_s() or 0.0, BLOCKED_S)

    def test_a_stop_requested_before_the_loop_started_counts(self) -> None:
        signal.raise_signal(signal.SIGTERM)
        time.sleep(BLOCKED_S)
        self.assertGreaterEqual(self._run(trio.lowlevel.checkpoint), BLOCKED_S)

    def test_a_stop_requested_during_imports_counts(self) -> None:
        early = EarlySignals()
        early.listen()
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)
        time.sleep(BLOCKED_S)
        self.signals = ProcessSignals(early)
        self.signals.listen()
        self.assertGreaterEqual(self._run(trio.lowlevel.checkpoint), BLOCKED_S)
        self.assertEqual(self.reloads, 0)

    def test_a_reload_calls_the_callback_and_requests_no_stop(self) -> None:
        async def act() -> None:
            for _ in range(2):
                signal.raise_signal(signal.SIGHUP)
                await trio.testing.wait_all_tasks_blocked()
            signal.raise_signal(signal.SIGTERM)

        self._run(act)
        self.assertEqual(self.reloads, 2)

    def test_signals_after_the_loop_ended_do_nothing(self) -> None:
        async def act() -> None:
            signal.raise_signal(signal.SIGTERM)

        self._run(act)
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.raise_signal(number)
