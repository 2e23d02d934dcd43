"""Ends the process at a time that was set, also while its loop is held up.

The loop of a host that gets a thirtieth of a core may need longer for one pass over a hundred open
streams than a planned stop has left. A timer of the system interrupts it in the middle of the pass.

Such a host may also get its timer's signal late, and so end late. The timer goes off several times
on the way, and tells how late it was each time, so that the end can be set that much earlier.
"""

import signal
from collections.abc import Callable
from types import FrameType

import structlog

from yewloom.boot_time import boot_s

logger = structlog.get_logger(__name__)

TICK_S = 0.2
"""Longest time between two signals of the timer."""

LEAST_DELAY_S = 0.001
"""Delay of a time that has passed already: a timer of zero would never go off."""


class ExitTimer:
    """Calls ``end`` once the time is up; for the main thread alone, which takes the signals.

    ``end`` is called in the middle of whatever runs, so it may do nothing that others wait for; it
    is meant to end the process.
    """

    def __init__(self, end: Callable[[], None]) -> None:
        self._end = end
        self._left_s: Callable[[], float] = lambda: 0.0
        self._on_late: Callable[[float], None] = lambda late_s: None
        self._due_s = 0.0

    def start(self, left_s: Callable[[], float], on_late: Callable[[float], None]) -> None:
        """Begin; ``left_s`` returns the seconds that are left until the end.

        ``on_late`` is told by how many seconds a signal of the timer came late.
        """
        self._left_s, self._on_late = left_s, on_late
        signal.signal(signal.SIGALRM, self._on_alarm)
        self._set()

    def _set(self) -> None:
        delay_s = max(min(self._left_s(), TICK_S), LEAST_DELAY_S)
        self._due_s = boot_s() + delay_s
        try:
            signal.setitimer(signal.ITIMER_REAL, delay_s)
        except OSError as error:
            # The stop still ends by the loop's own clock.
            logger.warning("no timer for the end of the process", reason=str(error))

    def _on_alarm(self, number: int, frame: FrameType | None) -> None:
        self._on_late(boot_s() - self._due_s)
        if self._left_s() <= 0:
            self._end()
        else:
            self._set()
