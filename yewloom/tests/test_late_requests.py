"""Tests of requests that arrive 6 s after a planned stop began, with a simulated clock."""

import socket
import unittest
from collections.abc import Callable
from contextlib import ExitStack

import trio
import trio.testing

from yewloom.addresses import split_address
from yewloom.caller_messages import (
    CallerRequest,
    Handlers,
    ResponseWriter,
    respond_unavailable,
)
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits
from yewloom.early_listener import listen
from yewloom.planned_stop import DEREGISTRATION_DELAY_S, PlannedStop
from yewloom.relay_messages import RelayContext
from yewloom.relay_server import RelayServer
from yewloom.relays import RELAY_PATH
from yewloom.schema.entry_pb2 import RelayedRequest
from yewloom.shutdown import Shutdown
from yewloom.tests.caller_support import request_bytes
from yewloom.tests.free_ports import allocate_address

GRACE_S = 8.0

LATE_S = 6.0
"""When the requests arrive, after the stop began."""

ROUNDS = 10
"""Repetitions of a test whose result may depend on the order of tasks, which trio draws."""

IDLE_S = 0.02
"""Real time without events after which the simulated clock jumps."""

EARLY, SLOW, LATE = "/early", "/slow", "/late"
STREAM_END = b"0\r\n\r\n"


class _NoAlarm:
    """An alarm that never ends the process."""

    def start(self, left_s: Callable[[], float], on_late: Callable[[float], None]) -> None:
        """Do nothing."""


class _NoRequests:
    """No requests to cut off."""

    def end_oldest(self, max_requests: int) -> bool:
        """Return that none were open."""
        return False


class _Host:
    """The callers' and the peers' server of a host, with the planned stop that closes them."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._plan = PlannedStop(GRACE_S)
        self.accepted_paths: list[str] = []
        self.may_answer = trio.Event()
        self.address, self.peer_address = allocate_address(), allocate_address()
        self._server = CallerServer(Handlers(self._handle, respond_unavailable), CallerLimits)
        relays = RelayServer(
            self._handle_relayed, respond_unavailable, self._server.activity, respond_unavailable
        )
        self._peer_server = CallerServer(Handlers(relays.handle), CallerLimits)
        self._stop = Shutdown(self._plan, self._server, _NoRequests(), _NoAlarm())

    async def start(self) -> None:
        """Start the servers."""
        await self._nursery.start(self._server.serve, listen(self.address))
        await self._nursery.start(self._peer_server.serve, listen(self.peer_address))

    def begin_stop(self) -> None:
        """Begin the planned stop."""
        self._nursery.start_soon(self._stop.run, trio.current_time())

    async def _handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        self.accepted_paths.append(request.path)
        if request.path == SLOW:
            await response.start(200, [], b"a")
            await self.may_answer.wait()
            await response.finish()
        else:
            await response.send_complete(200, [], b"")

    async def _handle_relayed(
        self, request: CallerRequest, response: ResponseWriter, context: RelayContext
    ) -> None:
        await self._handle(request, response)


class _Connection:
    """A caller's or a peer's connection."""

    def __init__(self, address: str) -> None:
        self._socket = socket.create_connection(split_address(address))
        self._socket.setblocking(False)
        self._trio_socket = trio.socket.from_stdlib_socket(self._socket)

    def send(self, request: bytes) -> None:
        """Send a request without letting the host run."""
        self._socket.sendall(request)

    async def status(self) -> int | None:
        """Return the status of the next response, or None if the connection is closed."""
        received = await self._trio_socket.recv(4096)
        return int(received.split(b" ")[1]) if received else None

    async def read_end(self) -> None:
        """Read the rest of a streamed response."""
        received = b""
        while not received.endswith(STREAM_END):
            data = await self._trio_socket.recv(4096)
            assert data, "a response was truncated"
            received += data

    def close(self) -> None:
        """Close the connection."""
        self._trio_socket.close()


def _relayed_bytes(path: str) -> bytes:
    """Return a complete request of a peer that relays a caller's request."""
    body = RelayedRequest(method=b"GET", target=path.encode(), remaining_ms=1000)
    content = body.SerializeToString()
    head = f"POST {RELAY_PATH.decode()} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(content)}"
    return f"{head}\r\n\r\n".encode() + content


class TestLateRequests(unittest.TestCase):
    """A request that arrives 6 s after a stop began is refused, however it reaches the host."""

    def _run(self, is_held_up: bool) -> None:
        """Stop a host with connections of each kind, and send a request on each 6 s later."""
        clock = trio.testing.MockClock(autojump_threshold=IDLE_S)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                with ExitStack() as connections:
                    await self._send_late(nursery, connections, clock, is_held_up)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=clock)

    async def _send_late(
        self,
        nursery: trio.Nursery,
        connections: ExitStack,
        clock: trio.testing.MockClock,
        is_held_up: bool,
    ) -> None:
        host = _Host(nursery)
        await host.start()

        def connect(address: str) -> _Connection:
            connection = _Connection(address)
            connections.callback(connection.close)
            return connection

        kept, answering, peer = [
            connect(address) for address in (host.address, host.address, host.peer_address)
        ]
        kept.send(request_bytes(EARLY))
        peer.send(_relayed_bytes(EARLY))
        self.assertEqual([await kept.status(), await peer.status()], [200, 200])
        answering.send(request_bytes(SLOW))
        self.assertEqual(await answering.status(), 200)
        host.begin_stop()
        if is_held_up:
            await trio.sleep(DEREGISTRATION_DELAY_S / 2)
            clock.jump(LATE_S - DEREGISTRATION_DELAY_S / 2)
            queued = connect(host.address)
            for connection in (kept, queued):
                connection.send(request_bytes(LATE))
        else:
            await trio.sleep(LATE_S)
            self.assertIsNone(await kept.status())
            with self.assertRaises(ConnectionRefusedError):
                connect(host.address)
        peer.send(_relayed_bytes(LATE))
        host.may_answer.set()
        if is_held_up:
            self.assertEqual([await kept.status(), await queued.status()], [503, 503])
        await answering.read_end()
        answering.send(request_bytes(LATE))
        self.assertEqual([await answering.status(), await peer.status()], [503, 503])
        self.assertEqual(host.accepted_paths.count(LATE), 0)

    # Guards against requests that a stopping host takes seconds after SIGTERM and then cuts off.
    def test_a_request_that_arrives_6_s_after_the_stop_began_is_refused(self) -> None:
        self._run(is_held_up=False)

    # Guards against the same on a host that was held up over the closing and reads before closing.
    def test_a_host_held_up_over_the_closing_refuses_what_arrived_meanwhile(self) -> None:
        for _ in range(ROUNDS):
            self._run(is_held_up=True)


if __name__ == "__main__":
    unittest.main()
