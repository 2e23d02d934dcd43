"""Claims of idempotency keys, so that an unsafe request runs at most once.

This holds across entry hosts and callers' retries. The key of a request is claimed in the platform
before the first byte is sent to an endpoint. The claims of a shard are stored in one record, which
is changed by conditional updates: if two entry hosts claim the same key, one of them sees the
other's claim. Claims that arrive while a write is in progress are batched into the next one.

A record contains the newest claims in full. Of older claims it contains a hash of the key, which is
enough to never run them again. Hashes are kept for at least the retention time, and for at most
twice that.

Times are in Unix milliseconds, since the records outlive every process.
"""

from dataclasses import replace
from enum import Enum

from yewloom.hashing import hash64
from yewloom.ids import AttemptId, EntryHostId, IdempotencyKey
from yewloom.schema.records_pb2 import Claim, ClaimShard
from yewloom.states import ClaimState
from yewloom.values import value_class

MAX_STORED_BODY_BYTES = 2048
"""Size of the largest response body that is stored with its claim."""

MAX_FULL_CLAIMS = 128
"""Maximum number of claims that the record of a shard contains in full."""

MAX_HASHES = 30_000
"""Maximum number of key hashes in the record of a shard.

It keeps the record below the platform's maximum size.
"""


class Verdict(Enum):
    """The decision on a claim."""

    RUN = "run"
    ANSWERED = "answered"
    TAKEN = "taken"
    FULL = "full"


@value_class
class ClaimRequest:
    """An attempt to claim an idempotency key before an unsafe request is run."""

    key: IdempotencyKey
    attempt: AttemptId
    holder: EntryHostId


@value_class
class ClaimResult:
    """The result of a claimed request, stored so that a retry gets the same response."""

    key: IdempotencyKey
    attempt: AttemptId
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""

    def without_body(self) -> "ClaimResult":
        """Return the result without the body of the response."""
        return replace(self, body=b"", content_type="")


@value_class
class ClaimAnswer:
    """The verdict on a claim, with the earlier claim of the same key if there is one."""

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
    """Return the record with the results and claims added, and the answer to each claim.

    The answers are valid only after the record has been written. A claim that is already in the
    record with the same attempt id may run: the same attempt has written it earlier, but has not
    received the result of that write.
    """
    updated = ClaimShard()
    updated.CopyFrom(record)
    _rotate(updated, now_unix_ms, retention_ms)
    claims_by_key = {IdempotencyKey(claim.key): claim for claim in updated.claims}
    for result in results:
        _store_result(claims_by_key, result)
    known_hashes = {*updated.recent_hashes, *updated.earlier_hashes}
    answers = {
        claim.attempt: _add_claim(updated, claims_by_key, known_hashes, claim, now_unix_ms)
        for claim in claims
    }
    _compact(updated)
    return updated, answers


def restore_lost_claims(record: ClaimShard, known: ClaimShard) -> None:
    """Add what an earlier known record holds to one from an older copy of the platform.

    A claim that another host has made since the platform went back to that copy is kept.
    """
    claims_by_key = {claim.key: claim for claim in record.claims}
    for claim in known.claims:
        stored = claims_by_key.get(claim.key)
        if stored is None:
            record.claims.append(claim)
        elif stored.attempt_id == claim.attempt_id:
            stored.CopyFrom(claim)
    hashes = {*record.recent_hashes, *record.earlier_hashes}
    lost_hashes = [h for h in known.recent_hashes if h not in hashes]
    record.recent_hashes.extend(lost_hashes)


def _rotate(record: ClaimShard, now_unix_ms: int, retention_ms: int) -> None:
    """After each retention time, drop the earlier hashes and make the recent ones the earlier ones.

    So a hash is kept for one to two retention times.
    """
    if not record.rotated_unix_ms:
        record.rotated_unix_ms = now_unix_ms
    if now_unix_ms - record.rotated_unix_ms <= retention_ms:
        return
    del record.earlier_hashes[:]
    record.earlier_hashes.extend(record.recent_hashes)
    del record.recent_hashes[:]
    record.rotated_unix_ms = now_unix_ms


def _compact(record: ClaimShard) -> None:
    """Replace the oldest claims by hashes; drop claims of requests that have not run."""
    surplus = len(record.claims) - MAX_FULL_CLAIMS
    if surplus <= 0:
        return
    oldest = list(record.claims[:surplus])
    del record.claims[:surplus]
    claims_that_ran = (claim for claim in oldest if claim.state != ClaimState.RELEASED.value)
    record.recent_hashes.extend(hash64(claim.key) for claim in claims_that_ran)


def _store_result(claims_by_key: dict[IdempotencyKey, Claim], result: ClaimResult) -> None:
    claim = claims_by_key.get(result.key)
    if claim is None or claim.attempt_id != result.attempt:
        return
    stored = result if len(result.body) <= MAX_STORED_BODY_BYTES else result.without_body()
    claim.state = stored.state.value
    claim.status = stored.status
    claim.content_type = stored.content_type
    claim.body = stored.body


def _add_claim(
    record: ClaimShard,
    claims_by_key: dict[IdempotencyKey, Claim],
    known_hashes: set[int],
    claim: ClaimRequest,
    now_unix_ms: int,
) -> ClaimAnswer:
    earlier = claims_by_key.get(claim.key)
    if earlier is None and hash64(claim.key) in known_hashes:
        return ClaimAnswer(Verdict.TAKEN, Claim(key=claim.key, state=ClaimState.DONE.value))
    if earlier is not None and earlier.attempt_id == claim.attempt:
        return ClaimAnswer(Verdict.RUN)
    if earlier is None or earlier.state == ClaimState.RELEASED.value:
        if earlier is None and len(known_hashes) >= MAX_HASHES:
            return ClaimAnswer(Verdict.FULL)
        claims_by_key[claim.key] = _insert(record, earlier, claim, now_unix_ms)
        return ClaimAnswer(Verdict.RUN)
    if earlier.state == ClaimState.DONE.value and earlier.body:
        return ClaimAnswer(Verdict.ANSWERED, earlier)
    return ClaimAnswer(Verdict.TAKEN, earlier)


def _insert(
    record: ClaimShard, earlier: Claim | None, claim: ClaimRequest, now_unix_ms: int
) -> Claim:
    """Add a claim to a record, replacing an earlier one of a request that has not run."""
    if earlier is not None:
        record.claims.remove(earlier)
    return record.claims.add(
        key=claim.key,
        attempt_id=claim.attempt,
        holder=claim.holder,
        state=ClaimState.CLAIMED.value,
        claimed_unix_ms=now_unix_ms,
    )
