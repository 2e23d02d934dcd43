"""Tests of what callers get while endpoints fail at once, without connections."""

import random
import unittest

from yewloom.endpoint_rests import MAX_REST_S
from yewloom.tests.failing_endpoints import Behaviour, Play, Script

FAULT_S = 2.0
"""When the fault begins."""

FAILURES = (Behaviour.SERVER_ERROR, Behaviour.TRUNCATED, Behaviour.UNREADABLE)


def fail(*names: str, behaviour: Behaviour = Behaviour.SERVER_ERROR, share: float = 1.0) -> Script:
    """Return a script by which some endpoints fail a share of the requests."""
    rng = random.Random(1)

    def script(name: str, body: bytes, now_s: float) -> Behaviour:
        is_failed = name in names and now_s >= FAULT_S and rng.random() < share
        return behaviour if is_failed else Behaviour.SOUND

    return script


class TestFailingEndpoints(unittest.TestCase):
    """An endpoint that fails at once looks idle; it must not draw the work for that."""

    def test_an_endpoint_that_fails_everything_gets_a_small_share(self) -> None:
        for behaviour in FAILURES:
            with self.subTest(behaviour=behaviour):
                play = Play(fail("e0", behaviour=behaviour)).run()
                self.assertLess(play.share("e0", FAULT_S), 0.1)
                self.assertLess(play.failed_share(FAULT_S), 0.03)

    def test_two_of_four_that_fail_get_a_small_share(self) -> None:
        play = Play(fail("e0", "e1")).run()
        self.assertEqual(play.out(), ["e0", "e1"])
        self.assertLess(play.share("e0", FAULT_S) + play.share("e1", FAULT_S), 0.1)
        self.assertLess(play.failed_share(FAULT_S), 0.03)

    def test_if_all_fail_each_gets_its_share(self) -> None:
        play = Play(fail("e0", "e1", "e2", "e3"), duration_s=4.0).run()
        self.assertEqual(play.out(), [])
        for name in ("e0", "e1", "e2", "e3"):
            self.assertAlmostEqual(play.share(name, FAULT_S), 0.25, delta=0.03)

    def test_no_more_than_half_are_left_out_and_a_third_one_draws_no_work(
        self,
    ) -> None:
        play = Play(fail("e0", "e1", "e2")).run()
        self.assertEqual(len(play.out()), 2)
        for name in ("e0", "e1", "e2"):
            self.assertLess(play.share(name, FAULT_S), 0.25)

    def test_if_only_outliers_are_left_they_are_asked(self) -> None:
        def script(name: str, body: bytes, now_s: float) -> Behaviour:
            if name == "e0" and FAULT_S <= now_s < 6.0:
                return Behaviour.SERVER_ERROR
            return Behaviour.SOUND

        play = Play(script, endpoints=2, callers=4)
        play.at_s, play.remove = 6.0, "e1"
        play.run()
        self.assertEqual(play.failed_share(6.5), 0.0)

    def test_an_endpoint_that_fails_one_customer_alone_stays(self) -> None:
        """Others answer that customer; the endpoint gets less, as failures count as load."""

        def script(name: str, body: bytes, now_s: float) -> Behaviour:
            is_failed = name == "e0" and now_s >= FAULT_S and body.startswith(b"hotel")
            return Behaviour.SERVER_ERROR if is_failed else Behaviour.SOUND

        play = Play(script).run()
        self.assertEqual(play.out(), [])
        self.assertGreater(play.share("e0", FAULT_S), 0.1)
        self.assertLess(play.failed_share(FAULT_S), 0.03)

    def test_a_customer_that_fails_everywhere_makes_nobody_an_outlier(self) -> None:
        def script(name: str, body: bytes, now_s: float) -> Behaviour:
            is_failed = now_s >= FAULT_S and body.startswith(b"hotel")
            return Behaviour.SERVER_ERROR if is_failed else Behaviour.SOUND

        play = Play(script, duration_s=6.0).run()
        self.assertEqual(play.out(), [])
        self.assertAlmostEqual(play.share("e0", FAULT_S), 0.25, delta=0.03)

    def test_a_request_that_fails_at_one_endpoint_alone_makes_it_no_outlier(self) -> None:
        def script(name: str, body: bytes, now_s: float) -> Behaviour:
            is_failed = name == "e0" and now_s >= FAULT_S and body == b"bad"
            return Behaviour.SERVER_ERROR if is_failed else Behaviour.SOUND

        def body(customer: str, number: int) -> bytes:
            return b"%d" % number if number % 3 else b"bad"

        play = Play(script, body=body, customers=("hotel",)).run()
        self.assertEqual(play.out(), [])

    def test_a_seventh_that_fails_everywhere_makes_nobody_an_outlier(self) -> None:
        play = Play(fail("e0", "e1", "e2", "e3", share=1 / 7), duration_s=20.0).run()
        self.assertEqual(play.steps, [])

    def test_an_endpoint_that_fails_a_third_is_left_out_while_others_answer_all(self) -> None:
        play = Play(fail("e0", share=1 / 3), duration_s=15.0).run()
        self.assertIn("ejected", play.steps)
        self.assertLess(play.share("e0", FAULT_S), 0.15)
        self.assertEqual(play.failed_share(FAULT_S), 0.0)

    def test_an_endpoint_that_recovers_has_its_share_again_within_five_seconds(self) -> None:
        def script(name: str, body: bytes, now_s: float) -> Behaviour:
            is_failed = name == "e0" and FAULT_S <= now_s < FAULT_S + 10.0
            return Behaviour.SERVER_ERROR if is_failed else Behaviour.SOUND

        play = Play(script, duration_s=21.0).run()
        recovered_s = FAULT_S + 10.0
        self.assertLess(play.share("e0", FAULT_S, recovered_s), 0.1)
        self.assertAlmostEqual(play.share("e0", recovered_s + MAX_REST_S + 1.0), 0.25, delta=0.03)
        self.assertEqual(play.out(), [])
        self.assertEqual([play.steps[0], play.steps[-1]], ["ejected", "returned"])

    def test_a_customers_wrong_requests_make_nobody_an_outlier(self) -> None:
        def script(name: str, body: bytes, now_s: float) -> Behaviour:
            is_wrong = now_s >= FAULT_S and body.startswith(b"hotel")
            return Behaviour.BAD_REQUEST if is_wrong else Behaviour.SOUND

        play = Play(script, duration_s=6.0).run()
        self.assertEqual(play.steps, [])
