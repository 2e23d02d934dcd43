"""Tests of what a caller is told when forwarding its request fails by an unforeseen error."""

import unittest
from unittest import mock

from yewloom.endpoint_choice import EndpointChooser
from yewloom.platform.headers import HttpHeaderCodec
from yewloom.request_admission import RequestAdmission
from yewloom.tests.forwarding_support import (
    CallerResponse,
    ForwarderFixture,
    ScriptedEndpoint,
    event,
    respond_ok,
    run,
)


class TestUnforeseenErrors(unittest.TestCase):
    """Guards against a connection that ends with neither an answer nor a refusal."""

    def test_a_request_that_fails_at_its_admission_is_refused(self) -> None:
        response = self._request_with_error(RequestAdmission, "admit")
        self.assertEqual((response.status, response.is_complete), (503, True))

    def test_a_request_that_was_sent_nowhere_is_refused(self) -> None:
        response = self._request_with_error(EndpointChooser, "take_next")
        self.assertEqual((response.status, response.is_complete), (503, True))

    def test_a_request_that_an_endpoint_may_have_run_gets_no_promise(self) -> None:
        response = self._request_with_error(HttpHeaderCodec, "decode_response")
        self.assertEqual((response.status, response.is_complete), (502, True))

    def test_a_stream_that_has_begun_is_left_unfinished(self) -> None:
        async def stream(endpoint: ScriptedEndpoint, request: object) -> None:
            await endpoint.start(200)
            await endpoint.send(event(1))
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_engine("e", ScriptedEndpoint(stream))
            writer = "yewloom.caller_messages.ResponseWriter.finish"
            with mock.patch(writer, side_effect=KeyError("unforeseen")):
                response = await fixture.request("/once/1")
            self.assertEqual((response.status, response.is_complete), (200, False))

        run(test)

    def test_a_request_to_a_stopping_host_is_refused(self) -> None:
        response = self._request_with_error(RequestAdmission, "decode_metadata", is_stopping=True)
        self.assertEqual((response.status, response.is_complete), (503, True))

    def _request_with_error(
        self, owner: type, method: str, is_stopping: bool = False
    ) -> CallerResponse:
        """Return the response to a request while a method of the host's parts raises an error."""
        responses: list[CallerResponse] = []

        async def test(fixture: ForwarderFixture) -> None:
            await fixture.add_plain("p", ScriptedEndpoint(respond_ok))
            if is_stopping:
                fixture.server.activity.stop_accepting()
            with mock.patch.object(owner, method, side_effect=KeyError("unforeseen")):
                responses.append(await fixture.request("/u/1"))

        run(test)
        return responses[0]
