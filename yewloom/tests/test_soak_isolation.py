"""Short soaks whose entry hosts lose all endpoints, and whose endpoints pause for a second."""

import random
import unittest

from yewloom.tests.soak.faults import FaultMix, HoldEndpoints, IsolateEntries, draw_isolation
from yewloom.tests.soak.ledger import (
    ISOLATION_DETECTION_S,
    Disturbance,
    Isolation,
    Kind,
    Ledger,
    SentRequest,
)
from yewloom.tests.soak.run import SoakPlan
from yewloom.tests.soak_support import assert_clean

SEED = 605


class TestSoakIsolation(unittest.TestCase):
    """Hosts that are cut off from endpoints owe their callers what the others do."""

    def test_a_short_soak_with_isolated_hosts_has_no_violations(self) -> None:
        """Guards against hosts that refuse requests because only they reach no endpoint."""
        plan = SoakPlan(SEED, 20.0, entries=4, engines=6, mix=FaultMix.ISOLATION)
        assert_clean(self, plan)

    def test_cuts_of_a_seed_do_not_change_and_never_isolate_all_hosts(self) -> None:
        drawn = [fault for seed in range(20) for fault in draw_isolation(random.Random(seed), 9, 4)]
        again = [fault for seed in range(20) for fault in draw_isolation(random.Random(seed), 9, 4)]
        self.assertEqual(drawn, again)
        cuts = [fault for fault in drawn if isinstance(fault, IsolateEntries)]
        self.assertTrue(all(len(cut.entries) < 4 for cut in cuts))
        self.assertTrue(any(isinstance(fault, HoldEndpoints) for fault in drawn))


class TestIsolationCheck(unittest.TestCase):
    """The check compares isolated hosts with the others, from the detection time on."""

    def setUp(self) -> None:
        self.ledger = Ledger()
        interval = Disturbance(0.0, ISOLATION_DETECTION_S + 10.0)
        self.ledger.isolations.append(Isolation(frozenset({"e0"}), interval))

    def _add(self, host: str, count: int, status: int, sent_s: float) -> None:
        for _ in range(count):
            request_id = f"r{len(self.ledger.sent)}"
            sent = SentRequest(request_id, Kind.SAFE, "/", b"", 1, f"{host}/1", sent_s)
            sent.status, sent.is_complete, sent.ended_s = status, True, sent_s + 0.1
            self.ledger.sent[request_id] = sent

    def _violated(self) -> list[str]:
        isolated = [v for v in self.ledger.check() if v.check == "isolated"]
        return [violation.detail for violation in isolated]

    def test_isolated_hosts_that_serve_far_less_are_reported(self) -> None:
        checked_s = ISOLATION_DETECTION_S + 0.1
        self._add("e1", 50, 200, checked_s)
        self._add("e0", 10, 503, checked_s)
        self.assertEqual(self._violated(), [])
        self._add("e0", 10, 503, checked_s)
        self.assertEqual(self._violated(), ["['e0'] served 0 of 20, the others 50 of 50"])
        self._add("e0", 60, 200, checked_s)
        self.assertEqual(self._violated(), [])

    def test_a_host_that_was_stopped_owes_nothing(self) -> None:
        """Covers refused connections to a host between its planned stop and its next start."""
        checked_s = ISOLATION_DETECTION_S + 0.1
        self._add("e1", 50, 200, checked_s)
        self._add("e0", 50, 503, checked_s)
        self.ledger.planned_stops["e0/1"] = 0.0
        self.assertEqual(self._violated(), [])
        self.ledger.planned_stops = {"e1/1": -60.0}
        self.assertEqual(len(self._violated()), 1)

    def test_requests_before_the_detection_time_do_not_count(self) -> None:
        self._add("e1", 50, 200, 1.0)
        self._add("e0", 50, 503, 1.0)
        self.assertEqual(self._violated(), [])

    def test_an_isolation_amid_other_disturbances_is_not_checked(self) -> None:
        checked_s = ISOLATION_DETECTION_S + 0.1
        self._add("e1", 50, 200, checked_s)
        self._add("e0", 50, 503, checked_s)
        self.ledger.disturbances.append(Disturbance(checked_s, checked_s + 1.0))
        self.assertEqual(self._violated(), [])
