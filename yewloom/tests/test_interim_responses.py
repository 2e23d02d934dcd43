"""Tests of interim responses (status 1xx), which an endpoint may send before its response."""

import unittest
from collections.abc import Awaitable, Callable

import h11
import trio

from yewloom.endpoint_calls import MAX_RESPONSE_HEAD_BYTES
from yewloom.tests.forwarding_support import (
    ForwarderFixture,
    ScriptedEndpoint,
    respond_ok,
    run,
)

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
LONG_INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: " + b"x" * 30_000 + b"\r\n\r\n"

FEW = 3
DEADLINE_S, AT_ONCE_S = 4.0, 1.0

Script = Callable[[ScriptedEndpoint, h11.Request], Awaitable[None]]


def _repeat(interim: bytes, pause_s: float) -> Script:
    """Return a script that sends interim responses until the connection ends."""

    async def script(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
        while True:
            await endpoint.send_raw(interim)
            await trio.sleep(pause_s)

    return script


async def _respond_after_a_few(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    for _ in range(FEW):
        await endpoint.send_raw(INTERIM)
    await endpoint.answer(200, b"fine")


class TestInterimResponses(unittest.TestCase):
    """A few interim responses are passed over; without end they are unreadable."""

    def _statuses(self, script: Script, path: str, count: int = 1) -> list[int]:
        """Return the statuses of requests beside which a second endpoint answers."""
        statuses = list[int]()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(script))
            if path == "/r/1":
                await fixture.add_plain("q", ScriptedEndpoint(respond_ok))
            for _ in range(count):
                with trio.move_on_after(AT_ONCE_S):
                    deadline_ms = str(int(DEADLINE_S * 1000))
                    response = await fixture.request(path, yewloom_deadline_ms=deadline_ms)
                    statuses.append(response.status)

        run(test)
        return statuses

    def test_a_few_are_passed_over(self) -> None:
        self.assertEqual(self._statuses(_respond_after_a_few, "/u/1"), [200])

    def test_many_end_the_attempt_at_once(self) -> None:
        """Guards against a caller that is held for its whole time."""
        self.assertEqual(self._statuses(_repeat(INTERIM, 0.0), "/u/1"), [502])

    def test_slow_ones_end_the_attempt_after_some(self) -> None:
        self.assertEqual(self._statuses(_repeat(INTERIM, 0.02), "/u/1"), [502])

    def test_few_but_long_ones_end_the_attempt(self) -> None:
        self.assertLess(2 * len(LONG_INTERIM), MAX_RESPONSE_HEAD_BYTES)
        self.assertEqual(self._statuses(_repeat(LONG_INTERIM, 0.1), "/u/1"), [502])

    def test_another_endpoint_is_asked_where_the_route_allows_it(self) -> None:
        self.assertEqual(self._statuses(_repeat(INTERIM, 0.0), "/r/1", 6), [200] * 6)
