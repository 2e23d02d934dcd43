"""Tests of resumed streams: events before a gap, and endpoints that turned the stream away."""

import unittest

import h11
import trio

from yewloom.ids import HostId
from yewloom.tests.forwarding_support import (
    ForwarderFixture,
    ScriptedEndpoint,
    SharedEndpoint,
    event,
    run,
)


class TestEventIds(unittest.TestCase):
    """What becomes of a stream whose next event is not the one that was expected."""

    def test_an_event_before_a_gap_reaches_the_caller_of_a_resumed_stream(self) -> None:
        """Guards against an event that counts as forwarded and was not."""

        async def skip(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await trio.sleep(0.05)
            await endpoint.send(event(2) + event(4))
            await trio.sleep_forever()

        async def resume(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            for number in range(int(dict(request.headers)[b"last-event-id"]) + 1, 5):
                await endpoint.send(event(number))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("a", ScriptedEndpoint(skip))
            await fixture.add_engine("b", ScriptedEndpoint(resume))
            fixture.selector.begin(HostId("b"))
            response = await fixture.request("/s/1")
            self.assertEqual(response.body, b"".join(event(n) for n in range(1, 5)))
            self.assertTrue(response.is_complete)

        run(test)


class TestReturnAfterPause(unittest.TestCase):
    """A stream that has begun may go back to an endpoint that was full."""

    def test_a_stream_goes_back_to_a_full_endpoint_after_the_pause_that_it_names(self) -> None:
        """Guards against a stream that is cut off although its endpoint is free in a moment."""

        async def break_off(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))

        async def turn_away_once(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            if len(full.requests) == 1:
                await endpoint.answer(503, yewloom_not_executed="1", retry_after="0.4")
                return
            await endpoint.start(200)
            await endpoint.send(event(2) + event(3))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("a", ScriptedEndpoint(break_off))
            await fixture.add_engine("b", full)
            fixture.selector.begin(HostId("b"))
            response = await fixture.request("/s/1")
            self.assertEqual(response.body, event(1) + event(2) + event(3))
            self.assertTrue(response.is_complete)

        full = SharedEndpoint(turn_away_once)
        run(test)
