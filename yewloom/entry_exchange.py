"""Exchange of state among entry hosts over UDP.

Datagrams are used instead of remote procedure calls: each message holds the full state of its
sender, the next one follows a fifth of a second later, and no host waits for an unreachable peer.
With many peers, each message goes to some of them in turn (``peer_turns``).
"""

import socket
from collections.abc import Callable, Collection, Iterable, Sequence

import structlog
import trio
from google.protobuf.message import DecodeError

from yewloom.addresses import check_address, split_address
from yewloom.datagrams import decode_datagram, encode_datagram
from yewloom.entry_addresses import EntryAddresses, PeerAddress
from yewloom.entry_states import PeerStates
from yewloom.follow_duty import FollowDuty
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.listed_endpoints import ChangedEndpoints, encode_changes
from yewloom.own_state import OwnStateBuilder
from yewloom.peer_intake import PeerIntake
from yewloom.peer_turns import SEND_INTERVAL_S, Recipient, RecipientSelector
from yewloom.schema.entry_pb2 import EntryMessage, EntryState

logger = structlog.get_logger(__name__)

MAX_DATAGRAM_BYTES = 65507
"""Largest payload of a UDP datagram over IPv4."""

MAX_CHANGES_BYTES = 8192
"""Largest datagram about changed endpoints, enough for some 250 of them.

Peers read larger changes from the store: sent to all peers, they would delay requests on a slow
link."""

READ_PAUSE_S = 0.02
"""Time in which datagrams accumulate before they are read. A host of a large deployment gets some
hundred a second, and each pass of the event loop costs as much as decoding one."""


