"""Tests of messages in very many pieces: they stop nobody else's requests."""

import unittest
from collections.abc import AsyncIterator

import h11
import trio
import trio.testing

from yewloom.caller_messages import CallerRequest, Handlers, ResponseWriter
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits
from yewloom.endpoint_calls import PIECES_PER_TURN, READ_BYTES, Exchange, OutgoingRequest
from yewloom.endpoints import EndpointError, _parse_chunks
from yewloom.event_stream import MAX_EVENT_BYTES
from yewloom.http_calls import HttpStream
from yewloom.tests.forwarding_support import ForwarderFixture, ScriptedEndpoint, run

PIECES = 5000
"""Number of pieces of a message, all of which fit into one read."""

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

DEADLINE_S, SLACK_S = 0.3, 0.5
"""Deadline of a request, and the time after it by which its answer must have come; the latter is
specified by the platform's documentation."""


class Turns:
    """Counts how often other tasks run."""

    def __init__(self) -> None:
        self.count = 0

    async def run(self) -> None:
        """Count until cancelled."""
        while True:
            self.count += 1
            await trio.lowlevel.checkpoint()


def chunks(count: int) -> bytes:
    """Return a chunked body with one byte in each chunk."""
    return b"1\r\nx\r\n" * count + b"0\r\n\r\n"


class TestTurns(unittest.TestCase):
    """Other tasks run while what has arrived is taken apart."""

    def test_other_tasks_run_while_a_response_in_many_pieces_is_read(self) -> None:
        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            turns = Turns()
            async with trio.open_nursery() as nursery:
                exchange = Exchange(near)  # type: ignore[arg-type]
                await exchange.send(OutgoingRequest(b"GET", b"/", [(b"host", b"h")], b""))
                await far.send_all(HEAD + chunks(PIECES))
                await exchange.read_head()
                nursery.start_soon(turns.run)
                self.assertEqual(len(await exchange.read_body()), PIECES)
                nursery.cancel_scope.cancel()
            self.assertGreaterEqual(turns.count, PIECES // PIECES_PER_TURN - 1)

        self.assertLess(len(HEAD + chunks(PIECES)), READ_BYTES)
        trio.run(main)

    def test_other_tasks_run_while_a_request_in_many_pieces_is_read(self) -> None:
        turns, seen = Turns(), list[int]()

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            seen.append(len(request.body))
            await response.send_complete(200, [], b"")

        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            server = CallerServer(Handlers(handle, handle), CallerLimits)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server._serve_connection, near)  # type: ignore[arg-type]
                head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
                await far.send_all(head + chunks(PIECES))
                nursery.start_soon(turns.run)
                await far.receive_some(1)
                nursery.cancel_scope.cancel()
            self.assertEqual(seen, [PIECES])
            self.assertGreaterEqual(turns.count, PIECES // PIECES_PER_TURN - 1)

        trio.run(main)


class TestUnreadableStream(unittest.TestCase):
    """A stream without blank lines ends as unreadable."""

    def test_the_time_limit_of_another_request_holds_while_such_a_stream_arrives(self) -> None:
        """Guards against a host that stands still, with the requests of all its callers."""

        async def spoil(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            for _ in range(100):
                await endpoint.send_raw(b"46\r\n%s\r\n" % (b"x" * 70) * 100)

        async def hang(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await trio.sleep_forever()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("a", ScriptedEndpoint(spoil))
            await fixture.add_plain("p", ScriptedEndpoint(hang))
            statuses: list[int] = []

            async def ask_for_stream() -> None:
                statuses.append((await fixture.request("/s/1")).status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_for_stream)
                with trio.fail_after(DEADLINE_S + SLACK_S):
                    response = await fixture.request("/u/1", yewloom_deadline_ms="300")
            self.assertEqual(response.status, 504)
            self.assertEqual(statuses, [502])

        run(test)

    def test_yewloomd_ends_a_stream_without_blank_lines(self) -> None:
        async def endless() -> AsyncIterator[bytes]:
            while True:
                taken.append(70)
                yield b"x" * 70

        async def main() -> None:
            with self.assertRaises(EndpointError):
                async for _ in _parse_chunks(HttpStream(200, {}, endless())):
                    pass

        taken: list[int] = []
        trio.run(main)
        self.assertLess(sum(taken), MAX_EVENT_BYTES + 100)
