"""Signals that come while the program is imported: a stop is noted, and a reload passed over.

A process that lets callers connect may not end by a signal's default action: those that wait would
see their connections reset.
"""

import signal
import time
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask for a planned stop: of the platform, and of a terminal."""


class EarlySignals:
    """Notes when a stop was first asked for, until ``ProcessSignals`` listens."""

    def __init__(self) -> None:
        self.asked_ns: int | None = None

    def listen(self) -> None:
        """Take the signals from now on."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # The settings are read later.
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)

    def _note(self, number: int, frame: FrameType | None) -> None:
        if self.asked_ns is None:
            self.asked_ns = time.perf_counter_ns()
