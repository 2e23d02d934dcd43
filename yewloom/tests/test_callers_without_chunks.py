"""Tests of callers of HTTP/1.0, which know the end of a stream by that of its connection."""

import unittest

import h11
import trio

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

    def test_a_response_with_a_length_ends_with_the_connection(self) -> None:
        self.assertEqual(self._ask(answer_with_long_body, b"/u/1"), (LONG_BODY, True))
