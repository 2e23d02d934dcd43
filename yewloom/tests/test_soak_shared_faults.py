"""Short soaks with faults that meet many endpoints or callers at once."""

import random
import unittest

from yewloom.tests.soak.faults import FaultMix, HoldEndpoints
from yewloom.tests.soak.ledger import (
    ANSWER_MARGIN_S,
    Disturbance,
    Isolation,
    Kind,
    Ledger,
    SentRequest,
)
from yewloom.tests.soak.run import SoakPlan
from yewloom.tests.soak.shared_faults import (
    ALL_ENDPOINTS,
    LoseAnswers,
    RevokeAllKeys,
    draw_lost_relays,
    draw_silence,
)
from yewloom.tests.soak_support import assert_clean

SILENCE_SEED = 1102
"""Seed with silences of all endpoints and a time without keys."""

LOST_RELAYS_SEED = 1202

DEADLINE_S = 6.0


class TestSharedFaults(unittest.TestCase):
    """Hosts keep their promises while many endpoints are silent, keys go and relays are lost."""

    def test_a_short_soak_with_silent_endpoints_has_no_violations(self) -> None:
        """Guards against streams that are cut off, and requests that run without a key."""
        plan = SoakPlan(SILENCE_SEED, 20.0, entries=4, engines=6, mix=FaultMix.SILENCE)
        assert_clean(self, plan)

    def test_a_short_soak_with_lost_relays_has_no_violations(self) -> None:
        """Guards against unsafe requests that run here after a relay that may have run them."""
        plan = SoakPlan(LOST_RELAYS_SEED, 20.0, entries=4, engines=6, mix=FaultMix.LOST_RELAYS)
        assert_clean(self, plan)

    def test_faults_of_a_seed_do_not_change(self) -> None:
        for draw in (draw_silence, draw_lost_relays):
            first, again = (draw(random.Random(SILENCE_SEED), 20.0, 4) for _ in range(2))
            self.assertEqual(first, again)
        drawn = draw_silence(random.Random(SILENCE_SEED), 20.0, 4)
        self.assertTrue(any(isinstance(fault, RevokeAllKeys) for fault in drawn))
        holds = [fault for fault in drawn if isinstance(fault, HoldEndpoints)]
        self.assertTrue(any(hold.numbers == ALL_ENDPOINTS for hold in holds))
        lost = draw_lost_relays(random.Random(LOST_RELAYS_SEED), 20.0, 4)
        self.assertTrue(any(isinstance(fault, LoseAnswers) for fault in lost))


class TestCutOffCheck(unittest.TestCase):
    """The check finds streams that a host ended with time left."""

    def _violated(self, ledger: Ledger, **fields: object) -> bool:
        sent = SentRequest("r", Kind.STREAM, "/", b"", 1, "e0/1", 10.0, deadline_s=DEADLINE_S)
        sent.status, sent.ended_s = 200, 12.0
        for name, value in fields.items():
            setattr(sent, name, value)
        ledger.sent["r"] = sent
        return any(violation.check == "cut off" for violation in ledger.check())

    def test_a_stream_that_ends_before_its_time_without_a_reason_is_reported(self) -> None:
        self.assertTrue(self._violated(Ledger()))
        self.assertFalse(self._violated(Ledger(), is_complete=True))
        self.assertFalse(self._violated(Ledger(), ended_s=None))
        self.assertFalse(self._violated(Ledger(), status=503))

    def test_the_end_of_its_time_is_a_reason(self) -> None:
        at_deadline_s = 10.0 + DEADLINE_S
        self.assertFalse(self._violated(Ledger(), ended_s=at_deadline_s))
        self.assertTrue(self._violated(Ledger(), ended_s=at_deadline_s - ANSWER_MARGIN_S - 0.1))
        self.assertFalse(self._violated(Ledger(), has_given_up=True))

    def test_disturbances_stops_and_cut_links_are_reasons(self) -> None:
        during = Disturbance(11.0, 13.0)
        self.assertFalse(self._violated(Ledger(disturbances=[during])))
        self.assertFalse(self._violated(Ledger(isolations=[Isolation(frozenset({"e1"}), during)])))
        self.assertFalse(self._violated(Ledger(planned_stops={"e0/1": 11.0})))
        self.assertTrue(self._violated(Ledger(planned_stops={"e1/1": 11.0})))
