"""Measures event loop delay, because a process that was blocked reads old data afterwards.

Signals, the system's scheduler and long computations block a loop, and data that arrives meanwhile
is read later as if it were new. All times are in real seconds, because that is the unit of the
timeout that trio passes for an event wait, even if the run uses another clock.
"""

from collections import deque
from collections.abc import Callable

import structlog
import trio

from yewloom.boot_time import boot_s
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

MIN_BLOCKED_S = 0.1
"""Shortest delay that counts as blocked: a pass of a busy host takes some milliseconds."""

CATCH_UP_S = 0.25
"""Maximum time after a blocked period for which data that is read may have been queued."""

KEPT_S = 10.0
"""Time for which a blocked period is kept: a signal that arrived in it is asked about once the loop
has come to that, and until then every pass may be long."""

MIN_IDLE_WAIT_S = 0.001
"""An event wait of at least this length shows that the loop has caught up: nothing was left to
read."""


@value_class
class _BlockedPeriod:
    """A period in which the loop read nothing."""

    began_s: float
    ended_s: float


class LoopDelayMonitor(trio.abc.Instrument):
    """Measures how long the event loop was blocked."""

    def __init__(self, clock_s: Callable[[], float] = boot_s) -> None:
        self._clock_s = clock_s
        self._pass_began_s = clock_s()
        self._wait_began_s = 0.0
        self._blocked_periods: deque[_BlockedPeriod] = deque()  # May still be catching up.

    def start(self) -> None:
        """Start measuring the loop of the current trio run, until its end."""
        self._pass_began_s = self._clock_s()
        trio.lowlevel.add_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        """Record that the loop finished a pass and now waits for events."""
        self._wait_began_s = self._clock_s()

    def after_io_wait(self, timeout: float) -> None:
        """Record that the wait for events ended and a pass begins."""
        now_s = self._clock_s()
        waited_s = now_s - self._wait_began_s
        worked_s = self._wait_began_s - self._pass_began_s
        late_s = worked_s + max(0.0, waited_s - timeout)
        if late_s >= MIN_BLOCKED_S:
            self._add_blocked(_BlockedPeriod(self._pass_began_s, now_s))
            logger.info("event loop blocked", late_ms=_ms(late_s), worked_ms=_ms(worked_s))
        elif waited_s >= MIN_IDLE_WAIT_S:
            self._blocked_periods.clear()
        self._pass_began_s = now_s

    def delay_s(self) -> float:
        """Return how old data that is read now may be; 0 unless the loop was blocked."""
        now_s, delay_s = self._clock_s(), 0.0
        for period in reversed(self._blocked_periods):
            if now_s - period.ended_s > CATCH_UP_S:
                break
            delay_s = now_s - period.began_s
        return delay_s

    def _add_blocked(self, period: _BlockedPeriod) -> None:
        """Record a blocked period, and forget those that ended long before."""
        while self._blocked_periods and period.ended_s - self._blocked_periods[0].ended_s > KEPT_S:
            self._blocked_periods.popleft()
        self._blocked_periods.append(period)

    def unnoticed_s(self, noticed_ago_s: float) -> float:
        """Return how long an event noticed some time ago may have gone unnoticed before."""
        noticed_s = self._clock_s() - noticed_ago_s
        began = (
            period.began_s
            for period in self._blocked_periods
            if period.began_s <= noticed_s <= period.ended_s
        )
        return noticed_s - min(began, default=noticed_s)


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
