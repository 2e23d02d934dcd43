"""Tests of claims: an unsafe request runs at most once, however the platform and hosts fail."""

import unittest
from collections import Counter
from dataclasses import dataclass

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from yewloom.claim_writer import CLAIM_KEY_PREFIX, ClaimWriter
from yewloom.claims import (
    MAX_FULL_CLAIMS,
    MAX_HASHES,
    ClaimRequest,
    ClaimResult,
    Verdict,
    add_claims,
)
from yewloom.idempotency import IdempotentRunner, StoredResponse
from yewloom.ids import AttemptId, EntryHostId, IdempotencyKey
from yewloom.platforms import StoredObject
from yewloom.problems import Problem, unavailable_problem
from yewloom.schema.records_pb2 import ClaimShard
from yewloom.states import ClaimState, Outcome
from yewloom.tests.support import FakePlatform, WriteFault, run_on_mock_clock

RETENTION_MS = 1000


@dataclass(frozen=True)
class _Submission:
    """A request with an idempotency key; its caller disconnects after ``timeout_s``."""

    key: IdempotencyKey
    entry: int
    start_s: float
    timeout_s: float
    is_refused: bool


_SUBMISSIONS = st.builds(
    _Submission,
    key=st.sampled_from([IdempotencyKey("k1"), IdempotencyKey("k2")]),
    entry=st.integers(0, 2),
    start_s=st.floats(0, 3),
    timeout_s=st.sampled_from([0.05, 1.0, 30.0]),
    is_refused=st.booleans(),
)
_FAULTS = st.lists(st.sampled_from(list(WriteFault)), max_size=12)
_TIMES = st.lists(st.floats(0, 4), max_size=3)


class _Harness:
    """Entry hosts that share a platform, and an endpoint that counts runs by key."""

    def __init__(self, platform: FakePlatform) -> None:
        self.platform = platform
        self.runs: Counter[IdempotencyKey] = Counter()
        self.outcomes: list[tuple[IdempotencyKey, Outcome]] = []
        self.attempts = 0

    def new_attempt(self) -> AttemptId:
        self.attempts += 1
        return AttemptId(str(self.attempts))

    def runner(self, name: str, nursery: trio.Nursery) -> IdempotentRunner:
        writer = ClaimWriter(self.platform, nursery, 1, RETENTION_MS, 0.5, lambda: 0)
        return IdempotentRunner(writer, EntryHostId(name), self.new_attempt)

    async def send(self, runner: IdempotentRunner, submission: _Submission) -> None:
        async def run() -> StoredResponse:
            if submission.is_refused:
                raise unavailable_problem("refused", Outcome.NOT_RUN)
            self.runs[submission.key] += 1
            await trio.sleep(0.2)
            return StoredResponse(200, "text/plain", b"done")

        await trio.sleep(submission.start_s)
        with trio.move_on_after(submission.timeout_s):
            try:
                await runner.run(submission.key, run)
                self.outcomes.append((submission.key, Outcome.ANSWERED))
            except Problem as problem:
                self.outcomes.append((submission.key, problem.outcome))


