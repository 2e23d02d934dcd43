"""One caller connection: reads requests within the configured limits and sends responses."""

from collections.abc import Callable, Sequence

import h11
import structlog
import trio

from yewloom.body_budget import RETRY_AFTER_S, BodiesFullError, BodyBudget, HeldBody
from yewloom.caller_activity import CallerActivity
from yewloom.caller_messages import (
    CallerDisconnectedError,
    CallerRequest,
    Handler,
    Handlers,
    ResponseWriter,
    SendTimer,
)
from yewloom.configuration import CallerLimits
from yewloom.endpoint_calls import PIECES_PER_TURN, READ_BYTES, Header
from yewloom.socket_ages import ReadAges
from yewloom.socket_facts import peer_port_of, read_available

logger = structlog.get_logger(__name__)

MAX_PIPELINED_BYTES = 65536
"""Maximum bytes of further requests buffered while a request is handled; then reading pauses."""

REQUEST_LINE_OVERHEAD_BYTES = 12
"""Length of a request line besides method and target: two spaces, ``HTTP/1.1`` and CRLF."""

HEADER_OVERHEAD_BYTES = 4
"""Length of a header line besides name and value: colon, space and CRLF."""

LINGER_S = 0.5
"""How long unread bytes are drained after a last response, so that a TCP reset does not discard the
response before the caller reads it."""


