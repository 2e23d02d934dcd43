"""A complete request of a caller, and the response to it."""

import socket
import struct
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

import h11
import trio

from yewloom.endpoint_calls import Header
from yewloom.values import value_class

SEND_TIMEOUT_S = 10.0
"""Maximum time to send a complete response; after it the caller is treated as disconnected. It is
longer than usual deadlines, so that a slow caller can use all of its time. A streamed response is
limited by the deadline of its request instead."""

_FIRST_VERSION_WITH_CHUNKS = b"1.1"
"""HTTP version from which on a caller can read a body in chunks."""


@value_class
class CallerRequest:
    """A complete request of a caller; header names are in lower case.

    ``arrived_s`` is the earliest time at which its first bytes may have arrived; ``read_s`` is when
    it had been read completely. ``number_on_connection`` is 1 for the first request of a
    connection. ``stopping_ms`` is how long the host had been stopping when the request was read, or
    None. ``send_blocked_s`` is how long, after its arrival, earlier responses were being sent on
    the same connection.
    """

    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: bytes
    arrived_s: float
    read_s: float
    number_on_connection: int
    stopping_ms: int | None
    send_blocked_s: float = 0.0

    @property
    def path(self) -> str:
        """Return the path without the query string."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class CallerDisconnectedError(Exception):
    """The caller has disconnected."""


class SendTimer:
    """Measures the total time spent sending on a connection, in seconds."""

    def __init__(self) -> None:
        self._completed_s = 0.0
        self._current_began_s: float | None = None

    def total_s(self) -> float:
        """Return the total time so far, including a send in progress."""
        current_s = (
            0.0 if self._current_began_s is None else trio.current_time() - self._current_began_s
        )
        return self._completed_s + current_s

    @contextmanager
    def sending(self) -> Iterator[None]:
        """Count the time until the block ends."""
        self._current_began_s = trio.current_time()
        try:
            yield
        finally:
            self._completed_s = self.total_s()
            self._current_began_s = None


class ResponseWriter:
    """Sends the response to one request; nothing is sent before ``start`` or ``send_complete``.

    If ``start`` or ``send_complete`` is cancelled before it sends anything, the response remains
    unstarted. A response without a length goes in chunks, or ends with the connection if the caller
    knows no chunks. Such a caller can't tell the end of its connection from the end of the
    response, so the connection is reset if it closes before ``finish``, even by the end of the
    process.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        connection: h11.Connection,
        should_close: Callable[[], bool],
        send_timer: SendTimer,
    ) -> None:
        self._send_timer = send_timer
        self._stream = stream
        self._connection = connection
        self._should_close = should_close
        self._is_uninterrupted = True
        self.status = 0

    @property
    def is_started(self) -> bool:
        """Return whether any part of the response was sent."""
        return self.status != 0

    @property
    def is_complete(self) -> bool:
        """Return whether the response was sent completely."""
        has_ended = self._connection.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return self.is_started and has_ended and self._is_uninterrupted

    async def send_complete(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a complete response with its length."""
        await trio.lowlevel.checkpoint_if_cancelled()
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, [*headers, length])
        if body:
            data += self._connection.send(h11.Data(data=body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(SEND_TIMEOUT_S) as timeout_scope:
            await self._write(data)
        if timeout_scope.cancelled_caught:
            raise CallerDisconnectedError

    async def start(self, status: int, headers: Sequence[Header], first: bytes) -> None:
        """Send the status, the headers and the first part of the body."""
        await trio.lowlevel.checkpoint_if_cancelled()
        data = self._head(status, headers)
        if self._ends_with_connection:
            _set_reset_on_close(self._stream, True)
        await self._write(data + (self._connection.send(h11.Data(data=first)) or b""))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._connection.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """End the body."""
        await self._write(self._connection.send(h11.EndOfMessage()) or b"")
        if self._ends_with_connection:
            _set_reset_on_close(self._stream, False)

    @property
    def _ends_with_connection(self) -> bool:
        """Return whether the end of the connection ends a response without a length."""
        version = self._connection.their_http_version
        return version is not None and version < _FIRST_VERSION_WITH_CHUNKS

    def _head(self, status: int, headers: Sequence[Header]) -> bytes:
        close = [(b"connection", b"close")] if self._should_close() else []
        response = h11.Response(status_code=status, headers=[*headers, *close])
        data = self._connection.send(response) or b""
        self.status = status  # Only a response that could be built has started.
        return data

    async def _write(self, data: bytes) -> None:
        """Send bytes; if sending is interrupted, the response can't be continued."""
        if not data:
            return
        self._is_uninterrupted = False
        try:
            with self._send_timer.sending():
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnectedError from error
        self._is_uninterrupted = True


def _set_reset_on_close(stream: trio.abc.Stream, is_on: bool) -> None:
    """Choose whether closing a connection resets it; streams without a socket stay as they are."""
    connection = getattr(stream, "socket", None)
    if connection is not None:
        linger = struct.pack("ii", is_on, 0)  # Whether to discard what is not sent, and a time.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


Handler = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]
"""Handles one request; a response that it does not finish is cut off."""


async def respond_unavailable(request: CallerRequest, response: ResponseWriter) -> None:
    """Respond with 503: the request was not run."""
    await response.send_complete(503, [], b"")


@value_class
class Handlers:
    """Request handlers: one while the server accepts requests, one once it no longer does."""

    accept: Handler
    reject: Handler = respond_unavailable
