"""Tests of forwarding while a host stops, and of responses that outlast a time limit."""

import os
import time
import unittest
from collections.abc import Awaitable, Callable

import h11
import trio

from yewloom.ids import HostId
from yewloom.planned_stop import STOP_MARGIN_S
from yewloom.route_durations import MIN_SAMPLES
from yewloom.tests.caller_support import parse_responses
from yewloom.tests.forwarding_support import (
    GRACE_S,
    LONG_BODY,
    CallerResponse,
    ForwarderFixture,
    ScriptedEndpoint,
    answer_with_long_body,
    refuse_not_run,
    respond_ok,
    run,
)


class TestStop(unittest.TestCase):
    """Requests that are ended by a planned stop, by their deadline or by their caller."""

    def test_a_planned_stop_closes_connections_after_a_response(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(respond_ok))
            idle = await trio.open_tcp_stream(*fixture.address)
            first = await fixture.send(idle, "/u/1")
            await fixture.read(idle, first)
            fixture.server.activity.begin_stop()
            response = await fixture.request("/u/1")
            self.assertEqual((response.status, response.headers[b"connection"]), (200, b"close"))
            fixture.server.activity.stop_accepting()
            self.assertEqual(await idle.receive_some(1), b"")

        run(test)

    def test_a_request_after_the_stop_is_refused_with_retry_after_zero(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p", endpoint)
            fixture.server.activity.stop_accepting()
            response = await fixture.request("/u/1")
            self.assertEqual((response.status, response.headers[b"retry-after"]), (503, b"0"))
            self.assertEqual(endpoint.requests, [])

        run(test)

    def test_a_request_that_typically_takes_longer_than_the_stop_is_refused(self) -> None:
        async def answer_slowly(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await trio.sleep(0.1)
            await endpoint.answer(200, b"fine")

        async def test(fixture: ForwarderFixture) -> None:
            slow, fast = ScriptedEndpoint(answer_slowly), ScriptedEndpoint(respond_ok)
            await fixture.add_plain("p", slow)
            for _ in range(MIN_SAMPLES):
                self.assertEqual((await fixture.request("/u/1")).status, 200)
            fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S + 0.08)
            response = await fixture.request("/u/1")
            self.assertEqual((response.status, response.headers[b"retry-after"]), (503, b"0"))
            self.assertEqual(len(slow.requests), MIN_SAMPLES)
            fixture.directory.remove(HostId("p"))
            await fixture.add_plain("p2", fast)
            self.assertEqual((await fixture.request("/r/1")).status, 200)

        run(test)

    def test_a_request_that_the_stop_ends_is_answered_as_may_have_run(self) -> None:
        async def never_answer(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await trio.sleep_forever()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(never_answer))
            responses: list[CallerResponse] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._ask_and_append, fixture, responses)
                await trio.sleep(0.1)
                fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S)
                fixture.forwarder.end_oldest()
            self.assertEqual([response.status for response in responses], [502])

        run(test)

    def test_a_whole_answer_that_outlasts_its_time_is_delivered_and_the_next_follows_it(
        self,
    ) -> None:
        async def outlasts_the_stop(fixture: ForwarderFixture, caller: trio.SocketStream) -> None:
            await fixture.send(caller, "/u/1")
            await trio.sleep(0.5)
            await fixture.send(caller, "/u/2")
            fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S + 0.2)
            fixture.server.activity.stop_accepting()
            await trio.sleep(0.2)
            fixture.forwarder.end_oldest()

        async def outlasts_its_deadline(
            fixture: ForwarderFixture, caller: trio.SocketStream
        ) -> None:
            await fixture.send(caller, "/u/1", yewloom_deadline_ms="800")
            await trio.sleep(0.5)
            await fixture.send(caller, "/u/2", connection="close")

        second = {outlasts_the_stop: (503, b""), outlasts_its_deadline: (200, LONG_BODY)}
        for outlasts, response in second.items():

            async def test(
                fixture: ForwarderFixture,
                outlasts: Callable[
                    [ForwarderFixture, trio.SocketStream], Awaitable[None]
                ] = outlasts,
                response: tuple[int, bytes] = response,
            ) -> None:
                await fixture.add_plain("p", ScriptedEndpoint(answer_with_long_body))
                caller = await fixture.open_slow_reader()
                await outlasts(fixture, caller)
                await trio.sleep(1.0)
                received = bytearray()
                while data := await caller.receive_some(65536):
                    received += data
                self.assertEqual(parse_responses(bytes(received)), [(200, LONG_BODY), response])

            with self.subTest(outlasts.__name__):
                run(test)

    def test_a_response_that_arrives_as_the_time_runs_out_still_gives_the_caller_one(self) -> None:
        """Guards against callers that get neither a response nor a closed connection.

        The event loop is blocked, so it sees the endpoint's response and the deadline, or the stop,
        at the same time.
        """

        async def answer_and_block_the_loop(
            endpoint: ScriptedEndpoint, request: h11.Request
        ) -> None:
            assert endpoint.stream is not None
            head = h11.Response(
                status_code=200,
                headers=[("yewloom-request-id", "r1"), ("content-length", "4")],
            )
            data = (endpoint.connection.send(head) or b"") + b"fine"
            await trio.sleep(0.1)
            os.write(endpoint.stream.socket.fileno(), data)
            time.sleep(0.3)  # noqa: ASYNC251 - blocks the event loop on purpose

        async def stop(fixture: ForwarderFixture) -> None:
            ends_s = trio.current_time() + 0.25
            fixture.stop.begin(ends_s - GRACE_S + STOP_MARGIN_S)
            fixture.server.activity.begin_stop()
            await trio.sleep_until(ends_s)
            fixture.forwarder.end_oldest()

        for cause, deadline_ms, late_status in (("stop", 5000, 502), ("deadline", 290, 504)):

            async def test(
                fixture: ForwarderFixture,
                cause: str = cause,
                deadline_ms: int = deadline_ms,
                late_status: int = late_status,
            ) -> None:
                await fixture.add_plain("p", ScriptedEndpoint(answer_and_block_the_loop))
                async with trio.open_nursery() as nursery:
                    if cause == "stop":
                        nursery.start_soon(stop, fixture)
                    with trio.move_on_after(3.0):
                        response = await fixture.request(
                            "/u/1", yewloom_deadline_ms=str(deadline_ms)
                        )
                        self.assertIn(response.status, (200, late_status))
                        self.assertTrue(response.is_complete)
                        return
                    self.fail("neither a response nor a close")

            with self.subTest(cause):
                run(test)

    def test_a_response_that_the_caller_did_not_receive_fully_does_not_count_as_answered(
        self,
    ) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(answer_with_long_body))
            caller = await fixture.open_slow_reader()
            await fixture.send(caller, "/u/1")
            await trio.sleep(1.0)
            await trio.aclose_forcefully(caller)
            await fixture.server.activity.wait_until_idle()
            self.assertEqual(self._outcomes(fixture), ["caller gone"])

        run(test)

    @staticmethod
    def _outcomes(fixture: ForwarderFixture) -> list[str]:
        """Return the outcomes that the metrics have counted."""
        return [
            sample.labels["outcome"]
            for metric in fixture.metrics.registry.collect()
            for sample in metric.samples
            if sample.name == "yewloom_forwarded_requests_total"
        ]

    def test_a_request_that_the_stop_would_cut_off_is_not_retried(self) -> None:
        async def answer_slowly(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await trio.sleep(0.2)
            await endpoint.answer(200, b"fine")

        async def refuse_slowly(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await trio.sleep(0.12)
            await refuse_not_run(endpoint, request)

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(answer_slowly))
            for _ in range(MIN_SAMPLES):
                self.assertEqual((await fixture.request("/u/1")).status, 200)
            fixture.directory.remove(HostId("p"))
            full, free = ScriptedEndpoint(refuse_slowly), ScriptedEndpoint(answer_slowly)
            await fixture.add_plain("p1", full)
            await fixture.add_plain("p2", free)
            fixture.selector.begin(HostId("p2"))
            fixture.stop.begin(trio.current_time() - GRACE_S + STOP_MARGIN_S + 0.28)
            status = (await fixture.request("/u/1")).status
            self.assertEqual((len(full.requests), len(free.requests), status), (1, 0, 503))

        run(test)

    @staticmethod
    async def _ask_and_append(fixture: ForwarderFixture, responses: list[CallerResponse]) -> None:
        responses.append(await fixture.request("/u/1"))
