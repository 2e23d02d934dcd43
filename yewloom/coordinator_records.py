"""The two records of a data centre's coordinator: its lease, and the placement of its groups."""

import uuid

import structlog
import trio
from result import Err, Ok

from yewloom.ids import AttemptId, DataCentreId, EntryHostId
from yewloom.leases import LeaseKeeper, ReadLease, WriteLease, lease_timing
from yewloom.platforms import Platform, StoredObject
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.schema.records_pb2 import Lease, Placement
from yewloom.writes import (
    RecordError,
    WriteConflict,
    WriteError,
    WriteNotApplied,
    WriteUnsettled,
    parse_record,
    write_settled,
)

logger = structlog.get_logger(__name__)

WRITE_TIMEOUT_S = 2.0
"""Longest time for which a write of unknown effect is sent again before the record is read."""


class LeaseRecord:
    """Keeps the coordinator's lease: reads, takes and renews its record."""

    def __init__(
        self, settings: EntrySettings, platform: Platform, stale_platform: Platform
    ) -> None:
        self._keeper = LeaseKeeper(EntryHostId(settings.host.id), lease_timing(settings.lease))
        self._key = f"yewloom-leases/{settings.host.data_centre}"
        self._platform = platform
        self._stale_platform = stale_platform

    @property
    def term(self) -> int:
        """Return the term of the record last read or written."""
        return self._keeper.term

    def holds(self) -> bool:
        """Tell whether this host holds the lease now."""
        return self._keeper.holds(trio.current_time())

    async def keep(self) -> None:
        """Take the step that is due, if any."""
        now_s = trio.current_time()
        match self._keeper.next_action(now_s, AttemptId(uuid.uuid4().hex)):
            case ReadLease():
                await self._read()
            case WriteLease(lease=lease, expected_version=version):
                await self._write(lease, version)
            case None:
                return

    async def release(self) -> None:
        """Give the lease up before a planned stop, if this host holds it."""
        released = self._keeper.release(AttemptId(uuid.uuid4().hex), trio.current_time())
        if released is not None:
            await self._write(released.lease, released.expected_version)

    async def _read(self) -> None:
        match await self._stale_platform.get(self._key):
            case Ok(stored):
                self._take(stored)
            case Err(error):
                logger.info("lease not read", reason=str(error))
                self._keeper.on_failed(trio.current_time())

    def _take(self, stored: StoredObject | None) -> None:
        now_s = trio.current_time()
        try:
            lease = parse_record(stored, Lease()) if stored is not None else None
        except RecordError as error:
            logger.error("record unreadable", reason=str(error))
            lease = Lease()
        self._keeper.on_read(lease, stored.version if stored is not None else 0, now_s)

    async def _write(self, lease: Lease, version: int) -> None:
        sent_s = trio.current_time()
        written = await write_settled(
            self._platform,
            self._key,
            lease,
            version,
            lambda stored: parse_record(stored, Lease()).attempt_id == lease.attempt_id,
            WRITE_TIMEOUT_S,
        )
        match written:
            case Ok(stored):
                self._keeper.on_written(lease, stored.version, sent_s, trio.current_time())
            case Err(error):
                logger.info("lease not written", reason=str(error))
                self._note_failure(error)

    def _note_failure(self, error: WriteError) -> None:
        now_s = trio.current_time()
        match error:
            case WriteConflict():
                self._keeper.on_conflict()
            case WriteNotApplied():
                self._keeper.on_failed(now_s)
            case WriteUnsettled():
                self._keeper.on_unsettled(now_s)


class PlacementRecord:
    """The placement as last read or written; ``current`` is None until it is read anew."""

    def __init__(self, data_centre: DataCentreId, platform: Platform) -> None:
        self._data_centre = data_centre
        self._key = f"yewloom-placements/{data_centre}"
        self._platform = platform
        self._version = 0
        self.current: Placement | None = None

    def forget(self) -> None:
        """Drop what is known, as another host may have written since."""
        self.current = None

    async def read(self) -> bool:
        """Read the record; tell whether it is known then."""
        match await self._platform.get(self._key):
            case Ok(stored):
                return self._take(stored)
            case Err(error):
                logger.info("placement not read", reason=str(error))
        return False

    def _take(self, stored: StoredObject | None) -> bool:
        if stored is None:
            self.current, self._version = Placement(data_centre=self._data_centre), 0
            return True
        try:
            self.current, self._version = parse_record(stored, Placement()), stored.version
        except RecordError as error:
            logger.error("record unreadable", reason=str(error))
            return False
        return True

    async def write(self, record: Placement) -> bool:
        """Write the next record in place of the current one; tell whether it stands."""
        attempt = uuid.uuid4().hex
        record.attempt_id = attempt
        written = await write_settled(
            self._platform,
            self._key,
            record,
            self._version,
            lambda stored: parse_record(stored, Placement()).attempt_id == attempt,
            WRITE_TIMEOUT_S,
        )
        match written:
            case Ok(stored):
                self.current, self._version = record, stored.version
                return True
            case Err(error):
                logger.info("placement not written", reason=str(error))
                self.forget()
        return False
