"""Writes claims to the platform in batches: one update for all pending claims of a shard."""

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
import trio
from result import Err, Ok, Result

from yewloom.claims import (
    ClaimAnswer,
    ClaimRequest,
    ClaimResult,
    add_claims,
    restore_lost_claims,
    shard_of,
)
from yewloom.ids import AttemptId
from yewloom.platforms import Platform, StoredObject
from yewloom.schema.records_pb2 import ClaimShard
from yewloom.states import ClaimState
from yewloom.store_revisions import era_of
from yewloom.values import value_class
from yewloom.work import TaskStarter
from yewloom.writes import (
    RecordError,
    WriteConflict,
    WriteNotApplied,
    WriteOutcomeUnknown,
    parse_record,
    write_until_settled,
)

logger = structlog.get_logger(__name__)

CLAIM_KEY_PREFIX = "claims/"
MAX_CONFLICTS = 20
"""Write conflicts after which a batch fails."""

RETRY_PAUSE_S = 2.0
"""Pause before results that could not be stored are written again."""


@value_class
class ClaimUnavailable:
    """A claim could not be stored in the platform, so its request must not run."""

    detail: str


@dataclass
class _PendingClaim:
    claim: ClaimRequest
    done: trio.Event = field(default_factory=trio.Event)
    answer: Result[ClaimAnswer, ClaimUnavailable] | None = None


@dataclass
class _Shard:
    key: str
    pending: list[_PendingClaim] = field(default_factory=list)
    results: list[ClaimResult] = field(default_factory=list)
    record: ClaimShard = field(default_factory=ClaimShard)
    version: int = 0
    is_writing: bool = False

    def adopt(self, stored: StoredObject | None) -> None:
        """Use the record that is stored in the platform as the basis of the next write.

        If the platform has gone back to an older copy, the claims that it lost are added again.
        """
        known, known_era = self.record, era_of(self.version)
        self.record = ClaimShard() if stored is None else _parse_shard(stored)
        self.version = 0 if stored is None else stored.version
        if stored is None or era_of(stored.version) > known_era:
            restore_lost_claims(self.record, known)


