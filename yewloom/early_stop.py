"""A stop that is asked for before the entry host listens for signals, or again while it stops."""

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask for a planned stop: of the platform, and of a terminal."""


class EarlyStop:
    """Takes these signals whenever the entry host itself does not.

    While the host listens, its receiver stands in place of this. The receiver hands signals that
    nobody took, such as a second SIGTERM, back at its end, where the default action would end the
    process in the middle of its planned stop.
    """

    def __init__(self) -> None:
        self._is_asked = False

    def listen(self) -> None:
        """Take the signals from now on."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)

    async def ask_again(self) -> None:
        """Pass on, to a host that listens by now, a stop that was asked for earlier."""
        if self._is_asked:
            signal.raise_signal(signal.SIGTERM)

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._is_asked = True