class TestAtMostOnce(unittest.TestCase):
    """Retries with the same key at several entry hosts, with combined failures."""

    @settings(max_examples=150)
    @given(st.lists(_SUBMISSIONS, min_size=2, max_size=6), _FAULTS, _TIMES, _TIMES, _TIMES)
    def test_a_key_runs_at_most_once(
        self,
        submissions: list[_Submission],
        faults: list[WriteFault],
        outages: list[float],
        delayed_write_times: list[float],
        kills: list[float],
    ) -> None:
        async def scenario() -> _Harness:
            platform = FakePlatform()
            platform.next_write_faults = list(faults)
            harness = _Harness(platform)
            async with trio.open_nursery() as nursery:
                for outage_s in outages:
                    nursery.start_soon(_outage, platform, outage_s)
                for apply_s in delayed_write_times:
                    nursery.start_soon(_apply_delayed_writes, platform, apply_s)
                for entry in range(3):
                    own = [submission for submission in submissions if submission.entry == entry]
                    kill_s = kills[entry] if entry < len(kills) else 60.0
                    nursery.start_soon(_entry_host, harness, entry, own, kill_s)
            return harness

        harness = run_on_mock_clock(scenario)
        for key, count in harness.runs.items():
            self.assertLessEqual(count, 1, f"{key} ran {count} times")
        answered = {key for key, outcome in harness.outcomes if outcome is Outcome.ANSWERED}
        self.assertLessEqual(answered, set(harness.runs))

    def test_a_retry_at_another_entry_host_gets_the_stored_answer(self) -> None:
        async def scenario() -> _Harness:
            harness = _Harness(FakePlatform())
            async with trio.open_nursery() as nursery:
                for name in ("e0", "e1"):
                    runner = harness.runner(name, nursery)
                    submission = _Submission(IdempotencyKey("k"), 0, 0, 30, False)
                    await harness.send(runner, submission)
                    await trio.sleep(1)
            return harness

        harness = run_on_mock_clock(scenario)
        self.assertEqual(harness.runs[IdempotencyKey("k")], 1)
        self.assertEqual([outcome for _, outcome in harness.outcomes], [Outcome.ANSWERED] * 2)

    def test_during_an_outage_not_run_is_reported_immediately(self) -> None:
        async def scenario() -> tuple[_Harness, float]:
            platform = FakePlatform()
            platform.is_unavailable = True
            harness = _Harness(platform)
            async with trio.open_nursery() as nursery:
                runner = harness.runner("e0", nursery)
                await harness.send(runner, _Submission(IdempotencyKey("k"), 0, 0, 30, False))
                elapsed_s = trio.current_time()
                nursery.cancel_scope.cancel()
            return harness, elapsed_s

        harness, elapsed_s = run_on_mock_clock(scenario)
        self.assertEqual(harness.outcomes, [("k", Outcome.NOT_RUN)])
        self.assertEqual(harness.runs[IdempotencyKey("k")], 0)
        self.assertLess(elapsed_s, 0.1)

    def test_no_claim_waits_for_a_platform_that_is_known_to_be_down(self) -> None:
        async def scenario() -> tuple[list[tuple[IdempotencyKey, Outcome]], int]:
            platform = FakePlatform()
            platform.is_down = True
            harness = _Harness(platform)
            async with trio.open_nursery() as nursery:
                runner = harness.runner("e0", nursery)
                await harness.send(runner, _Submission(IdempotencyKey("k"), 0, 0, 30, False))
            return harness.outcomes, platform.calls.total()

        outcomes, calls = run_on_mock_clock(scenario)
        self.assertEqual(outcomes, [(IdempotencyKey("k"), Outcome.NOT_RUN)])
        self.assertEqual(calls, 0)

    def test_with_a_record_that_cannot_be_decoded_not_run_is_reported(self) -> None:
        async def scenario() -> _Harness:
            platform = FakePlatform()
            key = f"{CLAIM_KEY_PREFIX}0"
            platform.objects[key] = StoredObject(key, 1, '{"claims": 7}')
            harness = _Harness(platform)
            async with trio.open_nursery() as nursery:
                runner = harness.runner("e0", nursery)
                await harness.send(runner, _Submission(IdempotencyKey("k"), 0, 0, 30, False))
                nursery.cancel_scope.cancel()
            return harness

        self.assertEqual(run_on_mock_clock(scenario).outcomes, [("k", Outcome.NOT_RUN)])

    def test_a_refused_request_may_be_sent_again(self) -> None:
        async def scenario() -> _Harness:
            harness = _Harness(FakePlatform())
            async with trio.open_nursery() as nursery:
                runner = harness.runner("e0", nursery)
                for is_refused in (True, False):
                    await harness.send(
                        runner, _Submission(IdempotencyKey("k"), 0, 0, 30, is_refused)
                    )
            return harness

        harness = run_on_mock_clock(scenario)
        outcomes = [outcome for _, outcome in harness.outcomes]
        self.assertEqual(outcomes, [Outcome.NOT_RUN, Outcome.ANSWERED])

    def test_pending_claims_are_written_in_batches(self) -> None:
        async def scenario() -> FakePlatform:
            platform = FakePlatform()
            harness = _Harness(platform)
            async with trio.open_nursery() as nursery:
                runner = harness.runner("e0", nursery)
                for number in range(50):
                    key = IdempotencyKey(f"k{number}")
                    nursery.start_soon(harness.send, runner, _Submission(key, 0, 0, 30, False))
            return platform

        platform = run_on_mock_clock(scenario)
        self.assertLessEqual(platform.calls["update"], 6)


