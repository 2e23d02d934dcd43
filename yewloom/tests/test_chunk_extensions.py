"""Tests of bodies whose framing is much longer than what it frames."""

import unittest

import h11
import trio

from yewloom.tests.forwarding_support import (
    LASTING_ROUTES,
    ForwarderFixture,
    ScriptedEndpoint,
    event,
    run,
)

AT_ONCE_S = 15.0
"""Shorter than the time limit of the routes."""

LONG_EXTENSION = b"1;" + b"x" * 30_000 + b"\r\nx\r\n"
BYTES = 20_000


async def _extend_chunks(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send single bytes with long chunk extensions until the connection ends."""
    await endpoint.start(200)
    while True:
        await endpoint.send_raw(LONG_EXTENSION)


async def _send_single_bytes(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send a body in chunks of one byte, with a short extension."""
    await endpoint.start(200)
    await endpoint.send_raw(b"1;part=1\r\nx\r\n" * BYTES + b"0\r\n\r\n")


async def _send_events_with_extensions(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    await endpoint.start(200)
    for number in range(1, 4):
        data = event(number)
        await endpoint.send_raw(b"%x;signature=%s\r\n%s\r\n" % (len(data), b"s" * 100, data))
    await endpoint.finish()


class TestChunkExtensions(unittest.TestCase):
    """Long chunk extensions without end are unreadable; short ones are passed over."""

    def _statuses(self, path: str) -> list[int]:
        """Return the status of a request, if it is answered at once."""
        statuses = list[int]()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(_extend_chunks))
            await fixture.add_engine("e", ScriptedEndpoint(_extend_chunks))
            with trio.move_on_after(AT_ONCE_S):
                statuses.append((await fixture.request(path)).status)

        run(test, LASTING_ROUTES)
        return statuses

    def test_a_body_of_extensions_ends_the_attempt(self) -> None:
        self.assertEqual(self._statuses("/u/1"), [502])

    def test_a_stream_of_extensions_ends_the_attempt(self) -> None:
        self.assertEqual(self._statuses("/once/1"), [502])

    def test_a_body_of_single_bytes_is_passed_on(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(_send_single_bytes))
            response = await fixture.request("/u/1")
            self.assertEqual((response.status, response.body), (200, b"x" * BYTES))

        run(test)

    def test_events_with_short_extensions_are_passed_on(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("e", ScriptedEndpoint(_send_events_with_extensions))
            response = await fixture.request("/s/1")
            self.assertEqual(response.body, event(1) + event(2) + event(3))

        run(test)
