"""Tests of an engine's or service's responses to yewloomd that go on without end."""

import json
import unittest
from collections.abc import Awaitable, Callable

import trio

from yewloom.endpoints import EndpointError, GenerateCall, HttpEndpoints, ServiceCall
from yewloom.http_calls import HttpClient
from yewloom.ids import RequestId
from yewloom.retries import CallFailure

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

STALL_S, PAUSE_S, SOON_S = 0.3, 0.05, 15.0
"""Longest time without a chunk of a stream, a shorter pause, and when the call must have ended."""

CALL = GenerateCall(RequestId("r1"), "g", 1, "prompt", 5, 0)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _token(offset: int) -> bytes:
    """Return the event of one token."""
    fields = {"request_id": "r1", "generation": 1, "offset": offset, "tokens": ["a"]}
    return _chunk(b"data: " + json.dumps(fields).encode() + b"\n\n")


async def _send_on(stream: trio.SocketStream, data: bytes, pause_s: float) -> None:
    """Send the same bytes until the connection ends."""
    try:
        while True:
            await stream.send_all(data)
            await trio.sleep(pause_s)
    except trio.BrokenResourceError:
        return


def _run(
    first: bytes, data: bytes, pause_s: float, call: Callable[[HttpEndpoints, str], Awaitable[None]]
) -> None:
    """Run a call to an endpoint that sends these first bytes, and then the others without end."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(65536)
        await stream.send_all(first)
        await _send_on(stream, data, pause_s)

    async def main() -> None:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            address = "{}:{}".format(*listener.socket.getsockname())
            client = HttpClient(0.5)
            with trio.fail_after(SOON_S):
                await call(HttpEndpoints(client, SOON_S), address)
            nursery.cancel_scope.cancel()
            await client.close()

    trio.run(main)


class TestStreams(unittest.TestCase):
    """A stream ends as stalled if nothing comes for which a caller waits."""

    def _expect_stalled(self, first: bytes, data: bytes, tokens: int) -> None:
        async def read(endpoints: HttpEndpoints, address: str) -> None:
            with self.assertRaises(EndpointError) as caught:
                async with endpoints.generate(address, CALL, STALL_S) as chunks:
                    async for chunk in chunks:
                        offsets.append(chunk.offset)
            self.assertEqual(caught.exception.failure, CallFailure.STALLED)

        offsets = list[int]()
        _run(first, data, PAUSE_S, read)
        self.assertEqual(offsets, list(range(tokens)))

    def test_interim_responses_do_not_renew_the_wait(self) -> None:
        self._expect_stalled(b"", INTERIM, tokens=0)

    def test_a_head_byte_by_byte_does_not_renew_the_wait(self) -> None:
        self._expect_stalled(HEAD[:-2] + b"x: ", b"x", tokens=0)

    def test_comments_do_not_renew_the_wait(self) -> None:
        self._expect_stalled(HEAD + _token(0), _chunk(b": still here\n\n"), tokens=1)

    def test_an_event_byte_by_byte_does_not_renew_the_wait(self) -> None:
        self._expect_stalled(HEAD + _token(0), _chunk(b"x"), tokens=1)


class TestCalls(unittest.TestCase):
    """A response that is read whole is bounded."""

    def test_a_report_without_end_ends_the_probe_before_its_time_is_over(self) -> None:
        async def probe(endpoints: HttpEndpoints, address: str) -> None:
            began_s = trio.current_time()
            self.assertTrue((await endpoints.probe(address)).is_err())
            self.assertLess(trio.current_time() - began_s, SOON_S / 2)

        _run(HEAD, _chunk(b"x" * 60000), 0.0, probe)

    def test_a_service_response_without_end_ends_the_call(self) -> None:
        async def call(endpoints: HttpEndpoints, address: str) -> None:
            with self.assertRaises(EndpointError):
                await endpoints.call_service(
                    address, ServiceCall("GET", "/", {}, b""), SOON_S, False
                )

        _run(HEAD, _chunk(b"x" * 60000), 0.0, call)
