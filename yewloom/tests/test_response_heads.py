"""Tests of responses whose head violates HTTP: no caller gets them."""

import unittest

import h11
import trio
from hypothesis import given
from hypothesis import strategies as st

from yewloom.http_calls import HttpCallError, HttpClient, HttpFailure
from yewloom.response_heads import FoldedLineCheck, ResponseHeadError
from yewloom.tests.early_endpoint import (
    STAMP,
    EarlyEndpoint,
    Ending,
    Script,
    answering,
    ask,
    serving,
)
from yewloom.tests.forwarding_support import ScriptedEndpoint

BODY = b"all of it"
LENGTH = b"content-length: %d" % len(BODY)
UNSAFE, REPEATABLE = "/u/1", "/r/1"
TIMEOUT_S = 5.0


def _answer(*lines: bytes, status: bytes = b"200 OK", body: bytes = BODY) -> Script:
    """Return a script that answers with these header lines after the endpoint's own ones."""
    return answering(body, Ending.ENDED_UNREAD, *lines, status=status)


async def _call_once(client: HttpClient, url: str, *, is_stream: bool = False) -> int | HttpFailure:
    """Return the status of a pooled call, or how the call fails."""
    try:
        if not is_stream:
            return (await client.call("GET", url, TIMEOUT_S)).status
        async with client.stream("GET", url, b"", TIMEOUT_S) as response:
            return response.status
    except HttpCallError as error:
        return error.failure


def _call(script: Script, *, is_stream: bool = False) -> int | HttpFailure:
    """Return the status of a pooled call to an endpoint, or how the call fails."""

    async def main() -> int | HttpFailure:
        client = HttpClient(TIMEOUT_S)
        async with serving(EarlyEndpoint(script)) as address:
            status = await _call_once(client, f"http://{address}/", is_stream=is_stream)
            await client.close()
        return status

    return trio.run(main)


