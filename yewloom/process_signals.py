"""Signals to an entry host's process, with their arrival times."""

import signal
from collections.abc import Callable
from types import FrameType

import trio

from yewloom.boot_time import boot_s
from yewloom.early_signals import STOP_SIGNALS, EarlySignals


class ProcessSignals:
    """Records signals as they arrive, for an event loop that may start later or be blocked.

    trio's own receiver records no times, and when it closes, it delivers unreceived signals again
    with the default action, which would end the process in the middle of its planned stop.
    """

    def __init__(self, early: EarlySignals | None = None) -> None:
        self._early = early or EarlySignals()
        self._is_reload_requested = False
        self._has_signal = trio.Event()
        self._trio_token: trio.lowlevel.TrioToken | None = None

    def listen(self) -> None:
        """Install the handlers, until the process ends."""
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._on_signal)

    def requested_ago_s(self) -> float | None:
        """Return how long ago a stop was requested, or None if none was."""
        requested_s = self._early.requested_s
        return None if requested_s is None else boot_s() - requested_s

    async def wait_for_stop(self, reload: Callable[[], None]) -> float:
        """Return when a stop was requested, on trio's clock; until then SIGHUP calls ``reload``."""
        self._trio_token = trio.lowlevel.current_trio_token()
        while (requested_s := self._early.requested_s) is None:
            if self._is_reload_requested:
                self._is_reload_requested = False
                reload()
                continue
            self._has_signal = trio.Event()
            # Any signal from here on wakes this task: ``_on_signal`` has the token.
            await self._has_signal.wait()
        return trio.current_time() - (boot_s() - requested_s)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        if number == signal.SIGHUP:
            self._is_reload_requested = True
        else:
            self._early.record_stop(number, frame)
        if self._trio_token is None:
            return
        try:
            self._trio_token.run_sync_soon(self._notify_waiter, idempotent=True)
        except trio.RunFinishedError:
            return  # The process is about to end: no task waits for signals.

    def _notify_waiter(self) -> None:
        self._has_signal.set()
