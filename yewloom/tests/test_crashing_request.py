"""A request that ends each endpoint that runs it, before entry hosts as processes."""

import unittest
from functools import partial

import trio

from yewloom.tests.soak.fragile_play import play_fragile

OTHER_PAUSE_S = 0.04
"""Pause between two of all other requests."""

PLAY_S = 12.0
"""Time for which both come."""

CONTACT_S = 3.0
"""Time from the third end on after which every host must know of it."""

MOST_LATER = 3
"""Endpoints that the request may reach from then on."""


class TestCrashingRequest(unittest.TestCase):
    """One request must not end one endpoint after the other."""

    def test_a_request_that_ended_three_endpoints_reaches_few_more(self) -> None:
        """Guards against a request that comes again and ends whatever endpoint it is sent to."""
        seen = trio.run(partial(play_fragile, PLAY_S, OTHER_PAUSE_S, is_crashing=True)).seen
        self.assertGreaterEqual(len(seen.ended_s), 3)
        known_s = seen.ended_s[2] + CONTACT_S
        later = [arrived_s for arrived_s in seen.arrived_s if arrived_s > known_s]
        self.assertLessEqual(len(later), MOST_LATER, f"{len(seen.ended_s)} ended in all")
