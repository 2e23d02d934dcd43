"""Datagrams among the entry hosts, in which each tells its peers what it knows.

Datagrams rather than calls: a message tells the whole of what its sender knows, the next one comes
a fifth of a second later, and nobody waits for a peer that is cut off.
"""

import time
from collections.abc import Callable
from contextlib import suppress

import structlog
import trio
from google.protobuf.message import DecodeError

from yewloom.addresses import split_address
from yewloom.configuration import ConfigurationBook
from yewloom.entry_addresses import EntryAddresses
from yewloom.entry_states import PeerBoard
from yewloom.ids import EntryHostId, HostId
from yewloom.schema.entry_pb2 import EndpointLoad, EntryState
from yewloom.selection import Selector
from yewloom.stalls import StallDetector

logger = structlog.get_logger(__name__)

SEND_INTERVAL_S = 0.2
"""Pause between two messages to each peer; some 300 bytes each on the trial deployments."""

MAX_DATAGRAM_BYTES = 65507
"""Longest datagram of UDP over IPv4."""


class EntryExchange:
    """Tells the peers what this host knows, and takes in what they tell."""

    def __init__(
        self,
        host_id: EntryHostId,
        address: str,
        addresses: EntryAddresses,
        board: PeerBoard,
        book: ConfigurationBook,
        selector: Selector,
        stalls: StallDetector,
        avoid_stalled: Callable[[HostId], None],
        read_configuration: Callable[[], None],
    ) -> None:
        self._host_id = host_id
        self._address = address
        self._addresses = addresses
        self._board = board
        self._book = book
        self._selector = selector
        self._stalls = stalls
        self._avoid_stalled = avoid_stalled
        self._read_configuration = read_configuration
        self._asked_for_version = 0
        self._started_unix_ms = time.time_ns() // 1_000_000
        self._sequence = 0

    async def run(self) -> None:
        """Exchange until cancelled."""
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket:
            await socket.bind(split_address(self._address))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._addresses.run)
                nursery.start_soon(self._receive, socket)
                nursery.start_soon(self._send, socket)

    async def _send(self, socket: trio.socket.SocketType) -> None:
        while True:
            await trio.sleep(SEND_INTERVAL_S)
            now_s = trio.current_time()
            self._board.drop_silent(now_s)
            state = self._state(now_s)
            # A copy: addresses may be read anew while a message is on its way.
            for peer, address in list(self._addresses.by_peer.items()):
                state.echoed_ms = self._board.echo_for(peer)
                # A peer that can't be reached gets the next message; nothing waits for this one.
                with suppress(OSError):
                    await socket.sendto(state.SerializeToString(), split_address(address))

    def _state(self, now_s: float) -> EntryState:
        self._sequence += 1
        configuration = self._book.current
        return EntryState(
            host_id=self._host_id,
            started_unix_ms=self._started_unix_ms,
            sequence=self._sequence,
            sent_ms=round(now_s * 1000),
            configuration_version=configuration.version if configuration is not None else 0,
            configuration_age_ms=self._book.stated_age_ms(now_s),
            loads=[
                EndpointLoad(endpoint=endpoint, running=running)
                for endpoint, running in self._selector.running().items()
            ],
            stalled=self._stalls.reported(now_s),
        )

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await socket.recvfrom(MAX_DATAGRAM_BYTES)
                self._take(EntryState.FromString(data))
            except (OSError, DecodeError) as error:
                logger.info("datagram lost", reason=str(error))

    def _take(self, state: EntryState) -> None:
        word = self._board.take(state, trio.current_time())
        current = self._book.current
        if word is not None and current is not None:
            if word.version == current.version:
                self._book.confirm(word.confirmed_s)
            elif word.version > max(current.version, self._asked_for_version):
                self._asked_for_version = word.version
                logger.info("peer has a newer configuration", version=word.version)
                self._read_configuration()
        for head in state.stalled:
            self._avoid_stalled(HostId(head))
