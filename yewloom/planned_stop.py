"""Schedule of a planned stop, and which requests still have time to finish."""

import math

DEREGISTRATION_DELAY_S = 2.6
"""How long requests are still accepted after the host reports not ready: the load balancer checks
once per second and removes a host after two failed checks."""

MAX_DEREGISTRATION_SHARE = 0.4
"""Maximum share of a planned stop for which requests are still accepted; the rest is for them to
finish."""

STOP_MARGIN_S = 0.5
"""Time at the end of a planned stop that is reserved for final responses and process exit."""

FINAL_RESPONSES_S = 0.1
"""Part of that margin in which requests that could not finish get their final responses."""

EXIT_MARGIN_S = 0.25
"""Part of that margin in which the process exits, whatever is still open: a process with a tenth of
a core is scheduled twice in it."""

FINAL_RESPONSES_MARGIN_S = STOP_MARGIN_S - EXIT_MARGIN_S
"""The other part, in which open requests get their final responses."""

EXIT_DELAY_FACTOR = 2.0
"""Time reserved for the exit as a multiple of the scheduling delay, so that the process is
scheduled that many times within it."""

MAX_EXIT_MARGIN_S = 1.0
"""Maximum time reserved for the exit, however late the process is scheduled."""

PROTECTED_WORK_SHARE = 5 / 6
"""Share of the grace period in which no request that an endpoint is working on is cut off; required
by the platform's documentation."""

CUT_OFF_TIME_PER_REQUEST_S = 0.01
"""Time that cutting off one request may take on a host with a tenth of a core."""

MAX_CUT_OFF_SHARE = 0.25
"""Maximum share of the time for requests to finish that is reserved for cutting off the rest."""


class PlannedStop:
    """The times of a planned stop, in seconds of the runtime's clock; infinite before it begins."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._requested_s = math.inf
        self.stops_accepting_s = math.inf
        """When the host stops accepting requests."""
        self.finish_by_s = math.inf
        """When the last requests without a response must get one."""
        self.exit_s = math.inf
        """When the process exits, whatever is still open."""

    @property
    def has_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self.finish_by_s < math.inf

    @property
    def _notice_s(self) -> float:
        """Return how long requests are still accepted after a stop was requested."""
        return min(DEREGISTRATION_DELAY_S, self._grace_s * MAX_DEREGISTRATION_SHARE)

    def is_notice_over(self, requested_ago_s: float, unnoticed_s: float = 0.0) -> bool:
        """Return whether a stop that was requested some time ago accepts no more requests.

        It may not have begun yet: the host may have been blocked since.
        """
        return requested_ago_s + unnoticed_s >= self._notice_s

    def begin(self, requested_s: float, unnoticed_s: float = 0.0) -> None:
        """Compute the times from when the stop was requested; only the first request counts.

        The signal may have arrived up to ``unnoticed_s`` earlier, while the host was blocked. Its
        readiness checks have failed since then, so the deregistration delay starts then, too.
        Requests keep their full time.
        """
        if self.has_begun:
            return
        self._requested_s = requested_s
        self.stops_accepting_s = requested_s - unnoticed_s + self._notice_s
        self._reserve_for_exit(EXIT_MARGIN_S)

    def add_delay(self, delay_s: float) -> None:
        """Record a scheduling delay of the process; after long delays it exits earlier."""
        if self.has_begun:
            max_s = self._grace_s * (1 - PROTECTED_WORK_SHARE) - FINAL_RESPONSES_MARGIN_S
            self._reserve_for_exit(min(delay_s * EXIT_DELAY_FACTOR, MAX_EXIT_MARGIN_S, max_s))

    def _reserve_for_exit(self, margin_s: float) -> None:
        """Reserve time for the exit of the process; a smaller margin than before has no effect."""
        final_responses_s = margin_s + FINAL_RESPONSES_MARGIN_S
        self.exit_s = min(self.exit_s, self._requested_s + max(0.0, self._grace_s - margin_s))
        self.finish_by_s = min(
            self.finish_by_s, self._requested_s + max(0.0, self._grace_s - final_responses_s)
        )

    def cut_off_s(self, open_requests: int) -> float:
        """Return when to start cutting off open requests so that all have ended in time."""
        max_s = max(0.0, self.finish_by_s - self.stops_accepting_s) * MAX_CUT_OFF_SHARE
        cut_off_s = self.finish_by_s - min(open_requests * CUT_OFF_TIME_PER_REQUEST_S, max_s)
        work_ends_s = self._requested_s + self._grace_s * PROTECTED_WORK_SHARE
        return min(self.finish_by_s, max(cut_off_s, work_ends_s))

    def has_time_for(self, duration_s: float, now_s: float) -> bool:
        """Return whether work that takes ``duration_s`` would finish in time if it began now."""
        return now_s + duration_s <= self.finish_by_s
