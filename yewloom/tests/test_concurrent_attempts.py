"""Tests of streams whose endpoint falls silent, and of those that are asked beside it."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import h11
import trio

from yewloom.concurrent_attempts import ConcurrentAttempts
from yewloom.forward_request import FIRST_RETURN_PAUSE_S, MAX_RETURNS, Attempt, ForwardRequest
from yewloom.ids import HostId
from yewloom.stall_timeouts import DEFAULT_STALL_TIMEOUT_S
from yewloom.stalls import CHECK_INTERVAL_S, FIRST_EVENT_TIMEOUT_S
from yewloom.tests.forwarding_support import (
    STREAM_ROUTE,
    ForwarderFixture,
    ScriptedEndpoint,
    SharedEndpoint,
    close_without_response,
    event,
    refuse_not_run,
    respond_with_error,
    run,
)

SILENCE_S = 2 * DEFAULT_STALL_TIMEOUT_S
"""Longer than the stall timeout, shorter than a caller waits."""

Script = Callable[[ScriptedEndpoint, h11.Request], Awaitable[None]]


def last_event_id(request: h11.Request) -> int:
    """Return the event after which a stream should continue."""
    return int(dict(request.headers).get(b"last-event-id", b"0"))


def falls_silent(silence_s: float, before: int = 1, count: int = 3) -> Script:
    """Return a script that falls silent after some events, and then sends the others."""

    async def script(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
        await endpoint.start(200)
        for number in range(last_event_id(request) + 1, count + 1):
            if number == before + 1:
                await trio.sleep(silence_s)
            await endpoint.send(event(number))
        await endpoint.finish()

    return script


async def hang(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Take the request and send nothing until the connection is closed."""
    assert endpoint.stream is not None
    await endpoint.stream.receive_some(1)
    endpoint.has_lost_caller.set()


