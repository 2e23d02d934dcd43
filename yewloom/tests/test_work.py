"""Tests of tracking work in progress and of the phases of a planned stop."""

import json
import unittest
from typing import Any

import trio
import trio.testing

from yewloom.admission import DEFAULT_SECONDS_PER_COST, AdmissionController, AdmissionRequest
from yewloom.claim_writer import ClaimWriter
from yewloom.claims import ClaimRequest, ClaimResult
from yewloom.counted_requests import RequestTrackingMiddleware
from yewloom.ids import AttemptId, CustomerId, EntryHostId, IdempotencyKey, RequestId
from yewloom.places import SlotPool
from yewloom.problems import Problem
from yewloom.states import ClaimState, Outcome, Phase
from yewloom.tests.support import FakePlatform, run_on_mock_clock
from yewloom.work import CountedTasks, WorkTracker

WRITE_S = 30.0
"""Time that a slow caller takes to read its response."""

LONG_COST = 1000.0
"""Cost of a request that takes 5 s at the rate that admission initially assumes."""


async def _respond(scope: Any, receive: Any, send: Any) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": [(b"a", b"b")]})
    await send({"type": "http.response.body", "body": b"x"})


def _scope(version: str) -> dict[str, Any]:
    return {"type": "http", "http_version": version}


async def _receive() -> dict[str, Any]:
    raise AssertionError("nothing is read")


class TestWork(unittest.TestCase):
    """Work counts from when it is accepted until it is finished."""

    def setUp(self) -> None:
        self.work = WorkTracker()

    def test_a_request_counts_until_its_response_is_written(self) -> None:
        async def write_slowly(message: Any) -> None:
            await trio.sleep(WRITE_S / 2)

        async def scenario() -> float:
            async with trio.open_nursery() as nursery:
                middleware = RequestTrackingMiddleware(_respond, self.work)
                nursery.start_soon(middleware, _scope("1.1"), _receive, write_slowly)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(self.work.in_progress, 1)
                began_s = trio.current_time()
                await self.work.wait_until_none()
                return trio.current_time() - began_s

        self.assertAlmostEqual(run_on_mock_clock(scenario), WRITE_S)

    def test_a_response_closes_its_connection_in_each_phase_of_a_stop(self) -> None:
        async def headers(phase: Phase, version: str) -> list[Any]:
            sent: list[Any] = []

            async def send(message: Any) -> None:
                sent.append(message)

            self.work.phase = phase
            await RequestTrackingMiddleware(_respond, self.work)(_scope(version), _receive, send)
            return list(sent[0]["headers"])

        async def scenario() -> None:
            kept, closed = [(b"a", b"b")], [(b"a", b"b"), (b"connection", b"close")]
            self.assertEqual(await headers(Phase.SERVING, "1.1"), kept)
            for phase in (Phase.LEAVING, Phase.CLOSED):
                self.assertEqual(await headers(phase, "1.0"), closed)
                self.assertEqual(await headers(phase, "1.1"), closed)
                self.assertEqual(await headers(phase, "2"), kept)

        run_on_mock_clock(scenario)

    def _cut_off_request(self, message: dict[str, Any], responds_at_once: bool) -> list[Any]:
        """Return what a caller receives whose request is cut off after one message of it."""
        sent: list[Any] = []

        async def application(scope: Any, receive: Any, send: Any) -> None:
            await receive()
            if responds_at_once:
                await send({"type": "http.response.start", "status": 200})
            await trio.sleep_forever()

        async def receive() -> dict[str, Any]:
            return message

        async def send(message: Any) -> None:
            self.assertEqual(self.work.in_progress, 1)
            sent.append(message)

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                middleware = RequestTrackingMiddleware(application, self.work)
                nursery.start_soon(middleware, _scope("1.1"), receive, send)
                await trio.testing.wait_all_tasks_blocked()
                self.work.phase = Phase.CLOSED
                self.work.cancel_requests()
                await self.work.wait_until_none()

        run_on_mock_clock(scenario)
        return sent

    def test_a_cut_off_request_gets_its_known_outcome(self) -> None:
        partial = {"type": "http.request", "body": b"x", "more_body": True}
        for message, outcome in (
            (partial, "not_run"),
            ({**partial, "more_body": False}, "unknown"),
        ):
            start, body = self._cut_off_request(message, responds_at_once=False)
            self.assertEqual(start["status"], 503)
            self.assertIn((b"connection", b"close"), start["headers"])
            self.assertEqual(json.loads(body["body"])["outcome"], outcome)

    def test_a_cut_off_response_is_not_completed(self) -> None:
        complete = {"type": "http.request", "body": b"x"}
        sent = self._cut_off_request(complete, responds_at_once=True)
        self.assertEqual([message["type"] for message in sent], ["http.response.start"])

    def test_waiting_continues_until_the_last_item_ends(self) -> None:
        async def scenario() -> float:
            async with trio.open_nursery() as nursery:
                tasks = CountedTasks(nursery, self.work)
                for number in range(1, 4):
                    tasks.start_soon(trio.sleep, number)
                self.assertEqual(self.work.in_progress, 3)
                began_s = trio.current_time()
                await self.work.wait_until_none()
                return trio.current_time() - began_s

        self.assertAlmostEqual(run_on_mock_clock(scenario), 3)
        self.assertEqual(self.work.in_progress, 0)

    def test_a_claim_result_counts_until_it_is_stored(self) -> None:
        platform = FakePlatform()
        claim = ClaimRequest(IdempotencyKey("c/k"), AttemptId("a"), EntryHostId("e"))

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                tasks = CountedTasks(nursery, self.work)
                writer = ClaimWriter(platform, tasks, 1, 60_000, 0.5, lambda: 0)
                await writer.claim(claim)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(self.work.in_progress, 0)
                platform.is_unavailable = True
                writer.store_result(
                    ClaimResult(claim.key, claim.attempt, ClaimState.DONE, 200, "t", b"x")
                )
                with trio.move_on_after(20) as waited:
                    await self.work.wait_until_none()
                self.assertTrue(waited.cancelled_caught)
                platform.is_unavailable = False
                await self.work.wait_until_none()
                self.assertIn("done", next(iter(platform.objects.values())).value)

        run_on_mock_clock(scenario)


