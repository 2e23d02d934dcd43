"""Tests of streams that go on without anything new: comments, repeated events, slow bytes."""

import unittest
from collections.abc import Awaitable, Callable

import h11
import trio

from yewloom.event_stream import MAX_EVENT_BYTES
from yewloom.tests.forwarding_support import (
    LASTING_ROUTES,
    CallerResponse,
    ForwarderFixture,
    ScriptedEndpoint,
    event,
    run,
)
from yewloom.tests.test_concurrent_attempts import add_pair, last_event_id, resume

COMMENT = b": still here\n\n"
RETRY = b"retry: 1000\n\n"
WHOLE = event(1) + event(2) + event(3)

PAUSE_S = 0.05
"""Shorter than any time without events after which a group counts as stalled."""

SOON_S = 15.0
"""Longer than the time after which another endpoint is asked, shorter than that of the routes."""

Script = Callable[[ScriptedEndpoint, h11.Request], Awaitable[None]]


def goes_on_with(data: bytes, pause_s: float, before: int = 1) -> Script:
    """Return a script that sends some events, and then the same bytes until it is left."""

    async def script(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
        await endpoint.start(200)
        for number in range(last_event_id(request) + 1, before + 1):
            await endpoint.send(event(number))
        while True:
            await endpoint.send(data)
            await trio.sleep(pause_s)

    return script


async def comment_between_events(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send three events with comments before, between and after them."""
    await endpoint.start(200)
    for number in range(1, 4):
        await endpoint.send(COMMENT)
        await trio.sleep(PAUSE_S)
        await endpoint.send(event(number))
    await endpoint.send(COMMENT)
    await endpoint.finish()


async def comment_then_break_off(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send a comment only and close the connection."""
    await endpoint.start(200)
    await endpoint.send(COMMENT)


def ask(limit_s: float, path: str, *scripts: Script) -> CallerResponse | None:
    """Return what a caller gets of engines with these scripts, or None if it takes too long."""
    response: CallerResponse | None = None

    async def test(fixture: ForwarderFixture) -> None:
        nonlocal response
        if len(scripts) == 2:
            await add_pair(fixture, *map(ScriptedEndpoint, scripts))
        else:
            await fixture.add_engine("a", ScriptedEndpoint(scripts[0]))
        with trio.move_on_after(limit_s):
            response = await fixture.request(path)

    run(test, LASTING_ROUTES)
    return response


class TestStalledStream(unittest.TestCase):
    """A group that sends nothing new counts as stalled, and another one is asked."""

    def _expect_continued(self, script: Script) -> None:
        response = ask(SOON_S, "/s/1", script, resume)
        assert response is not None
        self.assertEqual(response.body.replace(COMMENT, b"").replace(RETRY, b""), WHOLE)
        self.assertTrue(response.is_complete)

    def test_comments_after_an_event_hold_no_stream(self) -> None:
        """Guards against an engine that hangs behind a front that keeps connections alive."""
        self._expect_continued(goes_on_with(COMMENT, PAUSE_S))

    def test_comments_before_the_first_event_hold_no_stream(self) -> None:
        self._expect_continued(goes_on_with(COMMENT, PAUSE_S, before=0))

    def test_fields_without_data_hold_no_stream(self) -> None:
        self._expect_continued(goes_on_with(RETRY, PAUSE_S))

    def test_a_repeated_event_holds_no_stream(self) -> None:
        self._expect_continued(goes_on_with(event(1), PAUSE_S))

    def test_an_event_that_does_not_end_holds_no_stream(self) -> None:
        self._expect_continued(goes_on_with(b"x", PAUSE_S))


class TestEndlessStream(unittest.TestCase):
    """What arrives without anything new is bounded."""

    def _expect_broken_off(self, script: Script) -> None:
        response = ask(SOON_S, "/once/1", script)
        assert response is not None
        self.assertEqual(response.body.replace(COMMENT, b""), event(1))
        self.assertFalse(response.is_complete)

    def test_a_repeated_event_ends_the_stream(self) -> None:
        self._expect_broken_off(goes_on_with(event(1) * 100, 0.0))

    def test_comments_end_the_stream(self) -> None:
        self._expect_broken_off(goes_on_with(COMMENT * 100, 0.0))

    def test_comments_before_the_first_event_are_answered_as_a_failure(self) -> None:
        response = ask(SOON_S, "/once/1", goes_on_with(COMMENT * 100, 0.0, before=0))
        assert response is not None
        self.assertEqual(response.status, 502)


class TestComments(unittest.TestCase):
    """Comments may come beside events."""

    def test_a_stream_with_comments_is_passed_on_whole(self) -> None:
        response = ask(SOON_S, "/s/1", comment_between_events)
        assert response is not None
        self.assertEqual(response.body.replace(COMMENT, b""), WHOLE)
        self.assertIn(COMMENT, response.body)
        self.assertTrue(response.is_complete)

    def test_a_stream_of_comments_only_is_a_failure(self) -> None:
        """Guards against a response that starts with 200 and brings no event."""
        for path in ("/s/1", "/once/1"):
            response = ask(SOON_S, path, comment_then_break_off)
            assert response is not None
            self.assertEqual(response.status, 502)

    def test_comments_do_not_end_an_attempt_at_another_endpoint(self) -> None:
        """Guards against a stream that is left to an endpoint that only keeps it alive."""

        async def resume_late(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            await trio.sleep(4 * PAUSE_S)
            for number in range(last_event_id(request) + 1, 4):
                await endpoint.send(event(number))
            await endpoint.finish()

        response = ask(SOON_S, "/s/1", goes_on_with(COMMENT, PAUSE_S), resume_late)
        assert response is not None
        self.assertEqual(response.body.replace(COMMENT, b""), WHOLE)

    def test_many_comments_between_many_events_are_no_failure(self) -> None:
        comments = COMMENT * (MAX_EVENT_BYTES // len(COMMENT) // 2)

        async def send_events(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200)
            for number in range(1, 4):
                await endpoint.send(comments)
                await endpoint.send(event(number))
            await endpoint.finish()

        response = ask(SOON_S, "/s/1", send_events)
        assert response is not None
        self.assertEqual(response.body.replace(COMMENT, b""), WHOLE)
