"""Tests of endpoints that send bytes without end, in a head or a body, until the host closes."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest import mock

import h11
import trio

from yewloom import endpoint_calls
from yewloom.endpoint_calls import MAX_BUFFERED_RESPONSE_BYTES, MAX_RESPONSE_HEAD_BYTES
from yewloom.event_stream import MAX_EVENT_BYTES
from yewloom.tests.forwarding_support import (
    ROUTES,
    CallerResponse,
    ForwarderFixture,
    ScriptedEndpoint,
    event,
    respond_ok,
    run,
)

PIECE = 4096
"""Number of bytes that an endpoint sends at a time."""

LINES = 256
"""Number of lines in a chunk."""

MAX_READ_BYTES = 16 * max(MAX_RESPONSE_HEAD_BYTES, MAX_EVENT_BYTES)
"""Most that a host may read of a response besides a body that it buffers."""

DEADLINE_MS = 15_000
"""Time of a request; one that only its deadline ends gets another status."""

PATIENT_ROUTES = tuple(replace(route, timeout_ms=DEADLINE_MS) for route in ROUTES)

ATTEMPTS = 4
"""Requests after which both endpoints of a service have been chosen."""

PLAIN, REPEATABLE, STREAM = "/u/1", "/r/1", "/s/1"

Script = Callable[[ScriptedEndpoint, h11.Request], Awaitable[None]]


class _CountedStream:
    """Counts the bytes that a host reads from an endpoint's connection."""

    def __init__(self, stream: trio.SocketStream, read: list[int]) -> None:
        self._stream = stream
        self._read = read
        self._read.append(0)
        self.send_all = stream.send_all

    async def receive_some(self, max_bytes: int) -> bytes | bytearray:
        """Receive bytes."""
        data = await self._stream.receive_some(max_bytes)
        self._read[-1] += len(data)
        return data


def _endless(start: bytes, piece: bytes, is_framed: bool = True) -> Script:
    """Return a script that sends these bytes, after a head with chunks if there is one."""

    async def script(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
        if is_framed:
            await endpoint.start(200)
        await endpoint.send_raw(start)
        while True:
            await endpoint.send_raw(piece * max(1, PIECE // len(piece)))

    return script


def _chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


HEADS = {
    "a status line": _endless(b"HTTP/1.1 200 ", b"x", is_framed=False),
    "a header line": _endless(b"HTTP/1.1 200 OK\r\nx-long: ", b"x", is_framed=False),
    "header lines": _endless(b"HTTP/1.1 200 OK\r\n", b"x-one: more\r\n", is_framed=False),
    "zeros": _endless(b"", b"\0", is_framed=False),
}
BODIES = {
    "a chunk's size": _endless(b"", b"0"),
    "a chunk's extension": _endless(b"1;x=", b"y"),
    "trailers": _endless(b"0\r\n", b"x-one: more\r\n"),
    "a trailer": _endless(b"0\r\nx-long: ", b"x"),
    "zeros in place of chunks": _endless(b"", b"\0"),
}
CHUNKS = {"chunks": _endless(b"", _chunk(b"x" * PIECE))}
EVENTS = {
    "a line of an event": _endless(_chunk(b"data: "), _chunk(b"x" * PIECE)),
    "lines of an event": _endless(b"", _chunk(b"data: a\n" * LINES)),
    "comment lines": _endless(b"", _chunk(b": more\n" * LINES)),
    "zeros as events": _endless(b"", _chunk(b"\0" * PIECE)),
}


async def _stream_ok(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer with a stream of one event."""
    await endpoint.start(200)
    await endpoint.send(event(1))
    await endpoint.finish()


class TestEndlessResponses(unittest.TestCase):
    """What an endpoint sends without end is read to a bound, and its connection is closed."""

    def _request(self, path: str, script: Script, max_read_bytes: int) -> CallerResponse:
        """Return what a caller receives while one endpoint runs this script."""
        responses: list[CallerResponse] = []
        read: list[int] = []

        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(script)
            await (fixture.add_engine if path == STREAM else fixture.add_plain)("e", endpoint)
            response = await fixture.request(path, yewloom_deadline_ms=str(DEADLINE_MS))
            await endpoint.has_lost_caller.wait()
            responses.append(response)

        self._run_counted(test, read)
        self.assertLessEqual(max(read), max_read_bytes)
        return responses[0]

    def _run_counted(
        self, test: Callable[[ForwarderFixture], Awaitable[None]], read: list[int]
    ) -> None:
        """Run a test, and count the bytes that are read on each connection to an endpoint."""

        class CountedExchange(endpoint_calls.Exchange):
            def __init__(self, stream: trio.SocketStream) -> None:
                super().__init__(_CountedStream(stream, read))  # type: ignore[arg-type]

        with mock.patch.object(endpoint_calls, "Exchange", CountedExchange):
            run(test, PATIENT_ROUTES)

    def _check_failures(
        self, path: str, scripts: dict[str, Script], max_read_bytes: int = MAX_READ_BYTES
    ) -> None:
        for name, script in scripts.items():
            with self.subTest(f"{name} for {path}"):
                response = self._request(path, script, max_read_bytes)
                self.assertEqual((response.status, response.is_complete), (502, True))

    def test_a_head_without_end_is_a_failure(self) -> None:
        for path in (PLAIN, REPEATABLE, STREAM):
            self._check_failures(path, HEADS)

    def test_the_framing_of_a_body_without_end_is_a_failure(self) -> None:
        for path in (PLAIN, STREAM):
            self._check_failures(path, BODIES)

    def test_a_body_without_end_is_a_failure(self) -> None:
        self._check_failures(PLAIN, CHUNKS, MAX_BUFFERED_RESPONSE_BYTES + MAX_READ_BYTES)

    def test_events_without_end_that_are_none_are_a_failure(self) -> None:
        self._check_failures(STREAM, EVENTS)

    def test_another_endpoint_answers_where_the_route_allows_it(self) -> None:
        plain = {**HEADS, **BODIES, **CHUNKS}
        streamed = {**HEADS, **BODIES, **EVENTS}
        for path, scripts in ((REPEATABLE, plain), (STREAM, streamed)):
            for name, script in scripts.items():
                with self.subTest(f"{name} for {path}"):
                    self._check_another_answers(path, script)

    def _check_another_answers(self, path: str, script: Script) -> None:
        """Check that all requests are answered beside an endpoint that runs this script."""
        answered: list[bool] = []

        async def test(fixture: ForwarderFixture) -> None:
            is_stream = path == STREAM
            sound = ScriptedEndpoint(_stream_ok if is_stream else respond_ok)
            endless = ScriptedEndpoint(script)
            for name, endpoint in (("endless", endless), ("sound", sound)):
                await (fixture.add_engine if is_stream else fixture.add_plain)(name, endpoint)
            for _ in range(ATTEMPTS):
                response = await fixture.request(path, yewloom_deadline_ms=str(DEADLINE_MS))
                answered.append(response.status == 200 and response.is_complete)

        run(test, PATIENT_ROUTES)
        self.assertEqual(answered, [True] * ATTEMPTS)
