"""Tests of a request that crashes every endpoint it reaches, with entry hosts as processes."""

import unittest
from functools import partial

import trio

from yewloom.tests.soak.fragile import EndpointTimes
from yewloom.tests.soak.fragile_play import run_with_fragile_endpoints

OTHER_REQUEST_PAUSE_S = 0.04
"""Pause between two requests other than the crashing one."""

DURATION_S = 12.0
"""Time for which the crashing and the other requests are sent."""

PROPAGATION_S = 3.0
"""Time after the third crash within which every host must know of the quarantine."""

MAX_LATER = 3
"""Maximum number of endpoints that the request may reach after that."""


class TestCrashingRequest(unittest.TestCase):
    """A request does not crash one endpoint after the other."""

    def test_it_crashes_few_more_endpoints_after_restarts_of_all_hosts(self) -> None:
        """Guards against three more crashes each time that all hosts restart at once."""
        play = partial(
            run_with_fragile_endpoints,
            DURATION_S / 2,
            OTHER_REQUEST_PAUSE_S,
            is_crashing=True,
            restarts=2,
        )
        self._check(trio.run(play).seen)

    def test_a_request_that_crashed_three_endpoints_reaches_few_more(self) -> None:
        """Guards against a retried request that crashes every endpoint it reaches."""
        self._check(
            trio.run(
                partial(
                    run_with_fragile_endpoints, DURATION_S, OTHER_REQUEST_PAUSE_S, is_crashing=True
                )
            ).seen
        )

    def _check(self, seen: EndpointTimes) -> None:
        """Check how many endpoints the request reached after all hosts knew of it."""
        self.assertGreaterEqual(len(seen.ended_s), 3)
        known_everywhere_s = seen.ended_s[2] + PROPAGATION_S
        later = [arrived_s for arrived_s in seen.arrived_s if arrived_s > known_everywhere_s]
        self.assertLessEqual(len(later), MAX_LATER, f"{len(seen.ended_s)} ended in all")
