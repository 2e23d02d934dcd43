"""The lease of a data centre's coordinator, stored in one platform record.

Safety does not depend on the lease: placement is exclusive by conditional update, and orders carry
fences. The lease limits duplicate work and restricts orders to endpoints that do not check fences.

All times are seconds of the caller's monotonic clock. The holder measures the lease from before its
write was sent; other hosts measure it from when they first read the record. The holder therefore
always stops first, regardless of delays and pauses.
"""

from yewloom.ids import AttemptId, EntryHostId
from yewloom.schema.records_pb2 import Lease
from yewloom.schema.settings_pb2 import LeaseSettings
from yewloom.store_revisions import era_of
from yewloom.values import value_class

HOLDER_RETRY_S = 0.3
"""Pause before the last holder of the lease calls the store again after it did not answer. It is
short so that groups are repaired soon after an outage."""


@value_class
class LeaseTiming:
    """Durations of the lease."""

    duration_s: float
    renew_interval_s: float
    margin_s: float


def lease_timing(settings: LeaseSettings) -> LeaseTiming:
    """Convert the durations in the settings from milliseconds to seconds."""
    return LeaseTiming(
        settings.duration_ms / 1000, settings.renew_interval_ms / 1000, settings.margin_ms / 1000
    )


@value_class
class ReadLease:
    """Action: read the record."""


@value_class
class WriteLease:
    """Action: write the record if its version is still the expected one (0 for no record)."""

    lease: Lease
    expected_version: int


LeaseAction = ReadLease | WriteLease


class LeaseKeeper:
    """Decides when to read, acquire or renew the lease, and whether it is held."""

    def __init__(self, holder: EntryHostId, timing: LeaseTiming) -> None:
        self._holder = holder
        self._timing = timing
        self._record: Lease | None = None
        self._version = 0
        self._version_seen_s: float | None = None
        self._held_until_s = float("-inf")
        self._next_action_s = float("-inf")
        self._is_interrupted = False
        self._last_held_until_s = float("-inf")
        self._returned_s = float("-inf")

    @property
    def term(self) -> int:
        """Term of the record last read or written."""
        return self._record.term if self._record is not None else 0

    def holds(self, now_s: float) -> bool:
        """Return whether the lease is held, after deducting the margin for drift and pauses."""
        return now_s < self._held_until_s - self._timing.margin_s

    def next_action(self, now_s: float, attempt: AttemptId) -> LeaseAction | None:
        """Return the action that is due, if any; ``attempt`` identifies a write."""
        if now_s < self._next_action_s:
            return None
        self._next_action_s = now_s + self._timing.renew_interval_s
        if self._version_seen_s is None:
            return ReadLease()
        if self._may_write(now_s):
            return WriteLease(self._new_lease(attempt), self._version)
        return ReadLease()

    def on_read(self, record: Lease | None, version: int, now_s: float) -> None:
        """Process the record as read; ``version`` is 0 if there is none."""
        if era_of(version) > era_of(self._version) and self._version:
            self._returned_s = now_s
        if self._version_seen_s is None or version != self._version:
            self._version_seen_s = now_s
        self._record = record
        self._version = version
        if not self._is_own_record:
            self._held_until_s = float("-inf")
        elif self._is_interrupted:
            self._next_action_s = now_s  # Renew immediately, as the lease may have expired.

    def on_written(self, record: Lease, version: int, sent_s: float, now_s: float) -> None:
        """Process a successful write; ``sent_s`` is the time before it was first sent."""
        self._record = record
        self._version = version
        self._version_seen_s = now_s
        self._held_until_s = sent_s + record.duration_ms / 1000
        self._last_held_until_s = self._held_until_s
        self._is_interrupted = False

    @property
    def _is_own_record(self) -> bool:
        return self._record is not None and self._record.holder == self._holder

    def on_conflict(self) -> None:
        """Process a write conflict: the lease counts as lost until it is re-read."""
        self._held_until_s = float("-inf")
        self._version_seen_s = None
        self._next_action_s = float("-inf")
        self._is_interrupted = False

    def on_failed(self, now_s: float) -> None:
        """Process a call that the store did not answer, or that had no effect.

        A held lease stays held until it expires. The last holder retries soon, so that coordination
        resumes as soon as the store is available; other hosts keep their interval.
        """
        if self._is_own_record:
            self._is_interrupted = True
            self._next_action_s = now_s + HOLDER_RETRY_S

    def on_outcome_unknown(self, now_s: float) -> None:
        """Process a write of unknown outcome: the record is read before the next write."""
        self._version_seen_s = None
        self.on_failed(now_s)

    def release(self, attempt: AttemptId, now_s: float) -> WriteLease | None:
        """Stop holding the lease before a planned stop.

        Return the write after which other hosts need not wait for the lease to expire, or None if
        the lease is not held.
        """
        is_held = self.holds(now_s)
        self._held_until_s = float("-inf")
        if not is_held:
            return None
        lease = Lease(holder=self._holder, term=self.term, duration_ms=0, attempt_id=attempt)
        return WriteLease(lease, self._version)

    def _may_write(self, now_s: float) -> bool:
        if self._record is None or self._record.holder == self._holder:
            return self._last_held_until_s > self._returned_s or now_s >= self._unknown_lease_end_s
        assert self._version_seen_s is not None
        expiry_s = self._record.duration_ms / 1000 + self._timing.margin_s
        return now_s >= self._version_seen_s + expiry_s

    @property
    def _unknown_lease_end_s(self) -> float:
        """Time until which another host may hold a lease whose record the store has lost.

        After the store went back to an older copy, its record may name an earlier holder.
        """
        return self._returned_s + self._timing.duration_s + self._timing.margin_s

    def _new_lease(self, attempt: AttemptId) -> Lease:
        return Lease(
            holder=self._holder,
            term=self.term if self._is_own_record else self.term + 1,
            duration_ms=round(self._timing.duration_s * 1000),
            attempt_id=attempt,
        )
