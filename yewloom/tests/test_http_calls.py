"""Tests of HTTP calls whose answers arrive while a long request is still being sent."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from yewloom.endpoints import EndpointError, HttpEndpoints, ServiceCall
from yewloom.http_calls import HttpCallError, HttpClient, HttpFailure
from yewloom.retries import CallFailure
from yewloom.tests.early_endpoint import (
    BREAKS,
    UPLOAD,
    EarlyEndpoint,
    Ending,
    Script,
    answering,
    serving,
)

CONNECT_TIMEOUT_S, TIMEOUT_S = 1.0, 10.0
WHOLE = b"all of it"
PART = WHOLE[:3]
LENGTH = b"content-length: %d" % len(WHOLE)

Read = Callable[[HttpClient, str], Awaitable[bytes]]
"""Sends a long request and returns the body of its response."""


async def _call(client: HttpClient, url: str) -> bytes:
    return (await client.call("POST", url, TIMEOUT_S, UPLOAD)).body


async def _call_on_new_connection(client: HttpClient, url: str) -> bytes:
    return (await client.call("POST", url, TIMEOUT_S, UPLOAD, new_connection=True)).body


async def _stream(client: HttpClient, url: str) -> bytes:
    async with client.stream("POST", url, UPLOAD, TIMEOUT_S) as response:
        return b"".join([chunk async for chunk in response.chunks])


READS: tuple[Read, ...] = (_call, _call_on_new_connection, _stream)


def _read(read: Read, script: Script) -> bytes | HttpFailure:
    """Return the body that a call gets from an endpoint, or how the call fails."""

    async def main() -> bytes | HttpFailure:
        client = HttpClient(CONNECT_TIMEOUT_S)
        async with serving(EarlyEndpoint(script)) as address:
            try:
                return await read(client, f"http://{address}/")
            except HttpCallError as error:
                return error.failure
            finally:
                await client.close()

    return trio.run(main)


class TestAnswersDuringUploads(unittest.TestCase):
    """An answer without a length whose connection is reset is not whole."""

    def _check(self, expected: bytes | HttpFailure, script: Script) -> None:
        for read in READS:
            with self.subTest(read.__name__):
                self.assertEqual(_read(read, script), expected)

    def test_a_part_is_no_response(self) -> None:
        """Guards against a part of an answer that counts as all of it."""
        for ending in BREAKS:
            for body in (PART, b""):
                self._check(HttpFailure.MAYBE_SENT, answering(body, ending))

    def test_a_part_of_a_length_is_no_response(self) -> None:
        for ending in Ending:
            self._check(HttpFailure.MAYBE_SENT, answering(PART, ending, LENGTH))

    def test_an_answer_that_ended_before_a_reset_is_whole(self) -> None:
        self._check(WHOLE, answering(WHOLE, Ending.ENDED_UNREAD))

    def test_an_answer_behind_an_upload_that_was_read_is_whole(self) -> None:
        self._check(WHOLE, answering(WHOLE, Ending.READ))

    def test_a_whole_length_needs_no_end_of_the_connection(self) -> None:
        for ending in Ending:
            self._check(WHOLE, answering(WHOLE, ending, LENGTH))


class TestServices(unittest.TestCase):
    """Calls of ``yewloomd`` to plain services."""

    def _failure(self, script: Script) -> CallFailure:
        """Return how an unsafe call fails."""

        async def main() -> CallFailure:
            client = HttpClient(CONNECT_TIMEOUT_S)
            endpoints = HttpEndpoints(client, TIMEOUT_S)
            call = ServiceCall("POST", "/", {}, UPLOAD)
            async with serving(EarlyEndpoint(script)) as address:
                with self.assertRaises(EndpointError) as caught:
                    await endpoints.call_service(address, call, TIMEOUT_S, is_unsafe=True)
            return caught.exception.failure

        return trio.run(main)

    def test_a_refusal_counts_although_its_body_breaks_off(self) -> None:
        """Its head alone says that the call did not run."""
        for ending in BREAKS:
            refuse = answering(PART, ending, b"x-outcome: not_run", status=b"503 Full")
            self.assertIs(self._failure(refuse), CallFailure.REFUSED)

    def test_another_answer_that_breaks_off_may_have_run(self) -> None:
        for ending in BREAKS:
            answer = answering(PART, ending, status=b"503 Full")
            self.assertIs(self._failure(answer), CallFailure.CONNECTION_LOST)
