"""A request that ends each endpoint that runs it, before entry hosts as processes."""

import unittest
from functools import partial

import trio

from yewloom.tests.soak.fragile import EndpointLedger
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

    def test_restarts_of_all_hosts_let_it_end_few_more(self) -> None:
        """Guards against a request that ends three again each time that all hosts went at once."""
        play = partial(play_fragile, PLAY_S / 2, OTHER_PAUSE_S, is_crashing=True, restarts=2)
        self._check(trio.run(play).seen)

    def test_a_request_that_ended_three_endpoints_reaches_few_more(self) -> None:
        """Guards against a request that comes again and ends whatever endpoint it is sent to."""
        self._check(trio.run(partial(play_fragile, PLAY_S, OTHER_PAUSE_S, is_crashing=True)).seen)

    def _check(self, seen: EndpointLedger) -> None:
        """Check how many endpoints the request reached after it was known."""
        self.assertGreaterEqual(len(seen.ended_s), 3)
        known_s = seen.ended_s[2] + CONTACT_S
        later = [arrived_s for arrived_s in seen.arrived_s if arrived_s > known_s]
        self.assertLessEqual(len(later), MOST_LATER, f"{len(seen.ended_s)} ended in all")
