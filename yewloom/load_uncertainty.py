"""How uncertain the known loads are, and the choice that fits this uncertainty.

An entry host knows the loads that its peers cause from messages, which are some hundred
milliseconds old in large deployments. If all hosts chose the endpoint with the lowest known load,
all requests of that time would go to the same one. So each host chooses at random among endpoints
whose scores differ by less than the load that has arrived unseen in the meantime: hardly at all
with a few peers and fresh messages, widely with hundreds of them.
"""

import math
import random
from collections import deque
from collections.abc import Sequence

RATE_WINDOW_S = 2.0
"""Time over which this host's rate of requests is measured."""

SPREAD_PER_UNSEEN_LOAD = 0.4
"""Spread of the choice, as a fraction of the load that arrives unseen at one endpoint."""

MIN_SPREAD = 0.01
"""Least spread, which decides between endpoints with equal scores."""

MAX_SPREAD = 0.2
"""Greatest spread: a greater one would send many requests to full or remote endpoints."""


class LoadUncertainty:
    """Estimates the load of one kind that the peers have caused since their last messages.

    Peers are assumed to get as many requests as this host. Times are seconds of one clock.
    """

    def __init__(self) -> None:
        self._chosen_s: deque[float] = deque()

    def record_choice(self, now_s: float) -> None:
        """Record that this host has sent a request to an endpoint."""
        self._chosen_s.append(now_s)

    def spread(self, age_sum_s: float, endpoint_count: int, slots: int, now_s: float) -> float:
        """Return the difference in score within which endpoints are about equally good.

        ``age_sum_s`` is the sum of the ages of the peers' messages; the requests are divided among
        ``endpoint_count`` endpoints, each with this number of slots.
        """
        while self._chosen_s and now_s - self._chosen_s[0] > RATE_WINDOW_S:
            self._chosen_s.popleft()
        rate_per_s = len(self._chosen_s) / RATE_WINDOW_S
        unseen_load = rate_per_s * age_sum_s / max(1, endpoint_count * slots)
        return min(MAX_SPREAD, max(MIN_SPREAD, SPREAD_PER_UNSEEN_LOAD * unseen_load))


def choose_by_score(scores: Sequence[float], spread: float, rng: random.Random) -> int:
    """Return the index of one score, drawn at random; the lowest are the most likely ones.

    A score that is higher by the spread is less likely by a factor of e.
    """
    lowest = min(scores)
    weights = [math.exp((lowest - score) / spread) for score in scores]
    return rng.choices(range(len(scores)), weights)[0]
