"""Tests of one caller's connection, in memory and on a clock that jumps: what a stop takes."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from yewloom.caller_activity import LAST_LOOK_S
from yewloom.tests.caller_support import PLAIN, STREAM, Caller, Server, request_bytes


def run(test: Callable[[Server], Awaitable[None]]) -> None:
    """Run a test with a server on a clock that jumps."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            with trio.fail_after(120):
                await test(Server(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


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