class ClaimWriter:
    """Claims idempotency keys and stores results, in tasks of the given ``TaskStarter``."""

    def __init__(
        self,
        platform: Platform,
        tasks: TaskStarter,
        shards: int,
        retention_ms: int,
        timeout_s: float,
        unix_ms: Callable[[], int],
    ) -> None:
        self._platform = platform
        self._tasks = tasks
        self._shard_count = shards
        self._retention_ms = retention_ms
        self._timeout_s = timeout_s
        self._unix_ms = unix_ms
        self._shards = [_Shard(f"{CLAIM_KEY_PREFIX}{number}") for number in range(shards)]

    async def claim(self, claim: ClaimRequest) -> Result[ClaimAnswer, ClaimUnavailable]:
        """Claim a key; if an error is returned, the request must not run."""
        if self._platform.is_down:
            return Err(ClaimUnavailable("the platform does not answer"))
        pending = _PendingClaim(claim)
        shard = self._shards[shard_of(claim.key, self._shard_count)]
        shard.pending.append(pending)
        self._start_writing(shard)
        try:
            await pending.done.wait()
        except trio.Cancelled:
            self._withdraw(shard, pending)
            raise
        assert pending.answer is not None
        return pending.answer

    def store_result(self, result: ClaimResult) -> None:
        """Store the result of a claimed request with the next write of its shard."""
        shard = self._shards[shard_of(result.key, self._shard_count)]
        shard.results.append(result)
        self._start_writing(shard)

    def _withdraw(self, shard: _Shard, pending: _PendingClaim) -> None:
        """Withdraw the claim of a disconnected caller; release it if it may have been written."""
        if pending in shard.pending:
            shard.pending.remove(pending)
        else:
            self.store_result(_released_result(pending.claim))

    def _start_writing(self, shard: _Shard) -> None:
        if not shard.is_writing:
            shard.is_writing = True
            self._tasks.start_soon(self._write_shard, shard)

    async def _write_shard(self, shard: _Shard) -> None:
        """Write batches until nothing is pending or the platform fails."""
        try:
            while shard.pending or shard.results:
                batch, shard.pending = shard.pending, []
                results, shard.results = shard.results, []
                unavailable = await self._try_write_batch(shard, batch, results)
                if unavailable is not None:
                    self._fail_batch(shard, batch, results, unavailable)
                    if not shard.pending:
                        return
        finally:
            shard.is_writing = False

    async def _try_write_batch(
        self, shard: _Shard, batch: list[_PendingClaim], results: list[ClaimResult]
    ) -> ClaimUnavailable | None:
        """Write one batch; return an error also if the stored record cannot be decoded."""
        try:
            return await self._write_batch(shard, batch, results)
        except RecordError as error:
            return ClaimUnavailable(str(error))

    async def _write_batch(
        self, shard: _Shard, batch: list[_PendingClaim], results: list[ClaimResult]
    ) -> ClaimUnavailable | None:
        """Write one batch and answer its claims; return an error if it could not be written."""
        claims = [pending.claim for pending in batch]
        is_read = False
        for _ in range(MAX_CONFLICTS):
            record, answers = add_claims(
                shard.record, claims, results, self._unix_ms(), self._retention_ms
            )
            if record != shard.record:
                unavailable = await self._write(shard, record, {c.attempt for c in claims})
            elif not is_read:
                unavailable = await self._read(shard)
            else:
                _answer_all(batch, answers)
                return None
            if unavailable is not None:
                return unavailable
            is_read = True
        return ClaimUnavailable("the claim record changes too fast")

    async def _write(
        self, shard: _Shard, record: ClaimShard, attempts: set[AttemptId]
    ) -> ClaimUnavailable | None:
        """Write the record of a shard, and adopt the one that is stored afterwards."""
        written = await write_until_settled(
            self._platform,
            shard.key,
            record,
            shard.version,
            lambda stored: any(c.attempt_id in attempts for c in _parse_shard(stored).claims),
            self._timeout_s,
        )
        match written:
            case Ok(stored):
                shard.adopt(stored)
            case Err(WriteConflict(current)):
                shard.adopt(current)
            case Err(WriteNotApplied(detail) | WriteOutcomeUnknown(detail)):
                return ClaimUnavailable(detail)
        return None

    async def _read(self, shard: _Shard) -> ClaimUnavailable | None:
        match await self._platform.get(shard.key):
            case Ok(stored):
                shard.adopt(stored)
            case Err(error):
                return ClaimUnavailable(error.detail)
        return None

    def _fail_batch(
        self,
        shard: _Shard,
        batch: list[_PendingClaim],
        results: list[ClaimResult],
        unavailable: ClaimUnavailable,
    ) -> None:
        """Fail a batch; release its claims later, as its write may still take effect."""
        logger.warning(
            "cannot write claims", shard=shard.key, claims=len(batch), reason=unavailable.detail
        )
        for pending in batch:
            pending.answer = Err(unavailable)
            pending.done.set()
        released = [_released_result(pending.claim) for pending in batch]
        shard.results = [*results, *released, *shard.results]
        self._tasks.start_soon(self._write_later, shard)

    async def _write_later(self, shard: _Shard) -> None:
        await trio.sleep(RETRY_PAUSE_S)
        if shard.results:
            self._start_writing(shard)


def _released_result(claim: ClaimRequest) -> ClaimResult:
    return ClaimResult(claim.key, claim.attempt, ClaimState.RELEASED)


def _parse_shard(stored: StoredObject) -> ClaimShard:
    return parse_record(stored, ClaimShard())


def _answer_all(batch: list[_PendingClaim], answers: dict[AttemptId, ClaimAnswer]) -> None:
    for pending in batch:
        pending.answer = Ok(answers[pending.claim.attempt])
        pending.done.set()
