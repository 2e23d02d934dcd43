"""When a planned stop takes its steps, and which requests still have time to end."""

import math

BALANCER_NOTICE_S = 2.6
"""Time for which requests are still taken after the host stops being ready: the balancer asks once
a second and takes a host out after two answers."""

NOTICE_SHARE = 0.4
"""Largest part of the time for a stop that requests are still taken for; the rest is for them to
end."""

STOP_MARGIN_S = 0.5
"""Part of the time for a planned stop that is left for last answers and the process to end."""

LAST_ANSWERS_S = 0.1
"""Part of that margin in which requests that could not end get their last answers."""

EXIT_MARGIN_S = 0.25
"""Part of that margin in which the process ends, whatever is still open: a process with a tenth of
a core gets to run twice in it."""

LAST_ANSWERS_MARGIN_S = STOP_MARGIN_S - EXIT_MARGIN_S
"""The other part of it, in which open requests are given their last answers."""

EXIT_RUNS = 2.0
"""How often a process that the system lets wait must get to run in the time kept for its end."""

MOST_EXIT_MARGIN_S = 1.0
"""Most time that is kept for the end, however long the process is let wait."""

WORK_SHARE = 5 / 6
"""Part of the grace in which no request is cut off that an endpoint works on; from the platform's
pages."""

REQUEST_END_S = 0.01
"""Time that the end of a request may take that the stop cuts off, on a host with a tenth of a
core."""

CUT_OFF_SHARE = 0.25
"""Largest part of the time for requests to end that is kept for cutting off the rest of them."""


class PlannedStop:
    """The times of a planned stop, in seconds of the runtime's clock; infinite before it begins."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._asked_s = math.inf
        self.closes_s = math.inf
        """When the host takes no more requests."""
        self.ends_s = math.inf
        """When the last requests that have no answer must get one."""
        self.exits_s = math.inf
        """When the process ends, whatever is still open."""

    @property
    def is_begun(self) -> bool:
        """Tell whether the stop has begun."""
        return self.ends_s < math.inf

    def begin(self, asked_s: float, unnoticed_s: float = 0.0) -> None:
        """Set the times by when the stop was asked for; the first of several times counts.

        The signal may have come ``unnoticed_s`` before, to a host that was held up: the balancer's
        questions were not answered from then on, so its notice began. Requests keep their time.
        """
        if self.is_begun:
            return
        self._asked_s = asked_s
        notice_s = min(BALANCER_NOTICE_S, self._grace_s * NOTICE_SHARE)
        self.closes_s = asked_s - unnoticed_s + notice_s
        self._keep_for_exit(EXIT_MARGIN_S)

    def note_late(self, late_s: float) -> None:
        """Take in by how long the process was let wait; one that waits long ends earlier."""
        if self.is_begun:
            most_s = self._grace_s * (1 - WORK_SHARE) - LAST_ANSWERS_MARGIN_S
            self._keep_for_exit(min(late_s * EXIT_RUNS, MOST_EXIT_MARGIN_S, most_s))

    def _keep_for_exit(self, margin_s: float) -> None:
        """Keep some time for the end of the process, or more if that was asked for before."""
        last_answers_s = margin_s + LAST_ANSWERS_MARGIN_S
        self.exits_s = min(self.exits_s, self._asked_s + max(0.0, self._grace_s - margin_s))
        self.ends_s = min(self.ends_s, self._asked_s + max(0.0, self._grace_s - last_answers_s))

    def cut_off_s(self, open_requests: int) -> float:
        """Return when to cut off requests that are still open, so that all have ended in time."""
        most_s = max(0.0, self.ends_s - self.closes_s) * CUT_OFF_SHARE
        cut_off_s = self.ends_s - min(open_requests * REQUEST_END_S, most_s)
        work_ends_s = self._asked_s + self._grace_s * WORK_SHARE
        return min(self.ends_s, max(cut_off_s, work_ends_s))

    def has_time_for(self, usual_s: float, now_s: float) -> bool:
        """Tell whether work that usually takes some time would end before the stop does."""
        return now_s + usual_s <= self.ends_s
