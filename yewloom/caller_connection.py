"""One connection of a caller: reading its requests within the limits, and answering them."""

import h11
import structlog
import trio

from yewloom.caller_activity import CallerActivity
from yewloom.caller_messages import (
    CallerGoneError,
    CallerRequest,
    Handler,
    Handlers,
    Reply,
    TakingTime,
)
from yewloom.configuration import CallerLimits
from yewloom.endpoint_calls import READ_BYTES
from yewloom.socket_ages import ReadAges
from yewloom.socket_facts import port_of, read_waiting

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


class CallerConnection:
    """One connection: its requests one after the other."""

    def __init__(
        self,
        activity: CallerActivity,
        stream: trio.abc.HalfCloseableStream,
        handlers: Handlers,
        limits: CallerLimits,
        ages: ReadAges,
    ) -> None:
        self._activity = activity
        self._stream = stream
        self._handlers = handlers
        self._limits = limits
        self._ages = ages
        self._arrived_s: float | None = None  # The next request's first bytes.
        self._taking = TakingTime()
        self._taken_before_s = 0.0  # Of it, up to those bytes.
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._gone = False
        self._requests = 0

    async def run(self) -> None:
        """Answer requests until either side ends the connection."""
        while self._connection.trailing_data[0] or await self._wait_for_bytes():
            if not await self._serve_request():
                return
            self._connection.start_next_cycle()

    async def _serve_request(self) -> bool:
        """Read and answer a request; tell whether the connection may carry another one."""
        try:
            with self._activity.arriving() as limit:
                request = await self._read_request()
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint, "not as it must be")
            return False
        if limit.cancelled_caught:
            await self._refuse(503, "not whole when the host stopped taking requests")
            return False
        return request is not None and await self._answer(request)

    async def _read_request(self) -> CallerRequest | None:
        with trio.move_on_after(self._limits.header_timeout_ms / 1000) as timer:
            head = await self._next_event()
        if timer.cancelled_caught:
            raise h11.RemoteProtocolError("the headers took too long", error_status_hint=408)
        if not isinstance(head, h11.Request):
            return None
        self._check_size(head)
        if not self._activity.takes_requests:
            return self._request(head, b"")  # It is refused, whatever its body.
        if self._connection.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._connection.send(go_on) or b"")
        body = await self._read_body()
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
            0.0 if arrived_s is None else self._taking.total_s() - self._taken_before_s,
        )

    def _check_size(self, head: h11.Request) -> None:
        """Refuse headers over the limit; h11 itself counts only those that come in parts."""
        size = len(head.method) + len(head.target) + REQUEST_LINE_REST_BYTES
        size += sum(len(name) + len(value) + HEADER_REST_BYTES for name, value in head.headers)
        if size > self._limits.max_header_bytes:
            raise h11.RemoteProtocolError("the headers are too long", error_status_hint=431)

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; tell whether there are any."""
        data: bytes | bytearray = b""
        with self._activity.arriving(self._limits.idle_timeout_ms / 1000) as limit:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                return False
        if limit.cancelled_caught:
            data = self._last_look()
        if data:
            self._take(data)
        return bool(data)

    def _last_look(self) -> bytes:
        """Return what came while other connections were looked at; else this one is closed."""
        connection = getattr(self._stream, "socket", None)
        data = b"" if connection is None else read_waiting(connection, READ_BYTES)
        if not data:
            logger.debug("idle connection closed", **self._described())
        return data

    def _take(self, data: bytes | bytearray) -> None:
        """Take in bytes that were just read; the first ones tell when their request came."""
        if self._arrived_s is None and data:
            self._arrived_s = trio.current_time() - self._ages.of(self._stream)
            self._taken_before_s = self._taking.total_s()
        self._connection.receive_data(bytes(data))

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
                self._take(data)
            if timer.cancelled_caught:
                raise h11.RemoteProtocolError("the request stopped", error_status_hint=408)

    async def _answer(self, request: CallerRequest) -> bool:
        """Answer a request; tell whether the connection may carry another one."""
        reply = Reply(
            self._stream, self._connection, lambda: self._activity.is_leaving, self._taking
        )
        handler = self._handlers.take if self._activity.takes_requests else self._handlers.refuse
        with self._activity.request():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_for_leaving, nursery.cancel_scope)
                await self._handle(handler, request, reply)
                nursery.cancel_scope.cancel()
        if self._gone or not reply.is_whole:
            return False
        if self._connection.our_state is h11.MUST_CLOSE:
            await self._close_gently()
            return False
        return self._connection.our_state is h11.DONE

    async def _handle(self, handler: Handler, request: CallerRequest, reply: Reply) -> None:
        try:
            await handler(request, reply)
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
            self._take(data)

    def _described(self) -> dict[str, int | None]:
        """Return what the log tells of the connection: whose it is, and how far it came."""
        connection = getattr(self._stream, "socket", None)
        arrived_s = self._arrived_s
        waited_ms = None if arrived_s is None else round((trio.current_time() - arrived_s) * 1000)
        return {
            "caller_port": port_of(connection) if connection is not None else None,
            "requests": self._requests,
            "held_bytes": len(self._connection.trailing_data[0]),
            "waited_ms": waited_ms,
            "stopping_ms": self._activity.stopping_ms(),
        }

    async def _refuse(self, status: int, reason: str) -> None:
        """Answer a request that can't be read, and close."""
        logger.info("request unreadable", status=status, reason=reason, **self._described())
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            reply = Reply(self._stream, self._connection, lambda: True, self._taking)
            await reply.send_whole(status, [], b"")
        await self._close_gently()

    async def _close_gently(self) -> None:
        with self._activity.closing(), trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
