"""Tests of retries: the outcome after failures, and the retry budget."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.retries import (
    MAX_RESUMES,
    AttemptTracker,
    CallFailure,
    NextStep,
    RetryBudget,
)
from yewloom.states import Outcome

_NOT_RUN = {CallFailure.CONNECT, CallFailure.REFUSED}


class TestRetryBudget(unittest.TestCase):
    """Retries are limited to a fraction of the successes."""

    @given(st.lists(st.booleans(), max_size=200))
    def test_retries_never_exceed_the_burst_plus_a_fraction_of_successes(
        self, events: list[bool]
    ) -> None:
        budget = RetryBudget(ratio=0.1, burst=3)
        successes = spent = 0
        for is_success in events:
            if is_success:
                successes += 1
                budget.on_success()
            else:
                spent += budget.try_spend()
        self.assertLessEqual(spent, 3 + 0.1 * successes + 1e-9)


class TestAttemptTracker(unittest.TestCase):
    """The next step and the outcome after each failure."""

    @given(st.lists(st.sampled_from(list(CallFailure)), min_size=1, max_size=12), st.booleans())
    def test_not_run_is_reported_only_while_no_call_may_have_run(
        self, failures: list[CallFailure], can_resume: bool
    ) -> None:
        tracker = AttemptTracker(True, can_resume, RetryBudget(0.1, 100))
        may_have_run = False
        for failure in failures:
            step = tracker.on_failure(failure, 0.0, 10.0)
            may_have_run = may_have_run or failure not in _NOT_RUN
            self.assertEqual(tracker.outcome is Outcome.NOT_RUN, not may_have_run)
            if may_have_run:
                self.assertIsNot(step, NextStep.REROUTE)

    def test_a_stream_is_resumed_a_few_times_before_another_group_is_tried(self) -> None:
        tracker = AttemptTracker(False, True, RetryBudget(0.1, 10))
        steps = [
            tracker.on_failure(CallFailure.CONNECTION_LOST, 0.0, 9.0)
            for _ in range(MAX_RESUMES + 1)
        ]
        self.assertEqual(steps, [NextStep.RESUME] * MAX_RESUMES + [NextStep.REROUTE])

    def test_no_retry_after_the_deadline(self) -> None:
        tracker = AttemptTracker(False, True, RetryBudget(0.1, 10))
        self.assertIs(tracker.on_failure(CallFailure.CONNECT, 9.0, 9.0), NextStep.GIVE_UP)
