"""Tests of what becomes of requests whose endpoints name limits."""

import unittest

import h11
import trio

from yewloom.tests.forwarding_support import (
    Endpoint,
    Fixture,
    answer_ok,
    event,
    refuse_as_full,
    run,
)

LIMIT_PER_S = 2.0
WINDOW_S = 4.0


async def _answer_limited(endpoint: Endpoint, request: h11.Request) -> None:
    """Answer, and name a limit."""
    await endpoint.answer(200, b"fine", server_limit=f"{LIMIT_PER_S:g}")


async def _refuse_limited(endpoint: Endpoint, request: h11.Request) -> None:
    """Refuse as not run, and name a limit."""
    await endpoint.answer(503, b"", yewloom_not_executed="1", server_limit=f"{LIMIT_PER_S:g}")


async def _stream_limited(endpoint: Endpoint, request: h11.Request) -> None:
    """Answer with a stream whose head names a limit."""
    await endpoint.start(200, server_limit=f"{LIMIT_PER_S:g}")
    await endpoint.send(event(1))
    await endpoint.finish()


async def _answer_without_meaning(endpoint: Endpoint, request: h11.Request) -> None:
    """Answer, and name something that is no limit."""
    await endpoint.answer(200, b"fine", server_limit="-1")


class TestLimits(unittest.TestCase):
    """The rest goes elsewhere, or is refused at once."""

    def test_what_a_limited_endpoint_does_not_take_goes_to_the_others(self) -> None:
        async def test(fixture: Fixture) -> None:
            limited, free = Endpoint(_answer_limited), Endpoint(answer_ok)
            await fixture.add_plain("limited", limited)
            await fixture.add_plain("free", free)
            for _ in range(30):
                self.assertEqual((await fixture.ask("/u/1")).status, 200)
            self.assertLessEqual(len(limited.requests), LIMIT_PER_S * WINDOW_S)
            self.assertGreaterEqual(len(free.requests), 20)

        run(test)

    def test_what_finds_no_endpoint_is_refused_at_once_and_may_come_when_it_is_taken(self) -> None:
        async def test(fixture: Fixture) -> None:
            limited = Endpoint(_answer_limited)
            await fixture.add_plain("limited", limited)
            self.assertEqual((await fixture.ask("/u/1")).status, 200)
            began_s = trio.current_time()
            refused = await fixture.ask("/u/1")
            self.assertEqual(refused.status, 503)
            self.assertLess(trio.current_time() - began_s, 0.25)
            wait_s = float(refused.headers[b"retry-after"])
            self.assertTrue(0 < wait_s <= 1 / LIMIT_PER_S, wait_s)
            await trio.sleep(wait_s)
            self.assertEqual((await fixture.ask("/u/1")).status, 200)
            self.assertEqual((await fixture.ask("/u/1")).status, 503)
            self.assertEqual(len(limited.requests), 2)

        run(test)

    def test_a_refusal_that_names_a_limit_is_heard_too(self) -> None:
        async def test(fixture: Fixture) -> None:
            limited = Endpoint(_refuse_limited)
            await fixture.add_plain("limited", limited)
            for _ in range(5):
                self.assertEqual((await fixture.ask("/u/1")).status, 503)
            self.assertEqual(len(limited.requests), 1)

        run(test)

    def test_the_head_of_a_stream_names_a_limit_too(self) -> None:
        async def test(fixture: Fixture) -> None:
            leader = Endpoint(_stream_limited)
            await fixture.add_engine("leader", leader)
            statuses = [(await fixture.ask("/s/1")).status for _ in range(3)]
            self.assertEqual(statuses, [200, 503, 503])
            self.assertEqual(len(leader.requests), 1)

        run(test)

    def test_repeats_count_towards_the_limit(self) -> None:
        async def test(fixture: Fixture) -> None:
            limited, full = Endpoint(_answer_limited), Endpoint(refuse_as_full)
            await fixture.add_plain("limited", limited)
            self.assertEqual((await fixture.ask("/r/1")).status, 200)
            await fixture.add_plain("full", full)
            refused = await fixture.ask("/r/1")
            self.assertEqual(refused.status, 503)
            self.assertEqual((len(limited.requests), len(full.requests)), (1, 1))

        run(test)

    def test_an_answer_that_names_no_limit_ends_it(self) -> None:
        async def test(fixture: Fixture) -> None:
            answers = iter([_answer_limited, answer_ok])

            async def play(endpoint: Endpoint, request: h11.Request) -> None:
                await next(answers, answer_ok)(endpoint, request)

            await fixture.add_plain("p", Endpoint(play))
            self.assertEqual((await fixture.ask("/u/1")).status, 200)
            await trio.sleep(1 / LIMIT_PER_S)
            for _ in range(5):
                self.assertEqual((await fixture.ask("/u/1")).status, 200)

        run(test)

    def test_a_text_that_is_no_limit_limits_nothing(self) -> None:
        async def test(fixture: Fixture) -> None:
            await fixture.add_plain("p", Endpoint(_answer_without_meaning))
            for _ in range(5):
                self.assertEqual((await fixture.ask("/u/1")).status, 200)

        run(test)
