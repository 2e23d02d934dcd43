"""HTTP/1.1 towards callers: the server that accepts their connections.

h11 frames the bytes and trio carries them, rather than an ASGI server: an answer that breaks off
must not look complete, a caller that leaves must stop its request at once, and a planned stop must
close each connection behind an answer (docs/DESIGN.md).
"""

import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import ExitStack

import structlog
import trio

from yewloom.caller_activity import CallerActivity
from yewloom.caller_connection import CallerConnection
from yewloom.caller_messages import CallerGoneError, Handlers
from yewloom.configuration import CallerLimits
from yewloom.socket_ages import ReadAges

logger = structlog.get_logger(__name__)


class _Listener(trio.abc.Listener[trio.SocketStream]):
    """A listener that calls a function right before its socket is closed."""

    def __init__(self, listener: socket.socket, before_close: Callable[[], None]) -> None:
        self._listener = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
        self._before_close = before_close

    async def accept(self) -> trio.SocketStream:
        """Wait for a connection."""
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Close the socket, with nothing between the function and the close."""
        if self._listener.socket.fileno() >= 0:
            self._before_close()
        await self._listener.aclose()


class CallerServer:
    """Accepts callers' connections and hands their requests to handlers."""

    def __init__(
        self,
        handlers: Handlers,
        limits: Callable[[], CallerLimits],
        ages: ReadAges | None = None,
    ) -> None:
        self._handlers = handlers
        self._limits = limits
        self._ages = ages or ReadAges()
        self.activity = CallerActivity()
        self._accepting = trio.CancelScope()
        self._listener: socket.socket | None = None
        self._listener_open = ExitStack()  # Keeps a stop waiting until no connection may come.
        self._accepted: list[socket.socket] = []
        self._connections: trio.Nursery | None = None

    async def serve(
        self,
        listener: socket.socket,
        wait: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
        accepted: Iterable[socket.socket] = (),
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; those that are open then are cancelled too.

        None is accepted before ``wait`` has returned, unless the server stops meanwhile; those that
        were ``accepted`` already wait as well.
        """
        self._listener = listener
        self._accepted = list(accepted)
        listeners = [_Listener(listener, self._before_close)]
        async with trio.open_nursery() as self._connections:
            task_status.started()
            with self._accepting:
                await wait()
                for stream in self._accepted_connections():
                    self._connections.start_soon(self._serve_connection, stream)
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=self._connections
                )
            await trio.aclose_forcefully(listeners[0])

    def stop_taking(self) -> None:
        """Accept no connection and take no request any more; open requests go on.

        Connections that wait to be accepted were made while callers were sent here: what they ask
        is refused, rather than reset with the socket.
        """
        if self.activity.takes_requests:
            self.activity.stop_taking()
            self._accepting.cancel()
            if self._listener is not None:
                self._listener_open.enter_context(self.activity.closing())
            self._refuse_waiting()

    def _before_close(self) -> None:
        """Look a last time who waits to be accepted; a stop goes on once nobody can any more."""
        with self._listener_open:
            if not self.activity.takes_requests:
                self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        """Refuse what the connections ask that wait to be accepted now."""
        for stream in self._waiting_connections():
            is_closing = ExitStack()
            is_closing.enter_context(self.activity.closing())
            assert self._connections is not None
            self._connections.start_soon(self._refuse_connection, stream, is_closing)

    def _accepted_connections(self) -> Iterator[trio.SocketStream]:
        """Yield the connections that were accepted before the server ran, each once."""
        while self._accepted:
            yield _stream_of(self._accepted.pop(0))

    def _waiting_connections(self) -> Iterator[trio.SocketStream]:
        yield from self._accepted_connections()
        if self._listener is None:
            return
        while True:
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return  # None waits any more.
            except OSError as error:
                logger.warning("waiting connections not accepted", reason=str(error))
                return
            yield _stream_of(connection)

    async def _refuse_connection(self, stream: trio.SocketStream, is_closing: ExitStack) -> None:
        with is_closing:
            await self._serve_connection(stream)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            self.activity, stream, self._handlers, self._limits(), self._ages
        )
        try:
            await connection.run()
        except CallerGoneError:
            pass  # The request's own log line tells; between requests there is nothing to tell.
        except Exception:
            logger.exception("connection failed", reason="unexpected error")
        finally:
            await trio.aclose_forcefully(stream)


def _stream_of(connection: socket.socket) -> trio.SocketStream:
    connection.setblocking(False)
    return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
