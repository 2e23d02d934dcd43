"""Tests of forwarding over real connections: what endpoints receive and what callers get."""

import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import h11
import trio

from yewloom import endpoint_attempts
from yewloom.endpoint_calls import CONNECT_TIMEOUT_S
from yewloom.ids import HostId
from yewloom.planned_stop import STOP_MARGIN_S
from yewloom.route_durations import MIN_SAMPLES
from yewloom.selection import PLAIN_SERVICE_SLOTS
from yewloom.stall_timeouts import DEFAULT_STALL_TIMEOUT_S
from yewloom.stalls import CHECK_INTERVAL_S
from yewloom.tests.caller_support import parse_responses
from yewloom.tests.entry_support import make_plain
from yewloom.tests.forwarding_support import (
    GRACE_S,
    LONG_BODY,
    STREAM_ROUTE,
    UNSAFE_ROUTE,
    ForwarderFixture,
    ScriptedEndpoint,
    SharedEndpoint,
    answer_with_long_body,
    close_without_response,
    event,
    refuse_not_run,
    respond_ok,
    respond_with_error,
    run,
)

TIMER_TOLERANCE_MS = 20
"""Resolution at which the operating system reports how long bytes have waited, plus a margin."""


async def pause_mid_stream(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Pause between two events for longer than the stall timeout."""
    await endpoint.start(200)
    await endpoint.send(event(1))
    await trio.sleep(DEFAULT_STALL_TIMEOUT_S * 2)
    await endpoint.send(event(2))
    await endpoint.finish()


class TestPlainForwarding(unittest.TestCase):
    """Requests to plain services."""

    def test_method_path_query_and_body_are_forwarded_unchanged(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p", endpoint)
            response = await fixture.request("/u/x%20y?a=1&a=2", x_extra="7")
            self.assertEqual((response.status, response.body), (200, b"fine"))
            self.assertEqual(response.headers[b"yewloom-server-stamp"], b"stamp")
            [request] = endpoint.requests
            self.assertEqual((request.method, request.target), (b"POST", b"/u/x%20y?a=1&a=2"))
            self.assertEqual(endpoint.bodies, [b"abc"])
            headers = dict(request.headers)
            self.assertEqual(headers[b"x-extra"], b"7")
            self.assertEqual(headers[b"yewloom-tenant"], b"hotel")
            self.assertEqual(headers[b"yewloom-expect-instance"], b"p")
            self.assertNotIn(b"authorization", headers)

        run(test)

    def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_refused(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            endpoints = [
                ScriptedEndpoint(close_without_response),
                ScriptedEndpoint(close_without_response),
            ]
            for number, endpoint in enumerate(endpoints):
                await fixture.add_plain(f"p{number}", endpoint)
            response = await fixture.request("/u/1")
            self.assertEqual(response.status, 502)
            self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)

        run(test)

    def test_an_unsafe_request_that_did_not_run_is_retried_elsewhere(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            full, free = ScriptedEndpoint(refuse_not_run), ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p1", full)
            await fixture.add_plain("p2", free)
            fixture.selector.begin(HostId("p2"))
            self.assertEqual((await fixture.request("/u/1")).status, 200)
            self.assertEqual((len(full.requests), len(free.requests)), (1, 1))

        run(test)

    def test_a_request_read_after_its_deadline_is_not_forwarded(self) -> None:
        """Guards against forwarding requests that have expired while the event loop was blocked."""

        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p", endpoint)
            for path in ("/u/1", "/r/1"):
                response = await fixture.request_while_blocked(path, 0.5, yewloom_deadline_ms="300")
                self.assertEqual(response.status, 503)
            self.assertEqual(endpoint.requests, [])

        run(test)

    def test_a_request_read_late_gets_only_its_remaining_time(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p", endpoint)
            response = await fixture.request_while_blocked("/u/1", 0.5, yewloom_deadline_ms="1500")
            self.assertEqual(response.status, 200)
            remaining_ms = int(dict(endpoint.requests[0].headers)[b"yewloom-deadline-ms"])
            self.assertLessEqual(remaining_ms, 1000 + TIMER_TOLERANCE_MS)

        run(test)

    def test_a_blocked_event_loop_does_not_make_endpoints_unreachable(self) -> None:
        """Guards against a host that attributes the delay of its own event loop to endpoints."""
        connect, calls = trio.open_tcp_stream, list[int]()

        async def connect_late(*address: Any, **options: Any) -> trio.SocketStream:
            calls.append(1)
            if len(calls) == 1:
                time.sleep(2 * CONNECT_TIMEOUT_S)  # noqa: ASYNC251 - blocks the event loop on purpose
                await trio.lowlevel.checkpoint()
            return await connect(*address, **options)

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(respond_ok))
            with mock.patch("yewloom.endpoint_calls.trio.open_tcp_stream", connect_late):
                response = await fixture.request_while_blocked("/u/1", 0.0)
            self.assertEqual((response.status, len(calls)), (200, 2))
            self.assertEqual(fixture.stalls.suspected(trio.current_time()), set())

        run(test)

    def test_a_refusal_has_a_retry_after_header(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(refuse_not_run))
            response = await fixture.request("/u/1")
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers[b"retry-after"]), 0)
            self.assertNotIn(b"yewloom-server-stamp", response.headers)

        run(test)

    def test_a_refused_connection_leads_to_a_refusal(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            fixture.directory.put(make_plain("p", "127.0.0.1:1"))
            self.assertEqual((await fixture.request("/u/1")).status, 503)

        run(test)

    def test_a_failed_repeatable_request_is_retried_elsewhere(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            bad, good = ScriptedEndpoint(respond_with_error), ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p1", bad)
            await fixture.add_plain("p2", good)
            fixture.selector.begin(HostId("p2"))
            self.assertEqual((await fixture.request("/r/1")).status, 200)
            self.assertEqual((len(bad.requests), len(good.requests)), (1, 1))

        run(test)

    def test_the_failure_of_the_last_endpoint_is_forwarded_unchanged(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p1", ScriptedEndpoint(respond_with_error))
            response = await fixture.request("/r/1")
            self.assertEqual((response.status, response.body), (500, b"oops"))
            self.assertEqual(response.headers[b"yewloom-server-stamp"], b"stamp")

        run(test)

    def test_a_failure_is_forwarded_if_another_request_takes_the_last_retry(self) -> None:
        """Guards against two requests that rely on the same retry: one would get status 502."""
        both_requested = trio.Event()

        async def fail_both_at_once(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            if len(failing.requests) == 2:
                both_requested.set()
            await both_requested.wait()
            await respond_with_error(endpoint, request)

        failing = SharedEndpoint(fail_both_at_once)

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p0", failing)
            await fixture.add_plain("p1", ScriptedEndpoint(respond_ok))
            for _ in range(PLAIN_SERVICE_SLOTS):
                fixture.selector.begin(HostId("p1"))
            fixture.retries_left = 1.0
            statuses: list[int] = []

            async def ask() -> None:
                statuses.append((await fixture.request("/r/1")).status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                nursery.start_soon(ask)
            self.assertEqual(sorted(statuses), [200, 500])

        run(test)

    # Guards against repeats that the budget does not count: garbled answers come in bursts.
    def test_a_request_with_an_unreadable_answer_is_sent_again_only_within_the_budget(self) -> None:
        async def garble(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.send_raw(b"garbled answer\r\n\r\n")

        async def test(fixture: ForwarderFixture) -> None:
            other = ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p0", ScriptedEndpoint(garble))
            await fixture.add_plain("p1", other)
            fixture.selector.begin(HostId("p1"))
            fixture.retries_left = 0.0
            self.assertEqual((await fixture.request("/r/1")).status, 502)
            self.assertEqual(other.requests, [])

        run(test)

    # Guards against a request that fails since its only retry was for an unreachable endpoint.
    def test_a_retry_of_which_nothing_was_sent_is_not_used_up(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p0", ScriptedEndpoint(respond_with_error))
            fixture.add_unreachable("p1")
            await fixture.add_plain("p2", ScriptedEndpoint(respond_ok))
            fixture.selector.begin(HostId("p1"))
            for _ in range(2):
                fixture.selector.begin(HostId("p2"))
            fixture.retries_left = 1.0
            self.assertEqual((await fixture.request("/r/1")).status, 200)

        run(test)

    def test_a_response_to_another_request_is_not_forwarded(self) -> None:
        async def answer_other_request(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.send_raw(
                b"HTTP/1.1 200 OK\r\nyewloom-request-id: other\r\ncontent-length: 1\r\n\r\nx"
            )

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(answer_other_request))
            self.assertEqual((await fixture.request("/u/1")).status, 502)

        run(test)

    def test_a_truncated_response_is_not_forwarded(self) -> None:
        async def truncate(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200, body_length=10)
            await endpoint.send(b"half")

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(truncate))
            self.assertEqual((await fixture.request("/u/1")).status, 502)

        run(test)

    def test_an_unanswered_request_ends_at_its_deadline(self) -> None:
        async def hang(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await trio.sleep_forever()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(hang))
            response = await fixture.request("/u/1", yewloom_deadline_ms="300")
            self.assertEqual(response.status, 504)

        run(test)

    def test_an_endpoint_that_closes_before_its_response_is_avoided_temporarily(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            broken, sound = ScriptedEndpoint(close_without_response), ScriptedEndpoint(respond_ok)
            await fixture.add_plain("broken", broken)
            while not broken.requests:
                await fixture.request("/u/1")
            await fixture.add_plain("sound", sound)
            for _ in range(6):
                self.assertEqual((await fixture.request("/u/1")).status, 200)
            self.assertEqual((len(broken.requests), len(sound.requests)), (1, 6))

        # On a busy machine the requests may take longer than the usual time.
        with mock.patch.object(endpoint_attempts, "CONNECTION_LOST_AVOIDANCE_S", 60.0):
            run(test)


class TestAdmission(unittest.TestCase):
    """Unknown routes and API keys, and configurations that may be outdated."""

    def test_unknown_routes_and_keys(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(respond_ok))
            self.assertEqual((await fixture.request("/none/")).status, 404)
            self.assertEqual((await fixture.request("/u/1", authorization="Token no")).status, 401)
            self.assertEqual(
                (await fixture.request("/open/1", authorization="Token no")).status, 200
            )

        run(test)

    def test_keys_that_can_not_be_confirmed_are_refused_with_retry_after(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(respond_ok))
            fixture.configuration_state._confirmed_s = trio.current_time() - 4.0
            for path, key in (("/u/1", "Token k1"), ("/u/1", "Token no"), ("/none/", "Token k1")):
                response = await fixture.request(path, authorization=key)
                self.assertEqual(response.status, 503)
                self.assertIn(b"retry-after", response.headers)
            self.assertEqual((await fixture.request("/open/1")).status, 200)

        run(test)

    def test_a_host_without_a_configuration_refuses(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            fixture.configuration_state.current = None
            self.assertEqual((await fixture.request("/u/1")).status, 503)

        run(test)


class TestStreams(unittest.TestCase):
    """Events of streams, and streams that are resumed elsewhere."""

    def test_a_stream_that_may_have_run_without_events_is_not_refused(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("a", ScriptedEndpoint(close_without_response))
            self.assertEqual((await fixture.request("/s/1")).status, 502)

        run(test)

    def test_events_are_forwarded_complete(self) -> None:
        async def send_split_events(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200, content_type="text/event-stream")
            for number in (1, 2, 3):
                await endpoint.send(event(number)[:5])
                await endpoint.send(event(number)[5:])
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("a", ScriptedEndpoint(send_split_events))
            response = await fixture.request("/s/1")
            self.assertEqual(response.body, event(1) + event(2) + event(3))
            self.assertTrue(response.is_complete)

        run(test)

    def test_a_stream_that_breaks_off_is_resumed_at_another_group(self) -> None:
        async def break_off(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1) + event(2) + event(3)[:4])

        async def resume(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            last = int(dict(request.headers)[b"last-event-id"])
            for number in range(last + 1, 5):
                await endpoint.send(event(number))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            second = ScriptedEndpoint(resume)
            await fixture.add_engine("a", ScriptedEndpoint(break_off))
            await fixture.add_engine("b", second)
            fixture.selector.begin(HostId("b"))
            response = await fixture.request("/s/1")
            self.assertEqual(response.body, b"".join(event(n) for n in (1, 2, 3, 4)))
            self.assertTrue(response.is_complete)
            self.assertEqual(dict(second.requests[0].headers)[b"last-event-id"], b"2")

        run(test)

    def test_streams_of_a_stalled_group_are_resumed_elsewhere(self) -> None:
        async def stall(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await trio.sleep_forever()

        async def resume(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("a", ScriptedEndpoint(stall))
            await fixture.add_engine("b", ScriptedEndpoint(resume))
            fixture.selector.begin(HostId("b"))
            response = await fixture.request("/s/1")
            self.assertEqual((response.body, response.is_complete), (event(1) + event(2), True))

        run(test)

    def test_a_blocked_event_loop_does_not_make_a_group_stalled(self) -> None:
        """Guards against a host that attributes the delay of its own event loop to endpoints."""

        async def continue_after_block(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await trio.sleep(0.1)
            time.sleep(DEFAULT_STALL_TIMEOUT_S)  # noqa: ASYNC251 - blocks the host's event loop, too
            await trio.sleep(CHECK_INTERVAL_S / 2)
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            other = ScriptedEndpoint(respond_ok)
            await fixture.add_engine("a", ScriptedEndpoint(continue_after_block))
            await fixture.add_engine("b", other)
            fixture.selector.begin(HostId("b"))
            response = await fixture.request("/s/1")
            self.assertEqual((response.body, response.is_complete), (event(1) + event(2), True))
            self.assertEqual(other.requests, [])
            self.assertEqual(fixture.stalls.suspected(trio.current_time()), set())

        run(test)

    def test_a_slow_stream_that_can_not_be_resumed_elsewhere_is_not_abandoned(self) -> None:
        """Guards against cutting off a stream of a busy engine that can not be resumed elsewhere.

        The engine sends no event for about a second, while the retry budget is used up or a stop is
        near.
        """

        def use_up_retries(fixture: ForwarderFixture) -> None:
            fixture.retries_left = 0.0

        def begin_stop(fixture: ForwarderFixture) -> None:
            for _ in range(MIN_SAMPLES):
                fixture.chooser.durations.record(STREAM_ROUTE.name, 2.0)
            ends_s = trio.current_time() + 1.9
            fixture.stop.begin(ends_s - GRACE_S + STOP_MARGIN_S)

        for prevent_retry in (use_up_retries, begin_stop):

            async def test(
                fixture: ForwarderFixture,
                prevent_retry: Callable[[ForwarderFixture], None] = prevent_retry,
            ) -> None:
                other = ScriptedEndpoint(respond_ok)
                await fixture.add_engine("a", ScriptedEndpoint(pause_mid_stream))
                await fixture.add_engine("b", other)
                fixture.selector.begin(HostId("b"))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._expect_two_events, fixture)
                    await trio.sleep(DEFAULT_STALL_TIMEOUT_S / 2)
                    prevent_retry(fixture)
                self.assertEqual(other.requests, [])

            with self.subTest(prevent_retry.__name__):
                run(test)

    def test_a_stream_is_not_abandoned_if_another_one_takes_the_last_retry(self) -> None:
        """Guards against two streams that abandon an engine for the same retry: one is cut off."""

        async def resume(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            other = ScriptedEndpoint(resume)
            await fixture.add_engine("a", SharedEndpoint(pause_mid_stream))
            await fixture.add_engine("b", other)
            for _ in range(3):
                fixture.selector.begin(HostId("b"))
            fixture.retries_left = 1.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expect_two_events, fixture)
                nursery.start_soon(self._expect_two_events, fixture)
            self.assertEqual(len(other.requests), 1)

        run(test)

    async def _expect_two_events(self, fixture: ForwarderFixture) -> None:
        response = await fixture.request("/s/1")
        self.assertEqual((response.body, response.is_complete), (event(1) + event(2), True))

    def test_a_non_resumable_stream_that_breaks_off_stays_incomplete(self) -> None:
        async def break_off(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))

        async def test(fixture: ForwarderFixture) -> None:
            other = ScriptedEndpoint(respond_ok)
            await fixture.add_engine("a", ScriptedEndpoint(break_off))
            await fixture.add_engine("b", other)
            fixture.selector.begin(HostId("b"))
            response = await fixture.request("/once/1")
            self.assertEqual((response.body, response.is_complete), (event(1), False))
            self.assertEqual(other.requests, [])

        run(test)

    def test_a_stream_that_skips_an_event_is_cut_off(self) -> None:
        async def skip(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await trio.sleep(0.05)
            await endpoint.send(event(3))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("a", ScriptedEndpoint(skip))
            response = await fixture.request("/s/1")
            self.assertFalse(response.is_complete)
            self.assertNotIn(b"id: 3", response.body)

        run(test)

    def test_a_caller_that_disconnects_ends_the_attempt(self) -> None:
        async def stream_forever(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            number = 0
            while True:
                number += 1
                await endpoint.send(event(number))
                await trio.sleep(0.01)

        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(stream_forever)
            await fixture.add_engine("a", endpoint)
            stream = await trio.open_tcp_stream(*fixture.address)
            await fixture.send(stream, "/s/1")
            await stream.receive_some(1000)
            await stream.aclose()
            await endpoint.has_lost_caller.wait()

        run(test)


class TestConnections(unittest.TestCase):
    """Connections of callers: limits and reuse."""

    def test_a_connection_carries_many_requests(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(respond_ok))
            stream = await trio.open_tcp_stream(*fixture.address)
            for _ in range(3):
                connection = await fixture.send(stream, "/u/1")
                self.assertEqual((await fixture.read(stream, connection)).status, 200)

        run(test)

    def test_the_route_time_limit_excludes_the_wait_for_a_slow_caller(self) -> None:
        """Guards against refusing a request as read too late if only its own caller delayed it."""

        def ask_twice(deadline_ms: dict[str, str]) -> list[tuple[int, int]]:
            responses: list[tuple[int, bytes]] = []

            async def test(fixture: ForwarderFixture) -> None:
                await fixture.add_plain("p", ScriptedEndpoint(answer_with_long_body))
                caller = await fixture.open_slow_reader()
                await fixture.send(caller, "/u/1")
                await trio.sleep(0.5)
                await fixture.send(caller, "/u/2", connection="close", **deadline_ms)
                await trio.sleep(UNSAFE_ROUTE.timeout_ms / 1000 + 0.5)
                received = bytearray()
                while data := await caller.receive_some(65536):
                    received += data
                responses.extend(parse_responses(bytes(received)))

            run(test)
            return [(status, len(body)) for status, body in responses]

        self.assertEqual(ask_twice({}), [(200, len(LONG_BODY))] * 2)
        own_deadline = {"yewloom_deadline_ms": str(UNSAFE_ROUTE.timeout_ms)}
        self.assertEqual(ask_twice(own_deadline), [(200, len(LONG_BODY)), (503, 0)])

    def test_invalid_oversized_and_slow_requests_are_refused_and_not_forwarded(self) -> None:
        head = b"POST /u/1 HTTP/1.1\r\nhost: x.example\r\n"
        cases = {
            b"nonsense\r\n\r\n": 400,
            head + b"x: " + b"y" * 5000 + b"\r\n\r\n": 431,
            head + b"content-length: 6000\r\n\r\n" + b"z" * 6000: 413,
            head: 408,
        }

        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p", endpoint)
            for data, status in cases.items():
                stream = await trio.open_tcp_stream(*fixture.address)
                await stream.send_all(data)
                response = await fixture.read(stream, _caller_connection())
                self.assertEqual(response.status, status, data[:40])
                self.assertEqual(response.headers[b"connection"], b"close")
            self.assertEqual(endpoint.requests, [])

        run(test)


def _caller_connection() -> h11.Connection:
    """Return the client state of a connection on which a request was sent."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    return connection
