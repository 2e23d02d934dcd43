"""Tests of forwarding to endpoints that reject a request and ask for a pause."""

import unittest
from dataclasses import replace
from unittest import mock

import h11
import trio

from yewloom.endpoint_choice import MAX_WAIT_SHARE
from yewloom.endpoint_pauses import MAX_SPREAD_S
from yewloom.forward_request import Attempt, ForwardRequest
from yewloom.ids import HostId
from yewloom.routes import RouteKind
from yewloom.tests.entry_support import make_route
from yewloom.tests.forwarding_support import (
    ForwarderFixture,
    ScriptedEndpoint,
    SharedEndpoint,
    respond_ok,
    run,
)

PAUSE = "1.2"
"""The pause that an endpoint asks for, in seconds, as on the wire."""

PAUSE_S = float(PAUSE)

LONG_PAUSE = "60"
"""A pause that outlasts a test, also on a busy machine."""

IN_TRANSIT_S = 0.5
"""Time after the rejection in which requests may still arrive that were sent before it."""


async def _ask_for_pause(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Reject a request as not run, and ask for a pause."""
    await endpoint.answer(503, b"", yewloom_not_executed="1", retry_after=PAUSE)


async def _ask_for_long_pause(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Reject a request as not run, and ask for a pause that outlasts the test."""
    await endpoint.answer(503, b"", yewloom_not_executed="1", retry_after=LONG_PAUSE)


async def _ask_once(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Ask for a pause with the first response, then answer."""
    await (_ask_for_pause if len(endpoint.requests) == 1 else respond_ok)(endpoint, request)


class TestRequestedPauses(unittest.TestCase):
    """An endpoint that asked this host for a pause gets no requests until it ends."""

    # Guards against requests to an endpoint that has asked for a pause.
    def test_a_pausing_endpoint_gets_no_request_while_another_serves(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            pausing, free = ScriptedEndpoint(_ask_for_long_pause), ScriptedEndpoint(respond_ok)
            await fixture.add_plain("pausing", pausing)
            self.assertEqual((await fixture.request("/u/1")).status, 503)
            await fixture.add_plain("free", free)
            await trio.sleep(IN_TRANSIT_S)
            for _ in range(20):
                self.assertEqual((await fixture.request("/u/1")).status, 200)
            self.assertEqual(len(pausing.requests), 1)

        run(test)

    def test_when_all_pause_requests_are_refused_at_once_with_the_time_left(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            endpoints = [ScriptedEndpoint(_ask_for_pause) for _ in range(2)]
            for number, endpoint in enumerate(endpoints):
                await fixture.add_plain(f"e{number}", endpoint)
            self.assertEqual((await fixture.request("/u/1")).status, 503)
            started_s = trio.current_time()
            refused = await fixture.request("/u/1", yewloom_deadline_ms="1000")
            self.assertEqual(refused.status, 503)
            self.assertLess(trio.current_time() - started_s, PAUSE_S / 2)
            wait_s = float(refused.headers[b"retry-after"])
            self.assertTrue(PAUSE_S / 2 < wait_s <= PAUSE_S + MAX_SPREAD_S + 0.01, wait_s)
            self.assertEqual([len(endpoint.requests) for endpoint in endpoints], [1, 1])

        run(test)

    def test_a_request_with_time_waits_for_the_end_of_a_pause(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            pausing = SharedEndpoint(_ask_once)
            await fixture.add_plain("pausing", pausing)
            self.assertEqual((await fixture.request("/u/1")).status, 503)
            asked_s = trio.current_time()
            deadline_ms = str(round(2 * PAUSE_S * 1000 / MAX_WAIT_SHARE))
            answered = await fixture.request("/u/1", yewloom_deadline_ms=deadline_ms)
            self.assertEqual(answered.status, 200)
            self.assertGreater(trio.current_time() - asked_s, PAUSE_S - 0.1)

        run(test, (replace(make_route(RouteKind.UNSAFE, "/u/"), timeout_ms=60000),))

    def test_an_attempt_chosen_before_the_pause_is_not_sent_within_it(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            pausing, free = ScriptedEndpoint(respond_ok), ScriptedEndpoint(respond_ok)
            await fixture.add_plain("pausing", pausing)
            chosen = fixture.chooser.take_next

            def pause_after_choice(request: ForwardRequest) -> Attempt | None:
                attempt = chosen(request)
                fixture.pauses.apply(HostId("pausing"), 3.0, trio.current_time())
                fixture.directory.put(free_endpoint)
                return attempt

            await fixture.add_plain("free", free)
            free_endpoint = fixture.directory.by_id[HostId("free")]
            fixture.directory.remove(HostId("free"))
            with mock.patch.object(fixture.chooser, "take_next", pause_after_choice):
                self.assertEqual((await fixture.request("/u/1")).status, 200)
            self.assertEqual((len(pausing.requests), len(free.requests)), (0, 1))

        run(test)

    def test_the_leader_of_a_group_gets_no_stream_within_its_pause(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            leader = ScriptedEndpoint(_ask_for_pause)
            await fixture.add_engine("leader", leader)
            self.assertEqual((await fixture.request("/s/1")).status, 503)
            refused = await fixture.request("/s/1", yewloom_deadline_ms="2000")
            self.assertEqual(refused.status, 503)
            self.assertEqual(len(leader.requests), 1)

        run(test)
