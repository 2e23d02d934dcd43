"""Finds the parts of prompts on which endpoints crash, whatever else a request contains.

A crash accuses the parts of all requests whose responses had not begun, or had just begun, when the
process aborted them. A part is considered the cause once ``CRASH_THRESHOLD`` crashes accuse it, in
``MIN_REQUESTS`` different requests, and no request with it was answered since. So a part that
others share is cleared by the next answer, and a single request that crashes endpoints is found by
its fingerprint (``crash_record``) rather than by its parts.

Of several such parts, one that was never answered is quarantined first, then the one with the most
crashes, and of those the rarest. More is asked of a part that was answered before. The crashes that
a quarantined part explains do not accuse others. Crashes are judged a little later, when the peers'
reports of the same crashes, and of answers, have arrived. Times are in seconds of Trio's clock.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from yewloom.crash_reports import (
    CRASH_THRESHOLD,
    REPORT_PERIOD_S,
    RETENTION_S,
    EndpointProcess,
    LostRequest,
    PartSuccessReport,
)
from yewloom.ids import Fingerprint, PromptPart
from yewloom.quarantine import Quarantine

OTHER_CRASH_WEIGHT = 0.5
"""Further crashes that are required for each crash meanwhile that the part does not explain. Two
parts that crash endpoints by turns are still found after six crashes each."""

MIN_REQUESTS = 2
"""Minimum number of different requests in the crashes of a part."""

MIN_UNANSWERED_S = 3.0
"""Time from the last answer to a part until it may be considered a cause, and then only by twice as
many crashes. If most endpoints are down at once, nothing is answered for a while, and a part that
many requests share is in the crashes of several causes."""

SIMULTANEOUS_S = 0.1
"""Time within which crashes count as one: endpoints that fail together have a common cause, which
is no request."""

BEGINNING_S = 0.3
"""Time from the first bytes of a response during which it has just begun; several events."""

JUDGEMENT_DELAY_S = 0.25
"""Time from a crash until it counts: peers in the same data centre have been heard by then."""

MAX_CRASHES = 64
"""Maximum number of crashes kept; the oldest are dropped first."""

MAX_REQUESTS = 64
"""Maximum number of requests kept per crash, several times an endpoint's slots."""

MAX_ANSWERED_PARTS = 4096
"""Maximum number of parts of which the latest answer is kept."""

MAX_REPORTS = 32
"""Maximum number of answers in one message to a peer; the latest are sent."""


@dataclass
class _Crash:
    """A crash, with the parts that it accuses by request."""

    seen_s: float
    parts: dict[Fingerprint, tuple[PromptPart, ...]] = field(default_factory=dict)

    def accused(self) -> Iterator[PromptPart]:
        """Yield the accused parts, those of several requests repeatedly."""
        for parts in self.parts.values():
            yield from parts


@dataclass
class _Evidence:
    """What speaks against a part: the times of its crashes, and the requests lost with it.

    ``answered_s`` is when a request with the part was last answered, minus infinity if never.
    """

    answered_s: float
    crashed_s: list[float] = field(default_factory=list)
    requests: set[Fingerprint] = field(default_factory=set)
    lost_count: int = 0

    @property
    def was_answered(self) -> bool:
        """Return whether a request with the part was ever answered."""
        return self.answered_s > -math.inf

    @property
    def crash_count(self) -> int:
        """Return the number of crashes that were not simultaneous."""
        return _count_separate(self.crashed_s)

    def is_sufficient(self, all_crashed_s: Sequence[float]) -> bool:
        """Return whether the part is considered the cause of its crashes.

        ``all_crashed_s`` are the times of all crashes that could have this cause. Those without the
        part, between the first and the last with it, suggest that endpoints fail on their own.
        """
        first_s, last_s = min(self.crashed_s), max(self.crashed_s)
        if len(self.requests) < MIN_REQUESTS or last_s - self.answered_s < MIN_UNANSWERED_S:
            return False
        meanwhile_s = [crashed_s for crashed_s in all_crashed_s if first_s <= crashed_s <= last_s]
        other_count = _count_separate(meanwhile_s) - self.crash_count
        threshold = 2 * CRASH_THRESHOLD if self.was_answered else CRASH_THRESHOLD
        return self.crash_count >= threshold + other_count * OTHER_CRASH_WEIGHT


