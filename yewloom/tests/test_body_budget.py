"""Tests of the bound on request bodies that a host holds at once."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from yewloom.body_budget import (
    LARGE_SHARE,
    SMALL_BODY_BYTES,
    BodiesFullError,
    BodyBudget,
)
from yewloom.caller_messages import CallerRequest, Handlers, ResponseWriter
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits

MAX_BYTES = 1 << 20
LARGE_BYTES = round(0.4 * MAX_BYTES)


class TestBodyBudget(unittest.TestCase):
    """The sum of all bodies stays within the bound."""

    @given(st.lists(st.integers(0, MAX_BYTES), max_size=12))
    def test_the_sum_never_exceeds_the_bound_and_ends_at_zero(self, lengths: list[int]) -> None:
        budget = BodyBudget(MAX_BYTES)

        def hold(remaining: list[int]) -> None:
            if not remaining:
                return
            with budget.holding() as held:
                try:
                    held.grow(remaining[0])
                except BodiesFullError:
                    self.assertEqual(held.taken_bytes, 0)
                self.assertLessEqual(budget.held_bytes, MAX_BYTES)
                hold(remaining[1:])

        hold(lengths)
        self.assertEqual(budget.held_bytes, 0)

    def test_short_bodies_find_room_beside_long_ones(self) -> None:
        budget = BodyBudget(MAX_BYTES)
        with budget.holding() as long, budget.holding() as second, budget.holding() as short:
            long.grow(round(LARGE_SHARE * MAX_BYTES))
            with self.assertRaises(BodiesFullError):
                second.grow(SMALL_BODY_BYTES + 1)
            short.grow(SMALL_BODY_BYTES)

    def test_a_body_that_arrives_in_pieces_takes_room_once(self) -> None:
        budget = BodyBudget(MAX_BYTES)
        with budget.holding() as held:
            for length in (100, 50, 1000, 1000):
                held.grow(length)
            self.assertEqual(budget.held_bytes, 1000)


class TestUploads(unittest.TestCase):
    """A connection refuses a body that finds no room."""

    def _run(
        self, test: Callable[[CallerServer, trio.Nursery, trio.Event], Awaitable[None]]
    ) -> list[int]:
        """Run a test with a server whose handler waits; return the lengths of handled bodies."""
        handled: list[int] = []

        async def main() -> None:
            may_end = trio.Event()

            async def handle(request: CallerRequest, response: ResponseWriter) -> None:
                handled.append(len(request.body))
                await may_end.wait()
                await response.send_complete(200, [], b"")

            server = CallerServer(
                Handlers(handle, handle), CallerLimits, bodies=BodyBudget(MAX_BYTES)
            )
            async with trio.open_nursery() as nursery:
                with trio.fail_after(5):
                    await test(server, nursery, may_end)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return handled

    async def _send(
        self, server: CallerServer, nursery: trio.Nursery, body: bytes, framing: bytes
    ) -> "trio.StapledStream[Any, Any]":
        """Send a request on a new connection, without waiting until all of it is read."""
        near, far = trio.testing.memory_stream_pair()
        nursery.start_soon(server._serve_connection, near)  # type: ignore[arg-type]
        await far.send_all(b"POST / HTTP/1.1\r\nhost: h\r\n" + framing + b"\r\n\r\n" + body)
        return far

    async def _read(self, stream: "trio.StapledStream[Any, Any]") -> tuple[int, bytes | None]:
        """Return the status of a response and its Retry-After."""
        connection = h11.Connection(h11.CLIENT)
        connection.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        while (event := connection.next_event()) is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(65536)))
        assert isinstance(event, h11.Response)
        return event.status_code, dict(event.headers).get(b"retry-after")

    def test_a_body_without_room_is_refused_before_it_has_arrived(self) -> None:
        """Guards against uploads that together take more memory than the process has."""
        framing = b"content-length: %d" % LARGE_BYTES

        async def test(server: CallerServer, nursery: trio.Nursery, may_end: trio.Event) -> None:
            first = await self._send(server, nursery, b"x" * LARGE_BYTES, framing)
            await trio.testing.wait_all_tasks_blocked()
            second = await self._send(server, nursery, b"", framing)
            status, retry_after = await self._read(second)
            self.assertEqual(status, 503)
            self.assertGreater(float(retry_after or b"0"), 0)
            may_end.set()
            self.assertEqual((await self._read(first))[0], 200)
            await trio.testing.wait_all_tasks_blocked()
            third = await self._send(server, nursery, b"x" * LARGE_BYTES, framing)
            self.assertEqual((await self._read(third))[0], 200)

        self.assertEqual(self._run(test), [LARGE_BYTES, LARGE_BYTES])

    def test_a_body_in_chunks_is_refused_when_it_outgrows_the_room(self) -> None:
        framing = b"transfer-encoding: chunked"
        chunk = b"%x\r\n%s\r\n" % (LARGE_BYTES // 2, b"x" * (LARGE_BYTES // 2))

        async def test(server: CallerServer, nursery: trio.Nursery, may_end: trio.Event) -> None:
            first = await self._send(server, nursery, chunk * 2 + b"0\r\n\r\n", framing)
            await trio.testing.wait_all_tasks_blocked()
            second = await self._send(server, nursery, chunk * 2 + b"0\r\n\r\n", framing)
            self.assertEqual((await self._read(second))[0], 503)
            may_end.set()
            self.assertEqual((await self._read(first))[0], 200)

        self.assertEqual(len(self._run(test)), 1)
