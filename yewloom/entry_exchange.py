"""Datagrams among the entry hosts, in which each tells its peers what it knows.

Datagrams rather than calls: a message tells the whole of what its sender knows, the next one comes
a fifth of a second later, and nobody waits for a peer that is cut off. The peers in the same data
centre get every message; of those elsewhere, some get each one in turn, so that a host's work grows
with its data centre alone.
"""

import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

import structlog
import trio
from google.protobuf.message import DecodeError

from yewloom.addresses import split_address
from yewloom.configuration import ConfigurationBook
from yewloom.entry_addresses import EntryAddresses
from yewloom.entry_states import PeerBoard, PeerWords
from yewloom.follow_duty import FollowDuty
from yewloom.followed_position import FollowedPosition
from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.listed_endpoints import ChangedEndpoints, decode_changes, encode_changes
from yewloom.schema.entry_pb2 import (
    EndpointChanges,
    EndpointLoad,
    EntryMessage,
    EntryState,
)
from yewloom.selection import Selector
from yewloom.stalls import StallDetector

logger = structlog.get_logger(__name__)

SEND_INTERVAL_S = 0.2
"""Pause between two messages to each peer in the data centre; some 300 bytes each on the trial
deployments."""

REMOTE_PEERS_AT_ONCE = 12
"""Peers in other data centres that get one message: all of them on the smaller trial deployments,
each once a second on the largest."""

MAX_DATAGRAM_BYTES = 65507
"""Longest datagram of UDP over IPv4."""

MAX_CHANGES_BYTES = 8192
"""Longest message about changed endpoints, some fifty of them. Peers read longer ones from the
store: told to twenty peers they would hold up requests on the slowest trial links (20 Mbit/s)."""


@dataclass(frozen=True, slots=True)
class Standing:
    """Whether the store answers a host that is not about to stop, and whether it coordinates."""

    can_follow: bool
    is_coordinator: bool


class EntryExchange:
    """Tells the peers what this host knows, and takes in what they tell."""

    def __init__(
        self,
        host_id: EntryHostId,
        data_centre: DataCentreId,
        address: str,
        addresses: EntryAddresses,
        board: PeerBoard,
        book: ConfigurationBook,
        duty: FollowDuty,
        standing: Callable[[], Standing],
        followed_endpoints: FollowedPosition,
        selector: Selector,
        stalls: StallDetector,
        avoid_stalled: Callable[[HostId], None],
        read_configuration: Callable[[], None],
        take_changes: Callable[[ChangedEndpoints], None],
    ) -> None:
        self._host_id = host_id
        self._data_centre = data_centre
        self._address = address
        self._addresses = addresses
        self._board = board
        self._book = book
        self._duty = duty
        self._standing = standing
        self._followed_endpoints = followed_endpoints
        self._selector = selector
        self._stalls = stalls
        self._avoid_stalled = avoid_stalled
        self._read_configuration = read_configuration
        self._take_changes = take_changes
        self._asked_for_version = 0
        self._sequence = 0
        self._next_remote = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    async def run(self) -> None:
        """Exchange until cancelled."""
        self._socket.bind(split_address(self._address))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._addresses.run)
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send)

    def tell_changes(self, changes: ChangedEndpoints) -> None:
        """Tell the peers in this data centre of changed endpoints, if that is this host's duty."""
        if not self._duty.is_mine():
            return
        data = EntryMessage(changes=encode_changes(changes)).SerializeToString()
        if len(data) > MAX_CHANGES_BYTES:
            logger.info("changes not told", size_bytes=len(data))
            return
        for peer in self._near_peers():
            self._send_to(peer, data)

    async def _send(self) -> None:
        while True:
            await trio.sleep(SEND_INTERVAL_S)
            now_s = trio.current_time()
            self._board.drop_silent(now_s)
            common = EntryMessage(state=self._state(now_s)).SerializeToString()
            for peer in [*self._near_peers(), *self._remote_peers()]:
                # Messages of protobuf that follow each other are read as one.
                echo = self._board.echo_for(peer)
                self._send_to(peer, common + EntryMessage(state=echo).SerializeToString())

    def _near_peers(self) -> list[EntryHostId]:
        """Return the peers in this data centre."""
        known = self._addresses.by_peer.items()
        return [peer for peer, known in known if known.data_centre == self._data_centre]

    def _remote_peers(self) -> list[EntryHostId]:
        """Return those peers in other data centres whose turn it is."""
        known = self._addresses.by_peer.items()
        remote = sorted(peer for peer, known in known if known.data_centre != self._data_centre)
        count = min(REMOTE_PEERS_AT_ONCE, len(remote))
        first = self._next_remote % max(1, len(remote))
        self._next_remote = first + count
        return list(islice([*remote, *remote], first, first + count))

    def _send_to(self, peer: EntryHostId, data: bytes) -> None:
        try:
            self._socket.sendto(data, split_address(self._addresses.by_peer[peer].address))
        except OSError as error:
            # The peer gets the next message; nothing waits for this one.
            logger.debug("datagram not sent", peer=peer, reason=str(error))

    def _state(self, now_s: float) -> EntryState:
        self._sequence += 1
        configuration, standing = self._book.current, self._standing()
        return EntryState(
            host_id=self._host_id,
            data_centre=self._data_centre,
            started_unix_ms=self._board.started_unix_ms,
            sequence=self._sequence,
            sent_ms=round(now_s * 1000),
            configuration_version=configuration.version if configuration is not None else 0,
            configuration_age_ms=self._book.stated_age_ms(now_s),
            loads=[
                EndpointLoad(endpoint=endpoint, running=running)
                for endpoint, running in self._selector.running().items()
            ],
            stalled=self._stalls.reported(now_s),
            can_follow=standing.can_follow,
            is_coordinator=standing.is_coordinator,
            listing=self._followed_endpoints.word(now_s),
        )

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            for message in self._read_waiting():
                self._take(message)

    def _read_waiting(self) -> Iterable[EntryMessage]:
        """Yield the messages that have come."""
        while True:
            try:
                yield EntryMessage.FromString(self._socket.recv(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                return
            except DecodeError as error:
                logger.info("datagram unreadable", reason=str(error))
            except OSError as error:
                # Tells of an earlier message to a peer that does not listen.
                logger.debug("datagram lost", reason=str(error))

    def _take(self, message: EntryMessage) -> None:
        match message.WhichOneof("content"):
            case "state":
                self._take_state(message.state)
            case "changes":
                self._take_told(message.changes)

    def _take_told(self, told: EndpointChanges) -> None:
        try:
            changes = decode_changes(told)
        except ValueError as error:
            logger.error("message unreadable", reason=str(error))
            return
        self._take_changes(changes)

    def _take_state(self, state: EntryState) -> None:
        now_s = trio.current_time()
        words = self._board.take(state, now_s)
        self._take_configuration_word(words)
        if words.listing is not None:
            self._followed_endpoints.on_word(words.listing.word, words.listing.confirmed_s, now_s)
        for head in state.stalled:
            self._avoid_stalled(HostId(head))

    def _take_configuration_word(self, words: PeerWords) -> None:
        word, current = words.configuration, self._book.current
        if word is None or current is None:
            return
        if word.version == current.version:
            self._book.confirm(word.confirmed_s)
        elif word.version > max(current.version, self._asked_for_version):
            self._asked_for_version = word.version
            logger.info("peer has a newer configuration", version=word.version)
            self._read_configuration()