class EntryExchange:
    """Sends this host's state to the peers and processes the messages that they send.

    ``loop_delay_s`` returns for how long a message that is read now may have waited in the socket.
    """

    def __init__(
        self,
        addresses: EntryAddresses,
        peer_states: PeerStates,
        duty: FollowDuty,
        own_state: OwnStateBuilder,
        intake: PeerIntake,
        loop_delay_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._addresses = addresses
        self._peer_states = peer_states
        self._duty = duty
        self._own_state = own_state
        self._intake = intake
        self._loop_delay_s = loop_delay_s
        self._recipient_selector = RecipientSelector()
        self._new_peers: set[EntryHostId] = set()
        self._noted_processes: dict[EntryHostId, int] = {}  # Starts of the peers' processes.
        self._unanswered: list[EntryHostId] = []
        self._send_event = trio.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._is_bound = False

    async def run(self) -> None:
        """Send and receive until cancelled."""
        if not self._is_bound:  # After an error the task is restarted with the same socket.
            self._socket.bind(split_address(self._addresses.own.address))
            self._is_bound = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._addresses.run)
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send)

    def send_changes(self, changes: ChangedEndpoints) -> None:
        """Send changed endpoints to the peers in this data centre, if this host is a follower."""
        if not self._duty.has_duty():
            return
        encoded = encode_changes(changes)
        message = (
            EntryMessage(differences=encoded)
            if changes.unchanged_until is not None
            else EntryMessage(changes=encoded)
        )
        data = encode_datagram(message)
        if len(data) > MAX_CHANGES_BYTES:
            logger.info("endpoint changes too large to send to peers", size_bytes=len(data))
            return
        for peer in self._near_peers():
            self._send_to(peer, data)

    def address_of(self, peer: EntryHostId) -> PeerAddress | None:
        """Return the address of a peer, if it is known."""
        return self._addresses.by_peer.get(peer)

    def addresses_with_version(self, version: int) -> list[str]:
        """Return the addresses of peers that have at least this configuration version.

        Peers in this data centre come first.
        """
        up_to_date = {
            EntryHostId(state.host_id)
            for state in self._peer_states.states()
            if state.configuration_version >= version
        }
        near = self._near_peers()
        ordered = [*near, *(peer for peer in self._addresses.by_peer if peer not in near)]
        return [self._addresses.by_peer[peer].address for peer in ordered if peer in up_to_date]

    def known_peers(self) -> Collection[EntryHostId] | None:
        """Return the peers whose addresses are known; None until they have been read once."""
        return self._addresses.by_peer.keys() if self._addresses.first_read.is_set() else None

    def send_soon(self) -> None:
        """Send this host's state to the peers now, since it contains an urgent change."""
        self._send_event.set()

    async def _send(self) -> None:
        with trio.move_on_after(SEND_INTERVAL_S):
            await self._addresses.first_read.wait()
            self._send_event.set()  # The first message goes out as soon as there are recipients.
        while True:
            with trio.move_on_after(SEND_INTERVAL_S) as pause:
                await self._send_event.wait()
            is_urgent = not pause.cancelled_caught
            self._send_event = trio.Event()
            now_s = trio.current_time()
            self._peer_states.drop_expired(now_s)
            self._send_state(self._next_recipients(is_urgent), now_s)

    def _send_state(self, recipients: Sequence[Recipient], now_s: float) -> None:
        common = EntryMessage(state=self._own_state.next_state(now_s)).SerializeToString()
        for recipient in recipients:
            # Concatenated protobuf messages are parsed as one merged message.
            peer_part = EntryMessage(state=self._peer_fields(recipient)).SerializeToString()
            self._send_to(recipient.peer, common + peer_part)

    def _peer_fields(self, recipient: Recipient) -> EntryState:
        """Return the fields for one peer: the echo of its last message, or this host's address.

        A peer from which no message was received may not know this host and needs the address to
        reply.
        """
        fields = self._peer_states.echo_for(recipient.peer)
        fields.interval_ms = round(recipient.interval_s * 1000)
        if not fields.echoed_started_unix_ms:
            fields.address = self._addresses.own.address
        return fields

    def _next_recipients(self, is_urgent: bool) -> list[Recipient]:
        """Return the recipients of the next message.

        Urgent changes, the messages of hosts that follow the store, and the first messages of a
        host that starts go to all peers in this data centre.
        """
        near = self._near_peers()
        remote = sorted(self._addresses.by_peer.keys() - set(near))
        to_all_near = is_urgent or self._duty.has_duty() or self._duty.is_starting()
        always = set(near) if to_all_near else self._duty.near_followers() | self._new_peers
        self._new_peers = set()
        return self._recipient_selector.next_recipients(near, remote, always)

    def _near_peers(self) -> list[EntryHostId]:
        """Return the peers in this data centre."""
        here = self._addresses.own.data_centre
        known = self._addresses.by_peer.items()
        return [peer for peer, address in known if address.data_centre == here]

    def _send_to(self, peer: EntryHostId, data: bytes) -> None:
        try:
            self._socket.sendto(data, split_address(self._addresses.by_peer[peer].address))
        except OSError as error:
            # Not retried: the next message replaces this one.
            logger.debug("cannot send datagram", peer=peer, reason=str(error))

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            await trio.sleep(READ_PAUSE_S)
            now_s = trio.current_time()
            arrived_s = now_s - max(READ_PAUSE_S, self._loop_delay_s())
            for message in self._read_pending():
                self._add_reported_address(message.state)
                self._intake.process(message, now_s, arrived_s)
                self._note_new_process(message.state)
            self._reply_to_new_processes(now_s)

    def _note_new_process(self, state: EntryState) -> None:
        """Note a process that has not read a message of this one, when it is first heard."""
        peer = EntryHostId(state.host_id)
        if state.echoed_ms or peer not in self._addresses.by_peer:
            return
        if self._noted_processes.get(peer) != state.started_unix_ms:
            self._noted_processes[peer] = state.started_unix_ms
            self._unanswered.append(peer)

    def _reply_to_new_processes(self, now_s: float) -> None:
        """Send this host's state to processes that have just started; they wait for it."""
        if self._unanswered:
            recipients = [Recipient(peer, SEND_INTERVAL_S) for peer in self._unanswered]
            self._unanswered = []
            self._send_state(recipients, now_s)

    def _add_reported_address(self, state: EntryState) -> None:
        """Add the address of a peer that has not received a message from this host yet.

        The next message goes to that peer too.
        """
        if not state.address:
            return
        try:
            address = PeerAddress(check_address(state.address), DataCentreId(state.data_centre))
        except ValueError as error:
            logger.info("invalid peer address", reason=str(error), peer=state.host_id)
            return
        peer = EntryHostId(state.host_id)
        if self._addresses.add_reported(peer, address):
            self._new_peers.add(peer)

    def _read_pending(self) -> Iterable[EntryMessage]:
        """Yield the messages waiting in the socket."""
        while True:
            try:
                yield decode_datagram(self._socket.recv(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                return
            except DecodeError as error:
                logger.info("cannot decode datagram", reason=str(error))
            except OSError as error:
                # Reports that nothing listens on the port to which an earlier datagram was sent.
                logger.debug("datagram not delivered", reason=str(error))
