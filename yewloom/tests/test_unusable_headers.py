"""Tests of headers of a caller's request that can't be used as they are."""

import unittest

import trio

from yewloom.tests.forwarding_support import ForwarderFixture, ScriptedEndpoint, respond_ok, run


class TestHeaders(unittest.TestCase):
    """A request with a header that can't be used is refused, not dropped."""

    def test_a_number_that_is_too_great_gets_an_answer(self) -> None:
        """Guards against an unexpected error, which closes the connection without an answer."""

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("a", ScriptedEndpoint(respond_ok))
            for digits in (400, 1500):
                response = await fixture.request("/r/1", yewloom_deadline_ms="9" * digits)
                self.assertEqual(response.status, 400)

        run(test)

    def test_a_connection_header_that_lists_the_host_gets_an_answer(self) -> None:
        """Guards against an outgoing request without a host, which can't be built."""

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("a", ScriptedEndpoint(respond_ok))
            response = await fixture.request("/r/1", connection="host")
            self.assertEqual(response.status, 200)

        run(test)

    def test_an_invalid_name_gets_an_answer_and_reaches_no_endpoint(self) -> None:
        """h11 refuses such requests, so that no endpoint gets the line."""

        async def test(fixture: ForwarderFixture) -> None:
            endpoint = ScriptedEndpoint(respond_ok)
            await fixture.add_plain("a", endpoint)
            for name in (b"x b", b"x\tb", b"x\0b", b"x\x01b", b"x\x7fb", b"x-b ", b"", b"\x80"):
                with self.subTest(name):
                    async with await trio.open_tcp_stream(*fixture.address) as stream:
                        lines = b"host: x.example\r\n" + name + b": 1\r\n"
                        await stream.send_all(b"GET /open/1 HTTP/1.1\r\n" + lines + b"\r\n")
                        head = await stream.receive_some(1000)
                    self.assertEqual(head.split()[1], b"400")
            self.assertEqual(endpoint.requests, [])

        run(test)
