"""Rate limits that endpoints announce: the requests per second they accept from all entry hosts.

Entry hosts do not coordinate on each request, so each limit is divided among them in advance. Only
some hosts send to a limited endpoint, each with an equal share of the rate: hosts in its data
centre first, ordered by a hash of the names of the endpoint and the host. The number of senders is
small, since a share of one request per minute would be useless, and the total burst would grow with
the number of senders.

A host that sends no messages keeps its share for some time, since it may still be serving on the
other side of a network partition. Newer information about a limit replaces older information,
whether it comes from the endpoint or from a peer. A host passes on to peers only what it has read
from an endpoint itself. Times are in seconds of Trio's clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.entry_states import LimitSharingHost
from yewloom.hashing import hash64
from yewloom.ids import EntryHostId, HostId
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

BURST_S = 2.0
"""Size of the burst of all hosts together, in seconds of the endpoint's rate.

An endpoint can work through a burst of this size.
"""

EXTRA_BURST = 2.0
"""Requests added to the burst, so that even the lowest limit has two senders.

There are at most as many senders as requests in the burst.
"""

MIN_PER_S = 0.1
"""Lowest rate that is enforced.

A lower limit is raised to it, so that requests go out often enough to notice when the endpoint
accepts more again.
"""

REPORT_PERIOD_S = 30.0
"""Time for which an announced limit is reported to peers: several rounds to all of them."""

SHARE_UPDATE_INTERVAL_S = 1.0
"""Minimum interval between two updates of this host's share of a limit."""

MAX_REPORTS = 32
"""Maximum number of limits in one message to a peer; the newest are sent."""


@value_class
class LimitReport:
    """A limit announced to an entry host; ``per_s`` is None if the endpoint has none any more."""

    endpoint: HostId
    per_s: float | None
    age_s: float


@dataclass
class _Limit:
    """A limit, and the token bucket of this host's share of it.

    ``tokens`` is the number of requests that this host may send now, ``rate_per_s`` and ``burst``
    are its share. ``announced_s`` is when the endpoint announced the limit to any host, and
    ``own_response_s`` when it last announced the limit to this one.
    """

    per_s: float | None
    announced_s: float
    refilled_s: float
    own_response_s: float | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    share_updated_s: float = float("-inf")


