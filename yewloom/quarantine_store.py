"""Persists the quarantines in the platform's store, so that they survive a restart of all hosts.

Otherwise, after all hosts have restarted at once, a request that crashes endpoints would crash as
many again before it is detected. One object contains all quarantined requests and parts of prompts.
A host reads it when it starts. A few hosts take turns to write a change; each first checks whether
an earlier one has written it.
"""

import time
from collections.abc import Callable, Iterable

import structlog
import trio
from result import Err, Ok

from yewloom.hashing import rendezvous_rank
from yewloom.ids import EntryHostId, Fingerprint, PromptPart
from yewloom.platforms import Platform, StoredObject
from yewloom.quarantine import MAX_QUARANTINE_S, QuarantineReport
from yewloom.quarantines import Quarantines
from yewloom.schema.entry_pb2 import KeptPart, KeptRequest, QuarantineRecord
from yewloom.values import value_class
from yewloom.writes import RecordError, parse_record, to_json

logger = structlog.get_logger(__name__)

STORE_KEY = "yewloom-quarantine/requests"

POLL_INTERVAL_S = 1.0
"""Interval between checks for changes, and between the turns of the hosts that write them."""

MAX_WRITERS = 4
"""Number of hosts that take turns; one can write unless all are disconnected from the store."""

RETENTION_S = 2 * MAX_QUARANTINE_S
"""Time for which a quarantined request is kept in the store."""


_Keys = set[tuple[int, int, bool]]
"""Requests or parts, with how often each was quarantined and whether it was lifted."""


@value_class
class _StoredRecord:
    """The record in the store and its version, which is 0 if there is none."""

    record: QuarantineRecord
    version: int


class QuarantineStore:
    """Reads the quarantine from the store on start, and writes changes to it.

    ``stale_platform`` may return a record that is seconds old, which is enough for the start.
    ``unix_s`` returns the Unix time; the store contains Unix times, as hosts share no other clock.
    """

    def __init__(
        self,
        own_id: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        quarantines: Quarantines,
        platform: Platform,
        stale_platform: Platform,
        unix_s: Callable[[], float] = time.time,
        store_era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._store_era = store_era
        self._own_id = own_id
        self._known_hosts = known_hosts
        self._quarantines = quarantines
        self._platform = platform
        self._stale_platform = stale_platform
        self._unix_s = unix_s

    async def run(self) -> None:
        """Read the stored quarantine, then write changes, until cancelled."""
        while await self._read(self._stale_platform) is None:  # noqa: ASYNC110 - the store sends no event when it is back
            await trio.sleep(POLL_INTERVAL_S)
        written = (0, self._store_era())
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            # A store that went back to an older copy may have lost the record.
            current = (self._quarantines.change_count, self._store_era())
            if current == written:
                continue
            turn = rendezvous_rank(STORE_KEY, self._own_id, self._known_hosts())
            if turn >= MAX_WRITERS:
                written = current
                continue
            await trio.sleep(turn * POLL_INTERVAL_S)
            if await self._write():
                written = current

    async def _read(self, platform: Platform) -> _StoredRecord | None:
        """Read the stored record and apply it; return None if the store does not answer."""
        match await platform.get(STORE_KEY):
            case Ok(stored):
                current = _StoredRecord(
                    self._decode(stored), stored.version if stored is not None else 0
                )
                self._apply(current.record)
                return current
            case Err(error):
                logger.info("cannot read quarantine", reason=str(error))
                return None

    async def _write(self) -> bool:
        """Write the quarantine if it differs; return whether the store is now up to date."""
        current = await self._read(self._platform)
        if current is None:
            return False
        record = self._record()
        if _content(record) == _content(current.record):
            return True
        match await self._platform.update(STORE_KEY, to_json(record), current.version):
            case Ok(_):
                logger.info(
                    "wrote quarantine", count=len(record.requests), part_count=len(record.parts)
                )
                return True
            case Err(error):
                logger.info("cannot write quarantine", reason=str(error))
                return False

    def _decode(self, stored: StoredObject | None) -> QuarantineRecord:
        if stored is None:
            return QuarantineRecord()
        try:
            return parse_record(stored, QuarantineRecord())
        except RecordError as error:
            logger.error("cannot decode record", reason=str(error))
            return QuarantineRecord()

    def _apply(self, record: QuarantineRecord) -> None:
        """Apply the stored requests and parts that have not expired."""
        now_s, unix_s = trio.current_time(), self._unix_s()
        for kept in record.requests:
            request = _to_request_report(kept, unix_s)
            if request.age_s < RETENTION_S:
                self._quarantines.requests.apply(request, now_s)
        for kept_part in record.parts:
            part = _to_part_report(kept_part, unix_s)
            if part.age_s < RETENTION_S:
                self._quarantines.parts.apply(part, now_s)

    def _record(self) -> QuarantineRecord:
        """Return the record to be stored."""
        now_s, unix_s = trio.current_time(), self._unix_s()
        requests = self._quarantines.requests.reports(now_s)
        parts = self._quarantines.parts.reports(now_s)
        return QuarantineRecord(
            requests=[_to_kept_request(r, unix_s) for r in requests if r.age_s < RETENTION_S],
            parts=[_to_kept_part(r, unix_s) for r in parts if r.age_s < RETENTION_S],
        )


def _content(record: QuarantineRecord) -> tuple[_Keys, _Keys]:
    """Return a record's content without the times, which differ between hosts."""
    requests = {(kept.fingerprint, kept.count, kept.is_lifted) for kept in record.requests}
    parts = {(kept.part, kept.count, kept.is_lifted) for kept in record.parts}
    return requests, parts


def _age_s(since_unix_ms: int, unix_s: float) -> float:
    """Return an age that is not negative: a clock that was set back extends no quarantine."""
    return max(0.0, unix_s - since_unix_ms / 1000)


def _to_request_report(kept: KeptRequest, unix_s: float) -> QuarantineReport[Fingerprint]:
    age_s = _age_s(kept.since_unix_ms, unix_s)
    return QuarantineReport(Fingerprint(kept.fingerprint), kept.count, kept.is_lifted, age_s)


def _to_part_report(kept: KeptPart, unix_s: float) -> QuarantineReport[PromptPart]:
    age_s = _age_s(kept.since_unix_ms, unix_s)
    return QuarantineReport(PromptPart(kept.part), kept.count, kept.is_lifted, age_s)


def _to_kept_request(report: QuarantineReport[Fingerprint], unix_s: float) -> KeptRequest:
    return KeptRequest(
        fingerprint=report.key,
        count=report.count,
        is_lifted=report.is_lifted,
        since_unix_ms=_since_unix_ms(report.age_s, unix_s),
    )


def _to_kept_part(report: QuarantineReport[PromptPart], unix_s: float) -> KeptPart:
    return KeptPart(
        part=report.key,
        count=report.count,
        is_lifted=report.is_lifted,
        since_unix_ms=_since_unix_ms(report.age_s, unix_s),
    )


def _since_unix_ms(age_s: float, unix_s: float) -> int:
    return round((unix_s - age_s) * 1000)
