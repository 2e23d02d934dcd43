"""The gRPC interface between entry hosts, run in the trio event loop through ``trio-asyncio``."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc
import structlog
import trio
import trio_asyncio

from yewloom import exchange
from yewloom.node import Node
from yewloom.schema import peer_pb2_grpc
from yewloom.schema.peer_pb2 import (
    ExchangeRequest,
    ExchangeResponse,
    FetchRowsRequest,
    FetchRowsResponse,
    Member,
)
from yewloom.schema.settings_pb2 import TlsSettings

logger = structlog.get_logger(__name__)

_STOP_GRACE_S = 0.5
_CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.enable_http_proxy", 0),
]


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Responds to the requests of peers."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def Exchange(  # noqa: N802 - name given by the schema
        self, request: ExchangeRequest, context: object
    ) -> ExchangeResponse:
        """Return this entry host's state to a peer."""
        return exchange.build_response(self._node, request, trio.current_time())

    async def FetchRows(  # noqa: N802 - name given by the schema
        self, request: FetchRowsRequest, context: object
    ) -> FetchRowsResponse:
        """Return the rows that a peer lacks."""
        return exchange.build_rows_response(self._node, request)


class PeerExchange:
    """Exchanges state with a few random peers in each round."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._tls = node.settings.tls
        self._channels: dict[str, Any] = {}
        self._member_list_due_s = float("-inf")

    async def run(self) -> None:
        """Exchange with peers until cancelled."""
        interval_s = self._node.settings.peers.exchange_interval_ms / 1000
        try:
            while True:
                self._node.membership.increment_heartbeat()
                wants_members = self._is_member_list_due()
                async with trio.open_nursery() as nursery:
                    for address in self._choose_peers():
                        nursery.start_soon(self._exchange_with, address, wants_members)
                    nursery.start_soon(trio.sleep, interval_s)
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(_STOP_GRACE_S):
                for channel in self._channels.values():
                    await trio_asyncio.aio_as_trio(channel.close)()

    def _choose_peers(self) -> list[str]:
        """Return the addresses of a few peers in this data centre and of one in each other one."""
        node, now_s = self._node, trio.current_time()
        others: dict[str, list[Member]] = {}
        for member in node.membership.alive(now_s):
            if member.id != node.id:
                others.setdefault(member.data_centre, []).append(member)
        own = others.pop(node.data_centre, [])
        chosen = node.rng.sample(own, min(node.settings.peers.fanout, len(own)))
        chosen += [node.rng.choice(members) for members in others.values()]
        addresses = {member.peer_address for member in chosen}
        return sorted(addresses | self._seeds_to_try(now_s))

    def _seeds_to_try(self, now_s: float) -> set[str]:
        """Return one seed address without a live member, to detect the end of a partition."""
        live = {member.peer_address for member in self._node.membership.alive(now_s)}
        missing = sorted(set(self._node.settings.peers.seeds.split()) - live)
        return {self._node.rng.choice(missing)} if missing else set()

    def _is_member_list_due(self) -> bool:
        now_s = trio.current_time()
        if now_s < self._member_list_due_s:
            return False
        self._member_list_due_s = now_s + self._node.settings.peers.members_interval_ms / 1000
        return True

    async def _exchange_with(self, address: str, wants_members: bool) -> None:
        requested_s = trio.current_time()
        stub = peer_pb2_grpc.PeerStub(self._channel(address))  # type: ignore[no-untyped-call]
        try:
            request = exchange.build_request(self._node, requested_s, wants_members)
            response = await self._call(stub.Exchange, request)
            if exchange.apply_response(self._node, response, requested_s, trio.current_time()):
                rows = await self._call(stub.FetchRows, exchange.build_rows_request(self._node))
                exchange.apply_rows(self._node, rows.rows, f"peer {response.responder.id}")
        except grpc.aio.AioRpcError as error:
            logger.debug("exchange failed", peer=address, reason=error.details())
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self._drop_channel(address)

    async def _drop_channel(self, address: str) -> None:
        """Close a channel, so that the next exchange opens a new one.

        A connection may become unresponsive without a reset, and the channel would keep using it
        until the operating system gives it up, after minutes.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            await trio_asyncio.aio_as_trio(channel.close)()

    async def _call(self, method: Callable[..., Any], request: Any) -> Any:
        timeout_s = self._node.settings.peers.timeout_ms / 1000

        async def call() -> Any:
            return await method(request, timeout=timeout_s)

        response = await trio_asyncio.aio_as_trio(call)()
        self._node.metrics.peer_bytes.labels("asked").inc(request.ByteSize())
        self._node.metrics.peer_bytes.labels("told").inc(response.ByteSize())
        return response

    def _channel(self, address: str) -> Any:
        if address not in self._channels:
            self._channels[address] = _open_channel(address, self._tls)
        return self._channels[address]


def _open_channel(address: str, tls: TlsSettings) -> Any:
    if not tls.certificate_file:
        return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=Path(tls.authority_file).read_bytes() if tls.authority_file else None,
        private_key=Path(tls.key_file).read_bytes(),
        certificate_chain=Path(tls.certificate_file).read_bytes(),
    )
    return grpc.aio.secure_channel(address, credentials, options=_CHANNEL_OPTIONS)


def _bind(server: Any, address: str, tls: TlsSettings) -> int:
    if not tls.certificate_file:
        return int(server.add_insecure_port(address))
    pair = (Path(tls.key_file).read_bytes(), Path(tls.certificate_file).read_bytes())
    authority = Path(tls.authority_file).read_bytes() if tls.authority_file else None
    credentials = grpc.ssl_server_credentials(
        [pair], root_certificates=authority, require_client_auth=authority is not None
    )
    return int(server.add_secure_port(address, credentials))


async def serve_peers(
    node: Node, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serve the peer interface until cancelled."""
    server = grpc.aio.server()
    servicer = PeerServicer(node)
    peer_pb2_grpc.add_PeerServicer_to_server(servicer, server)  # type: ignore[no-untyped-call]
    port = _bind(server, node.membership.own_member.peer_address, node.settings.tls)
    node.membership.own_member.peer_address = f"{node.settings.host.listen_ip}:{port}"
    await trio_asyncio.aio_as_trio(server.start)()
    task_status.started()
    try:
        await trio.sleep_forever()
    finally:
        with trio.CancelScope(shield=True), trio.move_on_after(2 * _STOP_GRACE_S):
            await trio_asyncio.aio_as_trio(server.stop)(_STOP_GRACE_S)
