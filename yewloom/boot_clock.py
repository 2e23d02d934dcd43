"""The runtime's clock for programs that run on machines which may be suspended."""

import random

import trio

from yewloom.boot_time import boot_s

_LEAST_OFFSET_S = 10_000.0
_MOST_OFFSET_S = 1_000_000.0


class BootClock(trio.abc.Clock):
    """trio's clock by the time since boot; its origin is drawn, as that of trio's own clock is."""

    def __init__(self) -> None:
        self._offset_s = random.uniform(_LEAST_OFFSET_S, _MOST_OFFSET_S)

    def start_clock(self) -> None:
        """Do nothing: the clock runs."""

    def current_time(self) -> float:
        """Return the time in seconds."""
        return self._offset_s + boot_s()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline.

        A wait for events is counted by the system's steady clock, and so ends late by the time of a
        suspension; an entry host waits for a fifth of a second at most.
        """
        return deadline - self.current_time()
