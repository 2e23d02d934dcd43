"""What tests ask of a soak."""

import unittest

from yewloom.tests.soak.run import SoakPlan, soak

LEAST_STREAMS = 20
"""Whole streams that a soak must have had, which shows that its callers were at work: the requests
that ask whether all serve are some ten."""


def assert_clean(test: unittest.TestCase, plan: SoakPlan) -> None:
    """Run a soak; it must break no promise, and its callers must have been at work."""
    result = soak(plan)
    test.assertEqual(result.broken, [], result.text())
    # Those that ask whether all serve send a few at the start and at the end.
    test.assertGreater(result.outcomes["stream 200"], LEAST_STREAMS, result.text())
