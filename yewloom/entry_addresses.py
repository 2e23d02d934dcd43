"""Discovery of entry hosts: each one publishes its address as an object in the store."""

import structlog
import trio
from result import Err, Ok

from yewloom.addresses import check_address
from yewloom.entry_states import PeerStates
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.platforms import Platform, PlatformFailure, StoredObject
from yewloom.schema.entry_pb2 import EntryAddress
from yewloom.store_revisions import era_of
from yewloom.values import value_class
from yewloom.writes import RecordError, parse_record, to_json

logger = structlog.get_logger(__name__)

ADDRESS_KIND = "yewloom-entry-hosts"

FIRST_READ_INTERVAL_S = 3.0
"""Pause between the first two reads of the peers' addresses; it doubles with each read.

The addresses are read from a cache that may lag by seconds."""

MAX_READ_INTERVAL_S = 15.0
"""Longest pause between two reads.

Addresses change only when hosts are added or replaced, and a host that starts announces itself to
the peers whose addresses it reads."""

READ_RETRY_S = 0.5
"""Pause between reads while no peer is known or this host's address is not published yet."""


@value_class
class PeerAddress:
    """The address on which a peer receives datagrams, as ip:port, and its data centre."""

    address: str
    data_centre: DataCentreId


class EntryAddresses:
    """Publishes this host's address and reads those of its peers.

    ``stale_platform`` reads from a cache that may lag behind the store by seconds.
    """

    def __init__(
        self,
        host_id: EntryHostId,
        own: PeerAddress,
        platform: Platform,
        stale_platform: Platform,
        peer_states: PeerStates,
    ) -> None:
        self._host_id = host_id
        self.own = own
        self._platform = platform
        self._stale_platform = stale_platform
        self._peer_states = peer_states
        self._is_published = False
        self._published_era = 0
        self.by_peer: dict[EntryHostId, PeerAddress] = {}
        self.first_read = trio.Event()

    async def run(self) -> None:
        """Publish this host's address and read those of its peers until cancelled."""
        interval_s = FIRST_READ_INTERVAL_S
        while True:
            await self._read()
            if not self._is_published:
                self._is_published = await self._publish()
            if self._is_published and self.by_peer:
                await trio.sleep(interval_s)
                interval_s = min(2 * interval_s, MAX_READ_INTERVAL_S)
            else:
                await trio.sleep(READ_RETRY_S)

    def add_reported(self, peer: EntryHostId, address: PeerAddress) -> bool:
        """Add an address that a peer reported itself, if unknown; return whether it was added.

        The address read from the store replaces it later.
        """
        if peer == self._host_id or peer in self.by_peer:
            return False
        self._peer_states.add_host(peer)
        self.by_peer[peer] = address
        return True

    async def _publish(self) -> bool:
        """Write this host's address; return whether the store has it."""
        key = f"{ADDRESS_KIND}/{self._host_id}"
        own = EntryAddress(address=self.own.address, data_centre=self.own.data_centre)
        value = to_json(own)
        match await self._platform.update(key, value, 0):
            case Ok(_):
                return True
            case Err(error):
                if error.failure is not PlatformFailure.CONFLICT:
                    logger.info("cannot write own address to store", reason=str(error))
                    return False
        return await self._replace(key, value)

    async def _replace(self, key: str, value: str) -> bool:
        """Overwrite the stored address of this host."""
        match await self._platform.get(key):
            case Ok(stored):
                if stored is None:
                    return False
                return (await self._platform.update(key, value, stored.version)).is_ok()
            case Err(error):
                logger.info("cannot read own address from store", reason=str(error))
        return False

    async def _read(self) -> None:
        """Read the peers' addresses, and check whether the store has this host's own."""
        match await self._stale_platform.list(ADDRESS_KIND):
            case Ok(listing):
                pass
            case Err(error):
                logger.info("cannot read peer addresses from store", reason=str(error))
                return
        self._check_era(era_of(listing.position))
        for stored in listing.objects:
            self._apply(stored)
        self.first_read.set()

    def _check_era(self, era: int) -> None:
        """Publish this host's address again if the store went back and may have lost it."""
        if era > self._published_era:
            self._published_era, self._is_published = era, False

    def _apply(self, stored: StoredObject) -> None:
        peer = EntryHostId(stored.key.partition("/")[2])
        try:
            record = parse_record(stored, EntryAddress())
            address = check_address(record.address)
        except (RecordError, ValueError) as error:
            logger.error("invalid address record in store", reason=str(error))
            return
        self._peer_states.add_host(peer)
        peer_address = PeerAddress(address, DataCentreId(record.data_centre))
        if peer != self._host_id:
            self.by_peer[peer] = peer_address
        elif peer_address == self.own:
            self._is_published = True  # An earlier process of this host wrote it.
