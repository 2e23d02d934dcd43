"""Signal handling while the program is imported: a stop is recorded, and a reload is ignored.

Once callers can connect, the process must not be ended by a signal's default action: the
connections of waiting callers would be reset.
"""

import signal
from types import FrameType

from yewloom.boot_time import boot_s

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that request a planned stop: from the platform, and from a terminal."""


class EarlySignals:
    """Records when a stop was first requested, until ``ProcessSignals`` takes over the handlers."""

    def __init__(self) -> None:
        self.requested_s: float | None = None

    def listen(self) -> None:
        """Install the handlers."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # No settings to reload yet.
        for number in STOP_SIGNALS:
            signal.signal(number, self.record_stop)

    def record_stop(self, number: int, frame: FrameType | None) -> None:
        """Record a stop request; only the first one counts."""
        if self.requested_s is None:
            self.requested_s = boot_s()
