"""Tests of callers of HTTP/1.0, which know the end of a stream by that of its connection."""

import unittest

import h11
import trio

from yewloom.caller_connection import LINGER_S
from yewloom.tests.forwarding_support import (
    LONG_BODY,
    ForwarderFixture,
    ScriptedEndpoint,
    answer_with_long_body,
    event,
    run,
)

REQUEST = (
    b"POST %s HTTP/1.0\r\nhost: x.example\r\nyewloom-request-id: r1\r\n"
    b"authorization: Token k1\r\nyewloom-model: small\r\ncontent-length: 3\r\n\r\nabc"
)
EVENTS = event(1) + event(2)
LONG_EVENTS = b"".join(event(number) for number in range(1, 1000))
"""More than the receive buffer of a slow caller holds, less than the host's socket takes."""

PAUSE_S = 2 * LINGER_S
"""Time after which a slow caller begins to read: the host has closed the connection by then."""


async def _read(stream: trio.SocketStream) -> tuple[bytes, bool]:
    """Return the body of a response, and whether the connection was ended rather than reset."""
    data = bytearray()
    try:
        while part := await stream.receive_some(65536):
            data += part
    except trio.BrokenResourceError:
        return _body_of(data), False
    return _body_of(data), True


def _body_of(response: bytearray) -> bytes:
    return bytes(response.partition(b"\r\n\r\n")[2])


async def _break_off(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send two events and close the connection before the end of the chunks."""
    await endpoint.start(200)
    await endpoint.send(EVENTS)


async def _send_long(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    await endpoint.start(200)
    await endpoint.send(LONG_EVENTS)
    await endpoint.finish()


async def _finish(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send two events and end the chunks."""
    await _break_off(endpoint, request)
    await endpoint.finish()


class TestCallersWithoutChunks(unittest.TestCase):
    """A response that is not whole doesn't look whole."""

    def _ask(self, script: object, path: bytes) -> tuple[bytes, bool]:
        """Return the body that a caller gets, and whether its connection was ended."""
        seen = []

        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(script)  # type: ignore[arg-type]
            if path.startswith(b"/u/"):
                await fixture.add_plain("p", endpoint)
            else:
                await fixture.add_engine("e", endpoint)
            async with await trio.open_tcp_stream(*fixture.address) as stream:
                await stream.send_all(REQUEST % path)
                seen.append(await _read(stream))

        run(test)
        return seen[0]

    def test_a_stream_that_breaks_off_ends_with_a_reset(self) -> None:
        """Guards against the first events of a stream that a caller takes for all of them."""
        for path in (b"/once/1", b"/s/1"):
            with self.subTest(path):
                self.assertEqual(self._ask(_break_off, path), (EVENTS, False))

    def test_a_whole_stream_ends_with_the_connection(self) -> None:
        self.assertEqual(self._ask(_finish, b"/once/1"), (EVENTS, True))

    def test_a_caller_that_reads_late_gets_all_of_a_whole_stream(self) -> None:
        """Guards against a reset that discards what the caller has not received yet."""
        seen = []

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("e", ScriptedEndpoint(_send_long))
            async with await fixture.open_slow_reader() as stream:
                await stream.send_all(REQUEST % b"/once/1")
                await trio.sleep(PAUSE_S)
                seen.append(await _read(stream))

        run(test)
        self.assertEqual(seen, [(LONG_EVENTS, True)])

    def test_a_response_with_a_length_ends_with_the_connection(self) -> None:
        self.assertEqual(self._ask(answer_with_long_body, b"/u/1"), (LONG_BODY, True))
