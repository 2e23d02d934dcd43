"""Endpoints that name a limit of the requests that they take, before entry hosts as processes."""

import unittest
from collections.abc import Sequence
from functools import partial

import trio

from yewloom.tests.soak.fragile_play import play_fragile

OTHER_PAUSE_S = 0.02
"""Pause between two requests: four for each endpoint and second."""

PLAY_S = 12.0
"""Time for which they come."""

CONTACT_S = 3.0
"""Time from the first word of a limit on after which it holds for all hosts together."""

WINDOW_S = 4.0
"""Time over which requests are counted, wherever it begins."""

LIMIT_PER_S = 1.0

MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that a limited endpoint may get in that time."""


def most_in_window(times_s: Sequence[float]) -> int:
    """Return how many of some times lie in the fullest window."""
    return max(
        (sum(begin_s <= time_s < begin_s + WINDOW_S for time_s in times_s) for begin_s in times_s),
        default=0,
    )


class TestLimitedEndpoints(unittest.TestCase):
    """A limit holds for all entry hosts together."""

    def test_endpoints_get_no_more_than_the_limit_that_they_name(self) -> None:
        """Guards against endpoints in need that get as much as all others."""
        limits = [f"{LIMIT_PER_S:g}"] * 4
        play = trio.run(partial(play_fragile, PLAY_S, OTHER_PAUSE_S, limits))
        self.assertEqual(len(play.seen.limited_since_s), len(limits))
        for name, since_s in play.seen.limited_since_s.items():
            later = [s for s in play.seen.all_arrived_s[name] if s > since_s + CONTACT_S]
            self.assertLessEqual(most_in_window(later), MOST_IN_WINDOW)
        self.assertEqual(set(play.statuses), {200})
