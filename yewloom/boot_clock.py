"""A trio clock that keeps counting while the system is suspended."""

import random

import trio

from yewloom.boot_time import boot_s

_MIN_OFFSET_S = 10_000.0
_MAX_OFFSET_S = 1_000_000.0


class BootClock(trio.abc.Clock):
    """A trio clock based on the time since boot, with a random offset like trio's own clock."""

    def __init__(self) -> None:
        self._offset_s = random.uniform(_MIN_OFFSET_S, _MAX_OFFSET_S)

    def start_clock(self) -> None:
        """Do nothing: the clock is always running."""

    def current_time(self) -> float:
        """Return the current time in seconds."""
        return self._offset_s + boot_s()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline.

        The operating system measures the timeout of an event wait with its monotonic clock, so a
        wait during which the system is suspended ends late by the duration of the suspension. On an
        entry host each wait is at most 0.2 s long.
        """
        return deadline - self.current_time()
