"""Time that goes on while the machine is suspended.

The steady clock of the system stands still meanwhile. To a host that was suspended for seconds its
configuration, its lease, the deadlines of its callers and what its peers told would look as fresh
as before, and all of them have aged. The time since the machine's boot counts on.
"""

import time
from collections import deque
from collections.abc import Callable

LEAST_JUMP_S = 0.02
"""Least time of a suspension that counts; the two clocks are read a moment apart."""

READ_SLACK_S = 0.001
"""Longest time in which both clocks are read; a reader that was interrupted reads again later."""

KEEP_S = 60.0
"""Time for which a suspension is kept: nothing waits in a socket for longer and is still wanted."""


def boot_s() -> float:
    """Return the seconds since the machine's boot, those in which it was suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspendedTime:
    """Corrects ages that the system counts by its steady clock."""

    def __init__(
        self,
        steady_clock_s: Callable[[], float] = time.monotonic,
        boot_clock_s: Callable[[], float] = boot_s,
    ) -> None:
        self._steady_clock_s = steady_clock_s
        self._boot_clock_s = boot_clock_s
        self._ahead_s: float | None = None  # Until both clocks were read without an interruption.
        self._noticed: deque[tuple[float, float]] = deque()  # When, and for how long.
        self._notice()

    def since(self, steady_age_s: float) -> float:
        """Return the time of suspensions that were noticed after something came.

        What came between a suspension's end and its notice, some milliseconds, counts as older than
        it is.
        """
        self._notice()
        came_s = self._steady_clock_s() - steady_age_s
        return sum(for_s for noticed_s, for_s in self._noticed if noticed_s >= came_s)

    def _notice(self) -> None:
        """Take in how far the time since boot has gone ahead."""
        before_s = self._steady_clock_s()
        ahead_s = self._boot_clock_s() - before_s
        now_s = self._steady_clock_s()
        if now_s - before_s > READ_SLACK_S:
            return
        if self._ahead_s is None:
            self._ahead_s = ahead_s
        elif ahead_s - self._ahead_s > LEAST_JUMP_S:
            self._noticed.append((now_s, ahead_s - self._ahead_s))
            self._ahead_s = ahead_s
        while self._noticed and now_s - self._noticed[0][0] > KEEP_S:
            self._noticed.popleft()
