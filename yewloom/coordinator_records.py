"""Platform records of a data centre's coordinator: its lease and the placement of its groups."""

import uuid
from collections import deque

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
    WriteOutcomeUnknown,
    parse_record,
    write_until_settled,
)

logger = structlog.get_logger(__name__)

MAX_KNOWN_ATTEMPTS = 64
"""Number of latest writes of a placement record that are told apart: more than are made in the some
seconds that a store may lose."""

WRITE_TIMEOUT_S = 2.0
"""Longest time to retry a write whose outcome is unknown; then the record is read again."""


class LeaseRecord:
    """Reads, acquires and renews the record of the coordinator's lease."""

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
        """Return whether this host holds the lease now."""
        return self._keeper.holds(trio.current_time())

    async def run_due_action(self) -> None:
        """Read or write the lease record if that is due."""
        now_s = trio.current_time()
        match self._keeper.next_action(now_s, AttemptId(uuid.uuid4().hex)):
            case ReadLease():
                await self._read()
            case WriteLease(lease=lease, expected_version=version):
                await self._write(lease, version)
            case None:
                return

    async def release(self) -> None:
        """Release the lease before a planned stop, if this host holds it."""
        released = self._keeper.release(AttemptId(uuid.uuid4().hex), trio.current_time())
        if released is not None:
            await self._write(released.lease, released.expected_version)

    async def _read(self) -> None:
        match await self._stale_platform.get(self._key):
            case Ok(stored):
                self._apply_read(stored)
            case Err(error):
                logger.info("cannot read lease record", reason=str(error))
                self._keeper.on_failed(trio.current_time())

    def _apply_read(self, stored: StoredObject | None) -> None:
        now_s = trio.current_time()
        try:
            lease = parse_record(stored, Lease()) if stored is not None else None
        except RecordError as error:
            logger.error("cannot decode lease record", reason=str(error))
            lease = Lease()
        self._keeper.on_read(lease, stored.version if stored is not None else 0, now_s)

    async def _write(self, lease: Lease, version: int) -> None:
        sent_s = trio.current_time()
        written = await write_until_settled(
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
                logger.info("cannot write lease record", reason=str(error))
                self._on_write_failed(error)

    def _on_write_failed(self, error: WriteError) -> None:
        now_s = trio.current_time()
        match error:
            case WriteConflict():
                self._keeper.on_conflict()
            case WriteNotApplied():
                self._keeper.on_failed(now_s)
            case WriteOutcomeUnknown():
                self._keeper.on_outcome_unknown(now_s)


class PlacementRecord:
    """Reads, caches and writes the placement record; ``current`` is None while none is cached."""

    def __init__(self, data_centre: DataCentreId, platform: Platform) -> None:
        self._data_centre = data_centre
        self._key = f"yewloom-placements/{data_centre}"
        self._platform = platform
        self._version = 0
        self._known_attempts: deque[str] = deque([""], MAX_KNOWN_ATTEMPTS)
        self._newest: Placement | None = None
        self.current: Placement | None = None

    def invalidate(self) -> None:
        """Discard the cached record, as another host may have written a newer one."""
        self.current = None

    async def read(self) -> bool:
        """Read the record; return whether that succeeded."""
        match await self._platform.get(self._key):
            case Ok(stored):
                return self._apply_read(stored)
            case Err(error):
                logger.info("cannot read placement record", reason=str(error))
        return False

    def _apply_read(self, stored: StoredObject | None) -> bool:
        try:
            record = (
                parse_record(stored, Placement())
                if stored is not None
                else Placement(data_centre=self._data_centre)
            )
        except RecordError as error:
            logger.error("cannot decode placement record", reason=str(error))
            return False
        self._version = stored.version if stored is not None else 0
        self.current = self._newest_known(record)
        return True

    def _newest_known(self, stored: Placement) -> Placement:
        """Return the record to continue from: the stored one, or a later one that the store lost.

        A record that this host knew before a later one comes from an older copy of the store. The
        later one is written again with the next change.
        """
        newest = self._newest
        is_older = stored.attempt_id in self._known_attempts
        if newest is not None and is_older and stored.attempt_id != newest.attempt_id:
            logger.warning(
                "placement record lost by the store",
                stored_generation=stored.generation,
                generation=newest.generation,
            )
            return newest
        self._record_newest(stored)
        return stored

    def _record_newest(self, record: Placement) -> None:
        """Record the newest known record, and the attempt that wrote it."""
        self._newest = record
        if record.attempt_id not in self._known_attempts:
            self._known_attempts.append(record.attempt_id)

    async def write(self, record: Placement) -> bool:
        """Replace the current record; return whether the write took effect."""
        attempt = uuid.uuid4().hex
        record.attempt_id = attempt
        written = await write_until_settled(
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
                self._record_newest(record)
                return True
            case Err(error):
                logger.info("cannot write placement record", reason=str(error))
                self.invalidate()
        return False
