"""One request at one endpoint, over a connection of its own.

h11 frames the bytes and trio carries them, rather than a pooled client: whether the first byte of
a request was sent, whether an answer ended by its framing or by a reset, and bytes that follow an
answer all decide what a caller may be told (docs/DESIGN.md).
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from enum import Enum

import h11
import trio

from yewloom.addresses import split_address
from yewloom.values import value_class

Header = tuple[bytes, bytes]

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a connection: the way between data centres takes some milliseconds, and a lost
opening packet is sent again only after a second."""

READ_BYTES = 65536
"""Bytes asked from a connection at once."""

MAX_ANSWER_HEAD_BYTES = 65536
"""Longest status line and headers that are taken from an endpoint."""

MAX_WHOLE_ANSWER_BYTES = 16 << 20
"""Longest answer that is held until it is whole; plain services answer with some kilobytes."""


class ExchangeFailure(Enum):
    """How an exchange with an endpoint failed.

    ``REFUSED``: its host answered that nobody listens there. ``CUT``: the answer ended too soon.
    """

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    BROKEN = "broken"
    CUT = "cut"
    UNREADABLE = "unreadable"


class ExchangeError(Exception):
    """An endpoint gave no whole answer; ``is_sent`` says whether any byte may have reached it."""

    def __init__(self, failure: ExchangeFailure, is_sent: bool, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.is_sent = is_sent


@value_class
class OutgoingRequest:
    """A request as an endpoint gets it, with all its headers."""

    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: bytes


@value_class
class AnswerHead:
    """Status and headers of an endpoint's answer; header names are in lower case."""

    status: int
    headers: Sequence[Header]

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if there is none."""
        return next((value for key, value in self.headers if key == name), None)


class Exchange:
    """A request that was sent, and its answer."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )

    async def send(self, request: OutgoingRequest) -> None:
        """Send the whole request; an answer that comes before its end stops the sending."""
        data = self._connection.send(
            h11.Request(method=request.method, target=request.target, headers=list(request.headers))
        )
        if request.body:
            data += self._connection.send(h11.Data(data=request.body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        if len(data) <= READ_BYTES:
            await self._write(data)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stop_when_answered, nursery.cancel_scope)
            await self._write(data)
            nursery.cancel_scope.cancel()

    async def head(self) -> AnswerHead:
        """Wait for the status and the headers."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeError(ExchangeFailure.BROKEN, True, "no answer")

    async def next_chunk(self) -> bytes | None:
        """Return the next part of the body, or None where the answer is whole.

        A call that was cancelled may be made again.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ExchangeError(ExchangeFailure.BROKEN, True, "the answer was cut")

    async def whole_body(self) -> bytes:
        """Wait for the whole body."""
        body = bytearray()
        while (chunk := await self.next_chunk()) is not None:
            body += chunk
            if len(body) > MAX_WHOLE_ANSWER_BYTES:
                raise ExchangeError(ExchangeFailure.UNREADABLE, True, "the answer is too long")
        return bytes(body)

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The endpoint may have answered and closed before it read everything: the read tells.
            return

    async def _stop_when_answered(self, scope: trio.CancelScope) -> None:
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            data = b""
        self._connection.receive_data(data)
        scope.cancel()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._connection.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._stream.receive_some(READ_BYTES)
                if not data and self._connection.their_state is h11.SEND_RESPONSE:
                    raise ExchangeError(ExchangeFailure.BROKEN, True, "closed before its answer")
                self._connection.receive_data(data)
            except h11.RemoteProtocolError as error:
                # The last bytes that were handed over are the stream's end, if it has ended.
                has_ended = self._connection.trailing_data[1]
                failure = ExchangeFailure.CUT if has_ended else ExchangeFailure.UNREADABLE
                raise ExchangeError(failure, True, str(error)) from error
            except trio.BrokenResourceError as error:
                raise ExchangeError(ExchangeFailure.BROKEN, True, "the connection broke") from error


@asynccontextmanager
async def open_exchange(address: str, connect_timeout_s: float) -> AsyncIterator[Exchange]:
    """Connect to an endpoint; raises ExchangeError with nothing sent if that fails.

    The connection is dropped at the end, whatever state it is in.
    """
    host, port = split_address(address)
    stream = None
    with trio.move_on_after(connect_timeout_s):
        try:
            stream = await trio.open_tcp_stream(host, port, happy_eyeballs_delay=None)
        except OSError as error:
            raise ExchangeError(_connection_failure(error), False, str(error)) from error
    if stream is None:
        raise ExchangeError(ExchangeFailure.NOT_CONNECTED, False, "no connection in time")
    try:
        yield Exchange(stream)
    finally:
        await trio.aclose_forcefully(stream)


def _connection_failure(error: OSError) -> ExchangeFailure:
    """Return how a connection failed; the cause holds one error for each address that was tried."""
    cause = error.__cause__
    errors = cause.exceptions if isinstance(cause, BaseExceptionGroup) else (cause,)
    if all(isinstance(each, ConnectionRefusedError) for each in errors):
        return ExchangeFailure.REFUSED
    return ExchangeFailure.NOT_CONNECTED
