"""Quarantine of requests, or parts of prompts, that crash endpoints: they are not forwarded.

The first quarantine has a fixed duration, and each later one is longer than the one before. Then
the request may be tried again, by one host after the other: the hosts take turns in the order of a
hash of the request and their names, so that a request that still crashes endpoints crashes one, not
one per host. A successful response lifts the quarantine, and so does an operator. The same holds
for a part of prompts, of which one request with it is tried.

Hosts send each other all quarantines that they know of, including those that others have reported.
Of two reports of a request, the one with the higher count is newer; if the counts are equal, the
one that lifts the quarantine is newer. So all hosts converge to the same state, whatever the order
and number of their messages. Reports carry their age, so one that is passed on repeatedly does not
extend a quarantine.

Times are in seconds of Trio's clock.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

import structlog

from yewloom.fingerprints import format_fingerprint
from yewloom.hashing import rendezvous_rank
from yewloom.ids import EntryHostId, Fingerprint, PromptPart
from yewloom.prompt_parts import format_prompt_part
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

INITIAL_QUARANTINE_S = 600.0
"""Duration of a request's first quarantine; rolling out a fixed endpoint takes some minutes."""

INITIAL_PART_QUARANTINE_S = 20.0
"""Duration of the first quarantine of a part. It is short, as a part that is wrongly taken for the
cause of crashes stops many requests: the trial that follows it confirms or lifts the quarantine."""

MAX_QUARANTINE_S = 4 * 3600.0
"""Longest duration of a quarantine, so that a fix is noticed on the same day."""

MAX_GROWTH_STEPS = 16
"""Maximum number of times the duration grows; ``MAX_QUARANTINE_S`` is reached well before."""

TRIAL_INTERVAL_S = 5.0
"""Time between the trials of a request by two successive hosts.

All hosts know the result of a trial within this time.
"""

MAX_ENTRIES = 256
"""Maximum number of requests kept; beyond it, the one whose quarantine ends first is dropped."""


KeyT = TypeVar("KeyT", Fingerprint, PromptPart)


@value_class
class QuarantineKind(Generic[KeyT]):
    """What a quarantine holds, and for how long.

    ``noun`` and ``field_name`` name it in log lines. The first quarantine lasts ``initial_s``, each
    later one ``growth`` times as long as the one before.
    """

    noun: str
    field_name: str
    format_key: Callable[[KeyT], str]
    initial_s: float
    growth: int


REQUESTS = QuarantineKind("request", "fingerprint", format_fingerprint, INITIAL_QUARANTINE_S, 2)
PARTS = QuarantineKind("prompt part", "part", format_prompt_part, INITIAL_PART_QUARANTINE_S, 6)


@value_class
class QuarantineReport(Generic[KeyT]):
    """The number of quarantines of a request or part, and the time since the last one began."""

    key: KeyT
    count: int
    is_lifted: bool
    age_s: float


@dataclass
class _Entry:
    """A quarantine; ``ends_s`` is the time from which the request may be tried again."""

    count: int
    is_lifted: bool
    since_s: float
    ends_s: float
    next_trial_s: float = float("-inf")


