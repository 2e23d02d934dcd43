"""How late the loop is with what it reads: a process that stood still finds old bytes waiting.

Signals, the system's scheduler and long work hold a loop up, and what arrives meanwhile is read
afterwards as if it were new. Times are seconds of the system: whatever clock a run has, trio tells
in them how long it waits for events at most.
"""

from collections import deque
from collections.abc import Callable

import structlog
import trio

from yewloom.boot_time import boot_s
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

LEAST_S = 0.1
"""Shortest time of being held up that counts: a pass of a busy host takes some milliseconds."""

CATCH_UP_S = 0.25
"""Longest time for which a loop reads what had waited, once it runs again."""

IDLE_S = 0.001
"""Wait for events after which a loop has caught up: nothing was left to read."""


@value_class
class _HoldUp:
    """A time in which the loop read nothing."""

    began_s: float
    ended_s: float


class LoopLateness(trio.abc.Instrument):
    """Measures by how much the loop was held up."""

    def __init__(self, clock_s: Callable[[], float] = boot_s) -> None:
        self._clock_s = clock_s
        self._pass_began_s = clock_s()
        self._wait_began_s = 0.0
        self._hold_ups: deque[_HoldUp] = (
            deque()
        )  # Those from which the loop may not have caught up.

    def watch_this_run(self) -> None:
        """Begin to measure the loop of the run that this is called in, until its end."""
        self._pass_began_s = self._clock_s()
        trio.lowlevel.add_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        """Take in that the loop has done its work and waits for events, for some time at most."""
        self._wait_began_s = self._clock_s()

    def after_io_wait(self, timeout: float) -> None:
        """Take in that events came or the time is over, and that a pass begins."""
        now_s = self._clock_s()
        waited_s = now_s - self._wait_began_s
        worked_s = self._wait_began_s - self._pass_began_s
        late_s = worked_s + max(0.0, waited_s - timeout)
        if late_s >= LEAST_S:
            self._hold_ups.append(_HoldUp(self._pass_began_s, now_s))
            logger.info("loop held up", late_ms=_ms(late_s), worked_ms=_ms(worked_s))
        elif waited_s >= IDLE_S:
            self._hold_ups.clear()
        self._pass_began_s = now_s

    def late_s(self) -> float:
        """Return how long ago what is read now may have come; zero unless the loop was held up."""
        now_s = self._clock_s()
        while self._hold_ups and now_s - self._hold_ups[0].ended_s > CATCH_UP_S:
            self._hold_ups.popleft()
        return now_s - self._hold_ups[0].began_s if self._hold_ups else 0.0

    def unnoticed_s(self, noticed_ago_s: float) -> float:
        """Return for how long what was noticed some time ago may have gone unnoticed before."""
        noticed_s = self._clock_s() - noticed_ago_s
        began = (h.began_s for h in self._hold_ups if h.began_s <= noticed_s <= h.ended_s)
        return noticed_s - min(began, default=noticed_s)


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
