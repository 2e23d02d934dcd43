"""Tests of experiments and of the comparison of their two sides."""

import json
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.comparison import ERROR_RATE, compare
from yewloom.experiments import (
    MAX_SAMPLED_SESSIONS,
    ExperimentRecord,
    Observation,
    Side,
    assign_side,
    merge_records,
    record_from_fields,
)
from yewloom.schema.table_pb2 import ExperimentRow
from yewloom.states import Outcome

ROW = ExperimentRow(model="m", policy_a="a", policy_b="b", share_b=0.5, salt="s")


def _simulate(seed: int, sessions: int = 120, slowdown: float = 1.0) -> ExperimentRecord:
    """Simulate an experiment whose sessions have similar requests; side B may be slower."""
    rng, record = random.Random(seed), ExperimentRecord()
    for number in range(sessions):
        session = f"{seed}/{number}"
        side = assign_side("x", ROW, session)
        base_ms = rng.lognormvariate(4, 0.5) * (slowdown if side is Side.B else 1.0)
        for _ in range(3):
            first_ms = base_ms * rng.uniform(0.8, 1.2)
            record.add(session, Observation(side, Outcome.ANSWERED, first_ms, 20.0))
    return record


class TestAssignment(unittest.TestCase):
    """Assignment of sessions to sides."""

    @given(st.text(max_size=20))
    def test_a_session_stays_on_its_side(self, session: str) -> None:
        self.assertIs(assign_side("x", ROW, session), assign_side("x", ROW, session))

    def test_the_split_follows_the_share(self) -> None:
        row = ExperimentRow(share_b=0.2, salt="s")
        sides = [assign_side("x", row, str(number)) for number in range(5000)]
        self.assertAlmostEqual(sides.count(Side.B) / 5000, 0.2, delta=0.02)


class TestExperimentRecord(unittest.TestCase):
    """Samples of several entry hosts, merged and encoded as JSON."""

    def test_the_sample_is_bounded_and_merges_to_complete_sessions(self) -> None:
        hosts = [ExperimentRecord() for _ in range(3)]
        total = 4 * MAX_SAMPLED_SESSIONS
        for number in range(total):
            for host in hosts:
                host.add(str(number), Observation(Side.A, Outcome.ANSWERED, 1.0, None))
        merged = merge_records(hosts)
        self.assertLessEqual(len(merged.sample), MAX_SAMPLED_SESSIONS)
        self.assertTrue(all(len(observations) == 3 for observations in merged.sample.values()))
        self.assertEqual(merged.counts[(Side.A, Outcome.ANSWERED)], 3 * total)

    def test_a_record_survives_a_json_round_trip(self) -> None:
        record = _simulate(1, sessions=20)
        copied = record_from_fields(json.loads(json.dumps(record.to_fields())))
        self.assertEqual(copied, record)


class TestCompare(unittest.TestCase):
    """Detection of real differences, without false positives."""

    def test_equal_policies_rarely_differ(self) -> None:
        false_positives = 0
        for seed in range(120):
            result = compare(_simulate(seed), 0.5, random.Random(seed), resamples=150)
            false_positives += any(metric.is_established for metric in result.metrics)
        self.assertLessEqual(false_positives / 120, 2 * ERROR_RATE)

    def test_a_large_difference_is_established(self) -> None:
        result = compare(_simulate(1, 400, slowdown=3.0), 0.5, random.Random(1))
        first = result.metrics[0]
        self.assertTrue(first.is_established)
        self.assertEqual(first.verdict, "B is slower")
        self.assertLess(first.a_ms, first.b_ms)

    def test_few_sessions_establish_nothing(self) -> None:
        result = compare(_simulate(1, 20, slowdown=9.0), 0.5, random.Random(1))
        self.assertFalse(any(metric.is_established for metric in result.metrics))

    def test_an_empty_record_is_compared_without_an_error(self) -> None:
        result = compare(ExperimentRecord(), 0.5, random.Random(1))
        self.assertIn("not established", result.metrics[0].verdict)

    def test_a_split_that_misses_its_share_is_not_balanced(self) -> None:
        self.assertTrue(compare(_simulate(1, 400), 0.5, random.Random(1)).is_balanced)
        self.assertFalse(compare(_simulate(1, 400), 0.2, random.Random(1)).is_balanced)
