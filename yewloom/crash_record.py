"""Which requests were at endpoints whose processes ended, and which of them did it.

A process that ends takes all of its requests with it, and only one of them may be the cause. A
request is held guilty once ``CRASHES`` processes ended under it and no good answer came meanwhile.
Of several the one under which most ended is judged first. What a guilty request explains counts
against no other one that was there.

Each host tells its peers what it saw itself, and counts what all of them saw. Times are seconds of
the runtime's clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog

from yewloom.fingerprints import fingerprint_text
from yewloom.ids import Fingerprint, HostId
from yewloom.quarantine import Quarantine
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

CRASHES = 3
"""Processes that end under a request before it is held guilty: two may be bad luck where endpoints
go down in series, and each further one costs all requests that are there."""

KEEP_S = 600.0
"""Time for which a crash counts."""

TELL_S = 30.0
"""Time for which peers are told of a crash or of a good answer: several rounds to all of them."""

MOST_CRASHES = 256
"""Most crashes that are kept; the oldest are forgotten first."""

MOST_REQUESTS = 128
"""Most requests that are kept for one crash: more than an endpoint works on at once."""

MOST_ANSWERS = 1024
"""Most requests of which a good answer is kept."""

MOST_TOLD = 16
"""Most crashes, and most answers, in one message to a peer."""


@value_class
class EndpointProcess:
    """One process of an endpoint; ``started_unix_ms`` is 0 where the endpoint does not say."""

    endpoint: HostId
    started_unix_ms: int


@value_class
class CrashWord:
    """What one host saw: requests of its own that were at a process when it ended."""

    process: EndpointProcess
    requests: tuple[Fingerprint, ...]
    age_s: float


@value_class
class AnswerWord:
    """A request that one host had under suspicion, and saw answered since."""

    fingerprint: Fingerprint
    age_s: float


@dataclass
class _Crash:
    """A crash; ``own`` are the requests that this host itself had there."""

    seen_s: float
    requests: set[Fingerprint] = field(default_factory=set)
    own: set[Fingerprint] = field(default_factory=set)


class CrashRecord:
    """Counts crashes by request, and quarantines those that are held guilty."""

    def __init__(self, quarantine: Quarantine, on_news: Callable[[], None] = lambda: None) -> None:
        """Take ``on_news``, which is called when peers should hear soon of a crash."""
        self._quarantine = quarantine
        self._on_news = on_news
        self._crashes: dict[EndpointProcess, _Crash] = {}
        self._answered_s: dict[Fingerprint, float] = {}
        self._answered_here_s: dict[Fingerprint, float] = {}

    @property
    def has_any(self) -> bool:
        """Tell whether any request is under suspicion or was found guilty."""
        return bool(self._crashes) or self._quarantine.has_any

    def has_crash(self, process: EndpointProcess) -> bool:
        """Tell whether a process is known to have ended under requests."""
        return process in self._crashes

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a process ended under a request, or the request was quarantined."""
        if self._quarantine.is_held(fingerprint):
            return True
        return any(fingerprint in crash.requests for crash in self._crashes.values())

    def note_crash(
        self, process: EndpointProcess, requests: Iterable[Fingerprint], now_s: float
    ) -> None:
        """Take in that a process ended under requests of this host."""
        found = set(requests)
        crash = self._crash(process, now_s)
        crash.own |= found
        logger.info(
            "endpoint crashed",
            endpoint=process.endpoint,
            started_unix_ms=process.started_unix_ms,
            fingerprints=[fingerprint_text(fingerprint) for fingerprint in sorted(found)],
        )
        self._count(crash, found, now_s)
        self._on_news()

    def take_crash(self, word: CrashWord, came_s: float, now_s: float) -> None:
        """Take in a crash that a peer saw, whose word came at ``came_s`` at the earliest."""
        crash = self._crash(word.process, came_s - word.age_s)
        self._count(crash, set(word.requests), now_s)

    def note_answer(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Take in that an endpoint answered a request well: what ended before was not its doing."""
        if not self.is_suspect(fingerprint):
            return
        self._answered_here_s[fingerprint] = now_s
        self._clear(fingerprint, now_s)
        self._quarantine.lift(fingerprint)

    def take_answer(self, word: AnswerWord, came_s: float) -> None:
        """Take in a good answer that a peer saw."""
        self._clear(word.fingerprint, came_s - word.age_s)

    def crash_words(self, now_s: float) -> list[CrashWord]:
        """Return the latest crashes that this host itself saw a short while ago."""
        self._forget(now_s)
        latest = [
            CrashWord(process, tuple(sorted(crash.own)), now_s - crash.seen_s)
            for process, crash in self._crashes.items()
            if crash.own and now_s - crash.seen_s < TELL_S
        ]
        return latest[-MOST_TOLD:]

    def answer_words(self, now_s: float) -> list[AnswerWord]:
        """Return the suspects that this host itself saw answered a short while ago."""
        latest = {f: s for f, s in self._answered_here_s.items() if now_s - s < TELL_S}
        self._answered_here_s = latest
        return [AnswerWord(f, now_s - s) for f, s in latest.items()][-MOST_TOLD:]

    def _crash(self, process: EndpointProcess, seen_s: float) -> _Crash:
        return self._crashes.setdefault(process, _Crash(seen_s))

    def _count(self, crash: _Crash, requests: set[Fingerprint], now_s: float) -> None:
        """Add requests to a crash, and judge those that are new there."""
        never_s = float("-inf")
        new = {
            fingerprint
            for fingerprint in requests - crash.requests
            if self._answered_s.get(fingerprint, never_s) < crash.seen_s
        }
        room = MOST_REQUESTS - len(crash.requests)
        crash.requests |= set(self._by_crashes(new)[:room]) if len(new) > room else new
        self._forget(now_s)
        self._judge_trials(crash, new, now_s)
        self._judge(new, now_s)

    def _by_crashes(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Return requests in order, those first under which most processes ended."""
        return sorted(fingerprints, key=lambda f: (-self._crashes_of(f), f))

    def _judge_trials(
        self, crash: _Crash, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> None:
        """Hold requests again that ended a process once their time was over."""
        for fingerprint in fingerprints:
            if self._quarantine.was_over(fingerprint, crash.seen_s):
                self._quarantine.add(fingerprint, now_s)

    def _judge(self, fingerprints: Iterable[Fingerprint], now_s: float) -> None:
        """Quarantine the guilty, those first under which most processes ended."""
        open_cases = {f for f in fingerprints if not self._quarantine.is_held(f)}
        while open_cases:
            counts = {fingerprint: self._crashes_of(fingerprint) for fingerprint in open_cases}
            most = max(counts.values())
            if most < CRASHES:
                return
            guilty = {fingerprint for fingerprint, count in counts.items() if count == most}
            for fingerprint in sorted(guilty):
                self._quarantine.add(fingerprint, now_s)
            open_cases -= guilty

    def _crashes_of(self, fingerprint: Fingerprint) -> int:
        """Return how many processes ended under a request that no guilty one accounts for."""
        return sum(
            fingerprint in crash.requests and not self._is_explained(crash, fingerprint)
            for crash in self._crashes.values()
        )

    def _is_explained(self, crash: _Crash, fingerprint: Fingerprint) -> bool:
        """Tell whether another request that is held guilty was there too."""
        others = crash.requests - {fingerprint}
        return any(self._quarantine.is_held(other) for other in others)

    def _clear(self, fingerprint: Fingerprint, answered_s: float) -> None:
        """Let the crashes before an answer count no more against a request."""
        known_s = self._answered_s.pop(fingerprint, answered_s)
        self._answered_s[fingerprint] = max(answered_s, known_s)
        for crash in self._crashes.values():
            if crash.seen_s <= answered_s:
                crash.requests.discard(fingerprint)
                crash.own.discard(fingerprint)
        while len(self._answered_s) > MOST_ANSWERS:
            del self._answered_s[next(iter(self._answered_s))]

    def _forget(self, now_s: float) -> None:
        """Drop what is too old, and the oldest crashes beyond the most that are kept."""
        kept = [(p, c) for p, c in self._crashes.items() if now_s - c.seen_s < KEEP_S]
        self._crashes = dict(kept[-MOST_CRASHES:])