async def resume(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send the events after the last one that the caller has, up to the third."""
    await endpoint.start(200)
    for number in range(last_event_id(request) + 1, 4):
        await endpoint.send(event(number))
    await endpoint.finish()


async def break_off(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send one event and close the connection."""
    await endpoint.start(200)
    await endpoint.send(event(1))


async def add_pair(
    fixture: ForwarderFixture, first: ScriptedEndpoint, second: ScriptedEndpoint
) -> None:
    """Add two engines, of which the first one gets the first request."""
    await fixture.add_engine("a", first)
    await fixture.add_engine("b", second)
    fixture.selector.begin(HostId("b"))


async def expect_released(fixture: ForwarderFixture) -> None:
    """Wait until the endpoints of all attempts are released: only the test itself holds one."""
    with trio.fail_after(0.5):
        while dict(fixture.selector.running_here()) != {HostId("b"): 1}:  # noqa: ASYNC110
            await trio.sleep(0.01)


class TestSilentEndpoint(unittest.TestCase):
    """A run that may come back is not ended before another endpoint has what the caller needs."""

    async def _expect_whole(self, fixture: ForwarderFixture, path: str = "/s/1") -> None:
        response = await fixture.request(path)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, event(1) + event(2) + event(3))
        self.assertTrue(response.is_complete)

    def test_a_silent_stream_goes_on_where_it_runs_if_it_is_turned_away_elsewhere(self) -> None:
        """Guards against a stream that is cut off since it left a run that goes on."""

        async def test(fixture: ForwarderFixture) -> None:
            full = ScriptedEndpoint(refuse_not_run)
            await add_pair(fixture, ScriptedEndpoint(falls_silent(SILENCE_S)), full)
            await self._expect_whole(fixture)
            self.assertIn(len(full.requests), range(1, 2 + MAX_RETURNS))

        run(test)

    def test_a_stream_without_events_goes_on_where_it_waits_if_it_is_turned_away(self) -> None:
        """Guards against a 502 for a request whose first event is only late."""

        async def test(fixture: ForwarderFixture) -> None:
            late = falls_silent(FIRST_EVENT_TIMEOUT_S + 0.3, before=0)
            await add_pair(fixture, ScriptedEndpoint(late), ScriptedEndpoint(refuse_not_run))
            await self._expect_whole(fixture)

        run(test)

    def test_a_failure_elsewhere_does_not_end_the_silent_run(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            failing = ScriptedEndpoint(respond_with_error)
            await add_pair(fixture, ScriptedEndpoint(falls_silent(SILENCE_S)), failing)
            await self._expect_whole(fixture)

        run(test)

    def test_the_endpoint_that_wakes_up_first_goes_on_and_the_other_is_left(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            other = ScriptedEndpoint(hang)
            await add_pair(fixture, ScriptedEndpoint(falls_silent(SILENCE_S)), other)
            await self._expect_whole(fixture)
            with trio.fail_after(0.5):
                await other.has_lost_caller.wait()
            await expect_released(fixture)

        run(test)

    def test_an_endpoint_that_hangs_is_left_once_another_one_delivers(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            hanging = ScriptedEndpoint(hang)
            await add_pair(fixture, hanging, ScriptedEndpoint(resume))
            began_s = trio.current_time()
            await self._expect_whole(fixture)
            self.assertLess(trio.current_time() - began_s, FIRST_EVENT_TIMEOUT_S + 0.3)
            with trio.fail_after(0.5):
                await hanging.has_lost_caller.wait()

        run(test)

    def test_endpoints_that_wake_up_together_join_no_two_runs(self) -> None:
        """Guards against events of a run that lost, read in the moment in which it lost."""

        async def wake_up_together(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            runs = sum(len(each.requests) for each in endpoints)
            await endpoint.start(200)
            if last_event_id(request) == 0:
                await endpoint.send(event(1))
            if runs == 2:
                woken.set()
            await woken.wait()
            text = b"data: run %d\n\n" % runs
            await endpoint.send(b"id: 2\n" + text)
            await endpoint.send(b"id: 3\n" + text)
            await endpoint.finish()

        for _ in range(5):
            woken = trio.Event()
            endpoints = [ScriptedEndpoint(wake_up_together) for _ in range(2)]

            async def test(fixture: ForwarderFixture) -> None:
                await add_pair(fixture, endpoints[0], endpoints[1])  # noqa: B023 - run at once
                response = await fixture.request("/s/1")
                self.assertTrue(response.is_complete)
                self.assertIn(response.body.count(b"run 1"), (0, 2))
                self.assertEqual(response.body.count(b"run"), 2)

            run(test)

    def test_a_caller_that_leaves_ends_both_runs(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            endpoints = [ScriptedEndpoint(hang), ScriptedEndpoint(hang)]
            await add_pair(fixture, endpoints[0], endpoints[1])
            stream = await trio.open_tcp_stream(*fixture.address)
            await fixture.send(stream, "/s/1")
            while not endpoints[1].requests:  # noqa: ASYNC110 - set by the code under test
                await trio.sleep(0.05)
            await stream.aclose()
            with trio.fail_after(0.5):
                for endpoint in endpoints:
                    await endpoint.has_lost_caller.wait()
            await expect_released(fixture)

        run(test)

    def test_a_stream_that_no_endpoint_goes_on_with_ends_at_its_deadline(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await add_pair(fixture, ScriptedEndpoint(hang), ScriptedEndpoint(hang))
            response = await fixture.request("/s/1", yewloom_deadline_ms="1900")
            self.assertEqual(response.status, 504)

        run(test)

    def test_an_attempt_that_still_connects_counts_as_an_endpoint(self) -> None:
        """Guards against a third endpoint while the second one takes long to connect."""

        async def test(fixture: ForwarderFixture) -> None:
            first, third = ScriptedEndpoint(hang), ScriptedEndpoint(hang)
            await add_pair(fixture, first, ScriptedEndpoint(hang))
            await fixture.add_engine("c", third)
            for _ in range(2):
                fixture.selector.begin(HostId("c"))
            connect = trio.open_tcp_stream

            async def connect_late(*address: Any, **options: Any) -> trio.SocketStream:
                if first.requests:
                    await trio.sleep(2 * CHECK_INTERVAL_S)
                return await connect(*address, **options)

            with mock.patch("yewloom.endpoint_calls.trio.open_tcp_stream", connect_late):
                await fixture.request("/s/1", yewloom_deadline_ms="1900")
            self.assertEqual(third.requests, [])

        run(test)


class TestSharedSilence(unittest.TestCase):
    """While most endpoints are silent at once, none of them is asked to take over."""

    def test_streams_of_endpoints_that_are_silent_together_stay_where_they_run(self) -> None:
        """Guards against endpoints that meet two requests for one when they wake up."""

        async def test(fixture: ForwarderFixture) -> None:
            endpoints = [SharedEndpoint(falls_silent(SILENCE_S)) for _ in range(3)]
            for number, endpoint in enumerate(endpoints):
                await fixture.add_engine(f"e{number}", endpoint)
            async with trio.open_nursery() as nursery:
                for _ in range(9):
                    nursery.start_soon(self._expect_whole, fixture)
                    await trio.sleep(0.005)
            self.assertEqual(sum(len(each.requests) for each in endpoints), 9)

        run(test)

    async def _expect_whole(self, fixture: ForwarderFixture) -> None:
        response = await fixture.request("/s/1")
        self.assertEqual(response.body, event(1) + event(2) + event(3))
        self.assertTrue(response.is_complete)


class TestReturn(unittest.TestCase):
    """A stream that has begun goes back to an endpoint that turned it away."""

    def test_a_stream_whose_run_broke_off_goes_back_to_the_endpoint_that_was_full(self) -> None:
        """Guards against a stream that is cut off since its second endpoint was full once."""

        async def turn_away_once(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await (resume if len(full.requests) > 1 else refuse_not_run)(endpoint, request)

        async def test(fixture: ForwarderFixture) -> None:
            third = ScriptedEndpoint(resume)
            await add_pair(fixture, ScriptedEndpoint(break_off), full)
            await fixture.add_engine("c", third)
            for _ in range(2):
                fixture.selector.begin(HostId("c"))
            response = await fixture.request("/s/1")
            self.assertEqual(response.body, event(1) + event(2) + event(3))
            self.assertTrue(response.is_complete)
            self.assertEqual((len(full.requests), len(third.requests)), (2, 0))

        full = SharedEndpoint(turn_away_once)
        run(test)

    def test_a_caller_without_a_part_of_its_answer_is_told_at_once(self) -> None:
        """Guards against callers that wait although another host may serve them."""
        for first, status in ((refuse_not_run, 503), (close_without_response, 502)):

            async def test(
                fixture: ForwarderFixture, first: Script = first, status: int = status
            ) -> None:
                await add_pair(fixture, ScriptedEndpoint(first), ScriptedEndpoint(refuse_not_run))
                with trio.fail_after(FIRST_RETURN_PAUSE_S):
                    self.assertEqual((await fixture.request("/s/1")).status, status)

            run(test)

    def test_an_endpoint_that_stays_full_is_asked_a_few_times_only(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            full = SharedEndpoint(refuse_not_run)
            await add_pair(fixture, ScriptedEndpoint(break_off), full)
            response = await fixture.request("/s/1")
            self.assertFalse(response.is_complete)
            self.assertEqual(len(full.requests), 1 + MAX_RETURNS)

        run(test, (replace(STREAM_ROUTE, timeout_ms=8000),))

    def test_each_return_is_a_retry(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            full = SharedEndpoint(refuse_not_run)
            await add_pair(fixture, ScriptedEndpoint(break_off), full)
            fixture.retries_left = 2.0
            self.assertFalse((await fixture.request("/s/1")).is_complete)
            self.assertEqual(len(full.requests), 2)

        run(test)


class TestAttemptAskedInTheMomentOfWakingUp(unittest.TestCase):
    """An attempt that was asked for, but has not begun, is ended like one that runs."""

    def test_an_attempt_that_has_not_begun_is_ended_too(self) -> None:
        """Guards against a second run that goes on beside the one that answers."""
        request = ForwardRequest(*[mock.Mock() for _ in range(10)])
        attempts = [Attempt(mock.Mock()), Attempt(mock.Mock())]
        was_overtaken: list[bool] = []

        async def run_one(_: ForwardRequest, attempt: Attempt) -> bool:
            if attempt is attempts[0]:
                attempt.ask_another()
                request.claim(attempt)  # An event was there: read without waiting.
                return True
            was_overtaken.append(attempt.is_overtaken)
            return False

        runner, chooser = mock.Mock(run=run_one), mock.Mock()
        chooser.take_beside.return_value = attempts[1]
        together = ConcurrentAttempts(runner, chooser)
        self.assertTrue(trio.run(together.run, request, attempts[0]))
        self.assertEqual(was_overtaken, [True])
