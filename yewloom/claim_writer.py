"""Writes claims to the platform in groups: all that wait for one shard go in one update."""

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
    shard_of,
)
from yewloom.ids import AttemptId
from yewloom.platforms import Platform, StoredObject
from yewloom.schema.records_pb2 import ClaimShard
from yewloom.states import ClaimState
from yewloom.values import value_class
from yewloom.work import TaskStarter
from yewloom.writes import (
    RecordError,
    WriteConflict,
    WriteNotApplied,
    WriteUnsettled,
    parse_record,
    write_settled,
)

logger = structlog.get_logger(__name__)

CLAIM_PREFIX = "claims/"
MAX_CONFLICTS = 20
"""Conflicts after which a batch is given up."""

RETRY_PAUSE_S = 2.0
"""Pause before results that could not be stored are tried again."""


@value_class
class ClaimUnavailable:
    """The platform could not take a claim, so its request must not run."""

    detail: str


@dataclass
class _Waiting:
    claim: ClaimRequest
    done: trio.Event = field(default_factory=trio.Event)
    answer: Result[ClaimAnswer, ClaimUnavailable] | None = None


@dataclass
class _Shard:
    key: str
    waiting: list[_Waiting] = field(default_factory=list)
    results: list[ClaimResult] = field(default_factory=list)
    record: ClaimShard = field(default_factory=ClaimShard)
    version: int = 0
    is_writing: bool = False

    def take_in(self, stored: StoredObject | None) -> None:
        """Go on from what stands in the platform."""
        self.record = ClaimShard() if stored is None else _parse(stored)
        self.version = 0 if stored is None else stored.version


class ClaimWriter:
    """Claims idempotency keys and stores results; its writes are tasks of the starter given."""

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
        self._shards = [_Shard(f"{CLAIM_PREFIX}{number}") for number in range(shards)]

    async def claim(self, claim: ClaimRequest) -> Result[ClaimAnswer, ClaimUnavailable]:
        """Claim a key; an error means that the claim does not stand and nothing may run."""
        if self._platform.is_down:
            return Err(ClaimUnavailable("the platform does not answer"))
        waiting = _Waiting(claim)
        shard = self._shards[shard_of(claim.key, self._shard_count)]
        shard.waiting.append(waiting)
        self._start_writing(shard)
        try:
            await waiting.done.wait()
        except trio.Cancelled:
            self._withdraw(shard, waiting)
            raise
        assert waiting.answer is not None
        return waiting.answer

    def store(self, result: ClaimResult) -> None:
        """Store what became of a claimed request with the next write of its shard."""
        shard = self._shards[shard_of(result.key, self._shard_count)]
        shard.results.append(result)
        self._start_writing(shard)

    def _withdraw(self, shard: _Shard, waiting: _Waiting) -> None:
        """Take back the claim of a caller that has gone, wherever the claim stands."""
        if waiting in shard.waiting:
            shard.waiting.remove(waiting)
        else:
            self.store(_release(waiting.claim))

    def _start_writing(self, shard: _Shard) -> None:
        if not shard.is_writing:
            shard.is_writing = True
            self._tasks.start_soon(self._write_shard, shard)

    async def _write_shard(self, shard: _Shard) -> None:
        """Write batch after batch until nothing waits or the platform fails."""
        try:
            while shard.waiting or shard.results:
                batch, shard.waiting = shard.waiting, []
                results, shard.results = shard.results, []
                unavailable = await self._try_batch(shard, batch, results)
                if unavailable is not None:
                    self._give_up(shard, batch, results, unavailable)
                    if not shard.waiting:
                        return
        finally:
            shard.is_writing = False

    async def _try_batch(
        self, shard: _Shard, batch: list[_Waiting], results: list[ClaimResult]
    ) -> ClaimUnavailable | None:
        """Write one batch; a record that can't be decoded counts as unavailable."""
        try:
            return await self._write_batch(shard, batch, results)
        except RecordError as error:
            return ClaimUnavailable(str(error))

    async def _write_batch(
        self, shard: _Shard, batch: list[_Waiting], results: list[ClaimResult]
    ) -> ClaimUnavailable | None:
        """Write one batch and answer its claims; return why it could not be written, if so."""
        claims = [waiting.claim for waiting in batch]
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
        """Write a shard's record and take in what stands then."""
        written = await write_settled(
            self._platform,
            shard.key,
            record,
            shard.version,
            lambda stored: any(c.attempt_id in attempts for c in _parse(stored).claims),
            self._timeout_s,
        )
        match written:
            case Ok(stored):
                shard.take_in(stored)
            case Err(WriteConflict(current)):
                shard.take_in(current)
            case Err(WriteNotApplied(detail) | WriteUnsettled(detail)):
                return ClaimUnavailable(detail)
        return None

    async def _read(self, shard: _Shard) -> ClaimUnavailable | None:
        match await self._platform.get(shard.key):
            case Ok(stored):
                shard.take_in(stored)
            case Err(error):
                return ClaimUnavailable(error.detail)
        return None

    def _give_up(
        self,
        shard: _Shard,
        batch: list[_Waiting],
        results: list[ClaimResult],
        unavailable: ClaimUnavailable,
    ) -> None:
        """Fail a batch; its claims are released later, should their write still take effect."""
        logger.warning(
            "claims not written", shard=shard.key, claims=len(batch), reason=unavailable.detail
        )
        for waiting in batch:
            waiting.answer = Err(unavailable)
            waiting.done.set()
        released = [_release(waiting.claim) for waiting in batch]
        shard.results = [*results, *released, *shard.results]
        self._tasks.start_soon(self._write_later, shard)

    async def _write_later(self, shard: _Shard) -> None:
        await trio.sleep(RETRY_PAUSE_S)
        if shard.results:
            self._start_writing(shard)


def _release(claim: ClaimRequest) -> ClaimResult:
    return ClaimResult(claim.key, claim.attempt, ClaimState.RELEASED)


def _parse(stored: StoredObject) -> ClaimShard:
    return parse_record(stored, ClaimShard())


def _answer_all(batch: list[_Waiting], answers: dict[AttemptId, ClaimAnswer]) -> None:
    for waiting in batch:
        waiting.answer = Ok(answers[waiting.claim.attempt])
        waiting.done.set()
