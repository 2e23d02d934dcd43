"""Tests of the soak's checks, and short soaks with fixed seeds."""

import unittest
from dataclasses import replace

from yewloom.tests.soak.ledger import (
    REGRESSION_S,
    REVOCATION_S,
    Disturbance,
    Kind,
    Ledger,
    Ran,
    Sent,
    expected_answer,
)
from yewloom.tests.soak.run import SoakPlan, soak

SHORT_SEEDS = (1, 2)
"""Seeds that CI plays for a short time."""

LEAST_STREAMS = 20
"""Whole streams that a soak must have had, which shows that its callers were at work: the requests
that ask whether all serve are some ten."""

FAILED_SEEDS = (101,)
"""Seeds that failed once, with what they found; CI plays them as they were played then.

101: a host that was asked to stop went on accepting connections, and cut off the last request.
"""


def _sent(name: str, kind: Kind = Kind.SAFE, sent_s: float = 1.0, key_version: int = 1) -> Sent:
    """Return a request that was answered whole."""
    sent = Sent(name, kind, f"/p/{name}", b"b", key_version, "e/1", sent_s)
    sent.status, sent.stamp, sent.is_whole, sent.ended_s = 200, "s1", True, sent_s + 0.1
    sent.answer = expected_answer(sent)
    return sent


def _ran(sent: Sent, endpoint: str = "s1") -> Ran:
    return Ran(sent.request_id, endpoint, sent.path, sent.body, "customer", sent.sent_s)


class TestLedger(unittest.TestCase):
    """Every promise that is broken is found, and nothing else."""

    def setUp(self) -> None:
        self.ledger = Ledger()

    def _add(self, sent: Sent, *runs: Ran) -> None:
        self.ledger.sent[sent.request_id] = sent
        for run in runs or (_ran(sent),):
            self.ledger.note_run(run)

    def _promises(self) -> list[str]:
        return [broken.promise for broken in self.ledger.check()]

    def test_what_keeps_all_promises_is_clean(self) -> None:
        for kind in Kind:
            self._add(_sent(kind.value, kind))
        self.assertEqual(self._promises(), [])

    def test_an_unsafe_request_that_ran_twice(self) -> None:
        sent = _sent("a", Kind.UNSAFE)
        self._add(sent, _ran(sent), _ran(sent, "s2"))
        self.assertEqual(self._promises(), ["twice"])

    def test_a_safe_request_may_run_twice(self) -> None:
        sent = _sent("a", Kind.SAFE)
        self._add(sent, _ran(sent, "s2"), _ran(sent))
        self.assertEqual(self._promises(), [])

    def test_a_refused_request_that_ran(self) -> None:
        sent = _sent("a")
        sent.status = 503
        self._add(sent)
        self.assertEqual(self._promises(), ["refused"])

    def test_an_answer_of_another_request_or_endpoint(self) -> None:
        for change in ({"answer": b"s1 for b"}, {"stamp": "s9"}, {"answer": b""}):
            self.setUp()
            sent = replace(_sent("a"), **change)
            self._add(sent)
            self.assertIn("mixed", self._promises())

    def test_a_stream_that_lacks_or_repeats_an_event(self) -> None:
        sent = _sent("a", Kind.STREAM)
        for answer in (sent.answer[:-5], sent.answer.replace(b"id: 3", b"id: 2"), b""):
            self.setUp()
            self._add(replace(sent, answer=answer))
            self.assertEqual(self._promises(), ["mixed"])

    def test_a_run_that_nobody_asked_for_or_that_was_changed(self) -> None:
        sent = _sent("a")
        run = _ran(sent)
        for changed in (
            replace(run, request_id="b"),
            replace(run, path="/p/x"),
            replace(run, body=b"c"),
            replace(run, customer=""),
        ):
            self.setUp()
            self._add(sent, run, changed)
            self.assertEqual(self._promises(), ["unasked"])

    def test_a_key_that_worked_too_long(self) -> None:
        self.ledger.removed_s[1] = 1.0
        self._add(_sent("a", sent_s=1.0 + REVOCATION_S - 0.1))
        self.assertEqual(self._promises(), [])
        self._add(_sent("b", sent_s=1.0 + REVOCATION_S + 0.1))
        self.assertEqual(self._promises(), ["revoked"])

    def test_a_process_that_goes_back_to_an_older_configuration(self) -> None:
        self._add(_sent("a", sent_s=1.0, key_version=5))
        self._add(_sent("b", sent_s=1.1 + REGRESSION_S + 0.1, key_version=4))
        self.assertEqual(self._promises(), [])
        self._add(_sent("c", sent_s=1.1 + REGRESSION_S + 0.1, key_version=3))
        self.assertEqual(self._promises(), ["regressed"])

    def test_a_process_that_later_refuses_a_key_that_it_took(self) -> None:
        self._add(_sent("a", sent_s=1.0, key_version=5))
        refused = _sent("b", sent_s=1.1 + REGRESSION_S + 0.1, key_version=5)
        refused.status = 401
        self.ledger.sent["b"] = refused
        self.assertEqual(self._promises(), ["regressed"])
        self.ledger.removed_s[5] = 1.2
        self.assertEqual(self._promises(), [])

    def test_a_planned_stop_that_cuts_a_request_off_in_calm_times(self) -> None:
        sent = _sent("a", sent_s=1.0)
        sent.is_whole = False
        self._add(sent)
        self.ledger.planned_stops["e/1"] = 1.05
        self.assertEqual(self._promises(), ["lost"])
        self.ledger.disturbances.append(Disturbance(0.0, 1.05))
        self.assertEqual(self._promises(), [])


class TestSoak(unittest.TestCase):
    """Short soaks: entry hosts as processes, faults from outside."""

    def test_short_soaks_break_no_promise(self) -> None:
        for seed in SHORT_SEEDS:
            with self.subTest(seed=seed):
                self._assert_clean(SoakPlan(seed, duration_s=6.0, entries=3, engines=4))

    def test_seeds_that_failed_once_break_no_promise(self) -> None:
        for seed in FAILED_SEEDS:
            with self.subTest(seed=seed):
                self._assert_clean(SoakPlan(seed, duration_s=15.0, entries=4, engines=6))

    def _assert_clean(self, plan: SoakPlan) -> None:
        result = soak(plan)
        self.assertEqual(result.broken, [])
        # Those that ask whether all serve send a few at the start and at the end.
        self.assertGreater(result.outcomes["stream 200"], LEAST_STREAMS)
