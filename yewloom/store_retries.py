"""How long a host waits before it calls a store again that did not answer.

All hosts of a data centre find out at the same moment that the store is away, and all would go on
asking. The few with the duty to follow it ask more and more seldom, up to a bound that keeps its
return from going unseen for long; the others share a rate that does not grow with their number, and
hear from those with the duty when it is back.
"""

from yewloom.values import value_class

MOST_DUTY_FACTOR = 4.0
"""Longest pause of a host with the duty, as a multiple of its first one."""

LEAST_IDLE_FACTOR = 5.0
"""Shortest pause of a host without the duty, as a multiple of the first one of a host with it."""

IDLE_SPACING_S = 0.5
"""Time between two calls of all hosts of a data centre that do not have the duty."""

SPREAD = 0.5
"""Width of the range that pauses are drawn from, as a part of the pause, so that hosts which failed
together do not call together."""


@value_class
class StoreRetries:
    """The pauses of one host; ``first_pause_s`` is from the settings, ``draw`` from 0 to 1."""

    first_pause_s: float
    draw: float

    def pause_s(self, failures: int, has_duty: bool, near_hosts: int) -> float:
        """Return the pause behind so many failures in a row.

        ``near_hosts`` counts the hosts of this data centre.
        """
        spread = 1 - SPREAD / 2 + SPREAD * self.draw
        if has_duty:
            factor = min(2.0 ** max(0, failures - 1), MOST_DUTY_FACTOR)
            return self.first_pause_s * factor * spread
        least_s = self.first_pause_s * LEAST_IDLE_FACTOR
        return max(least_s, near_hosts * IDLE_SPACING_S) * spread
