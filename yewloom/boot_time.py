"""Time that includes system suspension.

The monotonic clock stops while the system is suspended. A host that measured ages with it would
treat its configuration, its lease, its callers' deadlines and its peers' reports as fresh after a
suspension of several seconds. The time since boot includes suspension.
"""

import time
from collections import deque
from collections.abc import Callable

MIN_SUSPENSION_S = 0.02
"""Shortest suspension that is detected; the two clocks are not read at exactly the same time."""

MAX_READ_TIME_S = 0.001
"""Maximum time for reading both clocks; a reading that was interrupted is discarded."""

RETENTION_S = 60.0
"""How long a suspension is remembered; requests that wait longer in a socket have expired."""


def boot_s() -> float:
    """Return the seconds since boot, including time during which the system was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionTracker:
    """Corrects ages measured by the monotonic clock for system suspensions."""

    def __init__(
        self,
        monotonic_clock_s: Callable[[], float] = time.monotonic,
        boot_clock_s: Callable[[], float] = boot_s,
    ) -> None:
        self._monotonic_clock_s = monotonic_clock_s
        self._boot_clock_s = boot_clock_s
        self._clock_offset_s: float | None = None  # None until both were read undisturbed.
        self._suspensions: deque[tuple[float, float]] = deque()  # Time of detection and duration.
        self._detect_suspension()

    def suspended_since_s(self, monotonic_age_s: float) -> float:
        """Return the total suspension detected after data of the given monotonic age arrived.

        Data that arrives after the end of a suspension but before its detection, within some
        milliseconds, is considered older than it is.
        """
        self._detect_suspension()
        arrived_s = self._monotonic_clock_s() - monotonic_age_s
        return sum(
            duration_s for detected_s, duration_s in self._suspensions if detected_s >= arrived_s
        )

    def _detect_suspension(self) -> None:
        """Detect a suspension from the growing difference between the two clocks."""
        before_s = self._monotonic_clock_s()
        offset_s = self._boot_clock_s() - before_s
        now_s = self._monotonic_clock_s()
        if now_s - before_s > MAX_READ_TIME_S:
            return
        if self._clock_offset_s is None:
            self._clock_offset_s = offset_s
        elif offset_s - self._clock_offset_s > MIN_SUSPENSION_S:
            self._suspensions.append((now_s, offset_s - self._clock_offset_s))
            self._clock_offset_s = offset_s
        while self._suspensions and now_s - self._suspensions[0][0] > RETENTION_S:
            self._suspensions.popleft()
