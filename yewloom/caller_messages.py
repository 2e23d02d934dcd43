"""A caller's request as it was read whole, and the reply to it."""

from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

import h11
import trio

from yewloom.endpoint_calls import Header
from yewloom.values import value_class

SEND_LIMIT_S = 10.0
"""Longest time for a whole answer to go out; then the caller counts as gone. It is longer than
usual deadlines, so that a slow caller is given all of its time. The parts of a stream go out within
the time of its request."""


@value_class
class CallerRequest:
    """A whole request of a caller; header names are in lower case.

    ``arrived_s`` is when its first bytes may have come at the earliest, ``read_s`` when it was read
    whole. ``number_on_connection`` is 1 for the first request of a connection; ``stopping_ms`` is
    how long the host had been stopping when the request was read, or None. ``kept_waiting_s`` is
    how long it then waited for its own caller to take the answers before it.
    """

    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: bytes
    arrived_s: float
    read_s: float
    number_on_connection: int
    stopping_ms: int | None
    kept_waiting_s: float = 0.0

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class CallerGoneError(Exception):
    """The caller closed its connection."""


class TakingTime:
    """For how long the caller of a connection has been taking what was sent to it, in seconds."""

    def __init__(self) -> None:
        self._ended_s = 0.0
        self._began_s: float | None = None

    def total_s(self) -> float:
        """Return the time up to now, with what is being sent."""
        open_s = 0.0 if self._began_s is None else trio.current_time() - self._began_s
        return self._ended_s + open_s

    @contextmanager
    def sending(self) -> Iterator[None]:
        """Count the time until the block ends."""
        self._began_s = trio.current_time()
        try:
            yield
        finally:
            self._ended_s = self.total_s()
            self._began_s = None


class Reply:
    """The answer to one request; nothing is sent before ``start`` or ``send_whole``.

    A call that is cancelled before it begins to send leaves the answer unstarted.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        connection: h11.Connection,
        should_close: Callable[[], bool],
        taking: TakingTime,
    ) -> None:
        self._taking = taking
        self._stream = stream
        self._connection = connection
        self._should_close = should_close
        self._is_intact = True
        self.status = 0

    @property
    def is_started(self) -> bool:
        """Tell whether a part of the answer was sent."""
        return self.status != 0

    @property
    def is_whole(self) -> bool:
        """Tell whether the answer was sent to its end."""
        has_ended = self._connection.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        return self.is_started and has_ended and self._is_intact

    async def send_whole(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send an answer with its length."""
        await trio.lowlevel.checkpoint_if_cancelled()
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, [*headers, length])
        if body:
            data += self._connection.send(h11.Data(data=body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(SEND_LIMIT_S) as limit:
            await self._write(data)
        if limit.cancelled_caught:
            raise CallerGoneError

    async def start(self, status: int, headers: Sequence[Header], first: bytes) -> None:
        """Send status, headers and a first part of the body."""
        await trio.lowlevel.checkpoint_if_cancelled()
        data = self._head(status, headers)
        await self._write(data + (self._connection.send(h11.Data(data=first)) or b""))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._connection.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """Mark the answer as whole."""
        await self._write(self._connection.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Sequence[Header]) -> bytes:
        self.status = status
        close = [(b"connection", b"close")] if self._should_close() else []
        response = h11.Response(status_code=status, headers=[*headers, *close])
        return self._connection.send(response) or b""

    async def _write(self, data: bytes) -> None:
        """Send bytes; an answer whose sending was cut off can't be gone on with."""
        if not data:
            return
        self._is_intact = False
        try:
            with self._taking.sending():
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError from error
        self._is_intact = True


Handler = Callable[[CallerRequest, Reply], Awaitable[None]]
"""Answers one request; an answer that it leaves unfinished is cut off."""


async def refuse_unavailable(request: CallerRequest, reply: Reply) -> None:
    """Answer that a request has not run."""
    await reply.send_whole(503, [], b"")


@value_class
class Handlers:
    """Who answers requests: while the server takes them, and once it takes none any more."""

    take: Handler
    refuse: Handler = refuse_unavailable
