"""Proxies on the loopback that delay, reset, silence or cut what goes through them."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from yewloom.addresses import split_address
from yewloom.socket_ages import received_ago_s

READ_BYTES = 65536
"""Longest piece of data that is carried at once."""

CONNECT_TIMEOUT_S = 2.0
"""Time until a link gives up to reach its target, which serves on the same machine."""

DELAY_S = 0.15
"""Delay of each piece of data: about the objective of the shortest requests."""

MAX_DATAGRAM_BYTES = 65507
"""Longest datagram of UDP over IPv4."""

RESET_CHECK_S = 0.02
"""Pause between two looks whether open connections are reset."""


FirstBytes = Callable[[bytes, float], None]
"""Is told of the first bytes of a connection, and when they came."""


class LinkFault(Enum):
    """What befalls a link; ``CUT_BACK`` loses answers only, ``SILENT`` both ways.

    A connection on which bytes were lost says nothing more that way, as bytes that came behind them
    would be taken for them.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_BACK = "cut_back"
    SILENT = "silent"


@dataclass
class Link:
    """One proxied address; ``fault`` may change at any time and holds for open connections too.

    ``on_first`` is told of the first bytes of each connection, and when they came: by the system's
    word, as this process may read them late.
    """

    target: str
    address: str = ""
    fault: LinkFault = LinkFault.NONE
    on_first: FirstBytes | None = None
    _silenced: int = field(default=0, init=False)

    def silence_open(self) -> None:
        """Carry nothing more on the connections that are open now; new ones are carried."""
        self._silenced += 1

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen on a free port, ``address``, and serve until the nursery is cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self._carry, listeners)

    async def _carry(self, caller: trio.SocketStream) -> None:
        """Carry one connection; a fault or an end of either side ends both."""
        opened = self._silenced
        try:
            if self.fault is LinkFault.RESET:
                return
            with trio.fail_after(CONNECT_TIMEOUT_S):
                server = await trio.open_tcp_stream(*split_address(self.target))
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_for_reset, nursery.cancel_scope)
                nursery.start_soon(self._pump, caller, server, LinkFault.SILENT, opened)
                await self._pump(server, caller, LinkFault.CUT_BACK, opened)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.TooSlowError):
            pass  # A side that ends, ends the connection; callers and checks see it there.

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, cut: LinkFault, opened: int
    ) -> None:
        has_lost = False
        on_first = self.on_first if cut is LinkFault.SILENT else None
        while data := await source.receive_some(READ_BYTES):
            if on_first is not None:
                on_first(bytes(data), trio.current_time() - received_ago_s(source.socket))
                on_first = None
            if self.fault is LinkFault.DELAY:
                await trio.sleep(DELAY_S)
            is_silenced = opened != self._silenced
            has_lost = has_lost or is_silenced or self.fault in (cut, LinkFault.SILENT)
            if not has_lost:
                await sink.send_all(data)
        await sink.send_eof()

    async def _watch_for_reset(self, scope: trio.CancelScope) -> None:
        while self.fault is not LinkFault.RESET:  # noqa: ASYNC110 - faults are plain fields
            await trio.sleep(RESET_CHECK_S)
        scope.cancel()


class DatagramFault(Enum):
    """What befalls datagrams on their way to one host; those from it are not touched."""

    NONE = "none"
    LOSE = "lose"
    DELAY = "delay"


@dataclass
class PeerLink:
    """The way of all peers to one entry host: datagrams, and connections at the same port."""

    target: str
    fault: DatagramFault = DatagramFault.NONE
    delay_s: float = 0.0
    _connections: Link = field(init=False)

    def __post_init__(self) -> None:
        self._connections = Link(self.target)

    @property
    def address(self) -> str:
        """Return the address that peers are to use."""
        return self._connections.address

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen on a free port, and serve until the nursery is cancelled."""
        await self._connections.open(nursery)
        datagrams = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await datagrams.bind(split_address(self.address))
        nursery.start_soon(self._carry, datagrams, nursery)

    async def _carry(self, datagrams: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        while True:
            try:
                data = await datagrams.recv(MAX_DATAGRAM_BYTES)
            except ConnectionRefusedError:
                continue  # Tells of an earlier datagram: the host does not run.
            if self.fault is DatagramFault.DELAY:
                nursery.start_soon(self._pass_on, datagrams, data, self.delay_s)
            elif self.fault is DatagramFault.NONE:
                await self._pass_on(datagrams, data, 0.0)

    async def _pass_on(
        self, datagrams: trio.socket.SocketType, data: bytes, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        await datagrams.sendto(data, split_address(self.target))
