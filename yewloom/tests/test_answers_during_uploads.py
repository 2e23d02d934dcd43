"""Tests of answers that arrive while a long request is still being sent."""

import unittest

import h11
import trio

from yewloom.configuration import CallerLimits
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    ExchangeError,
    ExchangeFailure,
    OutgoingRequest,
    open_exchange,
)
from yewloom.ids import EntryHostId
from yewloom.tests.early_endpoint import (
    BREAKS,
    STAMP,
    UPLOAD,
    EarlyEndpoint,
    Ending,
    Script,
    answering,
    ask,
    head,
    send_and_end,
    serving,
)
from yewloom.tests.forwarding_support import (
    ROUTES,
    CallerResponse,
    ForwarderFixture,
    ScriptedEndpoint,
    event,
    run,
)

WHOLE = b"all of it"
PART = WHOLE[:3]
UNSAFE, REPEATABLE = "/u/1", "/r/1"
LIMITS = CallerLimits(max_body_bytes=len(UPLOAD))


def _ask(script: Script, path: str = UNSAFE, *, beside_sound: bool = False) -> CallerResponse:
    """Return the answer to an upload."""
    return ask(script, path, UPLOAD, limits=LIMITS, beside_sound=beside_sound)


class TestBrokenAnswers(unittest.TestCase):
    """An answer without a length whose connection is reset is not whole."""

    def _check_is_broken(self, script: Script) -> None:
        """Check that the answer of an endpoint reaches no caller."""
        response = _ask(script)
        self.assertEqual((response.status, response.body), (502, b""))
        for _ in range(2):
            self.assertEqual(_ask(script, REPEATABLE, beside_sound=True).body, b"fine")

    def test_a_part_is_not_passed_on(self) -> None:
        """Guards against a part of an answer that a caller gets as all of it."""
        for ending in BREAKS:
            with self.subTest(ending):
                self._check_is_broken(answering(PART, ending))

    def test_a_head_without_any_body_is_no_empty_answer(self) -> None:
        for ending in BREAKS:
            with self.subTest(ending):
                self._check_is_broken(answering(b"", ending))

    def test_a_part_is_not_passed_on_whatever_its_status_and_version(self) -> None:
        for status, version in ((b"404 Not Found", b"1.1"), (b"200 OK", b"1.0")):
            with self.subTest(status=status, version=version):
                script = answering(PART, Ending.RESET, status=status, version=version)
                self._check_is_broken(script)

    def test_a_part_of_a_length_or_of_chunks_is_not_passed_on(self) -> None:
        for line, body in (
            (b"content-length: 9", PART),
            (b"transfer-encoding: chunked", b"9\r\n" + PART),
        ):
            for ending in Ending:
                with self.subTest(line, ending=ending):
                    self._check_is_broken(answering(body, ending, line))

    def test_a_part_of_a_head_is_no_answer(self) -> None:
        for ending in (*BREAKS, Ending.ENDED_UNREAD):

            async def break_off(
                endpoint: ScriptedEndpoint, request: h11.Request, ending: Ending = ending
            ) -> None:
                assert endpoint.stream is not None
                await send_and_end(endpoint.stream, head(request)[:-3], ending)

            with self.subTest(ending):
                self._check_is_broken(break_off)


class TestFailures(unittest.TestCase):
    """A reset counts the same, whether the answer has a length, and who learns of it first."""

    def _failure(self, script: Script) -> ExchangeError:
        """Return how an exchange fails."""

        async def main() -> ExchangeError:
            headers = [(b"host", b"h"), (b"content-length", b"%d" % len(UPLOAD))]
            request = OutgoingRequest(b"POST", b"/", headers, UPLOAD)
            async with (
                serving(EarlyEndpoint(script)) as address,
                open_exchange(address, CONNECT_TIMEOUT_S) as exchange,
            ):
                await exchange.send(request)
                await exchange.read_head()
                with self.assertRaises(ExchangeError) as caught:
                    await exchange.read_body()
            return caught.exception

        return trio.run(main)

    def test_an_answer_that_is_reset_has_lost_its_connection_and_may_have_run(self) -> None:
        for lines in ((), (b"content-length: 9",)):
            for ending in BREAKS:
                with self.subTest(lines, ending=ending):
                    error = self._failure(answering(PART, ending, *lines))
                    self.assertIs(error.failure, ExchangeFailure.CONNECTION_LOST)
                    self.assertTrue(error.is_sent)


