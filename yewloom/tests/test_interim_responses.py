"""Tests of interim responses (status 1xx), which an endpoint may send before its response."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

import h11
import trio

from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    MAX_RESPONSE_HEAD_BYTES,
    ExchangeError,
    ExchangeFailure,
    OutgoingRequest,
    open_exchange,
)
from yewloom.tests.forwarding_support import (
    LASTING_ROUTES,
    LONG_BODY,
    ForwarderFixture,
    ScriptedEndpoint,
    respond_ok,
    run,
)

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
LONG_INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: " + b"x" * 30_000 + b"\r\n\r\n"

FEW = 3
DEADLINE_S, AT_ONCE_S, EARLY_S = 60.0, 15.0, 0.1

Script = Callable[[ScriptedEndpoint, h11.Request], Awaitable[None]]


def _repeat(interim: bytes, pause_s: float, sent: Counter[str] | None = None) -> Script:
    """Return a script that sends interim responses until the connection ends, and counts them."""

    async def script(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
        while True:
            await endpoint.send_raw(interim)
            if sent is not None:
                sent["interim"] += 1
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

        run(test, LASTING_ROUTES)
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
        sent = Counter[str]()
        script = _repeat(LONG_INTERIM, 0.1, sent)
        self.assertEqual(self._statuses(script, "/u/1"), [502])
        self.assertLessEqual(sent["interim"], 2 * MAX_RESPONSE_HEAD_BYTES // len(LONG_INTERIM))

    def test_another_endpoint_is_asked_where_the_route_allows_it(self) -> None:
        self.assertEqual(self._statuses(_repeat(INTERIM, 0.0), "/r/1", 6), [200] * 6)


async def _serve_slow_reader(stream: trio.SocketStream, early: bytes) -> None:
    """Answer before the body of a request is read, then with the length of the body."""
    connection, length = h11.Connection(h11.SERVER), 0
    await stream.send_all(early)
    await trio.sleep(EARLY_S)
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(1 << 20))
        elif isinstance(event, h11.Data):
            length += len(event.data)
        elif isinstance(event, h11.EndOfMessage):
            break
    body = b"%d" % length
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)


class TestLongRequests(unittest.TestCase):
    """What arrives while a long request is sent."""

    def _exchange(self, early: bytes) -> bytes:
        """Return the body of the answer to a long request after these early bytes."""

        async def main() -> bytes:
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            async with trio.open_nursery() as nursery:
                serve = partial(_serve_slow_reader, early=early)
                nursery.start_soon(trio.serve_listeners, serve, [listener])
                address = "{}:{}".format(*listener.socket.getsockname())
                headers = [(b"host", b"h"), (b"content-length", str(len(LONG_BODY)).encode())]
                with trio.fail_after(DEADLINE_S):
                    async with open_exchange(address, CONNECT_TIMEOUT_S) as exchange:
                        await exchange.send(OutgoingRequest(b"POST", b"/", headers, LONG_BODY))
                        await exchange.read_head()
                        body = await exchange.read_body()
                nursery.cancel_scope.cancel()
            return body

        return trio.run(main)

    def test_an_interim_response_does_not_cut_the_request(self) -> None:
        """Guards against half a body, for whose rest an endpoint waits."""
        self.assertEqual(self._exchange(INTERIM), b"%d" % len(LONG_BODY))

    def test_an_early_response_ends_the_request(self) -> None:
        early = b"HTTP/1.1 413 Too Long\r\ncontent-length: 3\r\n\r\nlen"
        self.assertEqual(self._exchange(early), b"len")

    def test_interim_responses_without_end_end_the_request(self) -> None:
        with self.assertRaises(ExceptionGroup) as caught:
            self._exchange(INTERIM * 100)
        [error] = caught.exception.exceptions
        assert isinstance(error, ExchangeError)
        self.assertEqual(error.failure, ExchangeFailure.INVALID_RESPONSE)
