"""Loopback proxies that can delay, reset or drop the traffic through them."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from yewloom.addresses import split_address
from yewloom.socket_ages import received_ago_s

READ_BYTES = 65536
"""Maximum number of bytes that are forwarded at a time."""

CONNECT_TIMEOUT_S = 2.0
"""Time-out of a link's connection to its target, which is on the same machine."""

DELAY_S = 0.15
"""Delay of each chunk of data: about the latency objective of the shortest requests."""

MAX_DATAGRAM_BYTES = 65507
"""Maximum size of a UDP datagram over IPv4."""

RESET_CHECK_S = 0.02
"""Interval between two checks whether open connections are to be reset."""


FirstBytesCallback = Callable[[bytes, float], None]
"""Callback with the first bytes of a connection, and when they arrived."""


class LinkFault(Enum):
    """Fault of a link; ``CUT_BACK`` drops data to the client, ``SILENT`` data in both directions.

    Once a connection has dropped bytes in one direction, it forwards nothing more that way: later
    bytes would be taken for the dropped ones.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_BACK = "cut_back"
    SILENT = "silent"


@dataclass
class Link:
    """A TCP proxy; ``fault`` may change at any time and applies to open connections too.

    ``on_first_bytes`` is called with the first bytes from the client of each connection, and when
    they arrived. That time is the operating system's, as this process may read them late.
    """

    target: str
    address: str = ""
    fault: LinkFault = LinkFault.NONE
    on_first_bytes: FirstBytesCallback | None = None
    _silence_count: int = field(default=0, init=False)

    def silence_open(self) -> None:
        """Forward nothing more on the connections that are open now; new ones are not affected."""
        self._silence_count += 1

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen on a free port, ``address``, and serve until the nursery is cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self._relay, listeners)

    async def _relay(self, client: trio.SocketStream) -> None:
        """Forward one connection in both directions.

        Both sides are closed when the server ends it, on an error, and on the fault ``RESET``.
        """
        silence_count = self._silence_count
        try:
            if self.fault is LinkFault.RESET:
                return
            with trio.fail_after(CONNECT_TIMEOUT_S):
                server = await trio.open_tcp_stream(*split_address(self.target))
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_for_reset, nursery.cancel_scope)
                nursery.start_soon(self._pump, client, server, LinkFault.SILENT, silence_count)
                await self._pump(server, client, LinkFault.CUT_BACK, silence_count)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.TooSlowError):
            pass  # An error at either side closes the connection; callers and checks notice it.

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        drop_fault: LinkFault,
        silence_count: int,
    ) -> None:
        has_lost = False
        on_first_bytes = self.on_first_bytes if drop_fault is LinkFault.SILENT else None
        while data := await source.receive_some(READ_BYTES):
            if on_first_bytes is not None:
                on_first_bytes(bytes(data), trio.current_time() - received_ago_s(source.socket))
                on_first_bytes = None
            if self.fault is LinkFault.DELAY:
                await trio.sleep(DELAY_S)
            is_silenced = silence_count != self._silence_count
            has_lost = has_lost or is_silenced or self.fault in (drop_fault, LinkFault.SILENT)
            if not has_lost:
                await sink.send_all(data)
        await sink.send_eof()

    async def _watch_for_reset(self, scope: trio.CancelScope) -> None:
        while self.fault is not LinkFault.RESET:  # noqa: ASYNC110 - faults are plain fields
            await trio.sleep(RESET_CHECK_S)
        scope.cancel()


class DatagramFault(Enum):
    """Fault of the datagrams to one host; those that it sends are not affected."""

    NONE = "none"
    LOSE = "lose"
    DELAY = "delay"


@dataclass
class PeerLink:
    """Proxy of all peer traffic to one entry host: datagrams, and connections on the same port."""

    target: str
    fault: DatagramFault = DatagramFault.NONE
    delay_s: float = 0.0
    _connections: Link = field(init=False)

    def __post_init__(self) -> None:
        self._connections = Link(self.target)

    @property
    def address(self) -> str:
        """Return the address that peers use."""
        return self._connections.address

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen on a free port, and serve until the nursery is cancelled."""
        await self._connections.open(nursery)
        datagrams = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await datagrams.bind(split_address(self.address))
        nursery.start_soon(self._relay, datagrams, nursery)

    async def _relay(self, datagrams: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        while True:
            try:
                data = await datagrams.recv(MAX_DATAGRAM_BYTES)
            except ConnectionRefusedError:
                continue  # An earlier datagram was refused: the host does not run.
            if self.fault is DatagramFault.DELAY:
                nursery.start_soon(self._forward, datagrams, data, self.delay_s)
            elif self.fault is DatagramFault.NONE:
                await self._forward(datagrams, data, 0.0)

    async def _forward(
        self, datagrams: trio.socket.SocketType, data: bytes, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        await datagrams.sendto(data, split_address(self.target))
