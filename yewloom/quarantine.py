"""Quarantine of requests that crash endpoints: they are not forwarded for some time.

A request is first quarantined for ``INITIAL_QUARANTINE_S``, and twice as long as before each time
that it crashes another endpoint. Then it may be tried again, by one host after the other: the hosts
take turns in the order of a hash of the request and their names, so that a request that still
crashes endpoints crashes one, not one per host. A successful response lifts the quarantine, and so
does an operator.

Hosts send each other all quarantines that they know of, including those that others have reported.
Of two reports of a request, the one with the higher count is newer; if the counts are equal, the
one that lifts the quarantine is newer. So all hosts converge to the same state, whatever the order
and number of their messages. Reports carry their age, so one that is passed on repeatedly does not
extend a quarantine.

Times are in seconds of Trio's clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from yewloom.fingerprints import format_fingerprint
from yewloom.hashing import rendezvous_rank
from yewloom.ids import EntryHostId, Fingerprint
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

INITIAL_QUARANTINE_S = 600.0
"""Duration of the first quarantine; rolling out a fixed endpoint takes some minutes."""

MAX_QUARANTINE_S = 4 * 3600.0
"""Longest duration of a quarantine, so that a fix is noticed on the same day."""

MAX_DOUBLINGS = 16
"""Maximum number of times the duration doubles; ``MAX_QUARANTINE_S`` is reached well before."""

TRIAL_INTERVAL_S = 5.0
"""Time between the trials of a request by two successive hosts.

All hosts know the result of a trial within this time.
"""

MAX_ENTRIES = 256
"""Maximum number of requests kept; beyond it, the one whose quarantine ends first is dropped."""


@value_class
class QuarantineReport:
    """The number of quarantines of a request, and the time since the last one began."""

    fingerprint: Fingerprint
    count: int
    is_lifted: bool
    age_s: float


@dataclass
class _Entry:
    count: int
    is_lifted: bool
    since_s: float
    next_trial_s: float = float("-inf")

    @property
    def ends_s(self) -> float:
        """The time from which the request may be tried again."""
        duration_s = INITIAL_QUARANTINE_S * (1 << min(self.count - 1, MAX_DOUBLINGS))
        return self.since_s + min(duration_s, MAX_QUARANTINE_S)


class Quarantine:
    """Keeps the quarantined requests, and decides when one may be tried again.

    ``known_hosts`` returns all entry hosts that were ever known, including this one; ``on_change``
    is called when peers should soon be sent a change.
    """

    def __init__(
        self,
        own_id: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._own_id = own_id
        self._known_hosts = known_hosts
        self._on_change = on_change
        self._entries: dict[Fingerprint, _Entry] = {}
        self.change_count = 0
        """Number of changes so far, by which ``QuarantineStore`` detects new ones."""

    @property
    def has_any(self) -> bool:
        """Return whether any quarantine is known, including lifted ones."""
        return bool(self._entries)

    def add(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Quarantine a request, which has crashed endpoints, from now on."""
        entry = self._entries.get(fingerprint)
        count = entry.count + 1 if entry is not None else 1
        self._store(fingerprint, _Entry(count, False, now_s))

    def lift(self, fingerprint: Fingerprint) -> bool:
        """Lift the quarantine of a request, after a successful response or for an operator.

        Return whether it was quarantined.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_lifted:
            return False
        self._store(fingerprint, _Entry(entry.count, True, entry.since_s))
        return True

    def apply(self, report: QuarantineReport, arrived_s: float) -> None:
        """Apply a report of a peer, which was received no earlier than ``arrived_s``."""
        current = self._entries.get(report.fingerprint)
        if current is None or (report.count, report.is_lifted) > (current.count, current.is_lifted):
            self._store(
                report.fingerprint,
                _Entry(report.count, report.is_lifted, arrived_s - report.age_s),
            )

    def reports(self, now_s: float, max_count: int = MAX_ENTRIES) -> list[QuarantineReport]:
        """Return reports about the ``max_count`` most recently quarantined requests."""
        newest = sorted(self._entries.items(), key=lambda item: item[1].since_s)[-max_count:]
        return [QuarantineReport(f, e.count, e.is_lifted, now_s - e.since_s) for f, e in newest]

    def count_of(self, fingerprint: Fingerprint) -> int:
        """Return how many times a request was quarantined."""
        entry = self._entries.get(fingerprint)
        return entry.count if entry is not None else 0

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is quarantined; it may be due for a trial."""
        entry = self._entries.get(fingerprint)
        return entry is not None and not entry.is_lifted

    def was_trial_due(self, fingerprint: Fingerprint, at_s: float) -> bool:
        """Return whether a request is quarantined and was due for a trial at ``at_s``."""
        return self.is_quarantined(fingerprint) and at_s >= self._entries[fingerprint].ends_s

    def wait_s(self, fingerprint: Fingerprint, now_s: float) -> float:
        """Return the time until this host may forward a request; 0 if it may do so now."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_lifted:
            return 0.0
        due_s = entry.ends_s
        if now_s >= due_s:
            due_s = max(
                due_s + self._hosts_before(fingerprint) * TRIAL_INTERVAL_S, entry.next_trial_s
            )
        return max(0.0, due_s - now_s)

    def record_trial(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Record a trial of a quarantined request, which delays the next trial on this host."""
        if self.is_quarantined(fingerprint):
            self._entries[fingerprint].next_trial_s = now_s + TRIAL_INTERVAL_S

    def _hosts_before(self, fingerprint: Fingerprint) -> int:
        """Return how many hosts may try a request before this one."""
        return rendezvous_rank(str(fingerprint), self._own_id, self._known_hosts())

    def _store(self, fingerprint: Fingerprint, entry: _Entry) -> None:
        self.change_count += 1
        self._entries[fingerprint] = entry
        if len(self._entries) > MAX_ENTRIES:
            ends_first = min(self._entries, key=lambda f: self._entries[f].ends_s)
            del self._entries[ends_first]
        logger.warning(
            "request released from quarantine" if entry.is_lifted else "request quarantined",
            fingerprint=format_fingerprint(fingerprint),
            count=entry.count,
            hold_s=round(entry.ends_s - entry.since_s),
        )
        self._on_change()
