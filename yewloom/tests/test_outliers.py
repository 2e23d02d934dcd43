"""Tests of the rests of outliers, their trials and return, and the bound on their number."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from yewloom.endpoint_answers import Answer, FailureKind
from yewloom.endpoint_rests import (
    FIRST_REST_S,
    MAX_REST_S,
    RELAPSE_S,
    RETURN_STEPS,
    EndpointRests,
    Step,
)
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import CustomerId, Fingerprint, HostId, RouteName, ServiceName
from yewloom.outliers import FAILURE_LOAD_S, OutlierDetector

A = HostId("a")
SERVICE = ServiceName("s")


class TestRests(unittest.TestCase):
    """How long an endpoint is left, and how it comes back."""

    def setUp(self) -> None:
        self.rests = EndpointRests()

    def try_once(self, now_s: float, is_failed: bool) -> Step:
        """Send a request to the endpoint and record its answer."""
        self.rests.begin(A, now_s)
        step = self.rests.record(A, now_s, is_failed, now_s)
        self.rests.end(A, now_s)
        return step

    def test_a_rest_that_is_over_is_followed_by_one_request_at_a_time(self) -> None:
        self.rests.begin_rest(A, 0.0)
        self.assertTrue(self.rests.is_left(A, FIRST_REST_S - 0.01))
        self.assertFalse(self.rests.is_left(A, FIRST_REST_S))
        self.rests.begin(A, FIRST_REST_S)
        self.assertTrue(self.rests.is_left(A, FIRST_REST_S))
        self.rests.end(A, FIRST_REST_S)
        self.assertFalse(self.rests.is_left(A, FIRST_REST_S))

    def test_requests_from_before_neither_block_a_trial_nor_decide_it(self) -> None:
        self.rests.begin(A, -1.0)
        self.rests.begin_rest(A, 0.0)
        self.assertFalse(self.rests.is_left(A, FIRST_REST_S))
        self.assertIs(self.rests.record(A, -1.0, True, FIRST_REST_S), Step.NONE)
        self.rests.end(A, -1.0)
        self.rests.begin(A, FIRST_REST_S)
        self.assertTrue(self.rests.is_left(A, FIRST_REST_S))

    def test_rests_grow_up_to_a_bound_while_trials_fail(self) -> None:
        now_s, rests_s = 0.0, [self.rests.begin_rest(A, 0.0)]
        for _ in range(5):
            now_s += rests_s[-1]
            self.assertFalse(self.rests.is_left(A, now_s))
            self.assertIs(self.try_once(now_s, True), Step.TRIAL_FAILED)
            rests_s.append(min(MAX_REST_S, 2 * rests_s[-1]))
            self.assertTrue(self.rests.is_left(A, now_s + rests_s[-1] - 0.01))
        self.assertEqual(rests_s[-1], MAX_REST_S)

    def test_each_good_answer_doubles_what_may_run_until_the_endpoint_is_back(self) -> None:
        self.rests.begin_rest(A, 0.0)
        for number in range(RETURN_STEPS):
            for _ in range(2**number):
                self.assertFalse(self.rests.is_left(A, 1.0))
                self.rests.begin(A, 1.0)
            self.assertTrue(self.rests.is_left(A, 1.0))
            for _ in range(2**number):
                self.rests.end(A, 1.0)
            step = self.rests.record(A, 1.0, False, 1.0)
        self.assertIs(step, Step.RETURNED)
        self.assertFalse(self.rests.is_out(A))
        self.assertEqual(self.rests.count_out({A}), 0)

    def test_a_failure_on_the_way_back_starts_the_steps_anew(self) -> None:
        self.rests.begin_rest(A, 0.0)
        self.assertIs(self.try_once(1.0, False), Step.TRIAL_ANSWERED)
        self.assertIs(self.try_once(1.0, False), Step.NONE)
        self.assertIs(self.try_once(1.0, True), Step.NONE)
        self.assertIs(self.try_once(1.0, False), Step.TRIAL_ANSWERED)

    def test_a_relapse_is_followed_by_a_longer_rest_for_a_time(self) -> None:
        for returned_s, rest_s in ((1.0, 2 * FIRST_REST_S), (1.0 + RELAPSE_S, FIRST_REST_S)):
            self.rests.forget(A)
            self.rests.begin_rest(A, 0.0)
            for _ in range(RETURN_STEPS):
                self.try_once(1.0, False)
            self.assertEqual(self.rests.begin_rest(A, returned_s), rest_s)

    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 5)), max_size=60))
    def test_an_endpoint_that_is_out_can_always_return(
        self, trials: list[tuple[bool, float]]
    ) -> None:
        rests, now_s = EndpointRests(), 0.0
        rests.begin_rest(A, now_s)
        for is_failed, wait_s in trials:
            now_s += wait_s
            if rests.is_out(A) and not rests.is_left(A, now_s):
                rests.begin(A, now_s)
                rests.record(A, now_s, is_failed, now_s)
                rests.end(A, now_s)
        now_s += MAX_REST_S
        while rests.is_out(A):
            self.assertFalse(rests.is_left(A, now_s))
            rests.begin(A, now_s)
            rests.record(A, now_s, False, now_s)
            rests.end(A, now_s)


class TestOutlierDetector(unittest.TestCase):
    """Which endpoints are left out, and how many at most."""

    def setUp(self) -> None:
        self.steps: list[str] = []
        self.detector = OutlierDetector(self.steps.append)
        self.listed = {HostId(name) for name in "abcd"}
        self.number = 0
        self.now_s = 0.0

    def record(self, endpoint: str, is_failed: bool) -> None:
        """Record an answer of an endpoint, a tenth of a second after the last one."""
        self.number += 1
        self.now_s += 0.1
        answer = Answer(
            HostId(endpoint),
            RouteName("r"),
            None,
            CustomerId(f"c{self.number % 3}"),
            self.now_s,
            self.now_s,
            FailureKind.SERVER_ERROR if is_failed else None,
            Fingerprint(self.number) if is_failed else None,
        )
        self.detector.record(SERVICE, answer, lambda: self.listed)

    def play(self, failing: str, rounds: int = 20) -> list[str]:
        """Let each endpoint answer in turn; return those that are out."""
        for _ in range(rounds):
            for endpoint in "abcd":
                self.record(endpoint, endpoint in failing)
        return [each for each in "abcd" if self.detector._rests.is_out(HostId(each))]

    def test_an_endpoint_that_fails_alone_is_left_out(self) -> None:
        self.assertEqual(self.play("a"), ["a"])
        self.assertEqual(self.steps[0], "ejected")

    def test_at_most_half_of_the_listed_endpoints_are_left_out(self) -> None:
        self.assertEqual(self.play("ab"), ["a", "b"])
        self.assertEqual(self.detector.count_out(self.listed), 2)
        self.assertEqual(self.detector.count_out({A}), 1)
        self.assertEqual(len(self.play("abc", 40)), 2)

    def test_the_last_endpoint_is_never_left_out(self) -> None:
        self.listed = {A}
        self.assertEqual(self.play("a"), [])

    def test_endpoints_that_may_not_be_judged_stay(self) -> None:
        self.listed = {HostId(name) for name in "bcd"}
        self.assertEqual(self.play("a"), [])

    def test_if_all_fail_nobody_is_left_out(self) -> None:
        self.assertEqual(self.play("abcd", 40), [])

    def test_failures_from_before_the_rest_do_not_count_after_the_return(self) -> None:
        self.play("a")
        self.now_s += MAX_REST_S
        self.assertEqual(self.play("", RETURN_STEPS), [])
        self.record("a", True)
        self.assertEqual(self.play("", 1), [])
        self.assertEqual(self.steps[-1], "returned")

    def test_a_failed_request_counts_as_load_for_a_while(self) -> None:
        for _ in range(2):
            self.record("a", True)
        self.assertEqual(self.detector.failed_load(A, self.now_s), 2)
        self.assertEqual(self.detector.failed_load(A, self.now_s + FAILURE_LOAD_S - 0.05), 1)
        self.assertEqual(self.detector.failed_load(A, self.now_s + FAILURE_LOAD_S + 0.01), 0)
        self.assertEqual(self.detector.failed_load(HostId("b"), self.now_s), 0)

    def test_metrics_count_steps_and_endpoints_that_are_out(self) -> None:
        metrics = ForwardMetrics()
        self.detector = OutlierDetector(metrics.on_outlier_step)
        metrics.read_ejected(lambda: self.detector.count_out(self.listed))
        read = metrics.registry.get_sample_value
        self.assertEqual(read("yewloom_ejected_endpoints"), 0.0)
        self.play("a")
        self.assertEqual(read("yewloom_ejected_endpoints"), 1.0)
        self.assertEqual(read("yewloom_outlier_steps_total", {"step": "ejected"}), 1.0)
        self.now_s += MAX_REST_S
        self.play("", RETURN_STEPS)
        self.assertEqual(read("yewloom_ejected_endpoints"), 0.0)
        self.assertEqual(read("yewloom_outlier_steps_total", {"step": "returned"}), 1.0)

    def test_the_log_names_the_rates_that_decided(self) -> None:
        with mock.patch("yewloom.outliers.logger") as logger:
            self.play("a")
            self.now_s += MAX_REST_S
            self.play("", RETURN_STEPS)
        [ejected] = logger.warning.call_args_list
        self.assertEqual(ejected.args, ("endpoint ejected",))
        fields = ejected.kwargs
        self.assertEqual((fields["endpoint"], fields["mostly"]), ("a", "server_error"))
        self.assertEqual(fields["failures"], fields["answers"])
        self.assertLess(fields["others_share"], 0.1)
        tried, returned = logger.info.call_args_list[-2:]
        self.assertEqual(tried, mock.call("endpoint tried", endpoint="a", outcome="answered"))
        self.assertEqual(returned, mock.call("endpoint returned", endpoint="a"))

    def test_an_endpoint_that_restarts_is_as_new(self) -> None:
        self.play("a")
        self.detector.forget(A)
        self.assertFalse(self.detector.is_left(A, self.now_s))
        self.assertEqual(self.detector.count_out(self.listed), 0)
