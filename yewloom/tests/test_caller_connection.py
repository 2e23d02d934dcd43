"""Tests of one in-memory caller connection with a virtual clock: its planned stop and timing."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
import trio.testing

from yewloom import caller_connection
from yewloom.caller_activity import FINAL_READ_S, CallerActivity
from yewloom.caller_connection import LINGER_S, CallerConnection
from yewloom.caller_messages import (
    SEND_TIMEOUT_S,
    CallerDisconnectedError,
    CallerRequest,
    Handlers,
    ResponseWriter,
)
from yewloom.configuration import CallerLimits
from yewloom.planned_stop import DEREGISTRATION_DELAY_S
from yewloom.socket_ages import ReadAges
from yewloom.tests.caller_support import PLAIN, STREAM, Caller, Server, request_bytes

OLD_S = 2.0
"""Age of bytes when they are read."""


class _OldBytes(ReadAges):
    """Reports the same age for all bytes."""

    def of(self, stream: object) -> float:
        """Return that age."""
        return OLD_S


def run_once(test: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """Run a test with a virtual clock, within a generous limit of virtual time."""

    async def main() -> None:
        with trio.fail_after(120):
            await test(*arguments)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run(test: Callable[[Server], Awaitable[None]]) -> None:
    """Run a test with a server and a virtual clock."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await test(Server(nursery))
            nursery.cancel_scope.cancel()

    run_once(main)


