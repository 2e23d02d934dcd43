"""Tests of endpoints that announce a rate limit, with entry hosts as processes."""

import unittest
from collections.abc import Sequence
from functools import partial

import trio

from yewloom.tests.soak.fragile_play import run_with_fragile_endpoints

REQUEST_PAUSE_S = 0.02
"""Pause between two requests, which makes four per second for each endpoint."""

DURATION_S = 12.0
"""Time for which requests are sent."""

SETTLED_S = 3.0
"""Time after an endpoint first announces a limit within which all hosts apply it."""

WINDOW_S = 4.0
"""Length of the sliding window over which requests are counted."""

LIMIT_PER_S = 1.0

MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Maximum number of requests that a limited endpoint may get in a window."""


def max_in_window(times_s: Sequence[float]) -> int:
    """Return the largest number of times in any window."""
    return max(
        (sum(start_s <= time_s < start_s + WINDOW_S for time_s in times_s) for start_s in times_s),
        default=0,
    )


class TestLimitedEndpoints(unittest.TestCase):
    """The limit of an endpoint applies to all entry hosts together."""

    def test_endpoints_get_no_more_requests_than_they_announce(self) -> None:
        """Guards against overloaded endpoints that get as many requests as all others."""
        limits = [f"{LIMIT_PER_S:g}"] * 4
        run = trio.run(partial(run_with_fragile_endpoints, DURATION_S, REQUEST_PAUSE_S, limits))
        self.assertEqual(len(run.seen.limited_since_s), len(limits))
        for name, limited_s in run.seen.limited_since_s.items():
            later = [s for s in run.seen.all_arrived_s[name] if s > limited_s + SETTLED_S]
            self.assertLessEqual(max_in_window(later), MAX_IN_WINDOW)
        self.assertEqual(set(run.statuses), {200})
