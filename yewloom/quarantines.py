"""The quarantines that apply to a request: its own, and those of the parts of its prompt."""

from collections.abc import Callable, Iterable, Sequence

from yewloom.ids import EntryHostId, Fingerprint, PromptPart
from yewloom.quarantine import PARTS, REQUESTS, Quarantine


class Quarantines:
    """The quarantine of requests and that of parts; the parameters are those of ``Quarantine``."""

    def __init__(
        self,
        own_id: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.requests = Quarantine(REQUESTS, own_id, known_hosts, on_change)
        self.parts = Quarantine(PARTS, own_id, known_hosts, on_change)

    @property
    def has_any(self) -> bool:
        """Return whether any quarantine is known, including lifted ones."""
        return self.requests.has_any or self.parts.has_any

    @property
    def change_count(self) -> int:
        """Return the number of changes so far."""
        return self.requests.change_count + self.parts.change_count

    def wait_s(self, fingerprint: Fingerprint, parts: Sequence[PromptPart], now_s: float) -> float:
        """Return the time until this host may forward a request; 0 if it may do so now."""
        part_wait_s = max((self.parts.wait_s(part, now_s) for part in parts), default=0.0)
        return max(self.requests.wait_s(fingerprint, now_s), part_wait_s)

    def count_of(self, fingerprint: Fingerprint, parts: Sequence[PromptPart]) -> int:
        """Return how many times a request and its parts were quarantined."""
        part_count = sum(self.parts.count_of(part) for part in parts)
        return self.requests.count_of(fingerprint) + part_count

    def record_trial(
        self, fingerprint: Fingerprint, parts: Sequence[PromptPart], now_s: float
    ) -> None:
        """Record a trial of what is quarantined of a request."""
        self.requests.record_trial(fingerprint, now_s)
        for part in parts:
            self.parts.record_trial(part, now_s)

    def quarantined_parts(self, parts: Sequence[PromptPart]) -> list[PromptPart]:
        """Return those of the parts that are quarantined."""
        return [part for part in parts if self.parts.is_quarantined(part)]