class TestCutOff(unittest.TestCase):
    """After an interrupted response, the connection sends no further one."""

    def test_no_response_follows_an_interrupted_response(self) -> None:
        async def complete(response: ResponseWriter) -> None:
            await response.send_complete(200, [], b"whole")

        async def streamed(response: ResponseWriter) -> None:
            await response.start(200, [], b"a")
            await response.finish()

        for respond in (complete, streamed):
            with self.subTest(respond.__name__):
                run_once(self._check_interrupted_response, respond)

    def test_a_response_cancelled_before_its_start_can_be_replaced(self) -> None:
        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            for begin in (response.start, response.send_complete):
                with trio.CancelScope() as scope:
                    scope.cancel()
                    await begin(200, [], b"late")
            await response.send_complete(504, [], b"")

        async def test() -> None:
            ours, theirs = trio.testing.memory_stream_pair()
            handlers = Handlers(handle)
            connection = CallerConnection(
                CallerActivity(), theirs, handlers, CallerLimits, ReadAges()
            )
            await ours.send_all(b"GET /1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                self.assertEqual(await Caller(ours).responses(), [(504, b"")])

        run_once(test)

    def test_a_caller_that_does_not_read_its_response_counts_as_disconnected(self) -> None:
        disconnected_at_s: list[float] = []

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            try:
                await response.send_complete(200, [], b"whole")
            except CallerDisconnectedError:
                disconnected_at_s.append(trio.current_time())
                raise

        async def test() -> None:
            ours, theirs = trio.testing.lockstep_stream_pair()
            handlers, began_s = Handlers(handle), trio.current_time()
            connection = CallerConnection(
                CallerActivity(), theirs, handlers, CallerLimits, ReadAges()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ours.send_all, request_bytes("/1"))
                with trio.fail_after(2 * SEND_TIMEOUT_S):
                    await connection.run()
            self.assertAlmostEqual(disconnected_at_s[0] - began_s, SEND_TIMEOUT_S)

        run_once(test)

    def test_a_request_arrives_when_its_first_bytes_may_have_arrived(self) -> None:
        arrival_and_read_times_s: list[tuple[float, float]] = []

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            arrival_and_read_times_s.append((request.arrived_s, request.read_s))
            await trio.sleep(1.0)
            await response.send_complete(200, [], b"")

        async def test() -> None:
            began_s = trio.current_time()
            ours, theirs = trio.testing.memory_stream_pair()
            connection = CallerConnection(
                CallerActivity(), theirs, Handlers(handle), CallerLimits, _OldBytes()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                await trio.sleep(5.0)
                first = request_bytes("/1")
                await ours.send_all(first[:10])
                await trio.sleep(1.0)
                await ours.send_all(first[10:])
                await trio.sleep(0.5)
                await ours.send_all(request_bytes("/2"))  # While the first is being handled.
                await trio.sleep(3.0)
                await ours.aclose()
            expected = [(5.0 - OLD_S, 6.0), (6.5 - OLD_S, 7.0)]
            for found, times_s in zip(arrival_and_read_times_s, expected, strict=True):
                for found_s, expected_s in zip(found, times_s, strict=True):
                    self.assertAlmostEqual(found_s - began_s, expected_s)

        run_once(test)

    async def _check_interrupted_response(
        self, respond: Callable[[ResponseWriter], Awaitable[None]]
    ) -> None:
        """Send a response to a caller that stops reading, until the response is interrupted."""
        handled: list[str] = []

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            handled.append(request.path)
            with trio.move_on_after(1.0):
                await respond(response)

        ours, theirs = trio.testing.lockstep_stream_pair()
        connection = CallerConnection(
            CallerActivity(), theirs, Handlers(handle), CallerLimits, ReadAges()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ours.send_all, request_bytes("/1") + request_bytes("/2"))
            if respond.__name__ == "streamed":
                nursery.start_soon(ours.receive_some, 1000)  # Headers and first part of the body.
            await connection.run()
        self.assertEqual(handled, ["/1"])


class TestPlannedStop(unittest.TestCase):
    """Once requests are no longer accepted, no connection accepts one, however it was opened."""

    def test_a_request_after_a_response_in_progress_is_rejected(self) -> None:
        async def test(server: Server) -> None:
            caller = await self._open_stream_across_the_stop(server)
            await trio.testing.wait_all_tasks_blocked()
            await caller.send(PLAIN)
            self.assertEqual(await caller.responses(), [(200, b"ab"), (503, b"")])
            self.assertEqual(server.accepted_paths, [STREAM])

        run(test)

    def test_a_connection_is_closed_after_a_response_in_progress(self) -> None:
        async def test(server: Server) -> None:
            caller = await self._open_stream_across_the_stop(server)
            with trio.fail_after(2 * FINAL_READ_S):
                await server.activity.wait_until_idle()
            await trio.testing.wait_all_tasks_blocked()
            with self.assertRaises(trio.BrokenResourceError):
                await caller.send(PLAIN)
            self.assertEqual(server.accepted_paths, [STREAM])

        run(test)

    def test_an_idle_connection_is_closed(self) -> None:
        async def test(server: Server) -> None:
            caller = server.open()
            await server.begin_stop()
            began_s = trio.current_time()
            server.stop_accepting()
            self.assertEqual(await caller.responses(), [])
            self.assertLessEqual(trio.current_time() - began_s, FINAL_READ_S)

        run(test)

    def test_a_request_that_was_not_read_completely_is_rejected(self) -> None:
        async def pipelined_during_a_response(server: Server) -> None:
            caller = server.open()
            await caller.send(STREAM, PLAIN)
            await trio.testing.wait_all_tasks_blocked()
            await server.begin_stop()
            server.stop_accepting()
            server.may_end.set()
            self.assertEqual(await caller.responses(), [(200, b"ab"), (503, b"")])
            self.assertEqual(server.accepted_paths, [STREAM])

        async def partly_read(server: Server) -> None:
            caller = server.open()
            request = request_bytes(PLAIN)
            await caller.stream.send_all(request[:10])
            await server.begin_stop()
            server.stop_accepting()
            await trio.testing.wait_all_tasks_blocked()
            await caller.stream.send_all(request[10:])
            self.assertEqual(await caller.responses(), [(503, b"")])
            self.assertEqual(server.accepted_paths, [])

        async def complete_just_before_the_stop(server: Server) -> None:
            caller = server.open()
            await server.begin_stop()
            await caller.send(PLAIN)
            server.stop_accepting()
            self.assertEqual(await caller.responses(), [(503, b"")])
            self.assertEqual(server.accepted_paths, [])

        for test in (
            pipelined_during_a_response,
            partly_read,
            complete_just_before_the_stop,
        ):
            with self.subTest(test.__name__):
                run(test)

    def test_the_log_shows_the_progress_of_a_connection_that_the_stop_closes(self) -> None:
        async def test(server: Server) -> None:
            caller, _ = server.open(), server.open()
            await caller.stream.send_all(request_bytes(PLAIN)[:10])
            await trio.testing.wait_all_tasks_blocked()
            await server.begin_stop()
            server.stop_accepting()
            with mock.patch.object(caller_connection, "logger") as logger:
                await caller.responses()
            [rejected], [closed] = logger.info.mock_calls, logger.debug.mock_calls
            waited_ms = round((DEREGISTRATION_DELAY_S + FINAL_READ_S) * 1000)
            expected_fields = {"held_bytes": 10, "requests": 0, "waited_ms": waited_ms}
            self.assertLessEqual(expected_fields.items(), rejected.kwargs.items())
            self.assertLessEqual({"held_bytes": 0, "requests": 0}.items(), closed.kwargs.items())

        run(test)

    def test_a_connection_accepted_just_before_the_stop_accepts_no_request(self) -> None:
        async def test(server: Server) -> None:
            await server.begin_stop()
            silent, requesting = server.open(), server.open()
            await requesting.send(PLAIN)
            server.stop_accepting()
            self.assertEqual(await silent.responses(), [])
            self.assertEqual(await requesting.responses(), [(503, b"")])
            self.assertEqual(server.accepted_paths, [])

        run(test)

    def test_an_incomplete_request_does_not_delay_the_stop(self) -> None:
        for head in (b"GET / HT", b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc"):

            async def test(server: Server, head: bytes = head) -> None:
                caller = server.open()
                await caller.stream.send_all(head)
                await server.begin_stop()
                server.stop_accepting()
                with trio.fail_after(2 * FINAL_READ_S):
                    received = await caller.stream.receive_some(65536)
                self.assertEqual(received.split(b" ")[1], b"503")
                self.assertEqual(server.accepted_paths, [])

            with self.subTest(head):
                run(test)

    def test_the_stop_waits_for_connections_that_are_closed_after_a_refusal(self) -> None:
        """Guards against a process that ends, and so resets a refusal, before its caller reads it.

        It waits for the callers' close, but not without end.
        """
        for closes in (True, False):

            async def test(server: Server, closes: bool = closes) -> None:
                caller = server.open()
                await server.begin_stop()
                await caller.send(PLAIN)
                server.stop_accepting()
                self.assertIn(b" 503 ", await caller.stream.receive_some(65536))
                began_s = trio.current_time()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(server.activity.wait_until_idle)
                    await trio.sleep(LINGER_S / 2)
                    self.assertEqual(len(nursery.child_tasks), 1)
                    if closes:
                        await caller.stream.aclose()
                waited_s = LINGER_S / 2 if closes else LINGER_S
                self.assertAlmostEqual(trio.current_time() - began_s, waited_s)

            with self.subTest(closes=closes):
                run(test)

    def test_no_100_continue_is_sent_once_requests_are_rejected(self) -> None:
        async def test(server: Server) -> None:
            caller = server.open()
            await server.begin_stop()
            server.stop_accepting()
            head = f"POST {PLAIN} HTTP/1.1\r\nhost: x.example\r\ncontent-length: 5\r\n"
            await caller.stream.send_all(f"{head}expect: 100-continue\r\n\r\n".encode())
            with trio.fail_after(1):
                first = await caller.stream.receive_some(65536)
            self.assertEqual(first.split(b" ")[1], b"503")
            self.assertEqual(server.accepted_paths, [])

        run(test)

    @staticmethod
    async def _open_stream_across_the_stop(server: Server) -> Caller:
        """Return a caller whose response begins before the stop and ends after deregistration."""
        caller = server.open()
        await caller.send(STREAM)
        await trio.testing.wait_all_tasks_blocked()
        await server.begin_stop()
        server.stop_accepting()
        server.may_end.set()
        return caller

    def test_requests_are_accepted_until_the_deregistration_delay_is_over(self) -> None:
        async def test(server: Server) -> None:
            await server.begin_stop()
            caller = server.open()
            await caller.send(PLAIN)
            self.assertEqual(await caller.responses(), [(200, b"plain")])
            server.stop_accepting()

        run(test)
