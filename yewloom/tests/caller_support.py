"""One in-memory caller connection, for tests with a virtual clock."""

from contextlib import suppress

import h11
import trio
import trio.testing

from yewloom.caller_activity import CallerActivity
from yewloom.caller_connection import CallerConnection
from yewloom.caller_messages import CallerDisconnectedError, CallerRequest, Handlers, ResponseWriter
from yewloom.configuration import CallerLimits
from yewloom.planned_stop import DEREGISTRATION_DELAY_S
from yewloom.socket_ages import ReadAges

STREAM, PLAIN = "/stream", "/plain"

MemoryStream = trio.StapledStream[trio.testing.MemorySendStream, trio.testing.MemoryReceiveStream]


class Caller:
    """The caller's end of a connection."""

    def __init__(self, stream: MemoryStream) -> None:
        self.stream = stream

    async def send(self, *paths: str) -> None:
        """Send complete requests without waiting for responses."""
        await self.stream.send_all(b"".join(request_bytes(path) for path in paths))

    async def responses(self, allow_truncated: bool = False) -> list[tuple[int, bytes]]:
        """Read until the connection ends; return status and body of each complete response."""
        data = b""
        while part := await self.stream.receive_some(65536):
            data += part
        return parse_responses(data, allow_truncated)


def request_bytes(path: str) -> bytes:
    """Return a complete request."""
    return f"GET {path} HTTP/1.1\r\nhost: x.example\r\n\r\n".encode()


def parse_responses(data: bytes, allow_truncated: bool = False) -> list[tuple[int, bytes]]:
    """Return status and body of each complete response in the bytes of a connection.

    Only with ``allow_truncated`` may the last response be truncated.
    """
    connection = h11.Connection(h11.CLIENT)
    connection.receive_data(data)
    responses: list[tuple[int, bytes]] = []
    while connection.trailing_data[0]:
        connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        connection.send(h11.EndOfMessage())
        head, body = connection.next_event(), b""
        assert isinstance(head, h11.Response), head
        while isinstance(event := connection.next_event(), h11.Data):
            body += event.data
        if event is h11.NEED_DATA and allow_truncated:
            break
        assert isinstance(event, h11.EndOfMessage), "a response was truncated"
        responses.append((head.status_code, body))
        if connection.their_state is not h11.DONE:
            break
        connection.start_next_cycle()
    return responses


class Server:
    """In-memory caller connections; streams end when ``may_end`` is set.

    Requests whose path begins with ``STREAM`` get a streamed response.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self.activity = CallerActivity()
        self.accepted_paths: list[str] = []
        self.may_end = trio.Event()
        self._running: set[trio.CancelScope] = set()

    def open(self) -> Caller:
        """Open a connection, as if it had just been accepted."""
        ours, theirs = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self._serve, theirs)
        return Caller(ours)

    async def _serve(self, stream: MemoryStream) -> None:
        connection = CallerConnection(
            self.activity, stream, Handlers(self._handle), CallerLimits, ReadAges()
        )
        with trio.CancelScope() as scope:
            self._running.add(scope)
            with suppress(CallerDisconnectedError):
                await connection.run()
        self._running.discard(scope)
        await trio.aclose_forcefully(stream)

    async def _handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        self.accepted_paths.append(request.path)
        if not request.path.startswith(STREAM):
            await response.send_complete(200, [], b"plain")
            return
        await response.start(200, [], b"a")
        await self.may_end.wait()
        await response.send(b"b")
        await response.finish()

    async def begin_stop(self) -> None:
        """Begin a planned stop, and wait until the deregistration delay is over."""
        self.activity.begin_stop()
        await trio.sleep(DEREGISTRATION_DELAY_S)

    def stop_accepting(self) -> None:
        """Accept no more requests."""
        self.activity.stop_accepting()

    def cancel_all(self) -> None:
        """Cancel the remaining connections, as when the process exits."""
        for scope in self._running:
            scope.cancel()
