"""Tests of a kept caller connection while the configured limits change, with a virtual clock."""

import unittest

import trio
import trio.testing

from yewloom.caller_activity import CallerActivity
from yewloom.caller_connection import CallerConnection
from yewloom.caller_messages import CallerRequest, Handlers, ResponseWriter
from yewloom.configuration import CallerLimits
from yewloom.socket_ages import ReadAges
from yewloom.tests.caller_support import Caller, MemoryStream, request_bytes


class TestChangedLimits(unittest.TestCase):
    """A kept connection obeys the limits in force, not those of when it was accepted."""

    def test_a_raised_body_limit_holds_on_a_kept_connection(self) -> None:
        """Guards against 413 for a body that the configuration in force allows."""
        self._check_second(CallerLimits(max_body_bytes=10), CallerLimits(), body_bytes=100)

    def test_a_raised_header_limit_holds_on_a_kept_connection(self) -> None:
        """Guards against 431 for headers that the configuration in force allows."""
        self._check_second(CallerLimits(max_header_bytes=200), CallerLimits(), header_bytes=5000)

    def test_a_raised_idle_limit_holds_on_a_connection_that_is_already_idle(self) -> None:
        """Guards against a close that crosses a request, on a connection that may still be used."""
        self._check_second(
            CallerLimits(idle_timeout_ms=2000), CallerLimits(idle_timeout_ms=10000), idle_s=8.0
        )

    def _check_second(
        self,
        old: CallerLimits,
        new: CallerLimits,
        body_bytes: int = 0,
        header_bytes: int = 0,
        idle_s: float = 0.0,
    ) -> None:
        """Check that the second request on a connection is served after the limits changed."""
        limits = [old]

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            await response.send_complete(200, [], b"")

        async def test() -> None:
            ours, theirs = trio.testing.memory_stream_pair()
            connection = CallerConnection(
                CallerActivity(), theirs, Handlers(handle), lambda: limits[-1], ReadAges()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_run_and_close, connection, theirs)
                await ours.send_all(request_bytes("/1"))
                await trio.sleep(1.0)
                limits.append(new)
                await trio.sleep(idle_s)
                await ours.send_all(_last_request(header_bytes, body_bytes))
                await ours.send_eof()
                statuses = [status for status, _ in await Caller(ours).responses()]
                nursery.cancel_scope.cancel()
            self.assertEqual(statuses, [200, 200])

        trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def _last_request(header_bytes: int, body_bytes: int) -> bytes:
    """Return a request after which the connection ends."""
    head = f"POST /2 HTTP/1.1\r\nhost: x\r\nconnection: close\r\nfill: {'f' * header_bytes}\r\n"
    return f"{head}content-length: {body_bytes}\r\n\r\n".encode() + b"b" * body_bytes


async def _run_and_close(connection: CallerConnection, stream: MemoryStream) -> None:
    await connection.run()
    await trio.aclose_forcefully(stream)
