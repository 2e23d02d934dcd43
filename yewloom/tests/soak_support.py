"""Assertion shared by the soak tests."""

import unittest

from yewloom.tests.soak.run import SoakPlan, soak

MIN_STREAMS = 20
"""Number of complete streams that a soak must exceed, which shows that its callers were active. The
checks whether all hosts serve send some ten requests themselves."""


def assert_clean(test: unittest.TestCase, plan: SoakPlan) -> None:
    """Run a soak, and assert that it has no violations and that its callers were active."""
    result = soak(plan)
    test.assertEqual(result.violations, [], result.text())
    # The checks whether all hosts serve, at the start and at the end, send a few streams too.
    test.assertGreater(result.outcomes["stream 200"], MIN_STREAMS, result.text())
