"""Signals of the platform to an entry host's process, with the time at which they arrived."""

import signal
from collections.abc import Callable
from types import FrameType

import trio

from yewloom.boot_time import boot_s
from yewloom.early_signals import STOP_SIGNALS, EarlySignals


class ProcessSignals:
    """Notes signals as they arrive, for a loop that may start later or be behind with its work.

    trio's own receiver tells no times, and at its end it hands signals that nobody took back to
    the default action, which ends the process in the middle of its planned stop.
    """

    def __init__(self, early: EarlySignals | None = None) -> None:
        self._stops = early or EarlySignals()
        self._has_reload = False
        self._has_changed = trio.Event()
        self._token: trio.lowlevel.TrioToken | None = None

    def listen(self) -> None:
        """Take the signals from now on, to the end of the process."""
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._note)

    async def wait_for_stop(self, reload: Callable[[], None]) -> float:
        """Return when a stop was first asked for, on trio's clock; call ``reload`` until then."""
        self._token = trio.lowlevel.current_trio_token()
        while (asked_s := self._stops.asked_s) is None:
            if self._has_reload:
                self._has_reload = False
                reload()
                continue
            self._has_changed = trio.Event()
            # A signal that came just now has run ``_note`` with the token, so this wakes up.
            await self._has_changed.wait()
        return trio.current_time() - (boot_s() - asked_s)

    def _note(self, number: int, frame: FrameType | None) -> None:
        if number == signal.SIGHUP:
            self._has_reload = True
        else:
            self._stops.note_stop(number, frame)
        if self._token is None:
            return
        try:
            self._token.run_sync_soon(self._wake, idempotent=True)
        except trio.RunFinishedError:
            return  # The process is about to end: nobody waits for signals any more.

    def _wake(self) -> None:
        self._has_changed.set()
