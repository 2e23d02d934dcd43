"""Transfer of configurations between entry hosts, for hosts that cannot reach the store.

A host that learns of a newer configuration but cannot read it soon has to refuse all keys, since
the newer configuration may have revoked them. Its peers keep the object in its stored form; the
host requests it from one of them over HTTP, at the port number that the peer also uses for
datagrams. The response is decoded like an object from the store and never replaces a newer one. It
does not confirm that the configuration is current; only the peers' reports do (``entry_states``).
"""

from collections.abc import Callable, Iterable
from typing import Protocol

import structlog
import trio
from google.protobuf.message import DecodeError

from yewloom.caller_messages import CallerRequest, ResponseWriter
from yewloom.configuration import ConfigurationState
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    ExchangeError,
    OutgoingRequest,
    open_exchange,
)
from yewloom.platforms import StoredObject
from yewloom.schema.entry_pb2 import SharedObject

logger = structlog.get_logger(__name__)

STORE_HEAD_START_S = 0.3
"""Time for which only the store is queried for a newer configuration before peers are queried too.

The store answers in some 10 ms, even under load."""

CHECK_INTERVAL_S = 0.1
"""Pause between checks for a newer configuration, and between rounds of requests to peers."""

RESPONSE_TIMEOUT_S = 0.5
"""Longest wait for a peer's response, of some 100 KB at most and from the same region."""

NOT_FOUND = 404
OK = 200

_REQUEST = OutgoingRequest(b"GET", b"/configuration", [(b"host", b"peer")], b"")


class ConfigurationReceiver(Protocol):
    """Applies configurations received from peers."""

    latest: StoredObject | None

    def apply_from_peer(self, stored: StoredObject) -> None:
        """Apply a configuration that a peer read from the store."""
        ...


class PeerConfigurations:
    """Sends the configuration to peers on request, and requests it from them.

    ``addresses_with_version`` returns the addresses of the peers that have at least a given
    version.
    """

    def __init__(
        self,
        configuration_state: ConfigurationState,
        receiver: ConfigurationReceiver,
        addresses_with_version: Callable[[int], Iterable[str]],
    ) -> None:
        self._configuration_state = configuration_state
        self._receiver = receiver
        self._addresses_with_version = addresses_with_version

    async def handle_request(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Respond to a peer's request with the configuration in its stored form."""
        stored = self._receiver.latest
        if stored is None:
            await response.send_complete(NOT_FOUND, [], b"")
            return
        shared = SharedObject(key=stored.key, version=stored.version, value=stored.value)
        await response.send_complete(OK, [], shared.SerializeToString())

    async def run(self) -> None:
        """Get newer configurations from peers if the store provides none, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._configuration_state.is_outdated:
                await trio.sleep(STORE_HEAD_START_S)
                await self._fetch_from_peers()

    async def _fetch_from_peers(self) -> None:
        for address in self._addresses_with_version(self._configuration_state.newest_version):
            if not self._configuration_state.is_outdated:
                return
            await self._fetch(address)

    async def _fetch(self, address: str) -> None:
        with trio.move_on_after(RESPONSE_TIMEOUT_S) as limit:
            try:
                shared = await _request(address)
            except (ExchangeError, DecodeError) as error:
                logger.info("cannot get configuration from peer", peer=address, reason=str(error))
                return
            if shared is not None:
                self._receiver.apply_from_peer(
                    StoredObject(shared.key, shared.version, shared.value)
                )
        if limit.cancelled_caught:
            logger.info("cannot get configuration from peer", peer=address, reason="timed out")


async def _request(address: str) -> SharedObject | None:
    """Return a peer's configuration; None if it has none."""
    async with open_exchange(address, CONNECT_TIMEOUT_S) as exchange:
        await exchange.send(_REQUEST)
        head = await exchange.read_head()
        body = await exchange.read_body()
    return SharedObject.FromString(body) if head.status == OK else None
