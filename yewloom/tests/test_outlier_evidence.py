"""Tests of which endpoints are outliers by their latest answers."""

import random
import unittest
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from yewloom.endpoint_answers import CRASH_NOTICED_S, WINDOW_S, Answer, FailureKind, RecentAnswers
from yewloom.ids import CustomerId, Fingerprint, HostId, RouteName
from yewloom.outlier_evidence import MAX_JUDGED, find_outliers, may_be_outlier

ENDPOINTS = ("a", "b", "c", "d")


def answer(
    endpoint: str,
    failure: FailureKind | None = None,
    customer: str = "hotel",
    fingerprint: int = 0,
    route: str = "r",
    ended_s: float = 0.0,
) -> Answer:
    """Return an answer; each failure should have a fingerprint of its own."""
    return Answer(
        HostId(endpoint),
        RouteName(route),
        None,
        CustomerId(customer),
        ended_s,
        ended_s,
        failure,
        Fingerprint(fingerprint) if failure is not None else None,
    )


def failures(
    endpoint: str, count: int, customers: Sequence[str] = ("hotel", "clinic"), route: str = "r"
) -> list[Answer]:
    """Return failures of different requests, by customers in turn."""
    return [
        answer(endpoint, FailureKind.SERVER_ERROR, customers[n % len(customers)], n + 1, route)
        for n in range(count)
    ]


def good(
    endpoint: str, count: int, customers: Sequence[str] = ("hotel", "clinic"), route: str = "r"
) -> list[Answer]:
    """Return good answers, by customers in turn."""
    return [answer(endpoint, None, customers[n % len(customers)], 0, route) for n in range(count)]


def good_others(count: int = 20) -> list[Answer]:
    """Return good answers of all endpoints but the first."""
    return [each for name in ENDPOINTS[1:] for each in good(name, count)]


class TestOutlierEvidence(unittest.TestCase):
    """What makes an endpoint an outlier, and what does not."""

    def test_a_few_failures_beside_endpoints_that_answer_are_sufficient(self) -> None:
        self.assertEqual(list(find_outliers(failures("a", 6) + good_others())), ["a"])
        self.assertEqual(find_outliers(failures("a", 4) + good_others()), {})

    def test_a_fault_shows_soon_after_many_good_answers(self) -> None:
        earlier = good("a", 1000)
        self.assertEqual(list(find_outliers(failures("a", 9) + earlier + good_others())), ["a"])

    def test_without_others_that_get_such_requests_there_is_no_outlier(self) -> None:
        self.assertEqual(find_outliers(failures("a", 30)), {})
        others = [each for name in "bcd" for each in good(name, 20, route="other")]
        self.assertEqual(find_outliers(failures("a", 30) + others), {})

    def test_failures_on_a_route_that_fails_everywhere_are_no_evidence(self) -> None:
        bad_route = [each for name in ENDPOINTS for each in failures(name, 10, route="bad")]
        self.assertEqual(find_outliers(bad_route + good("a", 1) + good_others()), {})

    def test_failures_of_one_customer_among_several_are_no_evidence(self) -> None:
        of_one = failures("a", 20, ["hotel"])
        self.assertEqual(find_outliers(of_one + good("a", 20, ["clinic"]) + good_others()), {})
        self.assertEqual(find_outliers(of_one + good_others()), {})

    def test_one_customer_is_sufficient_on_a_route_that_only_it_uses(self) -> None:
        others = [each for name in "bcd" for each in good(name, 20, ["hotel"])]
        self.assertEqual(list(find_outliers(failures("a", 10, ["hotel"]) + others)), ["a"])

    def test_one_request_that_comes_again_and_again_is_no_evidence(self) -> None:
        again = [answer("a", FailureKind.SERVER_ERROR, c, 7) for c in ("hotel", "clinic")] * 20
        self.assertEqual(find_outliers(again + good_others()), {})

    def test_half_of_the_endpoints_that_fail_are_found(self) -> None:
        answers = failures("a", 40) + failures("b", 40) + good("c", 40) + good("d", 40)
        self.assertEqual(sorted(find_outliers(answers)), ["a", "b"])
        answers = [each for name in "abc" for each in failures(name, MAX_JUDGED)]
        self.assertEqual(sorted(find_outliers(answers + good("d", 48))), ["a", "b", "c"])

    @given(st.integers(1, 32), st.integers(2, 5), st.sampled_from(FailureKind))
    def test_endpoints_that_fail_alike_are_no_outliers(
        self, count: int, endpoints: int, kind: FailureKind
    ) -> None:
        answers = [
            answer(f"e{e}", kind, f"c{n % 3}", n + 1)
            for e in range(endpoints)
            for n in range(count)
        ]
        self.assertEqual(find_outliers(answers), {})

    def test_a_seventh_that_fails_everywhere_makes_nobody_an_outlier(self) -> None:
        """Draws 2,000 windows: a chance of one in a million leaves each of them without any."""
        rng = random.Random(1)
        for window in range(2000):
            answers = []
            for number in range(200):
                kind = FailureKind.SERVER_ERROR if rng.random() < 1 / 7 else None
                answers.append(answer(rng.choice(ENDPOINTS), kind, f"c{number % 5}", number + 1))
            self.assertEqual(find_outliers(answers), {}, window)

    @given(st.lists(st.tuples(st.sampled_from(ENDPOINTS), st.booleans()), max_size=200))
    def test_an_outlier_is_never_passed_over_at_the_first_look(
        self, outcomes: list[tuple[str, bool]]
    ) -> None:
        answers = [
            answer(e, FailureKind.UNREADABLE if is_failed else None, f"c{n % 3}", n + 1)
            for n, (e, is_failed) in enumerate(outcomes)
        ]
        for outlier in find_outliers(answers):
            self.assertTrue(may_be_outlier(outlier, answers))

    def test_no_more_than_the_latest_answers_are_judged(self) -> None:
        old = failures("a", 50)
        self.assertEqual(find_outliers(good("a", MAX_JUDGED) + old + good_others()), {})


class TestRecentAnswers(unittest.TestCase):
    """Which answers are evidence, by their age."""

    def setUp(self) -> None:
        self.recent = RecentAnswers()

    def test_old_answers_are_dropped(self) -> None:
        self.recent.add(answer("a", ended_s=0.0))
        self.recent.add(answer("b", ended_s=WINDOW_S))
        self.assertEqual(len(list(self.recent.newest_first(WINDOW_S))), 2)
        self.assertEqual([a.endpoint for a in self.recent.newest_first(WINDOW_S + 1)], ["b"])
        self.recent.add(answer("c", ended_s=WINDOW_S + 1))
        self.assertEqual(len(list(self.recent.newest_first(WINDOW_S))), 2)

    def test_half_an_answer_is_evidence_once_a_crash_would_be_known(self) -> None:
        self.recent.add(answer("a", FailureKind.TRUNCATED, ended_s=1.0))
        noticed_s = 1.0 + CRASH_NOTICED_S
        self.assertEqual(list(self.recent.newest_first(noticed_s - 0.01)), [])
        self.assertEqual(len(list(self.recent.newest_first(noticed_s + 0.01))), 1)

    def test_the_answers_of_one_endpoint_can_be_dropped(self) -> None:
        for name in ("a", "b", "a"):
            self.recent.add(answer(name))
        self.recent.drop(HostId("a"))
        self.assertEqual([a.endpoint for a in self.recent.newest_first(0.0)], ["b"])
