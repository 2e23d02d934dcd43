"""Ends the process at a set time, even while its event loop is blocked.

On a host with a thirtieth of a core, one pass of the loop over 100 open streams may take longer
than the time that is left of a planned stop. A system timer interrupts it in the middle of the
pass.

Such a host may also receive the timer's signal late, and so end late. Therefore the timer
fires several times before the end and reports each delay, so that the end can be set
correspondingly earlier.
"""

import signal
from collections.abc import Callable
from types import FrameType

import structlog

from yewloom.boot_time import boot_s

logger = structlog.get_logger(__name__)

MAX_INTERVAL_S = 0.2
"""Maximum interval between two timer signals."""

MIN_DELAY_S = 0.001
"""Delay for a time that has already passed: a delay of zero would disable the timer."""


class ExitTimer:
    """Calls ``end`` at a set time; for the main thread only, which receives the signals.

    ``end`` interrupts arbitrary code, so it must not wait for anything that the interrupted code
    holds; it is meant to end the process.
    """

    def __init__(self, end: Callable[[], None]) -> None:
        self._end = end
        self._left_s: Callable[[], float] = lambda: 0.0
        self._on_late: Callable[[float], None] = lambda late_s: None
        self._due_s = 0.0

    def start(self, left_s: Callable[[], float], on_late: Callable[[float], None]) -> None:
        """Start the timer; ``left_s`` returns the seconds left until the end.

        ``on_late`` is called with the delay of each timer signal in seconds.
        """
        self._left_s, self._on_late = left_s, on_late
        signal.signal(signal.SIGALRM, self._on_alarm)
        self._schedule()

    def _schedule(self) -> None:
        delay_s = max(min(self._left_s(), MAX_INTERVAL_S), MIN_DELAY_S)
        self._due_s = boot_s() + delay_s
        try:
            signal.setitimer(signal.ITIMER_REAL, delay_s)
        except OSError as error:
            # The event loop still ends the stop, unless it is blocked.
            logger.warning("exit timer not set", reason=str(error))

    def _on_alarm(self, number: int, frame: FrameType | None) -> None:
        self._on_late(boot_s() - self._due_s)
        if self._left_s() <= 0:
            self._end()
        else:
            self._schedule()
