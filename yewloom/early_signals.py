"""Signals that come while the program is imported: a stop is noted, and a reload passed over.

A process that lets callers connect may not end by a signal's default action: those that wait would
see their connections reset.
"""

import signal
from types import FrameType

from yewloom.boot_time import boot_s

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask for a planned stop: of the platform, and of a terminal."""


class EarlySignals:
    """Keeps when a stop was first asked for; takes the signals until ``ProcessSignals`` does."""

    def __init__(self) -> None:
        self.asked_s: float | None = None

    def listen(self) -> None:
        """Take the signals from now on."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # The settings are read later.
        for number in STOP_SIGNALS:
            signal.signal(number, self.note_stop)

    def note_stop(self, number: int, frame: FrameType | None) -> None:
        """Take in a signal that asks for a stop; the first of several counts."""
        if self.asked_s is None:
            self.asked_s = boot_s()
