"""Exchange one request and response with an endpoint, over a dedicated connection.

This uses h11 for framing and trio for transport rather than a pooled HTTP client. What a caller may
be told depends on details that such a client hides: whether the first byte of the request was sent,
whether the response ended by its framing or by a reset, and whether bytes follow the response
(docs/DESIGN.md).
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from enum import Enum

import h11
import trio

from yewloom.addresses import split_address
from yewloom.connection_ends import shows_end
from yewloom.nurseries import open_nursery
from yewloom.response_heads import FoldedLineCheck, ResponseHeadError, check_head
from yewloom.values import value_class

Header = tuple[bytes, bytes]

CONNECT_TIMEOUT_S = 0.25
"""Timeout for connecting. The latency between data centres is a few milliseconds, and a lost SYN
packet is retransmitted only after a second."""

READ_BYTES = 65536
"""Maximum number of bytes to read from a connection at once."""

PIECES_PER_TURN = 64
"""Number of pieces of a message that are taken from what has been read before other tasks run: some
milliseconds of work. One read may hold thousands."""

MAX_RESPONSE_HEAD_BYTES = 65536
"""Maximum total length of the status line and headers of an endpoint's response."""

MAX_INTERIM_RESPONSES = 16
"""Maximum number of interim responses (status 1xx) before a response. Endpoints send one or two;
their headers together may be as long as those of one response."""

FREE_FRAMING_BYTES = 4 * MAX_RESPONSE_HEAD_BYTES
"""Length of a response that need not be body: its heads, its trailers and what waits to be parsed.
"""

MAX_FRAMING_RATIO = 16
"""Maximum number of further bytes around each byte of body: chunks of one byte have 5, and a few
may have an extension."""

MAX_BUFFERED_RESPONSE_BYTES = 16 << 20
"""Maximum length of a response body that is buffered. Responses of plain services have a few
kilobytes."""


_FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}


class ExchangeFailure(Enum):
    """How an exchange with an endpoint failed.

    ``REFUSED``: the endpoint's host rejected the connection because nothing listens on the port.
    ``NOT_CONNECTED``: connecting failed in another way, or timed out.
    ``CONNECTION_LOST``: the connection was reset or was closed before the response, or a stream of
    events ended too early. ``TRUNCATED``: the connection was closed before the end of the response.
    ``INVALID_RESPONSE``: the response violates the protocol, is too long or belongs to another
    request.
    """

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    CONNECTION_LOST = "broken"
    TRUNCATED = "cut"
    INVALID_RESPONSE = "unreadable"


