"""Tests of forwarding over real connections: what endpoints see and what callers are told."""

import os
import random
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import h11
import trio

from yewloom.caller_messages import Handlers
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits, Configuration, ConfigurationBook
from yewloom.directory import EndpointDirectory
from yewloom.endpoint_attempts import EndpointAttempts
from yewloom.entry_states import PeerBoard
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forwarding import Forwarder
from yewloom.ids import EntryHostId, HostId
from yewloom.planned_stop import STOP_MARGIN_S, PlannedStop
from yewloom.platform.headers import WireHeaders
from yewloom.retry_window import RetryWindow
from yewloom.route_durations import LEAST
from yewloom.routes import Route, RouteKind
from yewloom.selection import Selector
from yewloom.stalls import StallDetector
from yewloom.tests.caller_support import parse_answers
from yewloom.tests.entry_support import (
    ENGINES,
    HALL,
    SMALL,
    make_configuration,
    make_engine,
    make_plain,
    make_route,
    put_group,
)

GRACE_S = 8.0
LONG_BODY = b"x" * (15 << 20)
"""More than the sockets of a caller that does not read hold."""

LIMITS = CallerLimits(max_header_bytes=2000, max_body_bytes=5000, header_timeout_ms=300)
STREAM_ROUTE = make_route(RouteKind.STREAM, "/s/", ENGINES, is_resumable=True)
ONCE_ROUTE = make_route(RouteKind.STREAM, "/once/", ENGINES)
UNSAFE_ROUTE = make_route(RouteKind.UNSAFE, "/u/")
SAFE_ROUTE = make_route(RouteKind.REPEATABLE, "/r/")
OPEN_ROUTE = make_route(RouteKind.REPEATABLE, "/open/", is_open=True)
ROUTES = (STREAM_ROUTE, ONCE_ROUTE, UNSAFE_ROUTE, SAFE_ROUTE, OPEN_ROUTE)


