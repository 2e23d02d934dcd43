"""Checks of the retries of all entry hosts together, and of endpoints that left by the store."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence

from yewloom.tests.soak.ledger import DRAIN_S, Disturbance, Kind, Ledger, SentRequest, Violation

RETRY_RATIO, RETRY_WINDOW_S = 0.2, 10.0
"""Retries allowed for each request of a window, and its length; defaults of the settings."""


def check_repeats(
    ledger: Ledger, retry_extra: float, stalls: Sequence[Disturbance] = ()
) -> list[Violation]:
    """Check the sum of retries over all hosts, and requests to endpoints that had left.

    ``stalls`` are delays of the soak's event loop, which runs the store.
    """
    streams = [sent for sent in ledger.sent.values() if sent.kind is Kind.STREAM]
    others = [sent for sent in ledger.sent.values() if sent.kind is not Kind.STREAM]
    return [
        *_check_sum("engines", streams, ledger, retry_extra),
        *_check_sum("plain endpoints", others, ledger, retry_extra),
        *_check_departures(ledger, stalls),
    ]


def _check_sum(
    name: str, sent: list[SentRequest], ledger: Ledger, retry_extra: float
) -> Iterable[Violation]:
    """Check each window that begins with a retry.

    Its requests are those of the window, of the one before it or of the one that begins half a
    window earlier, whichever are most.
    """
    requests_s = sorted(r.headers_sent_s for r in sent if r.headers_sent_s is not None)
    forwarded = (sorted(ledger.forwarded_s.get(request.request_id, [])) for request in sent)
    retries_s = sorted(at_s for times_s in forwarded for at_s in times_s[1:])
    for from_s in retries_s:
        starts_s = (from_s, from_s - RETRY_WINDOW_S / 2, from_s - RETRY_WINDOW_S)
        requests = max(_count(requests_s, start_s) for start_s in starts_s)
        allowed = RETRY_RATIO * requests + retry_extra
        if (retries := _count(retries_s, from_s)) > allowed:
            yield Violation("budget", "", f"{retries} retries to {name}, {allowed:.1f} allowed")
            return


def _count(times_s: list[float], from_s: float) -> int:
    return bisect_right(times_s, from_s + RETRY_WINDOW_S) - bisect_left(times_s, from_s)


def _check_departures(ledger: Ledger, stalls: Sequence[Disturbance]) -> Iterable[Violation]:
    """Check that endpoints get no late requests after they wrote that they leave.

    Hosts that were killed or suspended shortly before a request are not counted, nor departures
    since which the store was slow: hosts then keep entries that are missing for a time.
    """
    for (endpoint, process_name), arrivals_s in ledger.arrivals.items():
        left_s = ledger.left_s.get(endpoint)
        if left_s is None:
            continue
        host = process_name.partition("/")[0]
        spans = [*ledger.disturbances_by_host[host], *ledger.pauses[process_name]]
        for arrived_s in arrivals_s:
            is_excused = _overlap(spans, arrived_s - DRAIN_S, arrived_s)
            is_excused = is_excused or _overlap(stalls, left_s, arrived_s)
            if arrived_s > left_s + DRAIN_S and not is_excused:
                late_s = arrived_s - left_s
                detail = f"{endpoint} got one from {process_name} {late_s:.2f} s after it left"
                yield Violation("left", "", detail)


def _overlap(spans: Iterable[Disturbance], from_s: float, to_s: float) -> bool:
    """Return whether a disturbance lies in an interval, at least in part."""
    return any(span.begin_s < to_s and span.end_s > from_s for span in spans)