class EndpointLimits:
    """Decides whether this host may send a request to an endpoint now.

    ``sharing_hosts`` returns the hosts that share limits at a given time, including this one.
    ``on_change`` is called when peers should soon be sent a changed limit.
    """

    def __init__(
        self,
        own_id: EntryHostId,
        directory: EndpointDirectory,
        sharing_hosts: Callable[[float], Iterable[LimitSharingHost]],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._own_id = own_id
        self._directory = directory
        self._sharing_hosts = sharing_hosts
        self._on_change = on_change
        self._limits: dict[HostId, _Limit] = {}
        self._invalid_texts: dict[HostId, str] = {}

    @property
    def has_any(self) -> bool:
        """Return whether any limit, or the recent end of one, is known."""
        return bool(self._limits)

    def apply_announced(self, endpoint: HostId, per_s: float | None, now_s: float) -> None:
        """Apply the limit in an endpoint's response; ``per_s`` is None if there is none."""
        known = self._limits.get(endpoint)
        if known is None and per_s is None:
            return
        self._invalid_texts.pop(endpoint, None)
        has_changed = known is None or known.per_s != per_s
        limit = self._store(endpoint, per_s, now_s)
        limit.own_response_s = now_s
        if has_changed:
            self._on_change()

    def log_invalid(self, endpoint: HostId, text: str) -> None:
        """Log an invalid limit; the endpoint's previous limit still applies."""
        if self._invalid_texts.get(endpoint) == text:
            return  # Every response repeats it; it is logged once.
        self._invalid_texts[endpoint] = text
        logger.warning("invalid endpoint limit", endpoint=endpoint, text=text)

    def apply(self, report: LimitReport, arrived_s: float) -> None:
        """Apply a peer's report, which was received no earlier than ``arrived_s``."""
        known = self._limits.get(report.endpoint)
        announced_s = arrived_s - report.age_s
        is_newer = report.per_s is not None if known is None else announced_s > known.announced_s
        if is_newer:
            self._store(report.endpoint, report.per_s, announced_s)

    def reports(self, now_s: float) -> list[LimitReport]:
        """Return the limits that endpoints recently announced to this host itself."""
        self._drop_expired(now_s)
        recent = [
            LimitReport(endpoint, limit.per_s, now_s - limit.own_response_s)
            for endpoint, limit in self._limits.items()
            if limit.own_response_s is not None and now_s - limit.own_response_s < REPORT_PERIOD_S
        ]
        return sorted(recent, key=lambda report: report.age_s)[:MAX_REPORTS]

    def forget(self, endpoint: HostId) -> None:
        """Drop the limit of an endpoint that was restarted."""
        self._limits.pop(endpoint, None)
        self._invalid_texts.pop(endpoint, None)

    def wait_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return the time until this host may send a request; 0 if it may send one now.

        A host without a share gets the interval between two requests at the endpoint's rate.
        """
        limit = self._limits.get(endpoint.id)
        if limit is None or limit.per_s is None:
            return 0.0
        self._refill(endpoint, limit, now_s)
        if limit.tokens >= 1:
            return 0.0
        rate_per_s = limit.rate_per_s or _enforced_rate(limit.per_s)
        return (1 - limit.tokens) / rate_per_s

    def take_token(self, endpoint: Endpoint, now_s: float) -> None:
        """Take a token for a request that is sent to an endpoint."""
        limit = self._limits.get(endpoint.id)
        if limit is not None and limit.per_s is not None:
            self._refill(endpoint, limit, now_s)
            limit.tokens -= 1

    def _store(self, endpoint: HostId, per_s: float | None, announced_s: float) -> _Limit:
        """Store a limit; the token bucket of a new limit starts empty."""
        limit = self._limits.get(endpoint)
        if limit is not None and limit.per_s == per_s:
            limit.announced_s = announced_s
            return limit
        logger.info("endpoint limit", endpoint=endpoint, per_s=per_s)
        if limit is None or limit.per_s is None or per_s is None:
            limit = self._limits[endpoint] = _Limit(per_s, announced_s, refilled_s=announced_s)
        limit.per_s, limit.announced_s, limit.share_updated_s = per_s, announced_s, float("-inf")
        return limit

    def _refill(self, endpoint: Endpoint, limit: _Limit, now_s: float) -> None:
        """Refill the token bucket; update this host's share if that is due."""
        if now_s - limit.share_updated_s >= SHARE_UPDATE_INTERVAL_S:
            limit.share_updated_s = now_s
            limit.rate_per_s, limit.burst = self._own_share(endpoint, limit.per_s or 0.0, now_s)
        elapsed_s = max(0.0, now_s - limit.refilled_s)
        limit.refilled_s = now_s
        limit.tokens = min(limit.burst, limit.tokens + elapsed_s * limit.rate_per_s)

    def _own_share(self, endpoint: Endpoint, per_s: float, now_s: float) -> tuple[float, float]:
        """Return this host's share of a limit: the requests per second, and the burst."""
        per_s = _enforced_rate(per_s)
        total_burst = BURST_S * per_s + EXTRA_BURST
        hosts = list(self._sharing_hosts(now_s))
        senders = min(len(hosts), int(total_burst))
        hosts.sort(key=lambda host: _sender_order(host, endpoint))
        if self._own_id not in (host.host for host in hosts[:senders]):
            return 0.0, 0.0
        return per_s / senders, total_burst / senders

    def _drop_expired(self, now_s: float) -> None:
        """Drop limits of endpoints that are no longer listed, and limits that ended long ago."""
        listed = self._directory.by_id
        for endpoint, limit in list(self._limits.items()):
            has_ended = limit.per_s is None and now_s - limit.announced_s > REPORT_PERIOD_S
            if endpoint not in listed or has_ended:
                self.forget(endpoint)


def _enforced_rate(per_s: float) -> float:
    return max(MIN_PER_S, per_s)


def _sender_order(host: LimitSharingHost, endpoint: Endpoint) -> tuple[bool, int]:
    """Return the sort key of a host among the senders of an endpoint; local hosts come first."""
    is_remote = host.data_centre != endpoint.data_centre
    return is_remote, hash64(f"{endpoint.id}/{host.host}")
