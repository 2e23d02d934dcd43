"""A short soak in which most endpoints reject requests while hosts restart and callers move."""

import unittest

from yewloom.tests.soak.faults import FaultMix
from yewloom.tests.soak.ledger import Disturbance, Kind, Ledger, SentRequest
from yewloom.tests.soak.repeat_checks import RETRY_WINDOW_S, check_repeats
from yewloom.tests.soak.run import SoakPlan
from yewloom.tests.soak_support import assert_clean

SEED = 1101


class TestRepeatChecks(unittest.TestCase):
    """The checks find too many retries and requests to endpoints that left, and nothing else."""

    def setUp(self) -> None:
        self.ledger = Ledger()

    def _found(self) -> list[str]:
        return [violation.check for violation in check_repeats(self.ledger, retry_extra=2)]

    def _send(self, name: str, forwarded_s: list[float], sent_s: float = 1.0) -> None:
        sent = SentRequest(name, Kind.SAFE, "/", b"", 1, "e/1", sent_s)
        sent.headers_sent_s = sent_s
        self.ledger.sent[name] = sent
        self.ledger.forwarded_s[name] = forwarded_s

    def test_retries_of_all_hosts_beyond_the_sum_are_found(self) -> None:
        for number in range(2):
            self._send(f"a{number}", [1.0, 1.1])
        self.assertEqual(self._found(), [])
        self._send("b", [1.0, 1.1 + RETRY_WINDOW_S + 0.1])
        self.assertEqual(self._found(), [])
        self._send("c", [1.0, 2.0])
        self.assertEqual(self._found(), ["budget"])

    def test_requests_of_the_window_before_count(self) -> None:
        for number in range(5):
            self._send(f"a{number}", [], sent_s=1.0)
        for number in range(3):
            self._send(f"b{number}", [2.0, 10.5], sent_s=10.5 + RETRY_WINDOW_S)
        self.assertEqual(self._found(), [])

    def test_late_requests_to_an_endpoint_that_left_are_found(self) -> None:
        for arrived_s, expected in ((2.9, []), (3.1, ["left"])):
            self.ledger.left_s["s1"] = 1.0
            self.ledger.arrivals["s1", "e/1"] = [arrived_s]
            self.assertEqual(self._found(), expected)
        stalls = [Disturbance(2.0, 2.5)]
        self.assertEqual(check_repeats(self.ledger, 2, stalls), [])


class TestSoakRepeats(unittest.TestCase):
    """The sum of retries over all hosts and departures are kept to, whatever the hosts go through.

    Guards against hosts that each keep to a limit of their own whose sum exceeds the limit on all.
    """

    def test_a_short_soak_of_rejections_has_no_violations(self) -> None:
        assert_clean(self, SoakPlan(SEED, 20.0, entries=4, engines=4, mix=FaultMix.REPEATS))
