"""The lease of a data centre's coordinator, kept in one platform record.

Safety does not rest on the lease: placement is exclusive by conditional update and orders carry
fences. The lease limits doubled work, and bounds orders to endpoints that check no fence.

All times are seconds of the caller's monotonic clock. The holder counts its time from before the
write was sent; others count from when they first read the record. So the holder always stops
first, whatever the delays and pauses.
"""

from yewloom.ids import AttemptId, EntryHostId
from yewloom.schema.records_pb2 import Lease
from yewloom.schema.settings_pb2 import LeaseSettings
from yewloom.values import value_class

RETRY_S = 0.3
"""Pause of the last holder before it calls a store again that did not answer, so that groups are
repaired soon after an outage."""


@value_class
class LeaseTiming:
    """Durations of the lease in seconds."""

    duration_s: float
    renew_interval_s: float
    margin_s: float


def lease_timing(settings: LeaseSettings) -> LeaseTiming:
    """Return the durations that the settings state in milliseconds."""
    return LeaseTiming(
        settings.duration_ms / 1000, settings.renew_interval_ms / 1000, settings.margin_ms / 1000
    )


@value_class
class ReadLease:
    """Action: read the record."""


@value_class
class WriteLease:
    """Action: write the record if its version is still the expected one (0: absent)."""

    lease: Lease
    expected_version: int


LeaseAction = ReadLease | WriteLease


class LeaseKeeper:
    """Decides when to read, take or renew the lease, and whether it is held."""

    def __init__(self, holder: EntryHostId, timing: LeaseTiming) -> None:
        self._holder = holder
        self._timing = timing
        self._record: Lease | None = None
        self._version = 0
        self._first_read_s: float | None = None
        self._held_until_s = float("-inf")
        self._next_step_s = float("-inf")
        self._is_interrupted = False

    @property
    def term(self) -> int:
        """Term of the record last read or written."""
        return self._record.term if self._record is not None else 0

    def holds(self, now_s: float) -> bool:
        """Tell whether the lease is held, less the margin for drift and pauses."""
        return now_s < self._held_until_s - self._timing.margin_s

    def next_action(self, now_s: float, attempt: AttemptId) -> LeaseAction | None:
        """Return the step that is due, if any; ``attempt`` names a write."""
        if now_s < self._next_step_s:
            return None
        self._next_step_s = now_s + self._timing.renew_interval_s
        if self._first_read_s is None:
            return ReadLease()
        if self._may_write(now_s):
            return WriteLease(self._proposal(attempt), self._version)
        return ReadLease()

    def on_read(self, record: Lease | None, version: int, now_s: float) -> None:
        """Take in the record as read; ``version`` is 0 if there is none."""
        if self._first_read_s is None or version != self._version:
            self._first_read_s = now_s
        self._record = record
        self._version = version
        if not self._was_mine:
            self._held_until_s = float("-inf")
        elif self._is_interrupted:
            self._next_step_s = now_s  # It renews at once, as it may hold the lease no longer.

    def on_written(self, record: Lease, version: int, sent_s: float, now_s: float) -> None:
        """Take in a write that took effect; ``sent_s`` is from before its first sending."""
        self._record = record
        self._version = version
        self._first_read_s = now_s
        self._held_until_s = sent_s + record.duration_ms / 1000
        self._is_interrupted = False

    @property
    def _was_mine(self) -> bool:
        return self._record is not None and self._record.holder == self._holder

    def on_conflict(self) -> None:
        """Take in that someone else wrote: nothing is held until the record is read."""
        self._held_until_s = float("-inf")
        self._first_read_s = None
        self._next_step_s = float("-inf")
        self._is_interrupted = False

    def on_failed(self, now_s: float) -> None:
        """Take in that the store did not answer, or did nothing.

        A lease that is held stays held until it lapses. Who held it last asks again soon, so that
        the work goes on as soon as the store is back; the others keep their pace.
        """
        if self._was_mine:
            self._is_interrupted = True
            self._next_step_s = now_s + RETRY_S

    def on_unsettled(self, now_s: float) -> None:
        """Take in that a write may have had an effect: the record is read before the next one."""
        self._first_read_s = None
        self.on_failed(now_s)

    def release(self, attempt: AttemptId, now_s: float) -> WriteLease | None:
        """Stop holding the lease, before a planned stop.

        Return the write after which others need not wait until it lapses; None if it is not held.
        """
        was_held = self.holds(now_s)
        self._held_until_s = float("-inf")
        if not was_held:
            return None
        lease = Lease(holder=self._holder, term=self.term, duration_ms=0, attempt_id=attempt)
        return WriteLease(lease, self._version)

    def _may_write(self, now_s: float) -> bool:
        if self._record is None or self._record.holder == self._holder:
            return True
        assert self._first_read_s is not None
        lapsed_s = self._record.duration_ms / 1000 + self._timing.margin_s
        return now_s >= self._first_read_s + lapsed_s

    def _proposal(self, attempt: AttemptId) -> Lease:
        return Lease(
            holder=self._holder,
            term=self.term if self._was_mine else self.term + 1,
            duration_ms=round(self._timing.duration_s * 1000),
            attempt_id=attempt,
        )