class _KeptConnection:
    """An endpoint that gives its responses one after the other on each connection."""

    def __init__(self, *responses: bytes) -> None:
        self._responses = responses
        self.connections = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection; each read brings a request."""
        self.connections += 1
        for response in self._responses:
            if not await stream.receive_some(65536):
                return
            await stream.send_all(response)


class HeadTestCase(unittest.TestCase):
    """Checks of what callers and pooled calls get."""

    def check_is_invalid(self, script: Script) -> None:
        """Check that an answer reaches no caller, and that another endpoint is asked."""
        response = ask(script, UNSAFE)
        self.assertEqual((response.status, response.body), (502, b""))
        self.assertNotIn(b"yewloom-server-stamp", response.headers)
        self.assertEqual(ask(script, REPEATABLE, beside_sound=True).body, b"fine")

    def check_is_passed_on(self, script: Script, status: int = 200) -> None:
        """Check that a caller gets an answer."""
        response = ask(script, UNSAFE)
        self.assertEqual((response.status, response.body), (status, BODY))
        self.assertEqual(response.headers[b"yewloom-server-stamp"], STAMP)

    def check_call_fails(self, script: Script) -> None:
        """Check that a pooled call, and a stream, take an answer for none."""
        self.assertIs(_call(script), HttpFailure.MAYBE_SENT)
        self.assertIs(_call(script, is_stream=True), HttpFailure.MAYBE_SENT)


class TestStatus(HeadTestCase):
    """Statuses from 200 to 599 are final."""

    def test_a_status_above_those_of_http_is_invalid(self) -> None:
        """Guards against a status that a caller's library may not know, with an endpoint's body."""
        for status in (b"600 ", b"700 No", b"999 No"):
            with self.subTest(status):
                self.check_is_invalid(_answer(LENGTH, status=status))
                self.check_call_fails(_answer(LENGTH, status=status))

    def test_a_refusal_with_such_a_status_promises_nothing(self) -> None:
        refusal = _answer(LENGTH, b"yewloom-not-executed: 1", status=b"600 Full")
        self.assertEqual(ask(refusal, UNSAFE).status, 502)

    def test_statuses_of_http_are_passed_on(self) -> None:
        for status in (b"200", b"299 Fine", b"404 None", b"499 Odd", b"500 Error", b"599 Odd"):
            with self.subTest(status):
                self.check_is_passed_on(_answer(LENGTH, status=status), int(status[:3]))
                self.assertEqual(_call(_answer(LENGTH, status=status)), int(status[:3]))


class TestValues(HeadTestCase):
    """Values of fields hold no control byte but the tab."""

    def test_a_value_with_a_control_byte_is_invalid(self) -> None:
        """Guards against bytes that are passed on to a caller whose library may reject them."""
        for byte in (*range(0x09), *range(0x0B, 0x0D), *range(0x0E, 0x20), 0x7F):
            with self.subTest(byte):
                self.check_is_invalid(_answer(LENGTH, b"x-a: 1%c2" % byte))
                self.check_call_fails(_answer(LENGTH, b"x-a: 1%c2" % byte))

    def test_other_values_are_passed_on_as_they_are(self) -> None:
        for value in (b"", b"1\t2", b"1 2", b"\x80\xff", b'"(,;)"'):
            with self.subTest(value):
                response = ask(_answer(LENGTH, b"x-a: " + value), UNSAFE)
                self.assertEqual((response.status, response.body), (200, BODY))
                self.assertEqual(response.headers[b"x-a"], value)
                self.assertEqual(_call(_answer(LENGTH, b"x-a: " + value)), 200)


class TestFoldedLines(HeadTestCase):
    """A line that begins with a blank or a tab belongs to the value before it, so to none."""

    def test_a_folded_line_behind_any_field_makes_a_head_invalid(self) -> None:
        """Guards against a line that becomes part of a stamp, an id or another deciding value."""
        fields = (b"x-a: 1", b"content-type: text/plain", b"yewloom-weight-versions: 7")
        for field in fields:
            for line in (b" x-b: 1", b"\tx-b: 1", b" content-length: 20", b" "):
                with self.subTest(field, line=line):
                    self.check_is_invalid(_answer(LENGTH, field, line))
                    self.check_call_fails(_answer(LENGTH, field, line))

    def test_a_folded_line_behind_the_stamp_makes_a_head_invalid(self) -> None:
        self.check_is_invalid(_answer(b" x-a: 1", LENGTH))

    def test_a_folded_line_in_an_interim_head_makes_it_invalid(self) -> None:
        async def hint(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.send_raw(b"HTTP/1.1 103 Hints\r\nlink: a\r\n b\r\n\r\n")
            await _answer(LENGTH)(endpoint, request)

        self.check_is_invalid(hint)

    def test_such_lines_in_a_body_are_passed_on(self) -> None:
        body = b"a\n b\n\tc\r\n\r\n d"
        answer = _answer(b"content-length: %d" % len(body), body=body)
        self.assertEqual(ask(answer, UNSAFE).body, body)
        self.assertEqual(_call(answer), 200)

    def test_each_response_of_a_kept_connection_is_checked(self) -> None:
        sound = b"HTTP/1.1 200 OK\r\nx-b: 1\r\nx-a: 1\r\n" + LENGTH + b"\r\n\r\n" + BODY
        endpoint = _KeptConnection(sound, sound, sound.replace(b"x-a", b" x-a"))

        async def main() -> list[int | HttpFailure]:
            client = HttpClient(TIMEOUT_S)
            async with serving(endpoint) as address:
                calls = [await _call_once(client, f"http://{address}/") for _ in range(3)]
                await client.close()
            return calls

        self.assertEqual(trio.run(main), [200, 200, HttpFailure.MAYBE_SENT])
        self.assertEqual(endpoint.connections, 1)


class TestFoldedLineCheck(unittest.TestCase):
    """The check sees the same, however a response arrives."""

    HINT = b"HTTP/1.1 103 Hints\r\nlink: a\r\n\r\n"
    BODY = b"a\n b\r\n\r\n c"

    def _accepts(self, data: bytes, cuts: list[int]) -> bool:
        """Return whether the check accepts a response that arrives in parts."""
        check = FoldedLineCheck()
        positions = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
        try:
            for start, stop in zip(positions, positions[1:], strict=False):
                check.feed(data[start:stop])
        except ResponseHeadError:
            return False
        return True

    @given(
        hints=st.integers(0, 3),
        line_end=st.sampled_from([b"\r\n", b"\n"]),
        cuts=st.lists(st.integers(0, 1 << 16), max_size=8),
    )
    def test_a_folded_line_is_found_in_parts_of_any_length(
        self, hints: int, line_end: bytes, cuts: list[int]
    ) -> None:
        for status_line in (b"HTTP/1.1 200 OK", b"HTTP/1.0 503", b"HTTP/1.1 204 No"):
            for line, is_sound in ((b"b: 2", True), (b" b: 2", False), (b"\tb: 2", False)):
                lines = line_end.join([status_line, b"a: 1", line, b"", b""])
                data = self.HINT * hints + lines + self.BODY
                self.assertEqual(self._accepts(data, cuts), is_sound)


class TestLibrary(HeadTestCase):
    """What h11 refuses, so that nothing else has to."""

    def test_invalid_statuses(self) -> None:
        for status in (b"000", b"001", b"099", b"20", b"-20", b"1000", b"2e2", b"0x1", b"", b"abc"):
            with self.subTest(status):
                self.check_is_invalid(_answer(LENGTH, status=status + b" No"))
                self.check_call_fails(_answer(LENGTH, status=status + b" No"))

    def test_a_response_that_stays_interim_is_invalid(self) -> None:
        for status in (b"101 Switching", b"199 Odd"):
            with self.subTest(status):
                self.check_is_invalid(_answer(LENGTH, status=status))

    def test_an_invalid_status_with_a_body_without_a_length(self) -> None:
        self.check_is_invalid(_answer(status=b"000 No"))
        self.check_is_invalid(_answer(status=b"000 No", body=b""))

    def test_invalid_names(self) -> None:
        names = [b"x%cb" % byte for byte in (*b" \t", *range(0x09), 0x0B, 0x0C, 0x0D, 0x7F, 0x80)]
        names += [b"", b"x-b ", b"x-b\t", b"content-length ", b"transfer-encoding\t"]
        for name in names:
            with self.subTest(name):
                self.check_is_invalid(_answer(LENGTH, name + b": 9"))
                self.check_call_fails(_answer(LENGTH, name + b": 9"))

    def test_invalid_names_in_an_interim_head_and_in_a_trailer(self) -> None:
        for name in (b"x b", b"x\x01b", b"x-b "):
            interim = b"HTTP/1.1 103 Hints\r\n" + name + b": 1\r\n\r\n"
            chunks = b"9\r\n%s\r\n0\r\n%s: 1\r\n\r\n" % (BODY, name)

            async def hint(
                endpoint: ScriptedEndpoint, request: h11.Request, interim: bytes = interim
            ) -> None:
                await endpoint.send_raw(interim)
                await _answer(LENGTH)(endpoint, request)

            with self.subTest(name):
                self.check_is_invalid(hint)
                self.check_is_invalid(_answer(b"transfer-encoding: chunked", body=chunks))

    def test_all_signs_that_a_name_may_hold_are_passed_on(self) -> None:
        response = ask(_answer(LENGTH, b"!#$%&'*+-.^_`|~09azAZ: 1"), UNSAFE)
        self.assertEqual((response.status, response.body), (200, BODY))
        self.assertEqual(response.headers[b"!#$%&'*+-.^_`|~09azaz"], b"1")

    def test_a_folded_line_behind_the_status_is_invalid(self) -> None:
        async def fold(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.send_raw(b"HTTP/1.1 200 OK\r\n x-a: 1\r\n" + LENGTH + b"\r\n\r\n" + BODY)

        self.check_is_invalid(fold)

    def test_lengths_that_leave_open_where_the_body_ends(self) -> None:
        for lines in (
            (LENGTH, b"content-length: 8"),
            (b"content-length: +9",),
            (b"content-length: 9, 8",),
            (b"transfer-encoding: chunked, chunked",),
            (b"transfer-encoding: gzip",),
        ):
            with self.subTest(lines):
                self.check_is_invalid(_answer(*lines))

    def test_a_length_beside_chunks(self) -> None:
        self.check_is_invalid(_answer(LENGTH, b"transfer-encoding: chunked"))
