"""Tests of one caller's connection, in memory and on a clock that jumps: what a stop takes."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
import trio.testing

from yewloom import caller_connection
from yewloom.caller_activity import LAST_LOOK_S, CallerActivity
from yewloom.caller_connection import CallerConnection
from yewloom.caller_messages import (
    SEND_LIMIT_S,
    CallerGoneError,
    CallerRequest,
    Handlers,
    Reply,
)
from yewloom.configuration import CallerLimits
from yewloom.planned_stop import BALANCER_NOTICE_S
from yewloom.socket_ages import ReadAges
from yewloom.tests.caller_support import PLAIN, STREAM, Caller, Server, request_bytes

OLD_S = 2.0
"""Time for which bytes had waited before they were read."""


class _OldBytes(ReadAges):
    """All bytes had waited for a time."""

    def of(self, stream: object) -> float:
        """Return that time."""
        return OLD_S


def run_once(test: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """Run a test on a clock that jumps, within a generous time of that clock."""

    async def main() -> None:
        with trio.fail_after(120):
            await test(*arguments)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run(test: Callable[[Server], Awaitable[None]]) -> None:
    """Run a test with a server on a clock that jumps."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await test(Server(nursery))
            nursery.cancel_scope.cancel()

    run_once(main)


class TestCutOff(unittest.TestCase):
    """An answer whose sending was cut off is the last one of its connection."""

    def test_the_next_request_is_not_answered_inside_a_body_that_was_cut_off(self) -> None:
        async def whole(reply: Reply) -> None:
            await reply.send_whole(200, [], b"whole")

        async def streamed(reply: Reply) -> None:
            await reply.start(200, [], b"a")
            await reply.finish()

        for answer in (whole, streamed):
            with self.subTest(answer.__name__):
                run_once(self._cut_off, answer)

    def test_an_answer_that_is_cancelled_before_it_begins_can_still_be_another_one(self) -> None:
        async def handle(request: CallerRequest, reply: Reply) -> None:
            for begin in (reply.start, reply.send_whole):
                with trio.CancelScope() as scope:
                    scope.cancel()
                    await begin(200, [], b"late")
            await reply.send_whole(504, [], b"")

        async def test() -> None:
            ours, theirs = trio.testing.memory_stream_pair()
            handlers = Handlers(handle)
            connection = CallerConnection(
                CallerActivity(), theirs, handlers, CallerLimits(), ReadAges()
            )
            await ours.send_all(b"GET /1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                self.assertEqual(await Caller(ours).answers(), [(504, b"")])

        run_once(test)

    def test_a_caller_that_takes_nothing_of_its_answer_counts_as_gone(self) -> None:
        gone: list[float] = []

        async def handle(request: CallerRequest, reply: Reply) -> None:
            try:
                await reply.send_whole(200, [], b"whole")
            except CallerGoneError:
                gone.append(trio.current_time())
                raise

        async def test() -> None:
            ours, theirs = trio.testing.lockstep_stream_pair()
            handlers, began_s = Handlers(handle), trio.current_time()
            connection = CallerConnection(
                CallerActivity(), theirs, handlers, CallerLimits(), ReadAges()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ours.send_all, request_bytes("/1"))
                with trio.fail_after(2 * SEND_LIMIT_S):
                    await connection.run()
            self.assertAlmostEqual(gone[0] - began_s, SEND_LIMIT_S)

        run_once(test)

    def test_a_request_counts_from_when_its_first_bytes_may_have_come(self) -> None:
        taken: list[tuple[float, float]] = []

        async def handle(request: CallerRequest, reply: Reply) -> None:
            taken.append((request.arrived_s, request.read_s))
            await trio.sleep(1.0)
            await reply.send_whole(200, [], b"")

        async def test() -> None:
            began_s = trio.current_time()
            ours, theirs = trio.testing.memory_stream_pair()
            connection = CallerConnection(
                CallerActivity(), theirs, Handlers(handle), CallerLimits(), _OldBytes()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                await trio.sleep(5.0)
                first = request_bytes("/1")
                await ours.send_all(first[:10])
                await trio.sleep(1.0)
                await ours.send_all(first[10:])
                await trio.sleep(0.5)
                await ours.send_all(request_bytes("/2"))  # While the first is answered.
                await trio.sleep(3.0)
                await ours.aclose()
            expected = [(5.0 - OLD_S, 6.0), (6.5 - OLD_S, 7.0)]
            for found, times_s in zip(taken, expected, strict=True):
                for found_s, expected_s in zip(found, times_s, strict=True):
                    self.assertAlmostEqual(found_s - began_s, expected_s)

        run_once(test)

    async def _cut_off(self, answer: Callable[[Reply], Awaitable[None]]) -> None:
        """Answer a caller that reads nothing of the end of an answer until it was cut off."""
        asked: list[str] = []

        async def handle(request: CallerRequest, reply: Reply) -> None:
            asked.append(request.path)
            with trio.move_on_after(1.0):
                await answer(reply)

        ours, theirs = trio.testing.lockstep_stream_pair()
        connection = CallerConnection(
            CallerActivity(), theirs, Handlers(handle), CallerLimits(), ReadAges()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ours.send_all, request_bytes("/1") + request_bytes("/2"))
            if answer.__name__ == "streamed":
                nursery.start_soon(ours.receive_some, 1000)  # Its head and first part.
            await connection.run()
        self.assertEqual(asked, ["/1"])


class TestPlannedStop(unittest.TestCase):
    """Once requests are no more taken, no connection has one taken, however it came to be open."""

    def test_a_connection_that_was_answering_takes_nothing_more_behind_its_answer(self) -> None:
        async def test(server: Server) -> None:
            caller = await self._answer_across_the_stop(server)
            await trio.testing.wait_all_tasks_blocked()
            await caller.send(PLAIN)
            self.assertEqual(await caller.answers(), [(200, b"ab"), (503, b"")])
            self.assertEqual(server.taken, [STREAM])

        run(test)

    def test_a_connection_that_was_answering_is_closed_behind_its_answer(self) -> None:
        async def test(server: Server) -> None:
            caller = await self._answer_across_the_stop(server)
            with trio.fail_after(2 * LAST_LOOK_S):
                await server.activity.wait_until_idle()
            await trio.testing.wait_all_tasks_blocked()
            with self.assertRaises(trio.BrokenResourceError):
                await caller.send(PLAIN)
            self.assertEqual(server.taken, [STREAM])

        run(test)

    def test_a_connection_that_waits_for_a_request_is_closed(self) -> None:
        async def test(server: Server) -> None:
            caller = server.open()
            await server.begin_stop()
            began_s = trio.current_time()
            server.stop_taking()
            self.assertEqual(await caller.answers(), [])
            self.assertLessEqual(trio.current_time() - began_s, LAST_LOOK_S)

        run(test)

    def test_a_request_that_was_not_read_whole_is_refused(self) -> None:
        async def right_behind_one_that_is_answered(server: Server) -> None:
            caller = server.open()
            await caller.send(STREAM, PLAIN)
            await trio.testing.wait_all_tasks_blocked()
            await server.begin_stop()
            server.stop_taking()
            server.may_end.set()
            self.assertEqual(await caller.answers(), [(200, b"ab"), (503, b"")])
            self.assertEqual(server.taken, [STREAM])

        async def half_read(server: Server) -> None:
            caller = server.open()
            request = request_bytes(PLAIN)
            await caller.stream.send_all(request[:10])
            await server.begin_stop()
            server.stop_taking()
            await trio.testing.wait_all_tasks_blocked()
            await caller.stream.send_all(request[10:])
            self.assertEqual(await caller.answers(), [(503, b"")])
            self.assertEqual(server.taken, [])

        async def arrived_whole_in_the_last_instant(server: Server) -> None:
            caller = server.open()
            await server.begin_stop()
            await caller.send(PLAIN)
            server.stop_taking()
            self.assertEqual(await caller.answers(), [(503, b"")])
            self.assertEqual(server.taken, [])

        for test in (
            right_behind_one_that_is_answered,
            half_read,
            arrived_whole_in_the_last_instant,
        ):
            with self.subTest(test.__name__):
                run(test)

    def test_the_log_tells_how_far_a_connection_came_that_the_stop_ends(self) -> None:
        async def test(server: Server) -> None:
            caller, _ = server.open(), server.open()
            await caller.stream.send_all(request_bytes(PLAIN)[:10])
            await trio.testing.wait_all_tasks_blocked()
            await server.begin_stop()
            server.stop_taking()
            with mock.patch.object(caller_connection, "logger") as logger:
                await caller.answers()
            [unreadable], [closed] = logger.info.mock_calls, logger.debug.mock_calls
            waited_ms = round((BALANCER_NOTICE_S + LAST_LOOK_S) * 1000)
            came = {"held_bytes": 10, "requests": 0, "waited_ms": waited_ms}
            self.assertLessEqual(came.items(), unreadable.kwargs.items())
            self.assertLessEqual({"held_bytes": 0, "requests": 0}.items(), closed.kwargs.items())

        run(test)

    def test_a_connection_that_is_accepted_in_the_last_instant_takes_nothing(self) -> None:
        async def test(server: Server) -> None:
            await server.begin_stop()
            silent, asking = server.open(), server.open()
            await asking.send(PLAIN)
            server.stop_taking()
            self.assertEqual(await silent.answers(), [])
            self.assertEqual(await asking.answers(), [(503, b"")])
            self.assertEqual(server.taken, [])

        run(test)

    def test_a_request_whose_rest_does_not_come_does_not_hold_the_stop(self) -> None:
        for head in (b"GET / HT", b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc"):

            async def test(server: Server, head: bytes = head) -> None:
                caller = server.open()
                await caller.stream.send_all(head)
                await server.begin_stop()
                server.stop_taking()
                with trio.fail_after(2 * LAST_LOOK_S):
                    answer = await caller.stream.receive_some(65536)
                self.assertEqual(answer.split(b" ")[1], b"503")
                self.assertEqual(server.taken, [])

            with self.subTest(head):
                run(test)

    def test_a_body_is_not_asked_for_once_no_request_is_taken(self) -> None:
        async def test(server: Server) -> None:
            caller = server.open()
            await server.begin_stop()
            server.stop_taking()
            head = f"POST {PLAIN} HTTP/1.1\r\nhost: x.example\r\ncontent-length: 5\r\n"
            await caller.stream.send_all(f"{head}expect: 100-continue\r\n\r\n".encode())
            with trio.fail_after(1):
                first = await caller.stream.receive_some(65536)
            self.assertEqual(first.split(b" ")[1], b"503")
            self.assertEqual(server.taken, [])

        run(test)

    @staticmethod
    async def _answer_across_the_stop(server: Server) -> Caller:
        """Return a caller whose answer began before the stop and ends behind the notice."""
        caller = server.open()
        await caller.send(STREAM)
        await trio.testing.wait_all_tasks_blocked()
        await server.begin_stop()
        server.stop_taking()
        server.may_end.set()
        return caller

    def test_requests_are_taken_until_the_balancer_has_had_its_notice(self) -> None:
        async def test(server: Server) -> None:
            await server.begin_stop()
            caller = server.open()
            await caller.send(PLAIN)
            self.assertEqual(await caller.answers(), [(200, b"plain")])
            server.stop_taking()

        run(test)