class CallerConnection:
    """One connection, which serves its requests in sequence.

    ``limits`` returns the limits in force, which may change while the connection is kept.
    """

    def __init__(
        self,
        activity: CallerActivity,
        stream: trio.abc.HalfCloseableStream,
        handlers: Handlers,
        limits: Callable[[], CallerLimits],
        ages: ReadAges,
        bodies: BodyBudget | None = None,
    ) -> None:
        self._bodies = bodies or BodyBudget()
        self._activity = activity
        self._stream = stream
        self._handlers = handlers
        self._limits = limits
        self._ages = ages
        self._arrived_s: float | None = None  # When the next request's first bytes arrived.
        self._send_timer = SendTimer()
        self._send_time_at_arrival_s = 0.0  # Total send time at that arrival.
        self._max_header_bytes = limits().max_header_bytes
        self._connection = self._new_connection()
        self._is_disconnected = False
        self._requests = 0
        self._pieces = 0  # Pieces of requests that were taken since other tasks ran.

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while self._connection.trailing_data[0] or await self._wait_for_bytes():
            if not await self._serve_request():
                return
            self._connection.start_next_cycle()

    def _new_connection(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._max_header_bytes)

    def _apply_header_limit(self) -> None:
        """Give the next request, of which bytes may have arrived, a parser with the limit in force.

        h11 can't change the limit of a connection.
        """
        max_header_bytes = self._limits().max_header_bytes
        if max_header_bytes == self._max_header_bytes:
            return
        self._max_header_bytes = max_header_bytes
        data, is_closed = self._connection.trailing_data
        self._connection = self._new_connection()
        self._connection.receive_data(data)
        if is_closed:
            self._connection.receive_data(b"")

    async def _serve_request(self) -> bool:
        """Read and serve one request; return whether the connection may carry another one."""
        self._apply_header_limit()
        with self._bodies.holding() as held:
            return await self._serve_held(held)

    async def _serve_held(self, held: HeldBody) -> bool:
        """Read and serve one request, whose body is held meanwhile."""
        try:
            with self._activity.reading_request() as scope:
                request = await self._read_request(held)
        except BodiesFullError as error:
            retry_after = (b"retry-after", f"{RETRY_AFTER_S:g}".encode())
            await self._reject(503, f"no room for the body: {error}", [retry_after])
            return False
        except h11.RemoteProtocolError as error:
            await self._reject(
                error.error_status_hint, "malformed request, or a size or time limit exceeded"
            )
            return False
        if scope.cancelled_caught:
            await self._reject(503, "request incomplete when the host stopped accepting requests")
            return False
        return request is not None and await self._respond(request)

    async def _read_request(self, held: HeldBody) -> CallerRequest | None:
        with trio.move_on_after(self._limits().header_timeout_ms / 1000) as timeout_scope:
            head = await self._next_event()
        if timeout_scope.cancelled_caught:
            raise h11.RemoteProtocolError("headers not received in time", error_status_hint=408)
        if not isinstance(head, h11.Request):
            return None
        self._check_header_size(head)
        if not self._activity.accepts_requests:
            return self._request(head, b"")  # It will be rejected, so its body is not needed.
        held.grow(min(_announced_bytes(head), self._limits().max_body_bytes))
        if self._connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._connection.send(continue_response) or b"")
        body = await self._read_body(held)
        return self._request(head, body) if body is not None else None

    def _request(self, head: h11.Request, body: bytes) -> CallerRequest:
        self._requests += 1
        read_s = trio.current_time()
        arrived_s, self._arrived_s = self._arrived_s, None
        return CallerRequest(
            head.method,
            head.target,
            list(head.headers),
            body,
            read_s if arrived_s is None else arrived_s,
            read_s,
            self._requests,
            self._activity.stopping_ms(),
            0.0 if arrived_s is None else self._send_timer.total_s() - self._send_time_at_arrival_s,
        )

    def _check_header_size(self, head: h11.Request) -> None:
        """Reject headers over the limit; h11 itself only checks headers that arrive in parts."""
        size = len(head.method) + len(head.target) + REQUEST_LINE_OVERHEAD_BYTES
        size += sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in head.headers)
        if size > self._max_header_bytes:
            raise h11.RemoteProtocolError("headers larger than the limit", error_status_hint=431)

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; return whether any arrived."""
        idle_since_s = trio.current_time()
        data = await self._read_while_idle(idle_since_s)
        while data is None and self._may_stay_idle(idle_since_s):
            data = await self._read_while_idle(idle_since_s)
        if data is None:
            data = self._read_pending()
        if data:
            self._receive(data)
        return bool(data)

    async def _read_while_idle(self, idle_since_s: float) -> bytes | bytearray | None:
        """Return received bytes, none if the caller has closed, or None when the time is over."""
        with self._activity.reading_request(self._idle_left_s(idle_since_s)):
            try:
                return await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                return b""
        return None

    def _may_stay_idle(self, idle_since_s: float) -> bool:
        """Return whether a wait that has timed out goes on, as its limit was raised meanwhile."""
        return self._activity.accepts_requests and self._idle_left_s(idle_since_s) > 0

    def _idle_left_s(self, idle_since_s: float) -> float:
        """Return how much longer a connection that is idle since then may stay open."""
        idle_until_s = idle_since_s + self._limits().idle_timeout_ms / 1000
        return max(0.0, idle_until_s - trio.current_time())

    def _read_pending(self) -> bytes:
        """Read data that arrived after the wait timed out, while other connections were handled.

        If there is none, the connection is about to be closed as idle.
        """
        connection = getattr(self._stream, "socket", None)
        data = b"" if connection is None else read_available(connection, READ_BYTES)
        if not data:
            logger.debug("idle connection closed", **self._log_fields())
        return data

    def _receive(self, data: bytes | bytearray) -> None:
        """Pass received bytes to h11; the first bytes of a request set its arrival time."""
        if self._arrived_s is None and data:
            self._arrived_s = trio.current_time() - self._ages.of(self._stream)
            self._send_time_at_arrival_s = self._send_timer.total_s()
        self._connection.receive_data(bytes(data))

    async def _read_body(self, held: HeldBody) -> bytes | None:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                held.grow(len(body))
                if len(body) > self._limits().max_body_bytes:
                    raise h11.RemoteProtocolError(
                        "body larger than the limit", error_status_hint=413
                    )
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                return None

    async def _next_event(self) -> object:
        self._pieces += 1
        if self._pieces >= PIECES_PER_TURN:
            self._pieces = 0
            await trio.lowlevel.checkpoint()
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            with trio.move_on_after(self._limits().idle_timeout_ms / 1000) as timeout_scope:
                try:
                    data = await self._stream.receive_some(READ_BYTES)
                except trio.BrokenResourceError as error:
                    raise CallerDisconnectedError from error
                self._pieces = 0
                self._receive(data)
            if timeout_scope.cancelled_caught:
                raise h11.RemoteProtocolError(
                    "no more request data received in time", error_status_hint=408
                )

    async def _respond(self, request: CallerRequest) -> bool:
        """Send the response to a request; return whether the connection may carry another one."""
        response = ResponseWriter(
            self._stream, self._connection, lambda: self._activity.is_stopping, self._send_timer
        )
        handler = (
            self._handlers.accept if self._activity.accepts_requests else self._handlers.reject
        )
        with self._activity.request():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_for_disconnect, nursery.cancel_scope)
                await self._handle(handler, request, response)
                nursery.cancel_scope.cancel()
        if self._is_disconnected or not response.is_complete:
            return False
        if self._connection.our_state is h11.MUST_CLOSE:
            await self._linger_and_close()
            return False
        return self._connection.our_state is h11.DONE

    async def _handle(
        self, handler: Handler, request: CallerRequest, response: ResponseWriter
    ) -> None:
        try:
            await handler(request, response)
        except CallerDisconnectedError:
            self._is_disconnected = True

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its caller closes the connection."""
        buffered_bytes = 0
        while buffered_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                data = b""
            if not data:
                self._is_disconnected = True
                scope.cancel()
                return
            buffered_bytes += len(data)
            self._receive(data)

    def _log_fields(self) -> dict[str, int | None]:
        """Return log fields that identify the connection and show its progress."""
        connection = getattr(self._stream, "socket", None)
        arrived_s = self._arrived_s
        waited_ms = None if arrived_s is None else round((trio.current_time() - arrived_s) * 1000)
        return {
            "caller_port": peer_port_of(connection) if connection is not None else None,
            "requests": self._requests,
            "held_bytes": len(self._connection.trailing_data[0]),
            "waited_ms": waited_ms,
            "stopping_ms": self._activity.stopping_ms(),
        }

    async def _reject(self, status: int, reason: str, headers: Sequence[Header] = ()) -> None:
        """Send an error response to a request that can't be read, and close the connection."""
        logger.info(
            "request rejected by the connection", status=status, reason=reason, **self._log_fields()
        )
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = ResponseWriter(
                self._stream, self._connection, lambda: True, self._send_timer
            )
            await response.send_complete(status, list(headers), b"")
        await self._linger_and_close()

    async def _linger_and_close(self) -> None:
        with self._activity.closing(), trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


def _announced_bytes(head: h11.Request) -> int:
    """Return the length of the body that a request announces; 0 if it comes in chunks."""
    values = (value for name, value in head.headers if name == b"content-length")
    return int(next(values, b"0"))
