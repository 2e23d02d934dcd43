"""The addresses by which the entry hosts find each other: one object for each in the store."""

import structlog
import trio
from result import Err, Ok

from yewloom.addresses import check_address
from yewloom.entry_states import PeerBoard
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.platforms import Platform, PlatformFailure, StoredObject
from yewloom.schema.entry_pb2 import EntryAddress
from yewloom.values import value_class
from yewloom.writes import RecordError, parse_record, to_json

logger = structlog.get_logger(__name__)

ADDRESS_KIND = "yewloom-entry-hosts"

ADDRESS_INTERVAL_S = 4.0
"""Pause between two reads of the peers' addresses. They change only with the machines."""

ADDRESS_RETRY_S = 0.5
"""Pause before the addresses are read again while none is known, or after a failure."""


@value_class
class PeerAddress:
    """Where a peer reads datagrams, as ip:port, and its data centre."""

    address: str
    data_centre: DataCentreId


class EntryAddresses:
    """Publishes this host's address and reads those of its peers."""

    def __init__(
        self,
        host_id: EntryHostId,
        own: PeerAddress,
        platform: Platform,
        stale_platform: Platform,
        board: PeerBoard,
    ) -> None:
        self._host_id = host_id
        self.own = own
        self._platform = platform
        self._stale_platform = stale_platform
        self._board = board
        self.by_peer: dict[EntryHostId, PeerAddress] = {}

    async def run(self) -> None:
        """Publish and read until cancelled."""
        is_published = False
        while True:
            is_published = is_published or await self._publish()
            is_read = await self._read() and is_published
            await trio.sleep(ADDRESS_INTERVAL_S if is_read else ADDRESS_RETRY_S)

    async def _publish(self) -> bool:
        """Write this host's address; tell whether the store holds it."""
        key = f"{ADDRESS_KIND}/{self._host_id}"
        own = EntryAddress(address=self.own.address, data_centre=self.own.data_centre)
        value = to_json(own)
        match await self._platform.update(key, value, 0):
            case Ok(_):
                return True
            case Err(error):
                if error.failure is not PlatformFailure.CONFLICT:
                    logger.info("address not written", reason=str(error))
                    return False
        return await self._replace(key, value)

    async def _replace(self, key: str, value: str) -> bool:
        """Write this host's address in place of the one that stands."""
        match await self._platform.get(key):
            case Ok(stored):
                if stored is None:
                    return False
                return (await self._platform.update(key, value, stored.version)).is_ok()
            case Err(error):
                logger.info("address not read", reason=str(error))
        return False

    async def _read(self) -> bool:
        """Read the peers' addresses; tell whether there are any."""
        match await self._stale_platform.list(ADDRESS_KIND):
            case Ok(listing):
                pass
            case Err(error):
                logger.info("addresses not read", reason=str(error))
                return False
        for stored in listing.objects:
            self._take(stored)
        return bool(self.by_peer)

    def _take(self, stored: StoredObject) -> None:
        peer = EntryHostId(stored.key.partition("/")[2])
        try:
            record = parse_record(stored, EntryAddress())
            address = check_address(record.address)
        except (RecordError, ValueError) as error:
            logger.error("record unreadable", reason=str(error))
            return
        self._board.know(peer)
        if peer != self._host_id:
            self.by_peer[peer] = PeerAddress(address, DataCentreId(record.data_centre))