class ExchangeError(Exception):
    """An endpoint gave no complete response.

    ``is_sent`` says whether any byte of the request may have reached it.
    """

    def __init__(self, failure: ExchangeFailure, is_sent: bool, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.is_sent = is_sent


@value_class
class OutgoingRequest:
    """A request as it is sent to an endpoint, with all its headers."""

    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: bytes


@value_class
class ResponseHead:
    """Status and headers of an endpoint's response; header names are in lower case."""

    status: int
    headers: Sequence[Header]

    @property
    def is_framed(self) -> bool:
        """Return whether the response has a length or chunks, or else ends with the connection."""
        return any(key in _FRAMING_HEADERS for key, _ in self.headers)

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None if it is missing."""
        return next((value for key, value in self.headers if key == name), None)


class Exchange:
    """One request and its response on a connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._pieces = 0  # Taken since other tasks ran.
        self._interim_count, self._interim_bytes = 0, 0
        self._received_bytes, self._body_bytes = 0, 0
        self._early: ResponseHead | ExchangeError | None = None
        self._folded_lines = FoldedLineCheck()
        self._may_be_reset = False  # A failed send may have taken the report of a reset.
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )

    async def send(self, request: OutgoingRequest) -> None:
        """Send a request, and stop early if its response starts before all of it is sent."""
        head = self._connection.send(
            h11.Request(method=request.method, target=request.target, headers=list(request.headers))
        )
        body = b""
        if request.body:
            body = self._connection.send(h11.Data(data=request.body)) or b""
        end = self._connection.send(h11.EndOfMessage()) or b""
        if len(head) + len(body) <= READ_BYTES:
            await self._write(head + body + end)
            return
        async with open_nursery() as nursery:
            nursery.start_soon(self._stop_on_early_response, nursery.cancel_scope)
            for part in (head, body, end):  # Not joined, as that would copy a long body.
                await self._write(part)
            nursery.cancel_scope.cancel()

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the response."""
        early, self._early = self._early, None
        if isinstance(early, ExchangeError):
            raise early
        return early or await self._read_head()

    async def _read_head(self) -> ResponseHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return _checked_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeError(ExchangeFailure.CONNECTION_LOST, True, "no answer")
            self._count_interim(event)

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or None if the response is complete.

        May be called again after it was cancelled.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ExchangeError(ExchangeFailure.CONNECTION_LOST, True, "the answer was cut")

    async def read_body(self) -> bytes:
        """Wait for the complete body and return it."""
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            body += chunk
            if len(body) > MAX_BUFFERED_RESPONSE_BYTES:
                raise ExchangeError(
                    ExchangeFailure.INVALID_RESPONSE, True, "the answer is too long"
                )
        return bytes(body)

    def _count_interim(self, interim: h11.InformationalResponse) -> None:
        """Count an interim response; raise ExchangeError if there are too many."""
        self._interim_count += 1
        self._interim_bytes += sum(len(name) + len(value) for name, value in interim.headers)
        if (
            self._interim_count > MAX_INTERIM_RESPONSES
            or self._interim_bytes > MAX_RESPONSE_HEAD_BYTES
        ):
            raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, True, "too many interim answers")

    def _count_received(self, count: int) -> None:
        """Count received bytes; raise ExchangeError if too few of those before were body."""
        framing_bytes = self._received_bytes - self._body_bytes
        self._received_bytes += count
        if framing_bytes > FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * self._body_bytes:
            raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, True, "too little body")

    def _check_end(self) -> None:
        """Raise ExchangeError if the end of the connection can't be the end of a response."""
        if self._connection.their_state is h11.SEND_RESPONSE:
            raise ExchangeError(ExchangeFailure.CONNECTION_LOST, True, "closed before its answer")
        if self._may_be_reset:
            raise ExchangeError(ExchangeFailure.CONNECTION_LOST, True, "reset inside its answer")

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            # The endpoint may have responded and closed before it read everything. Whether it did
            # turns out when the response is read.
            self._may_be_reset = self._may_be_reset or not shows_end(error)

    async def _stop_on_early_response(self, scope: trio.CancelScope) -> None:
        """Stop sending when the response starts; interim ones say nothing about the request."""
        try:
            self._early = await self._read_head()
        except ExchangeError as error:
            self._early = error
        scope.cancel()

    async def _next_event(self) -> object:
        self._pieces += 1
        if self._pieces >= PIECES_PER_TURN:
            self._pieces = 0
            await trio.lowlevel.checkpoint()  # Before an event is taken, which is not lost so.
        while True:
            try:
                event = self._connection.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._stream.receive_some(READ_BYTES)
                self._pieces = 0
                if not data:
                    self._check_end()
                self._count_received(len(data))
                self._folded_lines.feed(data)
                self._connection.receive_data(data)
            except ResponseHeadError as error:
                raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, True, str(error)) from error
            except h11.RemoteProtocolError as error:
                # trailing_data[1] says whether h11 has been told of the end of the stream.
                has_ended = self._connection.trailing_data[1]
                failure = (
                    ExchangeFailure.TRUNCATED if has_ended else ExchangeFailure.INVALID_RESPONSE
                )
                raise ExchangeError(failure, True, str(error)) from error
            except trio.BrokenResourceError as error:
                raise ExchangeError(
                    ExchangeFailure.CONNECTION_LOST, True, "the connection broke"
                ) from error


def _checked_head(response: h11.Response) -> ResponseHead:
    """Return the head of a response; raise ExchangeError if it violates HTTP."""
    try:
        check_head(response.status_code, response.headers)
    except ResponseHeadError as error:
        raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, True, str(error)) from error
    return ResponseHead(response.status_code, list(response.headers))


@asynccontextmanager
async def open_exchange(address: str, connect_timeout_s: float) -> AsyncIterator[Exchange]:
    """Connect to an endpoint; raise ExchangeError with ``is_sent`` False if that fails.

    The connection is closed forcefully at the end, whatever its state.
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
    """Return how connecting failed.

    The cause of the error holds one error for each address that was tried.
    """
    cause = error.__cause__
    errors = cause.exceptions if isinstance(cause, BaseExceptionGroup) else (cause,)
    if all(isinstance(each, ConnectionRefusedError) for each in errors):
        return ExchangeFailure.REFUSED
    return ExchangeFailure.NOT_CONNECTED
