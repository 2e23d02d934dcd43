"""HTTP/1.1 towards callers: connections, limits, and answers that can be cut off.

h11 frames the bytes and trio carries them, rather than an ASGI server: an answer that breaks off
must not look complete, a caller that leaves must stop its request at once, and a planned stop must
close each connection behind an answer (docs/DESIGN.md).
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import h11
import structlog
import trio

from yewloom.configuration import CallerLimits
from yewloom.endpoint_calls import READ_BYTES, Header

logger = structlog.get_logger(__name__)

MAX_EARLY_BYTES = 65536
"""Bytes of a next request that are held while one is answered; then nothing more is read."""

REQUEST_LINE_REST_BYTES = 12
"""Bytes of a request line beside method and target: two blanks, ``HTTP/1.1`` and the line's end."""

HEADER_REST_BYTES = 4
"""Bytes of a header line beside name and value: colon, blank and the line's end."""

LINGER_S = 0.5
"""Time for which unread bytes are drained behind a last answer, so that a reset does not overtake
it."""

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted; a full queue costs a caller seconds."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request of a caller; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Sequence[Header]
    body: bytes
    arrived_s: float

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if there is none."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class CallerGoneError(Exception):
    """The caller closed its connection."""


class Reply:
    """The answer to one request; nothing is sent before ``start`` or ``send_whole``."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        connection: h11.Connection,
        should_close: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._should_close = should_close
        self.status = 0

    @property
    def is_started(self) -> bool:
        """Tell whether a part of the answer was sent."""
        return self.status != 0

    async def send_whole(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send an answer with its length."""
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, [*headers, length])
        if body:
            data += self._connection.send(h11.Data(data=body)) or b""
        await self._write(data + (self._connection.send(h11.EndOfMessage()) or b""))

    async def start(self, status: int, headers: Sequence[Header], first: bytes) -> None:
        """Send status, headers and a first part of the body."""
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
        if not data:
            return
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError from error


Handler = Callable[[CallerRequest, Reply], Awaitable[None]]
"""Answers one request; an answer that it leaves unfinished is cut off."""


class CallerServer:
    """Accepts callers' connections and hands their requests to a handler."""

    def __init__(self, handler: Handler, limits: Callable[[], CallerLimits]) -> None:
        self._handler = handler
        self._limits = limits
        self._idle: set[trio.CancelScope] = set()
        self._request_ended = trio.Event()
        self.is_leaving = False
        self.open_requests = 0

    async def serve(
        self, address: str, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; those that are open then are cancelled too."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=LISTEN_BACKLOG)
        task_status.started()
        await trio.serve_listeners(self._serve_connection, listeners)

    def end_request(self) -> None:
        """Count a request as over."""
        self.open_requests -= 1
        self._request_ended.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is being answered."""
        while self.open_requests:
            self._request_ended = trio.Event()
            await self._request_ended.wait()

    def close_idle(self) -> None:
        """Close connections on which no request is being read or answered."""
        for scope in self._idle:
            scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = _CallerConnection(self, stream, self._handler, self._limits())
        try:
            await connection.run()
        except CallerGoneError:
            pass  # The request's own log line tells; between requests there is nothing to tell.
        except Exception:
            logger.exception("connection failed", reason="unexpected error")
        finally:
            await trio.aclose_forcefully(stream)


class _CallerConnection:
    """One connection: its requests one after the other."""

    def __init__(
        self,
        server: CallerServer,
        stream: trio.SocketStream,
        handler: Handler,
        limits: CallerLimits,
    ) -> None:
        self._server = server
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._gone = False

    async def run(self) -> None:
        """Answer requests until either side ends the connection."""
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint)
                return
            if request is None:
                return
            if not await self._answer(request):
                return
            self._connection.start_next_cycle()

    async def _read_request(self) -> CallerRequest | None:
        if not self._connection.trailing_data[0] and not await self._wait_for_bytes():
            return None
        with trio.move_on_after(self._limits.header_timeout_ms / 1000) as timer:
            head = await self._next_event()
        if timer.cancelled_caught:
            raise h11.RemoteProtocolError("the headers took too long", error_status_hint=408)
        if not isinstance(head, h11.Request):
            return None
        self._check_size(head)
        if self._connection.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._connection.send(go_on) or b"")
        body = await self._read_body()
        if body is None:
            return None
        return CallerRequest(
            head.method, head.target, list(head.headers), body, trio.current_time()
        )

    def _check_size(self, head: h11.Request) -> None:
        """Refuse headers over the limit; h11 itself counts only those that come in parts."""
        size = len(head.method) + len(head.target) + REQUEST_LINE_REST_BYTES
        size += sum(len(name) + len(value) + HEADER_REST_BYTES for name, value in head.headers)
        if size > self._limits.max_header_bytes:
            raise h11.RemoteProtocolError("the headers are too long", error_status_hint=431)

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; tell whether there are any."""
        data = b""
        with trio.move_on_after(self._limits.idle_timeout_ms / 1000) as scope:
            self._server._idle.add(scope)  # noqa: SLF001 - one class in two parts
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                return False
            finally:
                self._server._idle.discard(scope)  # noqa: SLF001
        if data:
            self._connection.receive_data(data)
        return bool(data)

    async def _read_body(self) -> bytes | None:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    raise h11.RemoteProtocolError("the body is too long", error_status_hint=413)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                return None

    async def _next_event(self) -> object:
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            with trio.move_on_after(self._limits.idle_timeout_ms / 1000) as timer:
                try:
                    data = await self._stream.receive_some(READ_BYTES)
                except trio.BrokenResourceError as error:
                    raise CallerGoneError from error
                self._connection.receive_data(data)
            if timer.cancelled_caught:
                raise h11.RemoteProtocolError("the request stopped", error_status_hint=408)

    async def _answer(self, request: CallerRequest) -> bool:
        """Answer a request; tell whether the connection may carry another one."""
        reply = Reply(self._stream, self._connection, lambda: self._server.is_leaving)
        self._server.open_requests += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_for_leaving, nursery.cancel_scope)
                await self._handle(request, reply)
                nursery.cancel_scope.cancel()
        finally:
            self._server.end_request()
        if self._gone:
            return False
        if self._connection.our_state is h11.MUST_CLOSE:
            await self._close_gently()
            return False
        return self._connection.our_state is h11.DONE

    async def _handle(self, request: CallerRequest, reply: Reply) -> None:
        try:
            await self._handler(request, reply)
        except CallerGoneError:
            self._gone = True

    async def _watch_for_leaving(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller closes the connection."""
        held = 0
        while held < MAX_EARLY_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                data = b""
            if not data:
                self._gone = True
                scope.cancel()
                return
            held += len(data)
            self._connection.receive_data(data)

    async def _refuse(self, status: int) -> None:
        """Answer a request that can't be read, and close."""
        logger.info("request unreadable", status=status)
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            reply = Reply(self._stream, self._connection, lambda: True)
            await reply.send_whole(status, [], b"")
        await self._close_gently()

    async def _close_gently(self) -> None:
        with trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
