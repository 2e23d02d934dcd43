"""Tests of responses by which endpoints report that a request failed."""

import unittest

import h11
import trio

from yewloom.ids import HostId
from yewloom.tests.forwarding_support import (
    ForwarderFixture,
    ScriptedEndpoint,
    refuse_not_run,
    respond_ok,
    respond_with_error,
    run,
)


async def hang(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Take the request and send nothing."""
    await trio.sleep_forever()


class TestFailedAttempt(unittest.TestCase):
    """A failure that an endpoint has answered is worth more than none."""

    def test_a_failure_is_forwarded_if_the_next_endpoint_turns_the_request_away(self) -> None:
        """Guards against a 502 in place of the answer that an endpoint gave."""

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p0", ScriptedEndpoint(respond_with_error))
            await fixture.add_plain("p1", ScriptedEndpoint(refuse_not_run))
            fixture.selector.begin(HostId("p1"))
            response = await fixture.request("/r/1")
            self.assertEqual((response.status, response.body), (500, b"oops"))

        run(test)

    def test_a_failure_is_forwarded_at_the_deadline_of_a_silent_retry(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p0", ScriptedEndpoint(respond_with_error))
            await fixture.add_plain("p1", ScriptedEndpoint(hang))
            fixture.selector.begin(HostId("p1"))
            response = await fixture.request("/r/1", yewloom_deadline_ms="400")
            self.assertEqual((response.status, response.body), (500, b"oops"))

        run(test)

    def test_a_later_answer_is_preferred_to_a_failure(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p0", ScriptedEndpoint(respond_with_error))
            await fixture.add_plain("p1", ScriptedEndpoint(respond_ok))
            fixture.selector.begin(HostId("p1"))
            self.assertEqual((await fixture.request("/r/1")).status, 200)

        run(test)