class Quarantine(Generic[KeyT]):
    """Keeps the quarantined requests, or parts of prompts, and decides when one may be tried again.

    ``known_hosts`` returns all entry hosts that were ever known, including this one; ``on_change``
    is called when peers should soon be sent a change.
    """

    def __init__(
        self,
        kind: QuarantineKind[KeyT],
        own_id: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._kind: QuarantineKind[KeyT] = kind
        self._own_id = own_id
        self._known_hosts = known_hosts
        self._on_change = on_change
        self._entries: dict[KeyT, _Entry] = {}
        self.change_count = 0
        """Number of changes so far, by which ``QuarantineStore`` detects new ones."""

    @property
    def has_any(self) -> bool:
        """Return whether any quarantine is known, including lifted ones."""
        return bool(self._entries)

    def add(self, key: KeyT, now_s: float) -> None:
        """Quarantine a request, which has crashed endpoints, from now on."""
        entry = self._entries.get(key)
        count = entry.count + 1 if entry is not None else 1
        self._store(key, self._new_entry(count, False, now_s))

    def lift(self, key: KeyT) -> bool:
        """Lift the quarantine of a request, after a successful response or for an operator.

        Return whether it was quarantined.
        """
        entry = self._entries.get(key)
        if entry is None or entry.is_lifted:
            return False
        self._store(key, self._new_entry(entry.count, True, entry.since_s))
        return True

    def apply(self, report: QuarantineReport[KeyT], arrived_s: float) -> None:
        """Apply a report of a peer, which was received no earlier than ``arrived_s``."""
        current = self._entries.get(report.key)
        if current is None or (report.count, report.is_lifted) > (current.count, current.is_lifted):
            self._store(
                report.key,
                self._new_entry(report.count, report.is_lifted, arrived_s - report.age_s),
            )

    def reports(self, now_s: float, max_count: int = MAX_ENTRIES) -> list[QuarantineReport[KeyT]]:
        """Return reports about the ``max_count`` most recently quarantined requests."""
        newest = sorted(self._entries.items(), key=lambda item: item[1].since_s)[-max_count:]
        return [QuarantineReport(key, e.count, e.is_lifted, now_s - e.since_s) for key, e in newest]

    def count_of(self, key: KeyT) -> int:
        """Return how many times a request was quarantined."""
        entry = self._entries.get(key)
        return entry.count if entry is not None else 0

    def is_quarantined(self, key: KeyT) -> bool:
        """Return whether a request is quarantined; it may be due for a trial."""
        entry = self._entries.get(key)
        return entry is not None and not entry.is_lifted

    def was_trial_due(self, key: KeyT, at_s: float) -> bool:
        """Return whether a request is quarantined and was due for a trial at ``at_s``."""
        return self.is_quarantined(key) and at_s >= self._entries[key].ends_s

    def wait_s(self, key: KeyT, now_s: float) -> float:
        """Return the time until this host may forward a request; 0 if it may do so now."""
        entry = self._entries.get(key)
        if entry is None or entry.is_lifted:
            return 0.0
        due_s = entry.ends_s
        if now_s >= due_s:
            due_s = max(due_s + self._hosts_before(key) * TRIAL_INTERVAL_S, entry.next_trial_s)
        return max(0.0, due_s - now_s)

    def record_trial(self, key: KeyT, now_s: float) -> None:
        """Record a trial of a quarantined request, which delays the next trial on this host."""
        if self.is_quarantined(key):
            self._entries[key].next_trial_s = now_s + TRIAL_INTERVAL_S

    def _hosts_before(self, key: KeyT) -> int:
        """Return how many hosts may try a request before this one."""
        return rendezvous_rank(str(key), self._own_id, self._known_hosts())

    def _new_entry(self, count: int, is_lifted: bool, since_s: float) -> _Entry:
        return _Entry(count, is_lifted, since_s, since_s + self._duration_s(count))

    def _duration_s(self, count: int) -> float:
        """Return the duration of a quarantine; ``count`` is 1 for the first one."""
        steps = min(count - 1, MAX_GROWTH_STEPS)
        return min(self._kind.initial_s * math.pow(self._kind.growth, steps), MAX_QUARANTINE_S)

    def _store(self, key: KeyT, entry: _Entry) -> None:
        self.change_count += 1
        self._entries[key] = entry
        if len(self._entries) > MAX_ENTRIES:
            ends_first = min(self._entries, key=lambda key: self._entries[key].ends_s)
            del self._entries[ends_first]
        noun, name = self._kind.noun, self._kind.format_key(key)
        logger.warning(
            f"{noun} released from quarantine" if entry.is_lifted else f"{noun} quarantined",
            **{self._kind.field_name: name},
            count=entry.count,
            hold_s=round(entry.ends_s - entry.since_s),
        )
        self._on_change()
