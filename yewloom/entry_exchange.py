"""Datagrams among the entry hosts, in which each tells its peers what it knows.

Datagrams rather than calls: a message tells the whole of what its sender knows, the next one comes
a fifth of a second later, and nobody waits for a peer that is cut off. Where there are many peers,
some get each message in turn (``peer_turns``).
"""

import socket
from collections.abc import Callable, Iterable

import structlog
import trio
from google.protobuf.message import DecodeError

from yewloom.addresses import check_address, split_address
from yewloom.entry_addresses import EntryAddresses, PeerAddress
from yewloom.entry_states import PeerBoard
from yewloom.follow_duty import FollowDuty
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.listed_endpoints import ChangedEndpoints, encode_changes
from yewloom.own_state import OwnState
from yewloom.peer_intake import PeerIntake
from yewloom.peer_turns import SEND_INTERVAL_S, PeerTurns, Turn
from yewloom.schema.entry_pb2 import EntryMessage, EntryState

logger = structlog.get_logger(__name__)

MAX_DATAGRAM_BYTES = 65507
"""Longest datagram of UDP over IPv4."""

MAX_CHANGES_BYTES = 8192
"""Longest message about changed endpoints, some fifty of them. Peers read longer ones from the
store: told to all of them they would hold up requests on a slow link."""


class EntryExchange:
    """Tells the peers what this host knows, and takes in what they tell.

    ``late_s`` returns how long ago a message that is read now may have come.
    """

    def __init__(
        self,
        addresses: EntryAddresses,
        board: PeerBoard,
        duty: FollowDuty,
        own_state: OwnState,
        intake: PeerIntake,
        late_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._addresses = addresses
        self._board = board
        self._duty = duty
        self._own_state = own_state
        self._intake = intake
        self._late_s = late_s
        self._turns = PeerTurns()
        self._newcomers: set[EntryHostId] = set()
        self._has_news = trio.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._is_bound = False

    async def run(self) -> None:
        """Exchange until cancelled."""
        if not self._is_bound:  # The socket outlives an error after which this is begun anew.
            self._socket.bind(split_address(self._addresses.own.address))
            self._is_bound = True
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

    def addresses_knowing(self, version: int) -> list[str]:
        """Return the addresses of peers that have a configuration's version, near ones first."""
        knowing = {
            EntryHostId(state.host_id)
            for state in self._board.states()
            if state.configuration_version >= version
        }
        near = self._near_peers()
        in_order = [*near, *(peer for peer in self._addresses.by_peer if peer not in near)]
        return [self._addresses.by_peer[peer].address for peer in in_order if peer in knowing]

    def tell_soon(self) -> None:
        """Tell the peers at once what this host knows, since some of it is urgent news."""
        self._has_news.set()

    async def _send(self) -> None:
        while True:
            with trio.move_on_after(SEND_INTERVAL_S) as pause:
                await self._has_news.wait()
            is_news = not pause.cancelled_caught
            self._has_news = trio.Event()
            now_s = trio.current_time()
            self._board.drop_silent(now_s)
            common = EntryMessage(state=self._own_state.next(now_s)).SerializeToString()
            for turn in self._next_turns(is_news):
                # Messages of protobuf that follow each other are read as one.
                own_part = EntryMessage(state=self._part_for(turn)).SerializeToString()
                self._send_to(turn.peer, common + own_part)

    def _part_for(self, turn: Turn) -> EntryState:
        """Return what a message tells one peer alone: its echo, or where to answer."""
        part = self._board.echo_for(turn.peer)
        part.interval_ms = round(turn.interval_s * 1000)
        if not part.echoed_started_unix_ms:
            part.address = self._addresses.own.address
        return part

    def _next_turns(self, is_news: bool) -> list[Turn]:
        """Return who gets the next message; news and a follower's word go to all that are near.

        So do the first words of a host that starts.
        """
        near = self._near_peers()
        remote = sorted(self._addresses.by_peer.keys() - set(near))
        tells_all = is_news or self._duty.is_mine() or self._duty.is_listening()
        always = set(near) if tells_all else self._duty.near_followers() | self._newcomers
        self._newcomers = set()
        return self._turns.next(near, remote, always)

    def _near_peers(self) -> list[EntryHostId]:
        """Return the peers in this data centre."""
        here = self._addresses.own.data_centre
        known = self._addresses.by_peer.items()
        return [peer for peer, address in known if address.data_centre == here]

    def _send_to(self, peer: EntryHostId, data: bytes) -> None:
        try:
            self._socket.sendto(data, split_address(self._addresses.by_peer[peer].address))
        except OSError as error:
            # The peer gets the next message; nothing waits for this one.
            logger.debug("datagram not sent", peer=peer, reason=str(error))

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            now_s = trio.current_time()
            came_s = now_s - self._late_s()
            for message in self._read_waiting():
                self._learn_address(message.state)
                self._intake.take(message, now_s, came_s)

    def _learn_address(self, state: EntryState) -> None:
        """Take in where a peer reads that did not know this host yet; it is told soon."""
        if not state.address:
            return
        try:
            address = PeerAddress(check_address(state.address), DataCentreId(state.data_centre))
        except ValueError as error:
            logger.info("address unreadable", reason=str(error), peer=state.host_id)
            return
        peer = EntryHostId(state.host_id)
        if self._addresses.learn(peer, address):
            self._newcomers.add(peer)

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
