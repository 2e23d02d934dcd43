"""Property test: an answer during an upload counts as whole just if its end was shown."""

import unittest
from dataclasses import dataclass
from enum import Enum

import h11
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    ExchangeError,
    OutgoingRequest,
    open_exchange,
)
from yewloom.http_calls import HttpCallError, HttpClient
from yewloom.tests.early_endpoint import (
    UPLOAD,
    EarlyEndpoint,
    Ending,
    head,
    send_and_end,
    serving,
)
from yewloom.tests.forwarding_support import ScriptedEndpoint

TIMEOUT_S = 10.0

UPLOADS_BYTES = (200_000, 1_000_000, len(UPLOAD))
"""Lengths of uploads of which a part is always unread when the endpoint ends the connection."""


class Framing(Enum):
    """What shows the end of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    END_OF_CONNECTION = "end of the connection"


@dataclass(frozen=True)
class EarlyAnswer:
    """An answer, of which ``sent_share`` is sent in two parts before the connection ends.

    ``pauses_s`` are those before the second part and before the end.
    """

    framing: Framing
    body: bytes
    sent_share: float
    ending: Ending
    pauses_s: tuple[float, float]
    upload_bytes: int

    @property
    def is_whole(self) -> bool:
        """Return whether an exchange may take the answer for whole."""
        if self.framing is Framing.END_OF_CONNECTION:
            return self.ending is Ending.ENDED_UNREAD
        return self.sent_share == 1.0

    @property
    def expected_body(self) -> bytes:
        """Return the body of the answer if it is whole."""
        return self.sent if self.framing is Framing.END_OF_CONNECTION else self.body

    @property
    def sent(self) -> bytes:
        """Return what is sent behind the head."""
        data = self.body
        if self.framing is Framing.CHUNKS:
            chunk = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
            data = chunk + b"0\r\n\r\n"
        return data[: int(len(data) * self.sent_share)]

    @property
    def framing_lines(self) -> tuple[bytes, ...]:
        """Return the header lines about the framing."""
        lines = {
            Framing.LENGTH: (b"content-length: %d" % len(self.body),),
            Framing.CHUNKS: (b"transfer-encoding: chunked",),
        }
        return lines.get(self.framing, ())

    async def play(self, endpoint: ScriptedEndpoint, request: h11.Request) -> None:
        """Send the answer and end the connection."""
        assert endpoint.stream is not None
        middle = len(self.sent) // 2
        data = head(request, *self.framing_lines) + self.sent[:middle]
        if any(self.pauses_s):
            await endpoint.send_raw(data)
            data = b""
            await trio.sleep(self.pauses_s[0])
        data += self.sent[middle:]
        if self.pauses_s[1]:
            await endpoint.send_raw(data)
            data = b""
            await trio.sleep(self.pauses_s[1])
        if self.ending is Ending.CLOSED_UNREAD:
            await trio.lowlevel.wait_readable(endpoint.stream.socket)
        await send_and_end(endpoint.stream, data, self.ending)


answers = st.builds(
    EarlyAnswer,
    framing=st.sampled_from(Framing),
    body=st.binary(min_size=1, max_size=2000),
    sent_share=st.sampled_from([0.0, 0.5, 1.0]),
    ending=st.sampled_from([Ending.RESET, Ending.CLOSED_UNREAD, Ending.ENDED_UNREAD]),
    pauses_s=st.tuples(st.sampled_from([0.0, 0.002]), st.sampled_from([0.0, 0.002])),
    upload_bytes=st.sampled_from(UPLOADS_BYTES),
)


async def _exchange(answer: EarlyAnswer) -> bytes | None:
    """Return the body that an exchange with an endpoint gets, or None if it fails."""
    body = UPLOAD[: answer.upload_bytes]
    headers = [(b"host", b"h"), (b"content-length", b"%d" % len(body))]
    async with serving(EarlyEndpoint(answer.play)) as address:
        try:
            async with open_exchange(address, CONNECT_TIMEOUT_S) as exchange:
                await exchange.send(OutgoingRequest(b"POST", b"/", headers, body))
                await exchange.read_head()
                return await exchange.read_body()
        except ExchangeError:
            return None


async def _call(answer: EarlyAnswer) -> bytes | None:
    """Return the body that a pooled call gets, or None if it fails."""
    client = HttpClient(TIMEOUT_S)
    body = UPLOAD[: answer.upload_bytes]
    async with serving(EarlyEndpoint(answer.play)) as address:
        try:
            return (await client.call("POST", f"http://{address}/", TIMEOUT_S, body)).body
        except HttpCallError:
            return None
        finally:
            await client.close()


class TestAnyAnswer(unittest.TestCase):
    """Exchanges with endpoints and pooled calls read alike."""

    @settings(max_examples=200)
    @given(answers)
    def test_an_answer_is_whole_just_if_its_end_is_shown(self, answer: EarlyAnswer) -> None:
        async def main() -> tuple[bytes | None, bytes | None]:
            with trio.fail_after(TIMEOUT_S):
                return await _exchange(answer), await _call(answer)

        expected = answer.expected_body if answer.is_whole else None
        self.assertEqual(trio.run(main), (expected, expected))
