"""Limits that endpoints in need name: the requests a second that they take from all hosts together.

Nobody is asked before a request is sent, so each limit is divided beforehand. Some hosts alone send
to a limited endpoint, those of its data centre first, drawn by a hash of their names and its own;
each has an equal part of the rate. Few of them, so that each part is worth having: a part of one
request in a minute serves nobody, and what all hosts may send at once grows with their number.

A host that fell silent keeps its part for a time, since it may serve on behind a cut. A word on a
limit that is newer replaces an older one, whether an endpoint or a peer gave it; only what a host
read itself is told to others. Times are seconds of the runtime's clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.entry_states import SharingHost
from yewloom.hashing import hash64
from yewloom.ids import EntryHostId, HostId
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

BURST_S = 2.0
"""Time of an endpoint's limit that all hosts together may send at once; an endpoint works off what
comes in so short a time."""

SPARE_BURST = 2.0
"""Requests that they may send at once beside that, so that the smallest limit has two senders."""

LEAST_PER_S = 0.1
"""Least limit that is kept to: so often somebody notices that an endpoint takes more again."""

TELL_S = 30.0
"""Time for which peers are told what an endpoint said: several rounds to all of them."""

SHARES_HOLD_S = 1.0
"""Time for which the senders of an endpoint are not drawn anew."""

MOST_TOLD = 32
"""Most limits in one message to a peer."""


@value_class
class LimitWord:
    """What an endpoint said to some host: ``per_s`` is None where it named no limit any more."""

    endpoint: HostId
    per_s: float | None
    age_s: float


@dataclass
class _Limit:
    """A limit, and this host's part of it; ``tokens`` are requests that it may send now."""

    per_s: float | None
    said_s: float
    counted_s: float
    heard_s: float | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    shared_s: float = float("-inf")


class EndpointLimits:
    """Decides whether this host may send a request to an endpoint now.

    ``sharing_hosts`` returns the hosts among which limits are divided at a time, this one included.
    """

    def __init__(
        self,
        me: EntryHostId,
        directory: EndpointDirectory,
        sharing_hosts: Callable[[float], Iterable[SharingHost]],
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self._me = me
        self._directory = directory
        self._sharing_hosts = sharing_hosts
        self._on_news = on_news
        self._limits: dict[HostId, _Limit] = {}
        self._unreadable: dict[HostId, str] = {}

    @property
    def has_any(self) -> bool:
        """Tell whether any endpoint names or named a limit."""
        return bool(self._limits)

    def note(self, endpoint: HostId, per_s: float | None, now_s: float) -> None:
        """Take in what an answer of an endpoint says; ``per_s`` is None if it names no limit."""
        known = self._limits.get(endpoint)
        if known is None and per_s is None:
            return
        self._unreadable.pop(endpoint, None)
        is_news = known is None or known.per_s != per_s
        limit = self._put(endpoint, per_s, now_s)
        limit.heard_s = now_s
        if is_news:
            self._on_news()

    def note_unreadable(self, endpoint: HostId, text: str) -> None:
        """Take in a text that is no limit: what the endpoint said before it holds on."""
        if self._unreadable.get(endpoint) == text:
            return  # It stands in each of its answers.
        self._unreadable[endpoint] = text
        logger.warning("limit unreadable", endpoint=endpoint, text=text)

    def take(self, word: LimitWord, came_s: float) -> None:
        """Take in a peer's word that came at ``came_s`` at the earliest."""
        known = self._limits.get(word.endpoint)
        said_s = came_s - word.age_s
        is_newer = word.per_s is not None if known is None else said_s > known.said_s
        if is_newer:
            self._put(word.endpoint, word.per_s, said_s)

    def words(self, now_s: float) -> list[LimitWord]:
        """Return what endpoints said to this host itself a short while ago."""
        self._forget_old(now_s)
        told = [
            LimitWord(endpoint, limit.per_s, now_s - limit.heard_s)
            for endpoint, limit in self._limits.items()
            if limit.heard_s is not None and now_s - limit.heard_s < TELL_S
        ]
        return sorted(told, key=lambda word: word.age_s)[:MOST_TOLD]

    def forget(self, endpoint: HostId) -> None:
        """Drop the limit of an endpoint, which started again."""
        self._limits.pop(endpoint, None)
        self._unreadable.pop(endpoint, None)

    def wait_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return how long this host sends an endpoint nothing; 0 if it may send a request now.

        For a host that has no part it is the time in which the endpoint takes a request.
        """
        limit = self._limits.get(endpoint.id)
        if limit is None or limit.per_s is None:
            return 0.0
        self._count(endpoint, limit, now_s)
        if limit.tokens >= 1:
            return 0.0
        rate_per_s = limit.rate_per_s or _kept_to(limit.per_s)
        return (1 - limit.tokens) / rate_per_s

    def spend(self, endpoint: Endpoint, now_s: float) -> None:
        """Count a request that is sent to an endpoint."""
        limit = self._limits.get(endpoint.id)
        if limit is not None and limit.per_s is not None:
            self._count(endpoint, limit, now_s)
            limit.tokens -= 1

    def _put(self, endpoint: HostId, per_s: float | None, said_s: float) -> _Limit:
        """Keep a limit; one that is named anew begins with nothing that may be sent."""
        limit = self._limits.get(endpoint)
        if limit is not None and limit.per_s == per_s:
            limit.said_s = said_s
            return limit
        logger.info("endpoint limit", endpoint=endpoint, per_s=per_s)
        if limit is None or limit.per_s is None or per_s is None:
            limit = self._limits[endpoint] = _Limit(per_s, said_s, counted_s=said_s)
        limit.per_s, limit.said_s, limit.shared_s = per_s, said_s, float("-inf")
        return limit

    def _count(self, endpoint: Endpoint, limit: _Limit, now_s: float) -> None:
        """Add what this host's part brought since the last count."""
        if now_s - limit.shared_s >= SHARES_HOLD_S:
            limit.shared_s = now_s
            limit.rate_per_s, limit.burst = self._part(endpoint, limit.per_s or 0.0, now_s)
        passed_s = max(0.0, now_s - limit.counted_s)
        limit.counted_s = now_s
        limit.tokens = min(limit.burst, limit.tokens + passed_s * limit.rate_per_s)

    def _part(self, endpoint: Endpoint, per_s: float, now_s: float) -> tuple[float, float]:
        """Return this host's part of a limit: the requests a second, and those at once."""
        per_s = _kept_to(per_s)
        at_once = BURST_S * per_s + SPARE_BURST
        hosts = list(self._sharing_hosts(now_s))
        senders = min(len(hosts), int(at_once))
        hosts.sort(key=lambda host: _order(host, endpoint))
        if self._me not in (host.host for host in hosts[:senders]):
            return 0.0, 0.0
        return per_s / senders, at_once / senders

    def _forget_old(self, now_s: float) -> None:
        """Drop limits of endpoints that are listed no more, and those that hold no more."""
        listed = self._directory.by_id
        for endpoint, limit in list(self._limits.items()):
            is_over = limit.per_s is None and now_s - limit.said_s > TELL_S
            if endpoint not in listed or is_over:
                self.forget(endpoint)


def _kept_to(per_s: float) -> float:
    return max(LEAST_PER_S, per_s)


def _order(host: SharingHost, endpoint: Endpoint) -> tuple[bool, int]:
    """Return the place of a host among the senders of an endpoint, the near ones first."""
    is_remote = host.data_centre != endpoint.data_centre
    return is_remote, hash64(f"{endpoint.id}/{host.host}")
