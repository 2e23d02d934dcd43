"""Relay requests to a peer that can send them to an endpoint while this host cannot.

Callers keep their connections to a host that is cut off from endpoints, and the load balancer may
send it new ones: it uses all hosts of a data centre if most of them are not ready. A peer forwards
the request like one of its own callers', with the time and the attempts that are left, and does not
relay it again. Its response is passed on unchanged.

A host also relays requests while it has used up its shares of the rate limits of all suitable
endpoints: the callers may have come to a few hosts, and the others have shares left. If a peer has
none either, it refuses the request and is asked no more for the time that it names.

A response of an endpoint echoes the id of its request; a response without the id is the peer's own.
"""

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import structlog
import trio

from yewloom.attempts import AttemptState
from yewloom.caller_headers import HeaderCodec, ResponseMetadata
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    Exchange,
    ExchangeError,
    ExchangeFailure,
    OutgoingRequest,
    ResponseHead,
    open_exchange,
)
from yewloom.event_forwarding import StreamHead, forward_events
from yewloom.event_stream import EventStreamError
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_request import BufferedResponse, ForwardRequest
from yewloom.ids import EntryHostId
from yewloom.reachability import Reachability
from yewloom.relay_messages import encode_relayed
from yewloom.relay_peers import RelayPeer, RelayPeers
from yewloom.selection import Selector

logger = structlog.get_logger(__name__)

RELAY_PATH = b"/relay"
"""Path of relayed requests at a peer."""

MAX_RELAYS = 2
"""Maximum number of peers to which a request is relayed. The first one may be cut off as well
without knowing it yet, or about to stop."""

UNREACHABLE_THRESHOLD = 2
"""Number of endpoints that a request finds unreachable before it is relayed, if this host has
connected to no other one since. Each may take the connect timeout."""

LIVENESS_CHECK_S = 0.2
"""Interval between checks whether the peer still sends messages: that between two of them."""

MAX_NOT_RUN_STATUS = 499
"""Highest status with which a peer refuses a request for good; with UNAVAILABLE it refuses it for
now. With other statuses of its own the request may have run."""

UNAVAILABLE = 503

T = TypeVar("T")


