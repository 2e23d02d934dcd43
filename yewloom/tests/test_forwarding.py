"""Tests of forwarding over real connections: what endpoints see and what callers are told."""

import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import h11
import trio

from yewloom.endpoint_calls import CONNECT_TIMEOUT_S
from yewloom.ids import HostId
from yewloom.planned_stop import STOP_MARGIN_S
from yewloom.route_durations import LEAST
from yewloom.selection import PLAIN_SERVICE_SLOTS
from yewloom.stalls import CHECK_INTERVAL_S, QUIET_S
from yewloom.tests.caller_support import parse_answers
from yewloom.tests.entry_support import make_plain
from yewloom.tests.forwarding_support import (
    GRACE_S,
    LONG_BODY,
    STREAM_ROUTE,
    UNSAFE_ROUTE,
    Endpoint,
    Fixture,
    SharedEndpoint,
    answer_at_length,
    answer_ok,
    close_without_answer,
    event,
    fail,
    refuse_as_full,
    run,
)

TICK_MS = 20
"""Steps in which the system tells how long bytes have waited, with some to spare."""


async def pause_amid_a_stream(endpoint: Endpoint, request: h11.Request) -> None:
    """Stand still between two events for longer than a group that serves does."""
    await endpoint.start(200)
    await endpoint.send(event(1))
    await trio.sleep(QUIET_S * 2)
    await endpoint.send(event(2))
    await endpoint.finish()


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

    def test_a_request_that_is_read_after_its_deadline_runs_nowhere(self) -> None:
        """Guards against work that nobody waits for, behind a host that was held up."""

        async def test(fixture: Fixture) -> None:
            endpoint = Endpoint(answer_ok)
            await fixture.add_plain("p", endpoint)
            for path in ("/u/1", "/r/1"):
                answer = await fixture.ask_held_up(path, 0.5, yewloom_deadline_ms="300")
                self.assertEqual(answer.status, 503)
            self.assertEqual(endpoint.requests, [])

        run(test)

    def test_a_request_that_is_read_late_is_given_the_rest_of_its_time(self) -> None:
        async def test(fixture: Fixture) -> None:
            endpoint = Endpoint(answer_ok)
            await fixture.add_plain("p", endpoint)
            answer = await fixture.ask_held_up("/u/1", 0.5, yewloom_deadline_ms="1500")
            self.assertEqual(answer.status, 200)
            left_ms = int(dict(endpoint.requests[0].headers)[b"yewloom-deadline-ms"])
            self.assertLessEqual(left_ms, 1000 + TICK_MS)

        run(test)

    def test_a_host_that_was_held_up_takes_no_endpoint_to_be_out_of_reach(self) -> None:
        """Guards against a host that takes its own standstill for the silence of others."""
        connect, calls = trio.open_tcp_stream, list[int]()

        async def connect_late(*where: Any, **options: Any) -> trio.SocketStream:
            calls.append(1)
            if len(calls) == 1:
                time.sleep(2 * CONNECT_TIMEOUT_S)  # noqa: ASYNC251 - holds the host up
                await trio.lowlevel.checkpoint()
            return await connect(*where, **options)

        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(answer_ok))
            with mock.patch("yewloom.endpoint_calls.trio.open_tcp_stream", connect_late):
                answer = await fixture.ask_held_up("/u/1", 0.0)
            self.assertEqual((answer.status, len(calls)), (200, 2))
            self.assertEqual(fixture.stalls.suspected(trio.current_time()), set())

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

    def test_a_failure_is_kept_while_the_last_repeat_goes_to_another_request(self) -> None:
        """Guards against a repeat that two requests count on, of which one then ends in 502."""
        both_asked = trio.Event()

        async def fail_both_at_once(endpoint: Endpoint, request: h11.Request) -> None:
            if len(failing.requests) == 2:
                both_asked.set()
            await both_asked.wait()
            await fail(endpoint, request)

        failing = SharedEndpoint(fail_both_at_once)

        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p0", failing)
            await fixture.add_plain("p1", Endpoint(answer_ok))
            for _ in range(PLAIN_SERVICE_SLOTS):
                fixture.selector.begin(HostId("p1"))
            fixture.retries_left = 1.0
            statuses: list[int] = []

            async def ask() -> None:
                statuses.append((await fixture.ask("/r/1")).status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                nursery.start_soon(ask)
            self.assertEqual(sorted(statuses), [200, 500])

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

    def test_an_endpoint_that_closes_before_its_answer_gets_nothing_more_for_a_time(self) -> None:
        async def test(fixture: Fixture) -> None:
            broken, sound = Endpoint(close_without_answer), Endpoint(answer_ok)
            await fixture.add_plain("broken", broken)
            while not broken.requests:
                await fixture.ask("/u/1")
            await fixture.add_plain("sound", sound)
            for _ in range(6):
                self.assertEqual((await fixture.ask("/u/1")).status, 200)
            self.assertEqual((len(broken.requests), len(sound.requests)), (1, 6))

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

    def test_a_host_that_was_held_up_takes_no_group_to_stand_still(self) -> None:
        """Guards against a host that takes its own standstill for the silence of others."""

        async def go_on_after_a_standstill(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await trio.sleep(0.1)
            time.sleep(QUIET_S)  # noqa: ASYNC251 - of the host, too
            await trio.sleep(CHECK_INTERVAL_S / 2)
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(fixture: Fixture) -> None:
            other = Endpoint(answer_ok)
            await fixture.add_engine("a", Endpoint(go_on_after_a_standstill))
            await fixture.add_engine("b", other)
            fixture.selector.begin(HostId("b"))
            answer = await fixture.ask("/s/1")
            self.assertEqual((answer.body, answer.is_whole), (event(1) + event(2), True))
            self.assertEqual(other.requests, [])
            self.assertEqual(fixture.stalls.suspected(trio.current_time()), set())

        run(test)

    def test_a_slow_stream_that_can_not_go_on_elsewhere_is_not_left(self) -> None:
        """A busy engine is silent for a second while retries are used up, or a stop is near."""

        def use_up_retries(fixture: Fixture) -> None:
            fixture.retries_left = 0.0

        def stop_soon(fixture: Fixture) -> None:
            for _ in range(LEAST):
                fixture.choice.durations.note(STREAM_ROUTE.name, 2.0)
            ends_s = trio.current_time() + 1.9
            fixture.stop.begin(ends_s - GRACE_S + STOP_MARGIN_S)

        for hinder in (use_up_retries, stop_soon):

            async def test(fixture: Fixture, hinder: Callable[[Fixture], None] = hinder) -> None:
                other = Endpoint(answer_ok)
                await fixture.add_engine("a", Endpoint(pause_amid_a_stream))
                await fixture.add_engine("b", other)
                fixture.selector.begin(HostId("b"))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._expect_two_events, fixture)
                    await trio.sleep(QUIET_S / 2)
                    hinder(fixture)
                self.assertEqual(other.requests, [])

            with self.subTest(hinder.__name__):
                run(test)

    def test_a_stream_is_not_left_for_a_repeat_that_another_one_takes(self) -> None:
        """Guards against streams that leave one engine at once, of which one is then cut off."""

        async def go_on(endpoint: Endpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(fixture: Fixture) -> None:
            other = Endpoint(go_on)
            await fixture.add_engine("a", SharedEndpoint(pause_amid_a_stream))
            await fixture.add_engine("b", other)
            for _ in range(3):
                fixture.selector.begin(HostId("b"))
            fixture.retries_left = 1.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expect_two_events, fixture)
                nursery.start_soon(self._expect_two_events, fixture)
            self.assertEqual(len(other.requests), 1)

        run(test)

    def test_an_endpoint_that_was_claimed_for_a_request_that_ended_has_its_place_back(self) -> None:
        fixture = Fixture()
        endpoint = make_plain("p", "127.0.0.1:1")
        fixture.selector.begin(endpoint.id)
        ended = mock.Mock(reserved=endpoint)
        fixture.choice.release_reserved(ended)
        fixture.choice.release_reserved(ended)
        self.assertEqual((fixture.selector.running(), ended.reserved), ({}, None))

    async def _expect_two_events(self, fixture: Fixture) -> None:
        answer = await fixture.ask("/s/1")
        self.assertEqual((answer.body, answer.is_whole), (event(1) + event(2), True))

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

    def test_the_route_limit_spares_what_waits_for_its_caller_to_take_an_answer(self) -> None:
        """Guards against refusing, as read too late, what only its own caller kept waiting."""

        def ask_twice(deadline_ms: dict[str, str]) -> list[tuple[int, int]]:
            answers: list[tuple[int, bytes]] = []

            async def test(fixture: Fixture) -> None:
                await fixture.add_plain("p", Endpoint(answer_at_length))
                caller = await fixture.open_slow()
                await fixture.send(caller, "/u/1")
                await trio.sleep(0.5)
                await fixture.send(caller, "/u/2", connection="close", **deadline_ms)
                await trio.sleep(UNSAFE_ROUTE.timeout_ms / 1000 + 0.5)
                received = bytearray()
                while data := await caller.receive_some(65536):
                    received += data
                answers.extend(parse_answers(bytes(received)))

            run(test)
            return [(status, len(body)) for status, body in answers]

        self.assertEqual(ask_twice({}), [(200, len(LONG_BODY))] * 2)
        own_deadline = {"yewloom_deadline_ms": str(UNSAFE_ROUTE.timeout_ms)}
        self.assertEqual(ask_twice(own_deadline), [(200, len(LONG_BODY)), (503, 0)])

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


def _asked() -> h11.Connection:
    """Return a caller's connection that has sent a request."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    return connection