class TestAddClaims(unittest.TestCase):
    """Single updates of a record."""

    def _claim(self, key: str, attempt: str) -> ClaimRequest:
        return ClaimRequest(IdempotencyKey(key), AttemptId(attempt), EntryHostId("e"))

    def test_a_full_record_rejects_claims(self) -> None:
        record = ClaimShard(recent_hashes=range(MAX_HASHES), rotated_unix_ms=1)
        _, answers = add_claims(record, [self._claim("k", "a")], [], 1, RETENTION_MS)
        self.assertIs(answers[AttemptId("a")].verdict, Verdict.FULL)

    @given(st.lists(st.integers(0, 3 * MAX_FULL_CLAIMS), max_size=20))
    def test_no_key_runs_again_however_many_claims_followed(self, retried: list[int]) -> None:
        record = ClaimShard()
        for number in range(3 * MAX_FULL_CLAIMS + 1):
            claim = self._claim(f"k{number}", f"a{number}")
            record, answers = add_claims(record, [claim], [], 1, RETENTION_MS)
            self.assertIs(answers[claim.attempt].verdict, Verdict.RUN)
        self.assertEqual(len(record.claims), MAX_FULL_CLAIMS)
        for number in retried:
            claim = self._claim(f"k{number}", "again")
            record, answers = add_claims(record, [claim], [], 1, RETENTION_MS)
            self.assertIs(answers[claim.attempt].verdict, Verdict.TAKEN)

    def test_a_released_claim_may_run_again_after_it_was_compacted(self) -> None:
        record, _ = add_claims(ClaimShard(), [self._claim("k", "a")], [], 1, RETENTION_MS)
        released = ClaimResult(IdempotencyKey("k"), AttemptId("a"), ClaimState.RELEASED)
        others = [self._claim(f"k{i}", f"a{i}") for i in range(MAX_FULL_CLAIMS)]
        record, _ = add_claims(record, others, [released], 1, RETENTION_MS)
        _, answers = add_claims(record, [self._claim("k", "b")], [], 1, RETENTION_MS)
        self.assertIs(answers[AttemptId("b")].verdict, Verdict.RUN)

    def test_a_result_of_another_attempt_is_not_stored(self) -> None:
        record, _ = add_claims(ClaimShard(), [self._claim("k", "a1")], [], 0, RETENTION_MS)
        other_result = ClaimResult(IdempotencyKey("k"), AttemptId("a2"), ClaimState.RELEASED)
        record, _ = add_claims(record, [], [other_result], 0, RETENTION_MS)
        self.assertEqual(record.claims[0].state, ClaimState.CLAIMED.value)

    def test_a_large_answer_is_not_stored_but_the_claim_is(self) -> None:
        record, _ = add_claims(ClaimShard(), [self._claim("k", "a1")], [], 0, RETENTION_MS)
        large = ClaimResult(
            IdempotencyKey("k"), AttemptId("a1"), ClaimState.DONE, 200, "text/plain", b"x" * 9999
        )
        record, _ = add_claims(record, [], [large], 0, RETENTION_MS)
        _, answers = add_claims(record, [self._claim("k", "a2")], [], 0, RETENTION_MS)
        self.assertEqual(answers[AttemptId("a2")].verdict, Verdict.TAKEN)

    def test_hashes_are_kept_for_the_retention_time_and_dropped_after_twice_that(self) -> None:
        claims = [self._claim(f"k{i}", f"a{i}") for i in range(MAX_FULL_CLAIMS + 1)]
        record, _ = add_claims(ClaimShard(), claims, [], 1, RETENTION_MS)
        record, answers = add_claims(
            record, [self._claim("k0", "b")], [], RETENTION_MS + 2, RETENTION_MS
        )
        self.assertIs(answers[AttemptId("b")].verdict, Verdict.TAKEN)
        record, _ = add_claims(record, [], [], 2 * RETENTION_MS + 4, RETENTION_MS)
        self.assertEqual([*record.recent_hashes, *record.earlier_hashes], [])


async def _entry_host(
    harness: _Harness, entry: int, submissions: list[_Submission], kill_s: float
) -> None:
    """Run one entry host until its submissions are answered or it is killed."""
    with trio.move_on_after(kill_s):
        async with trio.open_nursery() as nursery:
            runner = harness.runner(f"e{entry}", nursery)
            async with trio.open_nursery() as senders:
                for submission in submissions:
                    senders.start_soon(harness.send, runner, submission)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()


async def _outage(platform: FakePlatform, start_s: float) -> None:
    await trio.sleep(start_s)
    platform.is_unavailable = True
    await trio.sleep(0.7)
    platform.is_unavailable = False


async def _apply_delayed_writes(platform: FakePlatform, start_s: float) -> None:
    await trio.sleep(start_s)
    platform.apply_delayed_writes()