class PartRecord:
    """Counts crashes by part, and quarantines the parts that caused them."""

    def __init__(self, quarantine: Quarantine[PromptPart]) -> None:
        self._quarantine = quarantine
        self._crashes: dict[EndpointProcess, _Crash] = {}
        self._answered_s: OrderedDict[PromptPart, float] = OrderedDict()
        self._answered_here_s: OrderedDict[PromptPart, float] = OrderedDict()
        self._forgotten_s = -math.inf
        """Latest answer that is no longer kept; earlier crashes may have been cleared by one."""
        self._unjudged_s = math.inf
        """Time of the earliest crash with requests that were not judged yet."""

    def add_crash(
        self, process: EndpointProcess, seen_s: float, lost: Iterable[LostRequest], now_s: float
    ) -> None:
        """Add a crash, or more of the requests that it aborted."""
        accusing = {r.fingerprint: r.accused_parts for r in lost if r.accused_parts}
        if not accusing:
            return
        self._drop_expired(now_s)
        crash = self._crashes.setdefault(process, _Crash(seen_s))
        new = {f: parts for f, parts in accusing.items() if f not in crash.parts}
        crash.parts.update(list(new.items())[: MAX_REQUESTS - len(crash.parts)])
        self._unjudged_s = min(self._unjudged_s, crash.seen_s)
        for part in {part for parts in new.values() for part in parts}:
            self._check_quarantined(part, crash, now_s)

    def record_answer(self, parts: Iterable[PromptPart], now_s: float) -> None:
        """Record a successful response: the parts of its prompt did not cause earlier crashes."""
        for part in parts:
            _set_latest(self._answered_here_s, part, now_s)
            self._set_answered(part, now_s)
            self._quarantine.lift(part)

    def apply_answer(self, report: PartSuccessReport, arrived_s: float) -> None:
        """Apply a peer's report of a successful response."""
        answered_s = arrived_s - report.age_s
        self._set_answered(report.part, answered_s)
        accusing = [c.seen_s for c in self._crashes.values() if report.part in c.accused()]
        if accusing and max(accusing) < answered_s:
            self._quarantine.lift(report.part)

    def answer_reports(self, now_s: float) -> list[PartSuccessReport]:
        """Return reports of recent answers to accused parts that this host has observed itself."""
        accused = {part for crash in self._crashes.values() for part in crash.accused()}
        recent = [
            PartSuccessReport(part, now_s - answered_s)
            for part, answered_s in self._answered_here_s.items()
            if part in accused and now_s - answered_s < REPORT_PERIOD_S
        ]
        return recent[-MAX_REPORTS:]

    def explains(self, process: EndpointProcess) -> bool:
        """Return whether a quarantined part was at a process when it crashed."""
        crash = self._crashes.get(process)
        return crash is not None and any(map(self._quarantine.is_quarantined, crash.accused()))

    def judge(self, now_s: float) -> None:
        """Quarantine the parts that are considered causes, one after the other."""
        if now_s - self._unjudged_s < JUDGEMENT_DELAY_S:
            return
        judged_until_s = now_s - JUDGEMENT_DELAY_S
        while causes := self._find_causes(judged_until_s):
            for part in causes:
                self._quarantine.add(part, now_s)
        later = (c.seen_s for c in self._crashes.values() if c.seen_s > judged_until_s)
        self._unjudged_s = min(later, default=math.inf)

    def _find_causes(self, until_s: float) -> list[PromptPart]:
        """Return the part that explains the crashes until a given time best, if any.

        Parts that explain them equally well are returned together.
        """
        crashes = self._unexplained_crashes(until_s)
        crashed_s = [crash.seen_s for crash in crashes]
        evidence = {
            part: found
            for part, found in self._collect_evidence(crashes).items()
            if found.is_sufficient(crashed_s) and not self._quarantine.is_quarantined(part)
        }
        if not evidence:
            return []
        ranks = {
            part: (e.was_answered, -e.crash_count, e.lost_count) for part, e in evidence.items()
        }
        best = min(ranks.values())
        return sorted(part for part, rank in ranks.items() if rank == best)

    def _unexplained_crashes(self, until_s: float) -> list[_Crash]:
        """Return the crashes until a given time that no quarantined part explains."""
        return [
            crash
            for process, crash in self._crashes.items()
            if self._forgotten_s < crash.seen_s <= until_s and not self.explains(process)
        ]

    def _collect_evidence(self, crashes: Iterable[_Crash]) -> dict[PromptPart, _Evidence]:
        """Return what speaks against each part that some crashes accuse."""
        evidence: dict[PromptPart, _Evidence] = {}
        for crash in crashes:
            for fingerprint, parts in crash.parts.items():
                for part in parts:
                    answered_s = self._answered_s.get(part, -math.inf)
                    if answered_s < crash.seen_s:
                        found = evidence.setdefault(part, _Evidence(answered_s))
                        found.crashed_s.append(crash.seen_s)
                        found.requests.add(fingerprint)
                        found.lost_count += 1
        return evidence

    def _check_quarantined(self, part: PromptPart, crash: _Crash, now_s: float) -> None:
        """Follow up a crash that accuses a quarantined part.

        A trial that failed starts the next quarantine. If requests with the part were answered
        since, which the peer that quarantined it did not know, the quarantine is lifted.
        """
        if self._quarantine.was_trial_due(part, crash.seen_s):
            self._quarantine.add(part, now_s)
        elif self._answered_s.get(part, -math.inf) > crash.seen_s:
            self._quarantine.lift(part)

    def _set_answered(self, part: PromptPart, answered_s: float) -> None:
        _set_latest(self._answered_s, part, answered_s)
        while len(self._answered_s) > MAX_ANSWERED_PARTS:
            self._forgotten_s = max(self._forgotten_s, self._answered_s.popitem(last=False)[1])
        while len(self._answered_here_s) > MAX_ANSWERED_PARTS:
            self._answered_here_s.popitem(last=False)

    def _drop_expired(self, now_s: float) -> None:
        """Drop expired crashes, and the oldest if there are ``MAX_CRASHES``."""
        kept = [(p, c) for p, c in self._crashes.items() if now_s - c.seen_s < RETENTION_S]
        self._crashes = dict(kept[1 - MAX_CRASHES :])


def _count_separate(times_s: Iterable[float]) -> int:
    """Return the number of times, without those that are simultaneous with one counted before."""
    count, last_s = 0, -math.inf
    for time_s in sorted(times_s):
        if time_s - last_s >= SIMULTANEOUS_S:
            count, last_s = count + 1, time_s
    return count


def _set_latest(times_s: OrderedDict[PromptPart, float], part: PromptPart, at_s: float) -> None:
    """Set a time unless a later one is known, and move it to the end."""
    times_s[part] = max(at_s, times_s.get(part, -math.inf))
    times_s.move_to_end(part)
