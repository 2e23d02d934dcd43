"""Claims: an unsafe request runs at most once across entry hosts and callers' retries.

A request's idempotency key is claimed in the platform before its first byte goes to an endpoint.
Claims of one shard share a record that changes by conditional update, so of two entry hosts that
claim one key, one sees the other's claim, whoever writes. Claims that wait while a write is in
flight go together in the next one.

A record keeps the latest claims whole. Of older ones it keeps a hash of the key, which is enough to
never run them again. Hashes are kept for the retention time at least, and for twice that at most.

Times here are Unix milliseconds, since the records outlive every process.
"""

from dataclasses import replace
from enum import Enum

from yewloom.hashing import hash64
from yewloom.ids import AttemptId, EntryHostId, IdempotencyKey
from yewloom.schema.records_pb2 import Claim, ClaimShard
from yewloom.states import ClaimState
from yewloom.values import value_class

MAX_STORED_BODY_BYTES = 2048
"""Largest answer that is kept with its claim."""

MAX_WHOLE_CLAIMS = 128
"""Claims that one shard's record keeps whole."""

MAX_HASHES = 30_000
"""Hashes of keys in one shard's record, which keeps it below the platform's largest value."""


class Verdict(Enum):
    """What a claim's holder may do."""

    RUN = "run"
    ANSWERED = "answered"
    TAKEN = "taken"
    FULL = "full"


@value_class
class ClaimRequest:
    """A wish to run an unsafe request."""

    key: IdempotencyKey
    attempt: AttemptId
    holder: EntryHostId


@value_class
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


@value_class
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
    following = ClaimShard()
    following.CopyFrom(record)
    _rotate(following, now_unix_ms, retention_ms)
    by_key = {IdempotencyKey(claim.key): claim for claim in following.claims}
    for result in results:
        _store_result(by_key, result)
    known = {*following.recent_hashes, *following.earlier_hashes}
    answers = {
        claim.attempt: _add_claim(following, by_key, known, claim, now_unix_ms) for claim in claims
    }
    _compact(following)
    return following, answers


def _rotate(record: ClaimShard, now_unix_ms: int, retention_ms: int) -> None:
    """Drop the hashes that are older than the retention time."""
    if not record.rotated_unix_ms:
        record.rotated_unix_ms = now_unix_ms
    if now_unix_ms - record.rotated_unix_ms <= retention_ms:
        return
    del record.earlier_hashes[:]
    record.earlier_hashes.extend(record.recent_hashes)
    del record.recent_hashes[:]
    record.rotated_unix_ms = now_unix_ms


def _compact(record: ClaimShard) -> None:
    """Keep only hashes of the oldest claims, and nothing of those that did not run."""
    surplus = len(record.claims) - MAX_WHOLE_CLAIMS
    if surplus <= 0:
        return
    oldest = list(record.claims[:surplus])
    del record.claims[:surplus]
    ran = (claim for claim in oldest if claim.state != ClaimState.RELEASED.value)
    record.recent_hashes.extend(hash64(claim.key) for claim in ran)


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
    record: ClaimShard,
    by_key: dict[IdempotencyKey, Claim],
    known: set[int],
    claim: ClaimRequest,
    now_unix_ms: int,
) -> ClaimAnswer:
    earlier = by_key.get(claim.key)
    if earlier is None and hash64(claim.key) in known:
        return ClaimAnswer(Verdict.TAKEN, Claim(key=claim.key, state=ClaimState.DONE.value))
    if earlier is not None and earlier.attempt_id == claim.attempt:
        return ClaimAnswer(Verdict.RUN)
    if earlier is None or earlier.state == ClaimState.RELEASED.value:
        if earlier is None and len(known) >= MAX_HASHES:
            return ClaimAnswer(Verdict.FULL)
        by_key[claim.key] = _put(record, earlier, claim, now_unix_ms)
        return ClaimAnswer(Verdict.RUN)
    if earlier.state == ClaimState.DONE.value and earlier.body:
        return ClaimAnswer(Verdict.ANSWERED, earlier)
    return ClaimAnswer(Verdict.TAKEN, earlier)


def _put(record: ClaimShard, earlier: Claim | None, claim: ClaimRequest, now_unix_ms: int) -> Claim:
    """Put a claim into a record, in place of an earlier one that did not run."""
    if earlier is not None:
        record.claims.remove(earlier)
    return record.claims.add(
        key=claim.key,
        attempt_id=claim.attempt,
        holder=claim.holder,
        state=ClaimState.CLAIMED.value,
        claimed_unix_ms=now_unix_ms,
    )