class TestSoundAnswers(unittest.TestCase):
    """Answers that are whole although the request was not read."""

    def _check_is_passed_on(self, script: Script, status: int = 200, body: bytes = WHOLE) -> None:
        response = _ask(script)
        self.assertEqual((response.status, response.body), (status, body))
        self.assertEqual(response.headers[b"yewloom-server-stamp"], STAMP)
        self.assertTrue(response.is_complete)

    def test_an_answer_that_ended_before_a_reset_is_whole(self) -> None:
        for version in (b"1.1", b"1.0"):
            self._check_is_passed_on(answering(WHOLE, Ending.ENDED_UNREAD, version=version))

    def test_an_answer_behind_an_upload_that_was_read_is_whole(self) -> None:
        self._check_is_passed_on(answering(WHOLE, Ending.READ))

    def test_a_whole_length_needs_no_end_of_the_connection(self) -> None:
        for ending in Ending:
            with self.subTest(ending):
                self._check_is_passed_on(answering(WHOLE, ending, b"content-length: 9"))

    def test_whole_chunks_need_no_end_of_the_connection(self) -> None:
        line, body = b"transfer-encoding: chunked", b"9\r\n" + WHOLE + b"\r\n0\r\n\r\n"
        for ending in Ending:
            with self.subTest(ending):
                self._check_is_passed_on(answering(body, ending, line))

    def test_a_status_without_a_body_needs_no_end_of_the_connection(self) -> None:
        for ending in Ending:
            with self.subTest(ending):
                self._check_is_passed_on(answering(b"", ending, status=b"204 None"), 204, b"")

    def test_a_refusal_counts_although_its_body_breaks_off(self) -> None:
        """Only its head says that the request did not run, so an unsafe request is sent again."""
        line = b"yewloom-not-executed: 1"
        for ending in BREAKS:
            script = answering(PART, ending, line, status=b"503 Full")
            with self.subTest(ending):
                self.assertEqual(_ask(script).status, 503)
                self.assertEqual(_ask(script, beside_sound=True).body, b"fine")


class TestStreams(unittest.TestCase):
    """Streams of events without a length."""

    def _stream(self, ending: Ending, *, beside_sound: bool = False) -> tuple[list[int], bool]:
        """Return the events of a stream of four that breaks off after two, and if it is whole."""
        responses = []
        part = answering(event(1) + event(2), ending)
        whole = answering(b"".join(event(number) for number in range(1, 5)), Ending.READ)

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("e", EarlyEndpoint(part))
            if beside_sound:
                await fixture.add_engine("f", EarlyEndpoint(whole))
            responses.append(await fixture.request("/s/1", UPLOAD))

        run(test, ROUTES, LIMITS)
        lines = responses[0].body.split(b"\n")
        ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
        return ids, responses[0].is_complete

    def test_a_stream_that_is_reset_is_broken_off(self) -> None:
        """Guards against the first events of a stream that a caller gets as all of them."""
        for ending in BREAKS:
            with self.subTest(ending):
                self.assertEqual(self._stream(ending), ([1, 2], False))

    def test_a_stream_that_is_reset_continues_elsewhere(self) -> None:
        for ending in BREAKS:
            with self.subTest(ending):
                self.assertEqual(self._stream(ending, beside_sound=True), ([1, 2, 3, 4], True))

    def test_a_stream_that_ended_before_a_reset_is_whole(self) -> None:
        self.assertEqual(self._stream(Ending.ENDED_UNREAD), ([1, 2], True))


class TestRelays(unittest.TestCase):
    """Uploads that a host which reaches no endpoint relays to a peer."""

    def _ask(self, script: Script) -> CallerResponse:
        """Return the answer to an upload that an endpoint of the peer gets."""

        async def main() -> CallerResponse:
            isolated = ForwarderFixture(limits=LIMITS)
            peer = ForwarderFixture(host_id=EntryHostId("peer"), limits=LIMITS)
            async with trio.open_nursery() as nursery:
                await isolated.start(nursery)
                await peer.start(nursery)
                isolated.add_unreachable("p", "q")
                isolated.add_peer(peer)
                await peer.add_plain("p", EarlyEndpoint(script))
                with trio.fail_after(20):
                    response = await isolated.request(UNSAFE, UPLOAD)
                nursery.cancel_scope.cancel()
            return response

        return trio.run(main)

    def test_a_part_is_not_passed_on_through_a_peer(self) -> None:
        for ending in BREAKS:
            with self.subTest(ending):
                response = self._ask(answering(PART, ending))
                self.assertEqual((response.status, response.body), (502, b""))

    def test_a_whole_answer_is_passed_on_through_a_peer(self) -> None:
        response = self._ask(answering(WHOLE, Ending.ENDED_UNREAD))
        self.assertEqual((response.status, response.body), (200, WHOLE))
