"""Back-off of calls to a store that does not answer.

All hosts of a data centre notice an outage at the same time and would all keep calling the store.
The few hosts with the duty to follow it back off exponentially, up to a bound so that its recovery
is noticed soon. The others share a total rate that does not grow with their number, and learn of
the recovery from the hosts with the duty.

A host that lacks a change which a peer knows is not in such an outage: the store answered the peer.
Its information would stay old for as long as it waits, so it calls again soon.
"""

import math

from yewloom.values import value_class

MAX_DUTY_FACTOR = 4.0
"""Longest pause of a host with the duty, as a multiple of its first pause."""

MAX_DOUBLINGS = 16
"""Number of times that a pause may double; the bounds are reached long before."""

MIN_IDLE_FACTOR = 5.0
"""Shortest pause of a host without the duty, as a multiple of the first pause of a host with it."""

IDLE_SPACING_S = 0.5
"""Average time between calls, counted over all hosts of a data centre without the duty."""

JITTER = 0.5
"""Width of the range of random pauses, as a fraction of the pause.

It prevents hosts whose calls failed at the same time from retrying at the same time.
"""


@value_class
class StoreBackoff:
    """Pauses of one host between calls to a store that does not answer.

    ``first_pause_s`` comes from the settings; ``random_fraction`` is a random number from 0 to 1,
    drawn once for this host. ``longest_behind_s`` is the longest pause of a host that lacks a
    change which a peer knows, apart from the jitter.
    """

    first_pause_s: float
    random_fraction: float
    longest_behind_s: float = math.inf

    def pause_s(
        self, failures: int, has_duty: bool, near_host_count: int, is_behind: bool = False
    ) -> float:
        """Return the pause after a number of consecutive failures.

        ``near_host_count`` is the number of hosts in this data centre; ``is_behind`` is whether
        this host lacks a change which a peer knows.
        """
        jitter = 1 - JITTER / 2 + JITTER * self.random_fraction
        growing_s = self.first_pause_s * 2.0 ** min(max(0, failures - 1), MAX_DOUBLINGS)
        if has_duty:
            return min(growing_s, self.first_pause_s * MAX_DUTY_FACTOR) * jitter
        if is_behind:
            return min(growing_s, self.longest_behind_s) * jitter
        min_pause_s = self.first_pause_s * MIN_IDLE_FACTOR
        return max(min_pause_s, near_host_count * IDLE_SPACING_S) * jitter
