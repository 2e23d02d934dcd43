"""Claims: an unsafe request runs at most once across entry hosts and callers' retries.

A request's idempotency key is claimed in the platform before its first byte goes to an endpoint.
Claims of one shard share a record that changes by conditional update, so of two entry hosts that
claim one key, one sees the other's claim, whoever writes. Claims that wait while a write is in
flight go together in the next one.

Times here are Unix milliseconds, since the records outlive every process.
"""

from dataclasses import dataclass, replace
from enum import Enum

from yewloom.hashing import hash64
from yewloom.ids import AttemptId, EntryHostId, IdempotencyKey
from yewloom.schema.records_pb2 import Claim, ClaimShard
from yewloom.states import ClaimState

MAX_STORED_BODY_BYTES = 2048
"""Largest answer that is kept with its claim."""

MAX_SHARD_CLAIMS = 256
"""Claims in one shard's record, which keeps it below the platform's largest value."""


class Verdict(Enum):
    """What a claim's holder may do."""

    RUN = "run"
    ANSWERED = "answered"
    TAKEN = "taken"
    FULL = "full"


@dataclass(frozen=True)
class ClaimRequest:
    """A wish to run an unsafe request."""

    key: IdempotencyKey
    attempt: AttemptId
    holder: EntryHostId


@dataclass(frozen=True)
class ClaimResult:
    """The answer kept with a claim, so that a repeated request gets it again."""

    key: IdempotencyKey
    attempt: AttemptId
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""

    def without_body(self) -> "ClaimResult":
        """Return the result without its answer."""
        return replace(self, body=b"", content_type="")


@dataclass(frozen=True)
class ClaimAnswer:
    """The verdict on a claim, with the earlier claim where there is one."""

    verdict: Verdict
    earlier: Claim | None = None


def shard_of(key: IdempotencyKey, shards: int) -> int:
    """Return the shard of a key."""
    return hash64(key) % shards


def add_claims(
    record: ClaimShard,
    claims: list[ClaimRequest],
    results: list[ClaimResult],
    now_unix_ms: int,
    retention_ms: int,
) -> tuple[ClaimShard, dict[AttemptId, ClaimAnswer]]:
    """Return the record with results and new claims put in, and the answer to each claim.

    The answers count only once the record has been written. A claim that is already in the record
    under the same attempt may run: it is the claimant's own write whose answer was lost.
    """
    kept = [c for c in record.claims if now_unix_ms - c.claimed_unix_ms <= retention_ms]
    by_key = {IdempotencyKey(claim.key): _copy(claim) for claim in kept}
    for result in results:
        _store_result(by_key, result)
    answers = {claim.attempt: _add_claim(by_key, claim, now_unix_ms) for claim in claims}
    return ClaimShard(claims=by_key.values()), answers


def _copy(claim: Claim) -> Claim:
    copied = Claim()
    copied.CopyFrom(claim)
    return copied


def _store_result(by_key: dict[IdempotencyKey, Claim], result: ClaimResult) -> None:
    claim = by_key.get(result.key)
    if claim is None or claim.attempt_id != result.attempt:
        return
    kept = result if len(result.body) <= MAX_STORED_BODY_BYTES else result.without_body()
    claim.state = kept.state.value
    claim.status = kept.status
    claim.content_type = kept.content_type
    claim.body = kept.body


def _add_claim(
    by_key: dict[IdempotencyKey, Claim], claim: ClaimRequest, now_unix_ms: int
) -> ClaimAnswer:
    earlier = by_key.get(claim.key)
    if earlier is not None and earlier.attempt_id == claim.attempt:
        return ClaimAnswer(Verdict.RUN)
    if earlier is None or earlier.state == ClaimState.RELEASED.value:
        if earlier is None and len(by_key) >= MAX_SHARD_CLAIMS:
            return ClaimAnswer(Verdict.FULL)
        by_key[claim.key] = Claim(
            key=claim.key,
            attempt_id=claim.attempt,
            holder=claim.holder,
            state=ClaimState.CLAIMED.value,
            claimed_unix_ms=now_unix_ms,
        )
        return ClaimAnswer(Verdict.RUN)
    if earlier.state == ClaimState.DONE.value and earlier.body:
        return ClaimAnswer(Verdict.ANSWERED, earlier)
    return ClaimAnswer(Verdict.TAKEN, earlier)