class TestRejectionBeforeStop(unittest.TestCase):
    """Requests that would probably not finish before the stop are rejected and not started."""

    def setUp(self) -> None:
        self.slots = SlotPool(AdmissionController(1, max_queued=9))
        self.started: list[str] = []
        self.rejected: dict[str, Problem] = {}

    async def _hold_slot(self, name: str, cost: float, hold_s: float) -> None:
        deadline_s = trio.current_time() + 1000
        request = AdmissionRequest(RequestId(name), CustomerId("c"), 1.0, cost, deadline_s, share=1)
        try:
            async with self.slots.acquire(request):
                self.started.append(name)
                await trio.sleep(hold_s)
        except Problem as problem:
            self.rejected[name] = problem

    def _check(self, started: list[str], rejected: list[str]) -> None:
        self.assertEqual(self.started, started)
        self.assertEqual(sorted(self.rejected), sorted(rejected))
        for problem in self.rejected.values():
            self.assertEqual((problem.status, problem.outcome), (503, Outcome.NOT_RUN))

    def test_a_long_request_is_rejected_and_a_short_one_starts(self) -> None:
        async def scenario() -> None:
            self.slots.set_stop_time(trio.current_time() + DEFAULT_SECONDS_PER_COST * LONG_COST / 2)
            await self._hold_slot("long", LONG_COST, 0)
            await self._hold_slot("short", 1.0, 0)

        run_on_mock_clock(scenario)
        self._check(["short"], ["long"])

    def test_queued_requests_are_rejected_once_they_are_too_late(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                for name, cost in (("first", 1.0), ("short", 1.0), ("long", LONG_COST)):
                    nursery.start_soon(self._hold_slot, name, cost, 1.0)
                    await trio.testing.wait_all_tasks_blocked()
                self._check(["first"], [])
                self.slots.set_stop_time(trio.current_time() + 3)
                await trio.testing.wait_all_tasks_blocked()
                self._check(["first"], ["long"])

        run_on_mock_clock(scenario)
        self._check(["first", "short"], ["long"])

    def test_at_the_end_queued_and_new_requests_are_rejected(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                for name in ("first", "second", "third"):
                    nursery.start_soon(self._hold_slot, name, 1.0, 1.0)
                    await trio.testing.wait_all_tasks_blocked()
                self.slots.set_stop_time(trio.current_time())
                await self._hold_slot("late", 1.0, 1.0)

        run_on_mock_clock(scenario)
        self._check(["first"], ["second", "third", "late"])