class Endpoint:
    """An endpoint that plays a script: a function that gets the request and answers by hand."""

    def __init__(self, play: Callable[["Endpoint", h11.Request], Awaitable[None]]) -> None:
        self._play = play
        self.requests: list[h11.Request] = []
        self.bodies: list[bytes] = []
        self.stream: trio.SocketStream | None = None
        self.connection = h11.Connection(h11.SERVER)
        self.was_left = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Read one request and play the script."""
        self.stream, self.connection = stream, h11.Connection(h11.SERVER)
        body = b""
        request = None
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                self.connection.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                break
        if request is None:
            return
        self.requests.append(request)
        self.bodies.append(body)
        try:
            await self._play(self, request)
        except trio.BrokenResourceError:
            self.was_left.set()
        await trio.aclose_forcefully(stream)

    async def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a whole answer that echoes the request's id."""
        await self.start(status, body_length=len(body), **headers)
        if body:
            await self.send(body)

    async def start(self, status: int, body_length: int | None = None, **headers: str) -> None:
        """Send the head of an answer; in chunks if no length is given."""
        request_id = dict(self.requests[-1].headers)[b"yewloom-request-id"]
        sent = [(b"yewloom-request-id", request_id), (b"yewloom-server-stamp", b"stamp")]
        sent += [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
        if body_length is not None:
            sent.append((b"content-length", str(body_length).encode()))
        await self.raw(self.connection.send(h11.Response(status_code=status, headers=sent)))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.raw(self.connection.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """Mark the body as whole."""
        await self.raw(self.connection.send(h11.EndOfMessage()))

    async def raw(self, data: bytes | None) -> None:
        """Send bytes as they are."""
        assert self.stream is not None
        await self.stream.send_all(data or b"")


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


class Answer:
    """What a caller received; ``is_whole`` says that the answer ended by its framing."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_whole = False


class Fixture:
    """An entry host's forwarding before scripted endpoints, on the loopback."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        self.book = ConfigurationBook()
        self.directory = EndpointDirectory()
        self.selector = Selector(
            self.directory, HALL, PeerBoard(EntryHostId("me"), HALL), random.Random(1)
        )
        codec, metrics = WireHeaders(), ForwardMetrics()
        self.stop, self.metrics = PlannedStop(GRACE_S), metrics
        self.forwarder = Forwarder(
            self.book,
            codec,
            self.selector,
            RetryWindow(0.2, 10.0, lambda: 10.0),
            EndpointAttempts(codec, self.selector, StallDetector(), metrics),
            metrics,
            5.0,
            lambda: True,
            self.stop,
        )
        handlers = Handlers(self.forwarder.handle, self.forwarder.refuse)
        self.server = CallerServer(handlers, lambda: LIMITS)
        self.configuration = configuration or make_configuration(*ROUTES)
        self._nursery: trio.Nursery | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to serve callers."""
        self._nursery = nursery
        self.book.apply(self.configuration, trio.current_time())
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = listeners[0].socket.getsockname()
        nursery.start_soon(trio.serve_listeners, self.server._serve_connection, listeners)

    async def add_plain(self, name: str, endpoint: Endpoint) -> None:
        """List a plain service's endpoint."""
        self.directory.put(make_plain(name, await self._listen(endpoint)))

    async def add_engine(self, name: str, endpoint: Endpoint) -> None:
        """List the leader of a group of the small model."""
        key = put_group(self.directory, f"group-{name}", SMALL, [name, f"{name}-2"])
        member = self.directory.members(key)[0].membership
        address = await self._listen(endpoint)
        engine = make_engine(name, membership=member, model=SMALL)
        self.directory.put(replace(engine, address=address))

    async def ask(self, path: str, **headers: str) -> Answer:
        """Send a request with a body as a caller would, and read the answer."""
        stream = await trio.open_tcp_stream(*self.address)
        connection = await self.send(stream, path, **headers)
        return await self.read(stream, connection)

    async def open_slow(self) -> trio.SocketStream:
        """Open the connection of a caller that reads little at a time."""
        connection = trio.socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await connection.connect(self.address)
        return trio.SocketStream(connection)

    async def send(self, stream: trio.SocketStream, path: str, **headers: str) -> h11.Connection:
        """Send a request on a connection."""
        connection = h11.Connection(h11.CLIENT)
        sent = {
            "host": "x.example",
            "yewloom-request-id": "r1",
            "authorization": "Token k1",
            "yewloom-model": SMALL,
            "content-length": "3",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        request = h11.Request(method="POST", target=path, headers=list(sent.items()))
        data = connection.send(request) or b""
        data += connection.send(h11.Data(data=b"abc")) or b""
        await stream.send_all(data + (connection.send(h11.EndOfMessage()) or b""))
        return connection

    async def read(self, stream: trio.SocketStream, connection: h11.Connection) -> Answer:
        """Read an answer until its end or the connection's."""
        answer = Answer()
        while True:
            try:
                found = connection.next_event()
                if found is h11.NEED_DATA:
                    connection.receive_data(await stream.receive_some(65536))
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return answer
            if isinstance(found, h11.Response):
                answer.status, answer.headers = found.status_code, dict(found.headers)
            elif isinstance(found, h11.Data):
                answer.body += found.data
            elif isinstance(found, h11.EndOfMessage):
                answer.is_whole = True
                return answer
            elif isinstance(found, h11.ConnectionClosed):
                return answer

    async def _listen(self, endpoint: Endpoint) -> str:
        assert self._nursery is not None
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self._nursery.start_soon(trio.serve_listeners, endpoint.serve, listeners)
        host, port = listeners[0].socket.getsockname()
        return f"{host}:{port}"


async def answer_ok(endpoint: Endpoint, request: h11.Request) -> None:
    """Answer with a success."""
    await endpoint.answer(200, b"fine")


async def answer_at_length(endpoint: Endpoint, request: h11.Request) -> None:
    """Answer with more than a caller's sockets hold."""
    await endpoint.answer(200, LONG_BODY)


async def refuse_as_full(endpoint: Endpoint, request: h11.Request) -> None:
    """Refuse, promising that nothing ran."""
    await endpoint.answer(503, b"", yewloom_not_executed="1")


async def close_without_answer(endpoint: Endpoint, request: h11.Request) -> None:
    """Read the request and close."""


async def fail(endpoint: Endpoint, request: h11.Request) -> None:
    """Answer that the request failed."""
    await endpoint.answer(500, b"oops")


def run(test: Callable[[Fixture], Awaitable[None]], routes: tuple[Route, ...] = ROUTES) -> None:
    """Run a test with a fixture that serves."""

    async def main() -> None:
        fixture = Fixture(make_configuration(*routes))
        async with trio.open_nursery() as nursery:
            await fixture.start(nursery)
            with trio.fail_after(20):
                await test(fixture)
            nursery.cancel_scope.cancel()

    trio.run(main)


class TestPlainForwarding(unittest.TestCase):
    """Requests to plain services."""

    def test_method_path_query_and_body_go_on_unchanged(self) -> None:
        async def test(fixture: Fixture) -> None:
            endpoint = Endpoint(answer_ok)
            await fixture.add_plain("p", endpoint)
            answer = await fixture.ask("/u/x%20y?a=1&a=2", x_extra="7")
            self.assertEqual((answer.status, answer.body), (200, b"fine"))
            self.assertEqual(answer.headers[b"yewloom-server-stamp"], b"stamp")
            [request] = endpoint.requests
            self.assertEqual((request.method, request.target), (b"POST", b"/u/x%20y?a=1&a=2"))
            self.assertEqual(endpoint.bodies, [b"abc"])
            found = dict(request.headers)
            self.assertEqual(found[b"x-extra"], b"7")
            self.assertEqual(found[b"yewloom-tenant"], b"hotel")
            self.assertEqual(found[b"yewloom-expect-instance"], b"p")
            self.assertNotIn(b"authorization", found)

        run(test)

    def test_an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused(self) -> None:
        async def test(fixture: Fixture) -> None:
            endpoints = [Endpoint(close_without_answer), Endpoint(close_without_answer)]
            for number, endpoint in enumerate(endpoints):
                await fixture.add_plain(f"p{number}", endpoint)
            answer = await fixture.ask("/u/1")
            self.assertEqual(answer.status, 502)
            self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)

        run(test)

    def test_an_unsafe_request_that_did_not_run_goes_to_another_endpoint(self) -> None:
        async def test(fixture: Fixture) -> None:
            full, free = Endpoint(refuse_as_full), Endpoint(answer_ok)
            await fixture.add_plain("p1", full)
            await fixture.add_plain("p2", free)
            fixture.selector.begin(HostId("p2"))
            self.assertEqual((await fixture.ask("/u/1")).status, 200)
            self.assertEqual((len(full.requests), len(free.requests)), (1, 1))

        run(test)

    def test_a_refusal_names_when_to_come_back(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(refuse_as_full))
            answer = await fixture.ask("/u/1")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers[b"retry-after"]), 0)
            self.assertNotIn(b"yewloom-server-stamp", answer.headers)

        run(test)

    def test_a_dead_port_proves_that_nothing_ran(self) -> None:
        async def test(fixture: Fixture) -> None:
            fixture.directory.put(make_plain("p", "127.0.0.1:1"))
            self.assertEqual((await fixture.ask("/u/1")).status, 503)

        run(test)

    def test_a_repeatable_request_that_failed_is_tried_elsewhere(self) -> None:
        async def test(fixture: Fixture) -> None:
            bad, good = Endpoint(fail), Endpoint(answer_ok)
            await fixture.add_plain("p1", bad)
            await fixture.add_plain("p2", good)
            fixture.selector.begin(HostId("p2"))
            self.assertEqual((await fixture.ask("/r/1")).status, 200)
            self.assertEqual((len(bad.requests), len(good.requests)), (1, 1))

        run(test)

    def test_the_failure_of_the_last_endpoint_is_passed_on_as_it_is(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p1", Endpoint(fail))
            answer = await fixture.ask("/r/1")
            self.assertEqual((answer.status, answer.body), (500, b"oops"))
            self.assertEqual(answer.headers[b"yewloom-server-stamp"], b"stamp")

        run(test)

    def test_an_answer_to_another_request_is_not_passed_on(self) -> None:
        async def lie(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.raw(
                b"HTTP/1.1 200 OK\r\nyewloom-request-id: other\r\ncontent-length: 1\r\n\r\nx"
            )

        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(lie))
            self.assertEqual((await fixture.ask("/u/1")).status, 502)

        run(test)

    def test_an_answer_cut_short_is_not_passed_on(self) -> None:
        async def cut(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200, body_length=10)
            await endpoint.send(b"half")

        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(cut))
            self.assertEqual((await fixture.ask("/u/1")).status, 502)

        run(test)

    def test_the_route_limit_ends_a_request_that_no_one_answers(self) -> None:
        async def hang(endpoint: Endpoint, request: h11.Request) -> None:
            await trio.sleep_forever()

        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(hang))
            answer = await fixture.ask("/u/1", yewloom_deadline_ms="300")
            self.assertEqual(answer.status, 504)

        run(test)


