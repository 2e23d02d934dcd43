"""The rests of endpoints that were found to be outliers, and their return.

An outlier rests, then gets one request as a trial. If it fails, the endpoint rests for twice as
long. Each good answer in a row doubles the number of requests that it may have at the same time;
after some it counts like any other. All times are seconds of one clock.
"""

import math
from collections.abc import Container
from dataclasses import dataclass
from enum import Enum

from yewloom.ids import HostId

FIRST_REST_S = 0.5
"""First rest: long enough to answer what other endpoints have taken over."""

MAX_REST_S = 4.0
"""Longest rest, so that an endpoint that recovers is back within 5 s."""

RETURN_STEPS = 5
"""Good answers in a row after which an endpoint is back; the last step is 16 requests at once."""

RELAPSE_S = 30.0
"""Time from a return during which the next rest is longer than the last one."""


class Step(Enum):
    """What an answer changes for an endpoint that rests or returns."""

    NONE = "none"
    TRIAL_FAILED = "trial failed"
    TRIAL_ANSWERED = "trial answered"
    RETURNED = "returned"


@dataclass
class _Rest:
    """A rest until ``until_s``; what follows it counts the good answers and running requests."""

    until_s: float
    duration_s: float
    answered: int = 0
    running: int = 0
    returned_s: float = math.inf


class EndpointRests:
    """Keeps which endpoints rest or return."""

    def __init__(self) -> None:
        self._rests: dict[HostId, _Rest] = {}

    def begin_rest(self, endpoint: HostId, now_s: float) -> float:
        """Let an endpoint rest; return for how long."""
        last = self._rests.get(endpoint)
        duration_s = FIRST_REST_S
        if last is not None and now_s - last.returned_s < RELAPSE_S:
            duration_s = min(MAX_REST_S, 2 * last.duration_s)
        self._rests[endpoint] = _Rest(now_s + duration_s, duration_s)
        return duration_s

    def is_left(self, endpoint: HostId, now_s: float) -> bool:
        """Return whether an endpoint should get no further request while there are others."""
        rest = self._rests.get(endpoint)
        if rest is None or rest.returned_s < math.inf:
            return False
        return now_s < rest.until_s or rest.running >= 2**rest.answered

    def is_out(self, endpoint: HostId) -> bool:
        """Return whether an endpoint rests or has not returned yet."""
        rest = self._rests.get(endpoint)
        return rest is not None and rest.returned_s == math.inf

    def count_out(self, among: Container[HostId]) -> int:
        """Return how many of some endpoints rest or have not returned yet."""
        return sum(endpoint in among and self.is_out(endpoint) for endpoint in self._rests)

    def begin(self, endpoint: HostId, now_s: float) -> None:
        """Count a request that is sent to an endpoint."""
        rest = self._rests.get(endpoint)
        if rest is not None and now_s >= rest.until_s:
            rest.running += 1

    def end(self, endpoint: HostId, began_s: float) -> None:
        """Count a request that began at a given time as ended."""
        rest = self._rests.get(endpoint)
        if rest is not None and began_s >= rest.until_s:
            rest.running -= 1

    def record(self, endpoint: HostId, began_s: float, is_failed: bool, now_s: float) -> Step:
        """Record an answer of an endpoint that is out; return what it changes.

        Answers to requests from before the end of its rest change nothing.
        """
        rest = self._rests[endpoint]
        if began_s < rest.until_s:
            return Step.NONE
        if not is_failed:
            rest.answered += 1
            return self._step_up(rest, now_s)
        if rest.answered:
            rest.answered = 0
            return Step.NONE
        self.begin_rest(endpoint, now_s)
        return Step.TRIAL_FAILED

    def forget(self, endpoint: HostId) -> None:
        """Forget an endpoint that is no longer listed or has restarted."""
        self._rests.pop(endpoint, None)

    def _step_up(self, rest: _Rest, now_s: float) -> Step:
        if rest.answered >= RETURN_STEPS:
            rest.returned_s = now_s
            return Step.RETURNED
        return Step.TRIAL_ANSWERED if rest.answered == 1 else Step.NONE
