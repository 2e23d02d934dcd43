"""Configurations passed on among the entry hosts, when the store turns one of them away.

A host that hears of a newer configuration and can't read it may serve no key, since that
configuration may have taken it away. Its peers have the object as the store gave it; the host asks
one of them for it over HTTP, at the port of the peer's datagrams. What comes is decoded as if the
store had sent it, never replaces a newer one, and proves nothing by itself: how current it is
follows from the peers' words, as ever.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

import structlog
import trio
from google.protobuf.message import DecodeError

from yewloom.caller_messages import CallerRequest, Reply
from yewloom.configuration import ConfigurationBook
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    ExchangeError,
    OutgoingRequest,
    open_exchange,
)
from yewloom.platforms import StoredObject
from yewloom.schema.entry_pb2 import SharedObject

logger = structlog.get_logger(__name__)

STORE_FIRST_S = 0.3
"""Time for which the store alone is asked for a configuration that a peer knows: it answers in some
10 ms, also while it is busy."""

LOOK_S = 0.1
"""Pause between two looks for a newer configuration, and between two questions."""

ANSWER_TIMEOUT_S = 0.5
"""Longest wait for a peer's answer: some 100 KB at most, within a region."""

NOT_FOUND = 404
OK = 200

_QUESTION = OutgoingRequest(b"GET", b"/configuration", [(b"host", b"peer")], b"")


class Intake(Protocol):
    """Where configurations are taken in."""

    latest: StoredObject | None

    def take_from_peer(self, stored: StoredObject) -> None:
        """Take in a configuration that a peer had read from the store."""
        ...


class PeerConfigurations:
    """Answers peers' questions for the configuration, and asks them.

    ``addresses_knowing`` returns the addresses of peers that have at least some version.
    """

    def __init__(
        self,
        book: ConfigurationBook,
        intake: Intake,
        addresses_knowing: Callable[[int], Iterable[str]],
    ) -> None:
        self._book = book
        self._intake = intake
        self._addresses_knowing = addresses_knowing

    async def answer(self, request: CallerRequest, reply: Reply) -> None:
        """Answer a peer with the configuration as the store gave it."""
        stored = self._intake.latest
        if stored is None:
            await reply.send_whole(NOT_FOUND, [], b"")
            return
        shared = SharedObject(key=stored.key, version=stored.version, value=stored.value)
        await reply.send_whole(OK, [], shared.SerializeToString())

    async def run(self) -> None:
        """Ask peers whenever the store does not bring what they know, until cancelled."""
        while True:
            await trio.sleep(LOOK_S)
            if self._book.is_outdated:
                await trio.sleep(STORE_FIRST_S)
                await self._ask_peers()

    async def _ask_peers(self) -> None:
        for address in self._addresses_knowing(self._book.newest_version):
            if not self._book.is_outdated:
                return
            await self._ask(address)

    async def _ask(self, address: str) -> None:
        with trio.move_on_after(ANSWER_TIMEOUT_S) as limit:
            try:
                shared = await _read(address)
            except (ExchangeError, DecodeError) as error:
                logger.info("peer gave no configuration", peer=address, reason=str(error))
                return
            if shared is not None:
                self._intake.take_from_peer(StoredObject(shared.key, shared.version, shared.value))
        if limit.cancelled_caught:
            logger.info("peer gave no configuration", peer=address, reason="no answer in time")


async def _read(address: str) -> SharedObject | None:
    """Return what a peer has; None if it has nothing."""
    async with open_exchange(address, CONNECT_TIMEOUT_S) as exchange:
        await exchange.send(_QUESTION)
        head = await exchange.head()
        body = await exchange.whole_body()
    return SharedObject.FromString(body) if head.status == OK else None
