"""The quarantine as the platform's store keeps it, so that it outlasts the hosts.

All hosts may go at once, and a request that ends endpoints would take as many again until they have
found it anew. One object holds all of them. A host that starts reads it. What changes is written by
the first of a few hosts that take turns, each of which looks whether another one has written it.
"""

import time
from collections.abc import Callable, Iterable

import structlog
import trio
from result import Err, Ok

from yewloom.hashing import turn_among
from yewloom.ids import EntryHostId, Fingerprint
from yewloom.platforms import Platform, StoredObject
from yewloom.quarantine import LONGEST_HOLD_S, Quarantine, QuarantineWord
from yewloom.schema.entry_pb2 import KeptRequest, QuarantineRecord
from yewloom.values import value_class
from yewloom.writes import RecordError, parse_record, to_json

logger = structlog.get_logger(__name__)

KEY = "yewloom-quarantine/requests"

LOOK_S = 1.0
"""Pause between two looks for changes, and between the turns of two hosts that may write them."""

WRITERS = 4
"""Hosts that take turns: one of them reaches the store unless all are cut off from it."""

KEPT_S = 2 * LONGEST_HOLD_S
"""Time for which the store keeps a request that was held."""


@value_class
class _StoredRecord:
    """The store's object, and its version, which is 0 if there is none."""

    record: QuarantineRecord
    version: int


class QuarantineStore:
    """Reads the quarantine at the start, and writes what changes.

    ``unix_s`` returns the time of day, by which the store's object counts.
    """

    def __init__(
        self,
        me: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        quarantine: Quarantine,
        platform: Platform,
        stale_platform: Platform,
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        self._me = me
        self._known_hosts = known_hosts
        self._quarantine = quarantine
        self._platform = platform
        self._stale_platform = stale_platform
        self._unix_s = unix_s

    async def run(self) -> None:
        """Read what is kept, then write changes, until cancelled."""
        while await self._read(self._stale_platform) is None:  # noqa: ASYNC110 - the store tells nobody that it is back
            await trio.sleep(LOOK_S)
        written = 0
        while True:
            await trio.sleep(LOOK_S)
            changes = self._quarantine.changes
            if changes == written:
                continue
            turn = turn_among(KEY, self._me, self._known_hosts())
            if turn >= WRITERS:
                written = changes
                continue
            await trio.sleep(turn * LOOK_S)
            if await self._write():
                written = changes

    async def _read(self, platform: Platform) -> _StoredRecord | None:
        """Return what the store keeps, and take it in; None if it does not answer."""
        match await platform.get(KEY):
            case Ok(stored):
                kept = _StoredRecord(
                    self._decode(stored), stored.version if stored is not None else 0
                )
                self._take(kept.record)
                return kept
            case Err(error):
                logger.info("quarantine not read", reason=str(error))
                return None

    async def _write(self) -> bool:
        """Write what the store lacks; tell whether it has all of it now."""
        kept = await self._read(self._platform)
        if kept is None:
            return False
        record = self._record()
        if _says(record) == _says(kept.record):
            return True
        match await self._platform.update(KEY, to_json(record), kept.version):
            case Ok(_):
                logger.info("quarantine written", count=len(record.requests))
                return True
            case Err(error):
                logger.info("quarantine not written", reason=str(error))
                return False

    def _decode(self, stored: StoredObject | None) -> QuarantineRecord:
        if stored is None:
            return QuarantineRecord()
        try:
            return parse_record(stored, QuarantineRecord())
        except RecordError as error:
            logger.error("record unreadable", reason=str(error))
            return QuarantineRecord()

    def _take(self, record: QuarantineRecord) -> None:
        """Take in what is kept and not too old; a clock that was set back makes nothing younger."""
        now_s = trio.current_time()
        for kept in record.requests:
            age_s = max(0.0, self._unix_s() - kept.since_unix_ms / 1000)
            if age_s < KEPT_S:
                self._quarantine.take(_word(kept, age_s), now_s)

    def _record(self) -> QuarantineRecord:
        """Return what is to be kept."""
        words, unix_s = self._quarantine.words(trio.current_time()), self._unix_s()
        requests = [_request(word, unix_s) for word in words if word.age_s < KEPT_S]
        return QuarantineRecord(requests=requests)


def _says(record: QuarantineRecord) -> set[tuple[int, int, bool]]:
    """Return what a record says of its requests; hosts differ in when they heard of it."""
    return {(kept.fingerprint, kept.count, kept.is_lifted) for kept in record.requests}


def _word(kept: KeptRequest, age_s: float) -> QuarantineWord:
    return QuarantineWord(Fingerprint(kept.fingerprint), kept.count, kept.is_lifted, age_s)


def _request(word: QuarantineWord, unix_s: float) -> KeptRequest:
    return KeptRequest(
        fingerprint=word.fingerprint,
        count=word.count,
        is_lifted=word.is_lifted,
        since_unix_ms=round((unix_s - word.age_s) * 1000),
    )
