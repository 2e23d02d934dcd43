"""Requests that go to no endpoint for a time, because they ended the processes that ran them.

A request is held for ``FIRST_HOLD_S``, and twice as long each time it ends another endpoint. Behind
that it may be tried again, by one host after the other: the hosts take turns by a hash of the
request and their names, so that a request that still ends endpoints ends one, not one for each
host. A good answer lifts the quarantine, and so does an operator.

Hosts pass on the whole of what they know. The word with the higher count is the later one, and of
two with the same count the one that lifts; so all hosts agree in the end, whatever the order and
the number of their messages, and a word that is passed on in circles never grows younger.

Times are seconds of the runtime's clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from yewloom.fingerprints import fingerprint_text
from yewloom.hashing import turn_among
from yewloom.ids import EntryHostId, Fingerprint
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

FIRST_HOLD_S = 600.0
"""First time for which a request is held: a new version of the endpoints takes some minutes."""

LONGEST_HOLD_S = 4 * 3600.0
"""Longest time for which a request is held, so that somebody's mend is noticed the same day."""

MOST_DOUBLINGS = 16
"""Most times by which the first time is doubled, well beyond the longest one."""

TRIAL_STEP_S = 5.0
"""Time by which one host may try a request before the next: what becomes of the trial is known to
all by then."""

MOST_ENTRIES = 256
"""Most requests that are kept; beyond that the one whose time is over first is forgotten."""


@value_class
class QuarantineWord:
    """What is known of a request: how often it was quarantined, and how long ago the last time."""

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
        """Return when the request may be tried again."""
        doubled_s = FIRST_HOLD_S * (1 << min(self.count - 1, MOST_DOUBLINGS))
        return self.since_s + min(doubled_s, LONGEST_HOLD_S)


class Quarantine:
    """Keeps the requests that are held, and decides when one may be tried again.

    ``known_hosts`` returns all entry hosts that were ever known, this one included; ``on_news`` is
    called when peers should hear soon of a change.
    """

    def __init__(
        self,
        me: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self._me = me
        self._known_hosts = known_hosts
        self._on_news = on_news
        self._entries: dict[Fingerprint, _Entry] = {}
        self.changes = 0
        """Changes of what is known, so that others can tell whether there was one."""

    @property
    def has_any(self) -> bool:
        """Tell whether any request is or was held."""
        return bool(self._entries)

    def add(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Hold a request, which ended endpoints, from now on."""
        entry = self._entries.get(fingerprint)
        count = entry.count + 1 if entry is not None else 1
        self._put(fingerprint, _Entry(count, False, now_s))

    def lift(self, fingerprint: Fingerprint) -> bool:
        """Hold a request no more, which an endpoint answered or an operator lets go.

        Return whether it was held.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_lifted:
            return False
        self._put(fingerprint, _Entry(entry.count, True, entry.since_s))
        return True

    def take(self, word: QuarantineWord, came_s: float) -> None:
        """Take in the word of a peer that came at ``came_s`` at the earliest."""
        known = self._entries.get(word.fingerprint)
        if known is None or (word.count, word.is_lifted) > (known.count, known.is_lifted):
            self._put(word.fingerprint, _Entry(word.count, word.is_lifted, came_s - word.age_s))

    def words(self, now_s: float, most: int = MOST_ENTRIES) -> list[QuarantineWord]:
        """Return what is known of so many requests, those that were held last."""
        latest = sorted(self._entries.items(), key=lambda item: item[1].since_s)[-most:]
        return [QuarantineWord(f, e.count, e.is_lifted, now_s - e.since_s) for f, e in latest]

    def count_of(self, fingerprint: Fingerprint) -> int:
        """Return how often a request was quarantined."""
        entry = self._entries.get(fingerprint)
        return entry.count if entry is not None else 0

    def is_held(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request was quarantined and not lifted, whether or not it may be tried."""
        entry = self._entries.get(fingerprint)
        return entry is not None and not entry.is_lifted

    def was_over(self, fingerprint: Fingerprint, at_s: float) -> bool:
        """Tell whether a request that is held could be tried again at a time."""
        return self.is_held(fingerprint) and at_s >= self._entries[fingerprint].ends_s

    def wait_s(self, fingerprint: Fingerprint, now_s: float) -> float:
        """Return for how long this host sends a request nowhere; 0 if it may send it now."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_lifted:
            return 0.0
        due_s = entry.ends_s
        if now_s >= due_s:
            due_s = max(due_s + self._turn(fingerprint) * TRIAL_STEP_S, entry.next_trial_s)
        return max(0.0, due_s - now_s)

    def note_trial(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Take in that a request that was held is tried; the next trial here comes later."""
        if self.is_held(fingerprint):
            self._entries[fingerprint].next_trial_s = now_s + TRIAL_STEP_S

    def _turn(self, fingerprint: Fingerprint) -> int:
        """Return how many hosts may try a request before this one."""
        return turn_among(str(fingerprint), self._me, self._known_hosts())

    def _put(self, fingerprint: Fingerprint, entry: _Entry) -> None:
        self.changes += 1
        self._entries[fingerprint] = entry
        if len(self._entries) > MOST_ENTRIES:
            first = min(self._entries, key=lambda f: self._entries[f].ends_s)
            del self._entries[first]
        logger.warning(
            "request let go" if entry.is_lifted else "request quarantined",
            fingerprint=fingerprint_text(fingerprint),
            count=entry.count,
            hold_s=round(entry.ends_s - entry.since_s),
        )
        self._on_news()
