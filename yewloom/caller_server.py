"""HTTP/1.1 server that accepts callers' connections.

It uses h11 for framing and trio for I/O instead of an ASGI server, because an interrupted response
must not look complete, a disconnect must cancel the request at once, and a planned stop must close
each connection after a response (docs/DESIGN.md).
"""

import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import ExitStack

import structlog
import trio

from yewloom.body_budget import BodyBudget
from yewloom.caller_activity import CallerActivity
from yewloom.caller_connection import CallerConnection
from yewloom.caller_messages import CallerDisconnectedError, Handlers
from yewloom.configuration import CallerLimits
from yewloom.socket_ages import ReadAges

logger = structlog.get_logger(__name__)


class _CloseHookListener(trio.abc.Listener[trio.SocketStream]):
    """A listener that calls a function immediately before its socket is closed."""

    def __init__(self, listener: socket.socket, before_close: Callable[[], None]) -> None:
        self._listener = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
        self._before_close = before_close

    async def accept(self) -> trio.SocketStream:
        """Accept one connection."""
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Call the function and close the socket, with no checkpoint in between."""
        if self._listener.socket.fileno() >= 0:
            self._before_close()
        await self._listener.aclose()


class CallerServer:
    """Accepts callers' connections and passes their requests to handlers."""

    def __init__(
        self,
        handlers: Handlers,
        limits: Callable[[], CallerLimits],
        ages: ReadAges | None = None,
        bodies: BodyBudget | None = None,
    ) -> None:
        """Initialize; servers that share ``bodies`` hold no more than its bound together."""
        self._bodies = bodies or BodyBudget()
        self._handlers = handlers
        self._limits = limits
        self._ages = ages or ReadAges()
        self.activity = CallerActivity()
        self._accept_scope = trio.CancelScope()
        self._listener: socket.socket | None = None
        self._listener_hold = ExitStack()  # Delays a planned stop until the listener closes.
        self._early_connections: list[socket.socket] = []
        self._connections: trio.Nursery | None = None

    async def serve(
        self,
        listener: socket.socket,
        wait: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
        accepted: Iterable[socket.socket] = (),
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled, which also cancels the connections that are open.

        No connection is served before ``wait`` returns, unless the server stops earlier; this
        includes connections in ``accepted``, which were accepted before the server ran.
        """
        self._listener = listener
        self._early_connections = list(accepted)
        listeners = [_CloseHookListener(listener, self._before_close)]
        async with trio.open_nursery() as self._connections:
            task_status.started()
            with self._accept_scope:
                await wait()
                for stream in self._take_early_connections():
                    self._connections.start_soon(self._serve_connection, stream)
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=self._connections
                )
            await trio.aclose_forcefully(listeners[0])

    def stop_accepting(self) -> None:
        """Accept no more connections or requests; open requests continue.

        Callers may have opened connections that are still in the accept queue. Requests on them are
        rejected; closing the socket alone would reset those connections.
        """
        if not self.activity.is_closed:
            self.activity.stop_accepting()
            self._accept_scope.cancel()
            if self._listener is not None:
                self._listener_hold.enter_context(self.activity.closing())
            self._reject_queued()

    def _before_close(self) -> None:
        """Empty the accept queue once more; after that, the planned stop need not wait for it."""
        with self._listener_hold:
            if self.activity.is_closed:
                self._reject_queued()

    def _reject_queued(self) -> None:
        """Reject the requests on connections that are waiting to be accepted."""
        for stream in self._queued_connections():
            closing_hold = ExitStack()
            closing_hold.enter_context(self.activity.closing())
            assert self._connections is not None
            self._connections.start_soon(self._reject_connection, stream, closing_hold)

    def _take_early_connections(self) -> Iterator[trio.SocketStream]:
        """Yield each connection that was accepted before the server ran, once."""
        while self._early_connections:
            yield _to_stream(self._early_connections.pop(0))

    def _queued_connections(self) -> Iterator[trio.SocketStream]:
        yield from self._take_early_connections()
        if self._listener is None:
            return
        while True:
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return  # The accept queue is empty.
            except OSError as error:
                logger.warning("accept queue not emptied", reason=str(error))
                return
            yield _to_stream(connection)

    async def _reject_connection(self, stream: trio.SocketStream, closing_hold: ExitStack) -> None:
        with closing_hold:
            await self._serve_connection(stream)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            self.activity, stream, self._handlers, self._limits, self._ages, self._bodies
        )
        try:
            await connection.run()
        except CallerDisconnectedError:
            pass  # The request has its own log line; between requests there is nothing to log.
        except Exception:
            logger.exception("connection failed", reason="unexpected error")
        finally:
            await trio.aclose_forcefully(stream)


def _to_stream(connection: socket.socket) -> trio.SocketStream:
    connection.setblocking(False)
    return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
