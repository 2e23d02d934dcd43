"""Tests of responses with neither a length nor chunks, which end with their connection."""

import unittest

import h11

from yewloom.tests.early_endpoint import reset_on_close
from yewloom.tests.forwarding_support import (
    ForwarderFixture,
    ScriptedEndpoint,
    event,
    respond_ok,
    run,
)

BODY = b"all of it"


async def _start_unframed(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send the head of a response that ends with its connection."""
    request_id = dict(request.headers)[b"yewloom-request-id"]
    await endpoint.send_raw(
        b"HTTP/1.1 200 OK\r\nyewloom-request-id: %s\r\nyewloom-server-stamp: stamp\r\n\r\n"
        % request_id
    )


def _first_event(request: h11.Request) -> int:
    """Return the number of the first event that the caller lacks."""
    return int(dict(request.headers).get(b"last-event-id", b"0")) + 1


async def _respond_unframed(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    await _start_unframed(endpoint, request)
    await endpoint.send_raw(BODY)


async def _reset_unframed(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send a part of the body, then reset the connection."""
    await _start_unframed(endpoint, request)
    await endpoint.send_raw(BODY[:3])
    assert endpoint.stream is not None
    reset_on_close(endpoint.stream.socket)


async def _stream_unframed(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send the events from the first that the caller lacks to the third."""
    await _start_unframed(endpoint, request)
    for number in range(_first_event(request), 4):
        await endpoint.send_raw(event(number))


async def _cut_inside_event(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send one event and all but the last byte of the next."""
    await _start_unframed(endpoint, request)
    first = _first_event(request)
    await endpoint.send_raw(event(first) + event(first + 1)[:-1])


async def _cut_before_any_event(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    await _start_unframed(endpoint, request)


async def _stream_with_crlf(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send two events of two data lines each, with both bytes at the end of each line."""
    await _start_unframed(endpoint, request)
    for number in range(_first_event(request), 3):
        await endpoint.send_raw(b"id: %d\r\ndata: a\r\ndata: b\r\n\r\n" % number)


class TestBufferedResponses(unittest.TestCase):
    """Responses of plain services."""

    def test_a_response_that_ends_with_its_connection_is_passed_on_whole(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(_respond_unframed))
            response = await fixture.request("/u/1")
            self.assertEqual((response.status, response.body), (200, BODY))
            self.assertTrue(response.is_complete)

        run(test)

    def test_a_response_whose_connection_is_reset_is_not_passed_on(self) -> None:
        """Guards against a part of a response that looks like all of it."""

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(_reset_unframed))
            self.assertEqual((await fixture.request("/u/1")).status, 502)
            await fixture.add_plain("q", ScriptedEndpoint(respond_ok))
            for _ in range(5):
                self.assertEqual((await fixture.request("/r/1")).body, b"fine")

        run(test)


class TestStreams(unittest.TestCase):
    """Streams of events."""

    def _stream(self, *scripts: object) -> tuple[list[int], bool]:
        """Run a stream over leaders with these scripts; return its events, and if it is whole."""
        seen: tuple[list[int], bool] = ([], False)

        async def test(fixture: ForwarderFixture) -> None:
            nonlocal seen
            for number, script in enumerate(scripts):
                leader = ScriptedEndpoint(script)  # type: ignore[arg-type]
                await fixture.add_engine(f"e{number}", leader)
            response = await fixture.request("/s/1")
            ids = [int(line[4:]) for line in response.body.split(b"\n") if line.startswith(b"id: ")]
            seen = ids, response.is_complete

        run(test)
        return seen

    def test_a_stream_that_ends_with_its_connection_is_passed_on_whole(self) -> None:
        self.assertEqual(self._stream(_stream_unframed), ([1, 2, 3], True))

    def test_events_with_two_byte_line_ends_are_passed_on_whole(self) -> None:
        self.assertEqual(self._stream(_stream_with_crlf), ([1, 2], True))

    def test_a_stream_that_ends_inside_an_event_is_broken_off(self) -> None:
        """Guards against a stream that is cut inside an event and looks complete."""
        self.assertEqual(self._stream(_cut_inside_event), ([1], False))

    def test_a_stream_that_ends_inside_an_event_continues_elsewhere(self) -> None:
        events, is_complete = self._stream(_cut_inside_event, _cut_inside_event, _stream_unframed)
        self.assertEqual(events, list(range(1, len(events) + 1)))
        self.assertEqual(is_complete, events == [1, 2, 3])

    def test_a_continued_stream_that_ends_before_any_event_is_not_complete(self) -> None:
        """Guards against the end of a connection that is taken for the end of the stream."""
        events, is_complete = self._stream(_cut_inside_event, _cut_before_any_event)
        self.assertLessEqual(len(events), 1)
        self.assertFalse(is_complete)
