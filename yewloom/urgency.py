"""How urgent a request is to an engine, which lets the more urgent ones of its queue in first.

Under more load than the engines bear, a queue in order of arrival makes all requests late, those
first whose objective is short. By the time that is left, the ones that can still be in time go
first, and those that are late anyway wait: they lose nothing more by it.
"""

import math

from yewloom.routes import Route

LEAST_URGENT = 9
"""The last of an engine's levels; 0 is the first."""

SHORTEST_S = 0.1
"""Time left that makes a request most urgent: a tenth of a second is some five prompts of usual
length, which an engine reads one after the other. Each level beyond it doubles the time."""

LATE = 4
"""Steps of a request that can't be in time any more, or has 0.8 s and more left."""

LEVELS_OF_A_PRIORITY = 5
"""Levels for the requests of one priority; those of a lower one come behind all of them."""


def urgency(route: Route, arrived_s: float, now_s: float, resumes: bool) -> int:
    """Return the urgency of a request from 0, the most urgent one, to ``LEAST_URGENT``.

    A stream that breaks off in the middle ``resumes`` before all others: its caller is waiting for
    the next event, and leaves.
    """
    level = route.priority * LEVELS_OF_A_PRIORITY
    if not resumes:
        level += _steps(arrived_s + route.objective_ms / 1000 - now_s)
    return min(level, LEAST_URGENT)


def _steps(left_s: float) -> int:
    """Return the steps that stand for the time left until the objective."""
    if left_s <= 0:
        return LATE
    return max(0, min(LATE, math.floor(math.log2(left_s / SHORTEST_S)) + 1))
