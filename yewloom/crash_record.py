"""Records which requests endpoints were processing when they crashed, and finds the causes.

A process that crashes aborts all of its requests, of which only one may be the cause. A request is
considered the cause once ``CRASH_THRESHOLD`` processes have crashed during it, with no successful
response in between. Of several such requests, the one with the most crashes is quarantined first. A
crash during a quarantined request, or one with a quarantined part of its prompt (``part_record``),
does not count against the other requests of that process.

Each host reports to its peers what it has observed itself, and counts the observations of all
hosts. Times are in seconds of Trio's clock.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import structlog

from yewloom.crash_reports import (
    CRASH_THRESHOLD,
    REPORT_PERIOD_S,
    RETENTION_S,
    CrashReport,
    EndpointProcess,
    LostRequest,
    SuccessReport,
)
from yewloom.fingerprints import format_fingerprint
from yewloom.ids import Fingerprint, PromptPart
from yewloom.part_record import PartRecord
from yewloom.prompt_parts import format_prompt_parts
from yewloom.quarantines import Quarantines

logger = structlog.get_logger(__name__)

MAX_CRASHES = 256
"""Maximum number of crashes kept; the oldest are dropped first."""

MAX_REQUESTS = 128
"""Maximum number of requests kept per crash, more than an endpoint processes concurrently."""

MAX_SUCCESSES = 1024
"""Maximum number of requests for which a successful response is kept."""

MAX_REPORTS = 16
"""Maximum number of crashes, and of successful responses, in one message to a peer."""


@dataclass
class _Crash:
    """A crash; ``own_requests`` are the aborted requests that this host had sent."""

    process: EndpointProcess
    seen_s: float
    requests: set[Fingerprint] = field(default_factory=set)
    own_requests: dict[Fingerprint, LostRequest] = field(default_factory=dict)


class CrashRecord:
    """Counts crashes by request, and quarantines the requests that caused them.

    ``parts`` does the same for parts of prompts. ``on_change`` is called when a crash should be
    reported soon.
    """

    def __init__(
        self, quarantines: Quarantines, on_change: Callable[[], None] = lambda: None
    ) -> None:
        self._quarantines = quarantines
        self._quarantine = quarantines.requests
        self.parts = PartRecord(quarantines.parts)
        self._on_change = on_change
        self._crashes: dict[EndpointProcess, _Crash] = {}
        self._answered_s: dict[Fingerprint, float] = {}
        self._answered_here_s: dict[Fingerprint, float] = {}

    @property
    def has_any(self) -> bool:
        """Return whether any crash or quarantine is known."""
        return bool(self._crashes) or self._quarantines.has_any

    def has_crash(self, process: EndpointProcess) -> bool:
        """Return whether a process is known to have crashed."""
        return process in self._crashes

    def is_suspect(self, fingerprint: Fingerprint, parts: Sequence[PromptPart] = ()) -> bool:
        """Return whether a request or a part of it is quarantined, or a process crashed during it.

        ``parts`` are the shared parts of its prompt.
        """
        if self._quarantine.is_quarantined(fingerprint):
            return True
        if self._quarantines.quarantined_parts(parts):
            return True
        return any(fingerprint in crash.requests for crash in self._crashes.values())

    def record_crash(
        self,
        process: EndpointProcess,
        requests: Iterable[LostRequest],
        seen_s: float,
        now_s: float,
    ) -> None:
        """Record the crash of a process that was processing requests of this host.

        ``seen_s`` is when it aborted their exchanges, which may be some time before the crash was
        known.
        """
        lost = {request.fingerprint: request for request in requests}
        crash = self._get_or_add_crash(process, seen_s)
        crash.own_requests.update(lost)
        logger.info(
            "endpoint crashed",
            endpoint=process.endpoint,
            started_unix_ms=process.started_unix_ms,
            fingerprints=[format_fingerprint(fingerprint) for fingerprint in sorted(lost)],
            accused_parts=[format_prompt_parts(r.accused_parts) for r in lost.values()],
        )
        self.parts.add_crash(process, crash.seen_s, lost.values(), now_s)
        self._add_requests(crash, set(lost), now_s)
        self._on_change()

    def apply_crash(self, report: CrashReport, arrived_s: float, now_s: float) -> None:
        """Apply a peer's report of a crash, which was received no earlier than ``arrived_s``."""
        crash = self._get_or_add_crash(report.process, arrived_s - report.age_s)
        self.parts.add_crash(report.process, crash.seen_s, report.requests, now_s)
        self._add_requests(crash, {request.fingerprint for request in report.requests}, now_s)

    def record_success(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Record a successful response: its request did not cause the crashes before it."""
        if not self.is_suspect(fingerprint):
            return
        self._answered_here_s[fingerprint] = now_s
        self._clear(fingerprint, now_s)
        self._quarantine.lift(fingerprint)

    def apply_success(self, report: SuccessReport, arrived_s: float) -> None:
        """Apply a peer's report of a successful response."""
        self._clear(report.fingerprint, arrived_s - report.age_s)

    def crash_reports(self, now_s: float) -> list[CrashReport]:
        """Return reports of the recent crashes that this host has observed itself."""
        self._drop_expired(now_s)
        recent = [
            CrashReport(process, tuple(crash.own_requests.values()), now_s - crash.seen_s)
            for process, crash in self._crashes.items()
            if crash.own_requests and now_s - crash.seen_s < REPORT_PERIOD_S
        ]
        return recent[-MAX_REPORTS:]

    def success_reports(self, now_s: float) -> list[SuccessReport]:
        """Return reports of the recent successful responses that this host has observed itself."""
        recent = {f: s for f, s in self._answered_here_s.items() if now_s - s < REPORT_PERIOD_S}
        self._answered_here_s = recent
        return [SuccessReport(f, now_s - s) for f, s in recent.items()][-MAX_REPORTS:]

    def _get_or_add_crash(self, process: EndpointProcess, seen_s: float) -> _Crash:
        return self._crashes.setdefault(process, _Crash(process, seen_s))

    def _add_requests(self, crash: _Crash, requests: set[Fingerprint], now_s: float) -> None:
        """Add requests to a crash, and quarantine the new ones that are considered a cause."""
        never_s = float("-inf")
        new = {
            fingerprint
            for fingerprint in requests - crash.requests
            if self._answered_s.get(fingerprint, never_s) < crash.seen_s
        }
        free_count = MAX_REQUESTS - len(crash.requests)
        crash.requests |= (
            set(self._sorted_by_crashes(new)[:free_count]) if len(new) > free_count else new
        )
        self._drop_expired(now_s)
        self._quarantine_failed_trials(crash, new, now_s)
        self._quarantine_causes(new, now_s)

    def _sorted_by_crashes(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Return requests sorted by their number of unexplained crashes, highest first."""
        return sorted(fingerprints, key=lambda f: (-self._count_unexplained_crashes(f), f))

    def _quarantine_failed_trials(
        self, crash: _Crash, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> None:
        """Quarantine requests again that crashed a process when they were due for a trial."""
        for fingerprint in fingerprints:
            if self._quarantine.was_trial_due(fingerprint, crash.seen_s):
                self._quarantine.add(fingerprint, now_s)

    def _quarantine_causes(self, fingerprints: Iterable[Fingerprint], now_s: float) -> None:
        """Quarantine requests that caused crashes, those with the most crashes first."""
        candidates = {f for f in fingerprints if not self._quarantine.is_quarantined(f)}
        while candidates:
            counts = {
                fingerprint: self._count_unexplained_crashes(fingerprint)
                for fingerprint in candidates
            }
            highest = max(counts.values())
            if highest < CRASH_THRESHOLD:
                return
            causes = {fingerprint for fingerprint, count in counts.items() if count == highest}
            for fingerprint in sorted(causes):
                self._quarantine.add(fingerprint, now_s)
            candidates -= causes

    def _count_unexplained_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes during a request that no other quarantined one explains."""
        return sum(
            fingerprint in crash.requests and not self._is_explained(crash, fingerprint)
            for crash in self._crashes.values()
        )

    def _is_explained(self, crash: _Crash, fingerprint: Fingerprint) -> bool:
        """Return whether another request that the crash aborted, or a part, is quarantined."""
        if self.parts.explains(crash.process):
            return True
        others = crash.requests - {fingerprint}
        return any(self._quarantine.is_quarantined(other) for other in others)

    def _clear(self, fingerprint: Fingerprint, answered_s: float) -> None:
        """Stop counting the crashes before a successful response against a request."""
        earlier_s = self._answered_s.pop(fingerprint, answered_s)
        self._answered_s[fingerprint] = max(answered_s, earlier_s)
        for crash in self._crashes.values():
            if crash.seen_s <= answered_s:
                crash.requests.discard(fingerprint)
                crash.own_requests.pop(fingerprint, None)
        while len(self._answered_s) > MAX_SUCCESSES:
            del self._answered_s[next(iter(self._answered_s))]

    def _drop_expired(self, now_s: float) -> None:
        """Drop expired crashes, and the oldest beyond ``MAX_CRASHES``."""
        kept = [(p, c) for p, c in self._crashes.items() if now_s - c.seen_s < RETENTION_S]
        self._crashes = dict(kept[-MAX_CRASHES:])
