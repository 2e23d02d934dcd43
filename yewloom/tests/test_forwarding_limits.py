"""Tests of forwarding to endpoints that announce rate limits."""

import unittest

import h11
import trio

from yewloom.ids import HostId
from yewloom.tests.forwarding_support import (
    ForwarderFixture,
    ScriptedEndpoint,
    event,
    refuse_not_run,
    respond_ok,
    run,
)

LIMIT_PER_S = 2.0

LOW_LIMIT = "0.1"
"""A limit that allows no second request during a test."""


async def _answer_with_limit(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer, and announce a limit."""
    await endpoint.answer(200, b"fine", server_limit=f"{LIMIT_PER_S:g}")


async def _refuse_low_limit(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Refuse as not run, and announce a low limit."""
    await endpoint.answer(503, b"", yewloom_not_executed="1", server_limit=LOW_LIMIT)


async def _stream_low_limit(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer with a stream whose head announces a low limit."""
    await endpoint.start(200, server_limit=LOW_LIMIT)
    await endpoint.send(event(1))
    await endpoint.finish()


async def _answer_low_limit(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer, and announce a low limit."""
    await endpoint.answer(200, b"fine", server_limit=LOW_LIMIT)


async def _answer_invalid_limit(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer, and announce an invalid limit."""
    await endpoint.answer(200, b"fine", server_limit="-1")


class TestLimits(unittest.TestCase):
    """Requests beyond an endpoint's limit go to other endpoints or are refused at once."""

    def test_requests_beyond_the_limit_of_an_endpoint_go_to_the_others(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            limited, free = ScriptedEndpoint(_answer_low_limit), ScriptedEndpoint(respond_ok)
            await fixture.add_plain("limited", limited)
            await fixture.add_plain("free", free)
            for _ in range(30):
                self.assertEqual((await fixture.request("/u/1")).status, 200)
            self.assertLessEqual(len(limited.requests), 1)
            self.assertGreaterEqual(len(free.requests), 29)

        run(test)

    def test_without_an_endpoint_below_its_limit_a_request_is_refused_at_once(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            limited = ScriptedEndpoint(_answer_low_limit)
            await fixture.add_plain("limited", limited)
            self.assertEqual((await fixture.request("/u/1")).status, 200)
            refused = await fixture.request("/u/1", yewloom_deadline_ms="60000")
            self.assertEqual(refused.status, 503)
            wait_s = float(refused.headers[b"retry-after"])
            self.assertTrue(0 < wait_s <= 1 / float(LOW_LIMIT), wait_s)
            now_s = trio.current_time() + wait_s  # As if this time had passed.
            endpoint = fixture.directory.by_id[HostId("limited")]
            self.assertEqual(fixture.limits.wait_s(endpoint, now_s), 0.0)
            fixture.limits.take_token(endpoint, now_s)
            self.assertGreater(fixture.limits.wait_s(endpoint, now_s), 0.0)
            self.assertEqual(len(limited.requests), 1)

        run(test)

    def test_each_attempt_counts(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            limited = ScriptedEndpoint(_answer_low_limit)
            await fixture.add_plain("limited", limited)
            announced_s = trio.current_time() - 1.05 / float(
                LOW_LIMIT
            )  # The limit has allowed one request since then.
            fixture.limits.apply_announced(HostId("limited"), float(LOW_LIMIT), announced_s)
            statuses = [(await fixture.request("/u/1")).status for _ in range(2)]
            self.assertEqual(statuses, [200, 503])

        run(test)

    def test_a_refusal_can_announce_a_limit(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            limited = ScriptedEndpoint(_refuse_low_limit)
            await fixture.add_plain("limited", limited)
            for _ in range(5):
                self.assertEqual((await fixture.request("/u/1")).status, 503)
            self.assertEqual(len(limited.requests), 1)

        run(test)

    def test_the_head_of_a_stream_can_announce_a_limit(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            leader = ScriptedEndpoint(_stream_low_limit)
            await fixture.add_engine("leader", leader)
            statuses = [(await fixture.request("/s/1")).status for _ in range(3)]
            self.assertEqual(statuses, [200, 503, 503])
            self.assertEqual(len(leader.requests), 1)

        run(test)

    def test_retries_count_towards_the_limit(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            limited, full = ScriptedEndpoint(_answer_low_limit), ScriptedEndpoint(refuse_not_run)
            await fixture.add_plain("limited", limited)
            self.assertEqual((await fixture.request("/r/1")).status, 200)
            await fixture.add_plain("full", full)
            refused = await fixture.request("/r/1")
            self.assertEqual(refused.status, 503)
            self.assertEqual((len(limited.requests), len(full.requests)), (1, 1))

        run(test)

    def test_a_response_without_a_limit_ends_the_limit(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            scripts = iter([_answer_with_limit, respond_ok])

            async def answer_next(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
                await next(scripts, respond_ok)(endpoint, request)

            await fixture.add_plain("p", ScriptedEndpoint(answer_next))
            self.assertEqual((await fixture.request("/u/1")).status, 200)
            await trio.sleep(1 / LIMIT_PER_S)
            for _ in range(5):
                self.assertEqual((await fixture.request("/u/1")).status, 200)

        run(test)

    def test_an_invalid_limit_is_ignored(self) -> None:
        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(_answer_invalid_limit))
            for _ in range(5):
                self.assertEqual((await fixture.request("/u/1")).status, 200)

        run(test)
