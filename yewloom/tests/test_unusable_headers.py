"""Tests of headers of a caller's request that can't be used as they are."""

import unittest

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