class TestAdmission(unittest.TestCase):
    """Routes, keys and configurations that may be out of date."""

    def test_unknown_routes_and_keys(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(answer_ok))
            self.assertEqual((await fixture.ask("/none/")).status, 404)
            self.assertEqual((await fixture.ask("/u/1", authorization="Token no")).status, 401)
            self.assertEqual((await fixture.ask("/open/1", authorization="Token no")).status, 200)

        run(test)

    def test_keys_that_can_not_be_confirmed_are_refused_with_a_time_to_come_back(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(answer_ok))
            fixture.book._confirmed_s = trio.current_time() - 4.0
            for path, key in (("/u/1", "Token k1"), ("/u/1", "Token no"), ("/none/", "Token k1")):
                answer = await fixture.ask(path, authorization=key)
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", answer.headers)
            self.assertEqual((await fixture.ask("/open/1")).status, 200)

        run(test)

    def test_a_host_without_a_configuration_refuses(self) -> None:
        async def test(fixture: Fixture) -> None:
            fixture.book.current = None
            self.assertEqual((await fixture.ask("/u/1")).status, 503)

        run(test)


class TestStreams(unittest.TestCase):
    """Events of streams, and streams that go on elsewhere."""

    def test_a_stream_that_ran_and_gave_nothing_is_not_said_to_be_refused(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_engine("a", Endpoint(close_without_answer))
            self.assertEqual((await fixture.ask("/s/1")).status, 502)

        run(test)

    def test_events_are_passed_on_whole(self) -> None:
        async def play(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200, content_type="text/event-stream")
            for number in (1, 2, 3):
                await endpoint.send(event(number)[:5])
                await endpoint.send(event(number)[5:])
            await endpoint.finish()

        async def test(fixture: Fixture) -> None:
            await fixture.add_engine("a", Endpoint(play))
            answer = await fixture.ask("/s/1")
            self.assertEqual(answer.body, event(1) + event(2) + event(3))
            self.assertTrue(answer.is_whole)

        run(test)

    def test_a_stream_that_breaks_off_goes_on_at_another_group(self) -> None:
        async def break_off(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1) + event(2) + event(3)[:4])

        async def go_on(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            last = int(dict(request.headers)[b"last-event-id"])
            for number in range(last + 1, 5):
                await endpoint.send(event(number))
            await endpoint.finish()

        async def test(fixture: Fixture) -> None:
            second = Endpoint(go_on)
            await fixture.add_engine("a", Endpoint(break_off))
            await fixture.add_engine("b", second)
            fixture.selector.begin(HostId("b"))
            answer = await fixture.ask("/s/1")
            self.assertEqual(answer.body, b"".join(event(n) for n in (1, 2, 3, 4)))
            self.assertTrue(answer.is_whole)
            self.assertEqual(dict(second.requests[0].headers)[b"last-event-id"], b"2")

        run(test)

    def test_a_group_that_stands_still_loses_its_streams(self) -> None:
        async def stall(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await trio.sleep_forever()

        async def go_on(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(fixture: Fixture) -> None:
            await fixture.add_engine("a", Endpoint(stall))
            await fixture.add_engine("b", Endpoint(go_on))
            fixture.selector.begin(HostId("b"))
            answer = await fixture.ask("/s/1")
            self.assertEqual((answer.body, answer.is_whole), (event(1) + event(2), True))

        run(test)

    def test_a_stream_that_may_not_be_resumed_is_cut_off_visibly(self) -> None:
        async def break_off(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))

        async def test(fixture: Fixture) -> None:
            other = Endpoint(answer_ok)
            await fixture.add_engine("a", Endpoint(break_off))
            await fixture.add_engine("b", other)
            fixture.selector.begin(HostId("b"))
            answer = await fixture.ask("/once/1")
            self.assertEqual((answer.body, answer.is_whole), (event(1), False))
            self.assertEqual(other.requests, [])

        run(test)

    def test_a_run_that_skips_an_event_is_not_joined_on(self) -> None:
        async def skip(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await trio.sleep(0.05)
            await endpoint.send(event(3))
            await endpoint.finish()

        async def test(fixture: Fixture) -> None:
            await fixture.add_engine("a", Endpoint(skip))
            answer = await fixture.ask("/s/1")
            self.assertFalse(answer.is_whole)
            self.assertNotIn(b"id: 3", answer.body)

        run(test)

    def test_a_caller_that_leaves_ends_the_work(self) -> None:
        async def go_on_forever(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            number = 0
            while True:
                number += 1
                await endpoint.send(event(number))
                await trio.sleep(0.01)

        async def test(fixture: Fixture) -> None:
            endpoint = Endpoint(go_on_forever)
            await fixture.add_engine("a", endpoint)
            stream = await trio.open_tcp_stream(*fixture.address)
            await fixture.send(stream, "/s/1")
            await stream.receive_some(1000)
            await stream.aclose()
            await endpoint.was_left.wait()

        run(test)


class TestConnections(unittest.TestCase):
    """Callers' connections: limits, reuse and planned stops."""

    def test_a_connection_carries_many_requests(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(answer_ok))
            stream = await trio.open_tcp_stream(*fixture.address)
            for _ in range(3):
                connection = await fixture.send(stream, "/u/1")
                self.assertEqual((await fixture.read(stream, connection)).status, 200)

        run(test)

    def test_what_is_too_long_too_slow_or_spoilt_is_refused_and_sent_nowhere(self) -> None:
        head = b"POST /u/1 HTTP/1.1\r\nhost: x.example\r\n"
        cases = {
            b"nonsense\r\n\r\n": 400,
            head + b"x: " + b"y" * 5000 + b"\r\n\r\n": 431,
            head + b"content-length: 6000\r\n\r\n" + b"z" * 6000: 413,
            head: 408,
        }

        async def test(fixture: Fixture) -> None:
            endpoint = Endpoint(answer_ok)
            await fixture.add_plain("p", endpoint)
            for data, status in cases.items():
                stream = await trio.open_tcp_stream(*fixture.address)
                await stream.send_all(data)
                answer = await fixture.read(stream, _asked())
                self.assertEqual(answer.status, status, data[:40])
                self.assertEqual(answer.headers[b"connection"], b"close")
            self.assertEqual(endpoint.requests, [])

        run(test)

    def test_a_planned_stop_closes_connections_behind_an_answer(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(answer_ok))
            idle = await trio.open_tcp_stream(*fixture.address)
            first = await fixture.send(idle, "/u/1")
            await fixture.read(idle, first)
            fixture.server.activity.start_leaving()
            answer = await fixture.ask("/u/1")
            self.assertEqual((answer.status, answer.headers[b"connection"]), (200, b"close"))
            fixture.server.activity.stop_taking()
            self.assertEqual(await idle.receive_some(1), b"")

        run(test)

    def test_a_request_after_the_stop_is_refused_and_may_come_back_at_once(self) -> None:
        async def test(fixture: Fixture) -> None:
            endpoint = Endpoint(answer_ok)
            await fixture.add_plain("p", endpoint)
            fixture.server.activity.stop_taking()
            answer = await fixture.ask("/u/1")
            self.assertEqual((answer.status, answer.headers[b"retry-after"]), (503, b"0"))
            self.assertEqual(endpoint.requests, [])

        run(test)

    def test_a_request_that_usually_takes_longer_than_the_stop_is_refused(self) -> None:
        async def slowly(endpoint: Endpoint, request: h11.Request) -> None:
            await trio.sleep(0.1)
            await endpoint.answer(200, b"fine")

        async def test(fixture: Fixture) -> None:
            slow, fast = Endpoint(slowly), Endpoint(answer_ok)
            await fixture.add_plain("p", slow)
            for _ in range(LEAST):
                self.assertEqual((await fixture.ask("/u/1")).status, 200)
            fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S + 0.08)
            answer = await fixture.ask("/u/1")
            self.assertEqual((answer.status, answer.headers[b"retry-after"]), (503, b"0"))
            self.assertEqual(len(slow.requests), LEAST)
            fixture.directory.remove(HostId("p"))
            await fixture.add_plain("p2", fast)
            self.assertEqual((await fixture.ask("/r/1")).status, 200)

        run(test)

    def test_a_request_that_the_stop_overtakes_is_answered_truthfully(self) -> None:
        async def never(endpoint: Endpoint, request: h11.Request) -> None:
            await trio.sleep_forever()

        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(never))
            answers: list[Answer] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._ask_into, fixture, answers)
                await trio.sleep(0.1)
                fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S)
                fixture.forwarder.end_open()
            self.assertEqual([answer.status for answer in answers], [502])

        run(test)

    def test_a_whole_answer_that_outlasts_its_time_is_delivered_and_the_next_follows_it(
        self,
    ) -> None:
        async def outlasts_the_stop(fixture: Fixture, caller: trio.SocketStream) -> None:
            await fixture.send(caller, "/u/1")
            await trio.sleep(0.5)
            await fixture.send(caller, "/u/2")
            fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S + 0.2)
            fixture.server.activity.stop_taking()
            await trio.sleep(0.2)
            fixture.forwarder.end_open()

        async def outlasts_its_deadline(fixture: Fixture, caller: trio.SocketStream) -> None:
            await fixture.send(caller, "/u/1", yewloom_deadline_ms="800")
            await trio.sleep(0.5)
            await fixture.send(caller, "/u/2", connection="close")

        second = {outlasts_the_stop: (503, b""), outlasts_its_deadline: (200, LONG_BODY)}
        for outlasts, answer in second.items():

            async def test(
                fixture: Fixture,
                outlasts: Callable[[Fixture, trio.SocketStream], Awaitable[None]] = outlasts,
                answer: tuple[int, bytes] = answer,
            ) -> None:
                await fixture.add_plain("p", Endpoint(answer_at_length))
                caller = await fixture.open_slow()
                await outlasts(fixture, caller)
                await trio.sleep(1.0)
                received = bytearray()
                while data := await caller.receive_some(65536):
                    received += data
                self.assertEqual(parse_answers(bytes(received)), [(200, LONG_BODY), answer])

            with self.subTest(outlasts.__name__):
                run(test)

    def test_an_answer_that_came_while_the_time_ran_out_leaves_no_caller_without_one(self) -> None:
        """The host is behind with its work: it sees the answer and the end of the time at once."""

        async def answer_behind_the_loop(endpoint: Endpoint, request: h11.Request) -> None:
            assert endpoint.stream is not None
            head = h11.Response(
                status_code=200,
                headers=[("yewloom-request-id", "r1"), ("content-length", "4")],
            )
            data = (endpoint.connection.send(head) or b"") + b"fine"
            await trio.sleep(0.1)
            os.write(endpoint.stream.socket.fileno(), data)
            time.sleep(0.3)  # noqa: ASYNC251 - holds the loop up, and with it the host

        async def stop(fixture: Fixture) -> None:
            ends_s = trio.current_time() + 0.25
            fixture.stop.begin(ends_s - GRACE_S + STOP_MARGIN_S)
            fixture.server.activity.start_leaving()
            await trio.sleep_until(ends_s)
            fixture.forwarder.end_open()

        for what, deadline_ms, late_status in (("stop", 5000, 502), ("deadline", 290, 504)):

            async def test(
                fixture: Fixture,
                what: str = what,
                deadline_ms: int = deadline_ms,
                late_status: int = late_status,
            ) -> None:
                await fixture.add_plain("p", Endpoint(answer_behind_the_loop))
                async with trio.open_nursery() as nursery:
                    if what == "stop":
                        nursery.start_soon(stop, fixture)
                    with trio.move_on_after(3.0):
                        answer = await fixture.ask("/u/1", yewloom_deadline_ms=str(deadline_ms))
                        self.assertIn(answer.status, (200, late_status))
                        self.assertTrue(answer.is_whole)
                        return
                    self.fail("neither an answer nor a close")

            with self.subTest(what):
                run(test)

    def test_a_whole_answer_that_the_caller_broke_off_does_not_count_as_answered(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(answer_at_length))
            caller = await fixture.open_slow()
            await fixture.send(caller, "/u/1")
            await trio.sleep(1.0)
            await trio.aclose_forcefully(caller)
            await fixture.server.activity.wait_until_idle()
            self.assertEqual(self._outcomes(fixture), ["caller gone"])

        run(test)

    @staticmethod
    def _outcomes(fixture: Fixture) -> list[str]:
        """Return the outcomes that the metrics count."""
        return [
            sample.labels["outcome"]
            for metric in fixture.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == "yewloom_forwarded_requests_total"
        ]

    def test_no_further_endpoint_gets_a_request_that_the_stop_would_cut_off(self) -> None:
        async def slowly(endpoint: Endpoint, request: h11.Request) -> None:
            await trio.sleep(0.2)
            await endpoint.answer(200, b"fine")

        async def refuse_late(endpoint: Endpoint, request: h11.Request) -> None:
            await trio.sleep(0.12)
            await refuse_as_full(endpoint, request)

        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(slowly))
            for _ in range(LEAST):
                self.assertEqual((await fixture.ask("/u/1")).status, 200)
            fixture.directory.remove(HostId("p"))
            full, free = Endpoint(refuse_late), Endpoint(slowly)
            await fixture.add_plain("p1", full)
            await fixture.add_plain("p2", free)
            fixture.selector.begin(HostId("p2"))
            fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S + 0.28)
            status = (await fixture.ask("/u/1")).status
            self.assertEqual((len(full.requests), len(free.requests), status), (1, 0, 503))

        run(test)

    @staticmethod
    async def _ask_into(fixture: Fixture, answers: list[Answer]) -> None:
        answers.append(await fixture.ask("/u/1"))


def _asked() -> h11.Connection:
    """Return a caller's connection that has sent a request."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    return connection