class Relays:
    """Relays requests, and decides when."""

    def __init__(
        self,
        own_id: EntryHostId,
        codec: HeaderCodec,
        selector: Selector,
        reachability: Reachability,
        peers: RelayPeers,
        metrics: ForwardMetrics,
    ) -> None:
        self._own_id = own_id
        self._codec = codec
        self._selector = selector
        self._reachability = reachability
        self._peers = peers
        self._metrics = metrics

    def next_peer(self, request: ForwardRequest) -> RelayPeer | None:
        """Return the peer to relay a request to now, or None if this host has a better way.

        As with an endpoint, the request must be one that may be sent once more.
        """
        if not (self._may_relay(request) and self._is_cut_off(request)):
            return None
        return self._peers.choose(request.requirements.service, request.record.relays)

    def next_sharing_peer(self, request: ForwardRequest) -> RelayPeer | None:
        """Return a peer that may have a share left of the rate limits that hold a request back."""
        if not self._may_relay(request):
            return None
        service = request.requirements.service
        refusing = self._peers.refusing(service, trio.current_time())
        return self._peers.choose(service, refusing.union(request.record.relays))

    def _may_relay(self, request: ForwardRequest) -> bool:
        """Return whether a request may be relayed to one more peer, rather than not at all."""
        return not request.is_relayed and len(request.record.relays) < MAX_RELAYS

    def _is_cut_off(self, request: ForwardRequest) -> bool:
        """Return whether this host reaches no endpoint for a request, as far as it knows."""
        return self.has_lost_all(request) or self._has_met_unreachable(request)

    def has_lost_all(self, request: ForwardRequest) -> bool:
        """Return whether this host reaches none of the endpoints that could answer a request."""
        return self._selector.has_lost_all(
            request.requirements, request.configuration, trio.current_time()
        )

    def _has_met_unreachable(self, request: ForwardRequest) -> bool:
        """Return whether a request alone has found that this host may reach no endpoint."""
        if request.record.unreachable_count() < UNREACHABLE_THRESHOLD:
            return False
        return self._reachability.last_connected_s < request.first_unreachable_s < math.inf

    async def run(self, request: ForwardRequest, peer: RelayPeer) -> bool:
        """Relay a request; return whether the peer's response is the one that the caller gets.

        A stream has been forwarded by then; a buffered response is stored in the request.
        """
        request.record.relays[peer.host] = AttemptState.NOTHING_SENT
        self._peers.begin(peer.host)
        is_final, outcome = False, "cancelled"
        try:
            is_final, outcome = await self._exchange(request, peer)
        except ExchangeError as error:
            outcome = str(error)
        except EventStreamError as error:
            outcome = f"unreadable: {error}"
        finally:
            self._peers.end(peer.host)
            self._record(request, peer, outcome)
        return is_final

    def _record(self, request: ForwardRequest, peer: RelayPeer, outcome: str) -> None:
        if request.record.relays[peer.host] is AttemptState.ANSWERED:
            outcome = "answered"  # Even if the caller has left since.
        self._metrics.on_relay(outcome.split(":")[0])
        request_id = request.metadata.request_id
        logger.info("relayed", request_id=request_id, peer=peer.host, outcome=outcome)

    async def _exchange(self, request: ForwardRequest, peer: RelayPeer) -> tuple[bool, str]:
        """Return whether the response is final, and the outcome."""
        async with open_exchange(peer.address, CONNECT_TIMEOUT_S) as exchange:
            outgoing = self._build_outgoing(request)
            request.record.relays[peer.host] = AttemptState.SENT
            await exchange.send(outgoing)
            head = await self._while_live(peer, exchange.read_head)
            metadata = self._codec.decode_response(head)
            if metadata.request_id != request.metadata.request_id:
                self._record_refusal(request, peer, metadata)
                return self._process_own_response(request, peer, head)
            if request.route.is_stream and head.status == 200:
                await self._forward_stream(request, peer, exchange, head)
            elif request.response_writer.is_started:
                return False, f"failed: {head.status} in the middle of a stream"
            else:
                await self._buffer(request, peer, exchange, head)
            return True, "answered"

    def _build_outgoing(self, request: ForwardRequest) -> OutgoingRequest:
        message = encode_relayed(request, self._own_id, trio.current_time())
        body = message.SerializeToString()
        headers = [(b"host", b"peer"), (b"content-length", str(len(body)).encode())]
        return OutgoingRequest(b"POST", RELAY_PATH, headers, body)

    def _record_refusal(
        self, request: ForwardRequest, peer: RelayPeer, metadata: ResponseMetadata
    ) -> None:
        """Record for how long a peer that refuses a request wants no further ones."""
        until_s = trio.current_time() + metadata.announcements.pause.pause_s
        self._peers.record_refusal(peer.host, request.requirements.service, until_s)

    def _process_own_response(
        self, request: ForwardRequest, peer: RelayPeer, head: ResponseHead
    ) -> tuple[bool, str]:
        """Process a response in which the peer says that no endpoint answered the request.

        The caller gets it only if nothing was sent from here either; otherwise what it promises may
        be wrong, and the response follows from the record of all attempts. A host that could send
        the request itself, if not for rate limits, decides on its own response.
        """
        is_not_run = head.status <= MAX_NOT_RUN_STATUS or head.status == UNAVAILABLE
        if is_not_run:
            request.record.relays[peer.host] = AttemptState.NOT_RUN
        outcome = f"refused: {head.status}" if is_not_run else f"failed: {head.status}"
        if not self._is_cut_off(request):
            return False, outcome
        if head.status == UNAVAILABLE and self.next_peer(request) is not None:
            return False, outcome
        if request.record.is_known_not_run:
            retry_after = head.get(b"retry-after")
            headers = [(b"retry-after", retry_after)] if retry_after is not None else []
            request.response = BufferedResponse(head.status, headers, b"")
        return True, outcome

    async def _forward_stream(
        self, request: ForwardRequest, peer: RelayPeer, exchange: Exchange, head: ResponseHead
    ) -> None:
        async def read_chunk() -> bytes | None:
            return await self._while_live(peer, exchange.read_chunk)

        caller_head = StreamHead(head.status, self._codec.build_response_headers(head))
        await forward_events(request, caller_head, read_chunk)
        request.record.relays[peer.host] = AttemptState.ANSWERED
        await request.response_writer.finish()

    async def _buffer(
        self, request: ForwardRequest, peer: RelayPeer, exchange: Exchange, head: ResponseHead
    ) -> None:
        body = bytearray()
        while (chunk := await self._while_live(peer, exchange.read_chunk)) is not None:
            body += chunk
        request.record.relays[peer.host] = AttemptState.ANSWERED
        headers = self._codec.build_response_headers(head)
        request.response = BufferedResponse(head.status, headers, bytes(body))

    async def _while_live(self, peer: RelayPeer, step: Callable[[], Awaitable[T]]) -> T:
        """Run a step that may be cancelled and restarted; raise ExchangeError if the peer is lost.

        A peer that loses power closes no connections.
        """
        while True:
            with trio.move_on_after(LIVENESS_CHECK_S):
                return await step()
            if not self._peers.is_live(peer.host):
                raise ExchangeError(ExchangeFailure.CONNECTION_LOST, True, "the peer is silent")
