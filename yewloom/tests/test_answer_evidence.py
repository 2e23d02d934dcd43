"""Tests of which answers are evidence about an endpoint, and which are not."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

import trio
from trio.testing import MockClock

from yewloom.answer_evidence import AnswerEvidence
from yewloom.crash_reports import EndpointProcess, LostRequest
from yewloom.endpoint_answers import CRASH_NOTICED_S, FailureKind
from yewloom.forward_request import Attempt, BufferedResponse, ForwardRequest
from yewloom.ids import Fingerprint, HostId, PromptPart
from yewloom.tests.entry_support import make_plain
from yewloom.tests.failing_endpoints import Play
from yewloom.tests.forwarding_support import ForwarderFixture

CUSTOMERS = ("hotel", "clinic", "school")
PART = PromptPart(7)
STARTED_UNIX_MS = 1000
FAILING = HostId("e0")


class World:
    """Four endpoints, of which the first fails while the others answer."""

    def __init__(self) -> None:
        self.fixture = ForwarderFixture()
        self.outliers = self.fixture.selector.outliers
        for number in range(4):
            endpoint = replace(make_plain(f"e{number}"), started_unix_ms=STARTED_UNIX_MS)
            self.fixture.directory.put(endpoint)
        self.evidence = AnswerEvidence(
            self.fixture.selector,
            self.fixture.crashes.record,
            self.fixture.reachability,
            self.fixture.loop_delay,
        )

    def record_crash(self, fingerprint: Fingerprint, name: str = "other") -> None:
        """Record the crash of a process under a request."""
        now_s, process = trio.current_time(), EndpointProcess(HostId(name), STARTED_UNIX_MS)
        self.fixture.crashes.record.record_crash(process, [LostRequest(fingerprint)], now_s, now_s)

    def fail(
        self,
        request: ForwardRequest,
        kind: FailureKind = FailureKind.SERVER_ERROR,
        endpoint: HostId = FAILING,
    ) -> None:
        """Let an endpoint, the first one if none is given, fail a request."""
        self.evidence.record_failure(request, self._attempt(endpoint, kind))

    def answer(self, name: str, request: ForwardRequest, status: int = 200) -> None:
        """Let an endpoint answer a request."""
        request.response = BufferedResponse(status, [], b"")
        self.evidence.record_answer(request, self._attempt(HostId(name), None))

    def _attempt(self, endpoint: HostId, failure: FailureKind | None) -> Attempt:
        listed = self.fixture.directory.by_id[endpoint]
        return Attempt(listed, began_s=trio.current_time(), failure=failure)

    async def play(self, fail: Callable[[ForwardRequest], None], rounds: int = 60) -> bool:
        """Let endpoints fail requests, as ``fail`` does it; return whether any is out."""
        for number in range(rounds):
            await trio.sleep(0.1)
            customer = CUSTOMERS[number % len(CUSTOMERS)]
            request = Play.make_request(customer, b"%d" % number, (PART,))
            for name in ("e1", "e2", "e3"):
                self.answer(name, Play.make_request(customer, b"fine"))
            fail(request)
        return self.outliers.count_out(self.fixture.directory.by_id) > 0


class TestAnswerEvidence(unittest.TestCase):
    """An endpoint that fails is left out by its own failures alone."""

    def is_out(self, prepare: Callable[[World], Callable[[ForwardRequest], None]]) -> bool:
        """Return whether the failing endpoint is out after a play of six seconds."""

        async def main() -> bool:
            world = World()
            return await world.play(prepare(world))

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_its_own_failures_are_evidence(self) -> None:
        for kind in FailureKind:
            with self.subTest(kind=kind):

                def prepare(
                    world: World, kind: FailureKind = kind
                ) -> Callable[[ForwardRequest], None]:
                    return lambda request: world.fail(request, kind)

                self.assertTrue(self.is_out(prepare))

    def test_requests_during_which_endpoints_crashed_are_none(self) -> None:
        def prepare(world: World) -> Callable[[ForwardRequest], None]:
            def fail(request: ForwardRequest) -> None:
                world.record_crash(request.fingerprint)
                world.fail(request)

            return fail

        self.assertFalse(self.is_out(prepare))

    def test_requests_with_a_quarantined_part_are_none(self) -> None:
        def prepare(world: World) -> Callable[[ForwardRequest], None]:
            world.fixture.crashes.quarantines.parts.add(PART, trio.current_time())
            return world.fail

        self.assertFalse(self.is_out(prepare))

    def test_another_crash_hides_no_failures(self) -> None:
        def prepare(world: World) -> Callable[[ForwardRequest], None]:
            world.record_crash(Fingerprint(1))
            return world.fail

        self.assertTrue(self.is_out(prepare))

    def test_what_a_process_broke_off_as_it_crashed_is_none(self) -> None:
        """All its requests break off at once; that it has crashed is known a moment later."""

        async def main() -> None:
            world = World()
            await world.play(lambda request: None)
            for number in range(12):
                request = Play.make_request(CUSTOMERS[number % 3], b"lost %d" % number)
                world.fail(request, FailureKind.TRUNCATED)
            await trio.sleep(CRASH_NOTICED_S - 0.1)
            world.record_crash(Fingerprint(1), FAILING)
            await trio.sleep(0.2)
            self.assertFalse(await world.play(world.fail, 10))
            other = HostId("e1")
            await world.play(lambda r: world.fail(r, endpoint=other), 30)
            self.assertTrue(world.outliers._rests.is_out(other))
            self.assertFalse(world.outliers._rests.is_out(FAILING))

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_failures_while_this_host_was_delayed_are_none(self) -> None:
        def prepare(world: World) -> Callable[[ForwardRequest], None]:
            def fail(request: ForwardRequest) -> None:
                with mock.patch.object(world.fixture.loop_delay, "delay_s", return_value=0.2):
                    world.fail(request)

            return fail

        self.assertFalse(self.is_out(prepare))

    def test_failures_while_this_host_reaches_no_endpoint_are_none(self) -> None:
        def prepare(world: World) -> Callable[[ForwardRequest], None]:
            for endpoint in world.fixture.directory.by_id.values():
                world.fixture.reachability.on_failure(endpoint, trio.current_time())
            return world.fail

        self.assertFalse(self.is_out(prepare))

    def test_answers_that_say_that_the_request_is_wrong_are_neither_good_nor_bad(self) -> None:
        def prepare(world: World) -> Callable[[ForwardRequest], None]:
            return lambda request: world.answer("e0", request, 400)

        self.assertFalse(self.is_out(prepare))

        def prepare_mixed(world: World) -> Callable[[ForwardRequest], None]:
            def fail(request: ForwardRequest) -> None:
                for _ in range(9):
                    world.answer("e0", Play.make_request("hotel", b"wrong"), 400)
                world.fail(request)

            return fail

        self.assertTrue(self.is_out(prepare_mixed))

    def test_attempts_that_failed_otherwise_are_none(self) -> None:
        def prepare(world: World) -> Callable[[ForwardRequest], None]:
            attempt = Attempt(world.fixture.directory.by_id[FAILING])
            return lambda request: world.evidence.record_failure(request, attempt)

        self.assertFalse(self.is_out(prepare))
