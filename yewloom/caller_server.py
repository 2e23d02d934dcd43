"""HTTP/1.1 towards callers: the server that accepts their connections.

h11 frames the bytes and trio carries them, rather than an ASGI server: an answer that breaks off
must not look complete, a caller that leaves must stop its request at once, and a planned stop must
close each connection behind an answer (docs/DESIGN.md).
"""

import socket
from collections.abc import Callable

import structlog
import trio

from yewloom.caller_activity import CallerActivity
from yewloom.caller_connection import CallerConnection
from yewloom.caller_messages import CallerGoneError, Handlers
from yewloom.configuration import CallerLimits

logger = structlog.get_logger(__name__)


class CallerServer:
    """Accepts callers' connections and hands their requests to handlers."""

    def __init__(self, handlers: Handlers, limits: Callable[[], CallerLimits]) -> None:
        self._handlers = handlers
        self._limits = limits
        self.activity = CallerActivity()
        self._accepting = trio.CancelScope()

    async def serve(
        self, listener: socket.socket, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; those that are open then are cancelled too."""
        listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(listener))]
        task_status.started()
        async with trio.open_nursery() as connections:
            with self._accepting:
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=connections
                )

    def stop_taking(self) -> None:
        """Accept no connection and take no request any more; open requests go on."""
        self.activity.stop_taking()
        self._accepting.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(self.activity, stream, self._handlers, self._limits())
        try:
            await connection.run()
        except CallerGoneError:
            pass  # The request's own log line tells; between requests there is nothing to tell.
        except Exception:
            logger.exception("connection failed", reason="unexpected error")
        finally:
            await trio.aclose_forcefully(stream)
