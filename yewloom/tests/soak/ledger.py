"""Record what callers sent and received and what endpoints ran, and check the guarantees.

A request is one attempt of a caller, with an id of its own. Times are in seconds of the soak's
clock.
"""

import math
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

import trio

REVOCATION_S = 5.0
"""Time after its revocation from which a key must not be accepted."""

REGRESSION_S = 0.25
"""Time after an answer that shows a configuration version from which that host must not act on an
older one."""

DEREGISTRATION_S = 2.6
"""Deregistration delay: time after SIGTERM for which a host still accepts requests. The balancer
checks it once a second and stops routing to it after two failed checks; specified by the platform's
documentation, as in ``entry_host``."""

DEREGISTRATION_TOLERANCE_S = 0.4
"""Time after the deregistration delay from which a request counts as late. The sum is the 3 s after
SIGTERM that the platform's documentation specifies."""

CLOSE_RACE_S = 0.3
"""Time after a request was fully sent during which a connection close may have crossed it: 0.2 s by
the platform's documentation, and 0.1 s until this busy process sees the close."""

GRACE_S = 8.0
"""Grace period: time from SIGTERM until a process is killed; specified by the platform's
documentation."""

WORK_CUT_OFF_S = GRACE_S * 5 / 6
"""Time after SIGTERM from which requests that endpoints still work on may be cut off: the last
sixth of the grace period, specified by the platform's documentation."""

ANSWER_MARGIN_S = 0.05
"""Time before a deadline from which the end of a request counts as caused by the deadline: a host
aborts requests some 40 ms earlier, so that its answer still reaches the caller in time."""

IN_TRANSIT_S = 0.5
"""Time after an endpoint's rejection in which requests may still arrive that were sent before it;
specified by the platform's documentation."""

MAX_WITHIN_PAUSE = 2
"""Number of requests that may arrive in the rest of a pause; specified by the platform's
documentation."""

DRAIN_S = 2.0
"""Time after an endpoint told a host that it leaves in which requests may still arrive; specified
by the platform's documentation."""

OVERDUE_S = 0.5
"""Time after a request's deadline from which a host must not forward it to an endpoint; specified
by the platform's documentation."""

ISOLATION_DETECTION_S = 3.0
"""Time after the beginning of a cut from which callers of isolated hosts must be served."""

ISOLATION_SERVED_RATIO = 2 / 3
"""Lowest share of requests served by isolated hosts, relative to the share of the others; this and
the next two are specified by the platform's documentation."""

ISOLATION_FAILURES, ISOLATION_FAILED_SHARE = 10, 1 / 50
"""Number of requests, and share of all requests, that may fail at isolated hosts in any case."""

STOP_EFFECT_S = GRACE_S + 6.0
"""Time after SIGTERM for which a host owes nothing in isolation: its stop, up to 3 s until it is
started again, and 3 s after that."""

_REQUEST_ID = re.compile(rb"\r\nyewloom-request-id: *(\S+)", re.IGNORECASE)

STREAM_EVENTS = 5
"""Number of events of a short stream."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request has not run and never will."""


class Kind(Enum):
    """Kind of a request; only those of kind ``UNSAFE`` must not run more than once."""

    STREAM = "stream"
    SAFE = "safe"
    UNSAFE = "unsafe"


@dataclass(frozen=True)
class Violation:
    """A violated guarantee; ``check`` is the name of the check that found it."""

    check: str
    request_id: str
    detail: str


@dataclass
class SentRequest:
    """A request as its caller sent it, and the answer.

    ``key_version`` is the configuration version that introduced its key. ``deadline_s`` is the time
    that the host was given for an answer.

    ``process_name`` names the process that the request was sent to: the one that ran when the
    connection was open or, without a connection, when the request was created.
    ``is_connection_reused`` tells whether the connection was open before, and ``has_given_up``
    whether the caller disconnected at its deadline. ``failure`` is the error that ended an exchange
    without a complete answer.
    """

    request_id: str
    kind: Kind
    path: str
    body: bytes
    key_version: int
    process_name: str
    sent_s: float
    headers_sent_s: float | None = None
    fully_sent_s: float | None = None
    ended_s: float | None = None
    caller_port: int | None = None
    failure: str = ""
    events: int = STREAM_EVENTS
    is_connection_reused: bool = True
    has_given_up: bool = False
    deadline_s: float = math.inf
    status: int | None = None
    stamp: str = ""
    answer: bytes = b""
    is_complete: bool = False

    @property
    def host(self) -> str:
        """Name of the entry host that the request was sent to."""
        return self.process_name.partition("/")[0]

    @property
    def expires_s(self) -> float:
        """Time at which the deadline passes; it counts from the headers, which announce it."""
        return (
            self.sent_s if self.headers_sent_s is None else self.headers_sent_s
        ) + self.deadline_s


@dataclass(frozen=True)
class EndpointRun:
    """A request that an endpoint began to run."""

    request_id: str
    endpoint: str
    path: str
    body: bytes
    customer: str
    at_s: float


@dataclass(frozen=True)
class Disturbance:
    """An interval in which effects of a fault, a pause or a stall may be seen."""

    begin_s: float
    end_s: float


@dataclass(frozen=True)
class Isolation:
    """An interval in which some entry hosts, given by name, reached no endpoint."""

    hosts: frozenset[str]
    interval: Disturbance


@dataclass(frozen=True)
class PartSending:
    """An interval in which requests with a part that crashes endpoints were sent.

    ``arrived_s`` and ``ended_s`` are when such requests arrived at endpoints and when these
    crashed, also outside the interval.
    """

    part: str
    interval: Disturbance
    arrived_s: Sequence[float]
    ended_s: Sequence[float]


EndpointAndProcess = tuple[str, str]
"""The names of an endpoint and of an entry host process."""


@dataclass
class Ledger:
    """Records all requests, runs, stops and faults of a soak, and finds violations.

    ``completed_s`` is when an endpoint had made the complete answer, by request id. ``revoked_s``
    is when a version's key was revoked, by version. ``planned_stops`` is when SIGTERM was sent, and
    ``pauses`` when SIGSTOP was in effect, by process name. ``disturbances`` may affect any host,
    and ``disturbances_by_host`` only the named one.
    """

    sent: dict[str, SentRequest] = field(default_factory=dict)
    runs: dict[str, list[EndpointRun]] = field(default_factory=lambda: defaultdict(list))
    completed_s: dict[str, float] = field(default_factory=dict)
    revoked_s: dict[int, float] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
    planned_stops: dict[str, float] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    pauses: defaultdict[str, list[Disturbance]] = field(default_factory=lambda: defaultdict(list))
    disturbances_by_host: defaultdict[str, list[Disturbance]] = field(
        default_factory=lambda: defaultdict(list)
    )
    forwarded_s: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    """When each request was forwarded to endpoints, by request id."""
    arrivals: defaultdict[EndpointAndProcess, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """When requests of an entry host process arrived at an endpoint."""
    asked_pauses: defaultdict[EndpointAndProcess, list[Disturbance]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """The pauses that an endpoint asked an entry host process for."""
    isolations: list[Isolation] = field(default_factory=list)
    part_sendings: list[PartSending] = field(default_factory=list)
    senders: dict[str, str] = field(default_factory=dict)
    """The process that last forwarded a request, by request id, where links of its own show it."""
    left_s: dict[str, float] = field(default_factory=dict)
    """When an endpoint wrote to the store that it leaves, by endpoint."""
    told_leaving_s: dict[EndpointAndProcess, float] = field(default_factory=dict)
    """When an endpoint first told an entry host process that it leaves."""

    @contextmanager
    def disturbing(self, hosts: Iterable[str]) -> Iterator[None]:
        """Record that these entry hosts are disturbed until the end of the ``with`` block."""
        begin_s = trio.current_time()
        begun = {host: Disturbance(begin_s, math.inf) for host in hosts}
        for host, span in begun.items():
            self.disturbances_by_host[host].append(span)
        try:
            yield
        finally:
            ended = Disturbance(begin_s, trio.current_time())
            for host, span in begun.items():
                self.disturbances_by_host[host][self.disturbances_by_host[host].index(span)] = ended

    def was_disturbed(self, from_s: float, to_s: float) -> bool:
        """Return whether a fault, a stop or a loss of a host disturbed the fleet in an interval."""
        spans = [*self.disturbances, *(s for h in self.disturbances_by_host.values() for s in h)]
        if any(_overlaps(span, from_s, to_s) for span in spans):
            return True
        return bool(self.hosts_stopped_between(from_s - STOP_EFFECT_S, to_s))

    def hosts_stopped_between(self, from_s: float, to_s: float) -> set[str]:
        """Return the entry hosts that got SIGTERM within an interval."""
        stops = self.planned_stops.items()
        return {name.partition("/")[0] for name, at_s in stops if from_s < at_s < to_s}

    def record_violation(self, check: str, request_id: str, detail: str) -> None:
        """Record a violation; ``request_id`` is empty if it concerns no single request."""
        self.violations.append(Violation(check, request_id, detail))

    def record_overdue_stop(self, process_name: str) -> None:
        """Record that a process did not end within its grace period, unless it was paused in it."""
        stopped_s = self.planned_stops[process_name]
        if not any(
            _overlaps(span, stopped_s, stopped_s + GRACE_S) for span in self.pauses[process_name]
        ):
            self.record_violation(
                "stop took too long", "", f"{process_name} runs {GRACE_S} s after SIGTERM"
            )

    def record_run(self, run: EndpointRun) -> None:
        """Record that an endpoint runs a request, and check what must hold at that time."""
        self.runs[run.request_id].append(run)
        sent = self.sent.get(run.request_id)
        if sent is None:
            self.record_violation("unasked", run.request_id, "no caller sent it")
            return
        if (sent.path, sent.body) != (run.path, run.body):
            self.record_violation("unasked", run.request_id, "path or body was changed")
        if run.customer != "customer":
            self.record_violation("unasked", run.request_id, f"customer {run.customer!r}")
        revoked_s = self.revoked_s.get(sent.key_version)
        if revoked_s is not None and sent.sent_s > revoked_s + REVOCATION_S:
            age_s = sent.sent_s - revoked_s
            self.record_violation("revoked", run.request_id, f"key revoked {age_s:.2f} s earlier")

    def record_forwarded(self, data: bytes, at_s: float, process_name: str = "") -> None:
        """Record when the request in the first bytes of an endpoint connection was forwarded.

        ``process_name`` is the entry host process that forwarded it, if that is known.
        """
        found = _REQUEST_ID.search(data)
        if found is None:
            return
        request_id = found[1].decode()
        self.forwarded_s[request_id].append(at_s)
        if process_name:
            self.senders[request_id] = process_name

    def _sender(self, sent: SentRequest) -> str:
        """Return the process that forwarded a request to the endpoint that has it now."""
        return self.senders.get(sent.request_id, sent.process_name)

    def record_complete_answer(self, request_id: str, now_s: float) -> None:
        """Record when an endpoint had made the complete answer to a request."""
        self.completed_s[request_id] = now_s

    def record_arrival(self, endpoint: str, request_id: str) -> None:
        """Record that a request arrived at an endpoint now."""
        sent = self.sent.get(request_id)
        if sent is not None:
            self.arrivals[endpoint, self._sender(sent)].append(trio.current_time())

    def record_pause(self, endpoint: str, request_id: str, pause_s: float) -> None:
        """Record that an endpoint asked for a pause when it rejected a request now."""
        sent = self.sent.get(request_id)
        if sent is not None:
            now_s = trio.current_time()
            asked = Disturbance(now_s, now_s + pause_s)
            self.asked_pauses[endpoint, self._sender(sent)].append(asked)

    def record_departure(self, endpoint: str, request_id: str) -> None:
        """Record that an endpoint says in the answer to a request that it leaves."""
        sent = self.sent.get(request_id)
        if sent is not None:
            told = self.told_leaving_s
            told.setdefault((endpoint, self._sender(sent)), trio.current_time())

    def check(self) -> list[Violation]:
        """Return all violations so far."""
        found = list(self.violations)
        for sent in self.sent.values():
            found += self._check_request(sent)
            if self._is_unanswered(sent):
                found.append(Violation("unanswered", sent.request_id, f"by {sent.process_name}"))
            if self._is_cut_off(sent):
                found.append(Violation("cut off", sent.request_id, f"by {sent.process_name}"))
        found += self._check_pauses()
        found += self._check_departures()
        found += check_isolations(self)
        return found + list(self._check_regressions()) + list(self._check_planned_stops())

    def _check_departures(self) -> Iterable[Violation]:
        """Check that endpoints get no late requests from hosts that they told that they leave.

        Those of processes that were suspended since are not counted, nor those that may have been
        held up by a disturbance.
        """
        for (endpoint, process_name), told_s in self.told_leaving_s.items():
            for arrived_s in self.arrivals[endpoint, process_name]:
                is_excused = self._is_disturbed(arrived_s - DRAIN_S, arrived_s) or any(
                    _overlaps(span, told_s, arrived_s) for span in self.pauses[process_name]
                )
                if arrived_s > told_s + DRAIN_S and not is_excused:
                    late_s = arrived_s - told_s
                    detail = f"{endpoint} got one from {process_name} {late_s:.2f} s after its word"
                    yield Violation("leaving", "", detail)

    def _check_pauses(self) -> Iterable[Violation]:
        """Check that endpoints get no requests in the pauses that they ask for.

        Pauses of processes that are suspended meanwhile, or while a fault disturbs the soak, are
        not counted.
        """
        for (endpoint, process_name), pauses in self.asked_pauses.items():
            arrivals_s = self.arrivals[endpoint, process_name]
            for pause in pauses:
                if self._is_disturbed(pause.begin_s, pause.end_s) or any(
                    _overlaps(span, pause.begin_s, pause.end_s)
                    for span in self.pauses[process_name]
                ):
                    continue
                count = sum(pause.begin_s + IN_TRANSIT_S < s < pause.end_s for s in arrivals_s)
                if count > MAX_WITHIN_PAUSE:
                    detail = f"{endpoint} got {count} requests from {process_name} in its pause"
                    yield Violation("pause", "", detail)

    def _check_request(self, sent: SentRequest) -> Iterable[Violation]:
        runs = self.runs.get(sent.request_id, [])
        if sent.kind is Kind.UNSAFE and len(runs) > 1:
            yield Violation("twice", sent.request_id, f"ran at {[run.endpoint for run in runs]}")
        if sent.status in NOT_RUN_STATUSES and runs:
            yield Violation("refused", sent.request_id, f"{sent.status}, ran at {runs[0].endpoint}")
        if sent.status == 200 and sent.is_complete:
            yield from self._check_answer(sent, runs)
        for forwarded_s in self.forwarded_s.get(sent.request_id, []):
            overdue_s = forwarded_s - sent.expires_s
            if overdue_s > OVERDUE_S:
                detail = f"forwarded by {sent.process_name} {overdue_s:.2f} s after its deadline"
                yield Violation("overdue", sent.request_id, detail)

    def _check_answer(self, sent: SentRequest, runs: list[EndpointRun]) -> Iterable[Violation]:
        if sent.stamp not in {run.endpoint for run in runs}:
            yield Violation(
                "mixed", sent.request_id, f"stamp {sent.stamp!r} of an endpoint that did not run it"
            )
        if sent.answer != expected_answer(sent):
            yield Violation("mixed", sent.request_id, f"answer {sent.answer[:80]!r}")

    def _check_regressions(self) -> Iterable[Violation]:
        """Check that no process refuses a version's key after accepting it, or accepts older ones.

        That would show that the process acts on an older configuration than before.
        """
        by_life: defaultdict[str, list[SentRequest]] = defaultdict(list)
        for sent in self.sent.values():
            by_life[sent.process_name].append(sent)
        for requests in by_life.values():
            accepted = [sent for sent in requests if sent.status == 200]
            for sent in requests:
                newest = _newest_version_before(sent, accepted)
                # A version keeps the key of the one before it, so only a key that is two versions
                # older shows an older configuration.
                accepts_older = sent.status == 200 and sent.key_version < newest - 1
                refuses_newest = sent.status == 401 and sent.key_version == newest
                if accepts_older or (refuses_newest and not self._is_revoked(sent)):
                    detail = f"{sent.status} for key of version {sent.key_version} after {newest}"
                    yield Violation("regressed", sent.request_id, detail)

    def _is_revoked(self, sent: SentRequest) -> bool:
        """Return whether a request's key may have been revoked before its answer."""
        revoked_s = self.revoked_s.get(sent.key_version)
        return revoked_s is not None and (sent.ended_s is None or sent.ended_s >= revoked_s)

    def _check_planned_stops(self) -> Iterable[Violation]:
        """Check that a stopping process accepts no late requests, and cuts none off without cause.

        Requests that are cut off while a fault disturbs the soak are not counted.
        """
        for process_name, stopped_s in self.planned_stops.items():
            for sent in (sent for sent in self.sent.values() if sent.process_name == process_name):
                connection = "kept" if sent.is_connection_reused else "new"
                detail = (
                    f"{process_name}, {connection} connection, "
                    f"{sent.sent_s - stopped_s:.2f} s after SIGTERM"
                )
                if self._is_lost(sent, stopped_s):
                    yield Violation("lost", sent.request_id, detail)
                if sent.sent_s > self._notice_ends_s(process_name) and self.runs.get(
                    sent.request_id
                ):
                    yield Violation("late", sent.request_id, detail)

    def _notice_ends_s(self, process_name: str) -> float:
        """Return the end of a stopping process's deregistration delay, with its tolerance.

        A pause in that period starts it again: a paused process sees the signal, its timer and
        pending requests at the same time when it resumes.
        """
        stopped_s = self.planned_stops[process_name]
        ends_s = stopped_s + DEREGISTRATION_S + DEREGISTRATION_TOLERANCE_S
        for pause in self.pauses[process_name]:
            if _overlaps(pause, stopped_s, ends_s):
                ends_s = max(ends_s, pause.end_s + DEREGISTRATION_S + DEREGISTRATION_TOLERANCE_S)
        return ends_s

    def _is_unanswered(self, sent: SentRequest) -> bool:
        """Return whether a request that was fully sent in undisturbed times has no answer at all.

        Two cases are excused: the caller gave up at its deadline, or the request crossed a
        connection close of a planned stop. A request that ran before the stop cut it off counts as
        lost instead.
        """
        if sent.fully_sent_s is None or sent.ended_s is None:
            return False
        if sent.status is not None or sent.has_given_up:
            return False
        if self._is_disturbed(sent.sent_s, sent.ended_s):
            return False
        stopped_s = self.planned_stops.get(sent.process_name)
        if stopped_s is None or sent.ended_s < stopped_s:
            return True
        is_close_race = sent.ended_s - sent.fully_sent_s <= CLOSE_RACE_S
        return not is_close_race and not self.runs.get(sent.request_id)

    def _is_cut_off(self, sent: SentRequest) -> bool:
        """Return whether a host ended a stream in undisturbed times, with time left.

        Planned stops are checked apart. Links to endpoints that are cut may have reset its
        connection, also while it went on through another host.
        """
        if sent.status != 200 or sent.is_complete or sent.ended_s is None or sent.has_given_up:
            return False
        if self._is_disturbed(sent.sent_s, sent.ended_s) or _has_reached_deadline(sent):
            return False
        if sent.process_name in self.planned_stops:
            return False
        return not any(
            _overlaps(cut.interval, sent.sent_s, sent.ended_s) for cut in self.isolations
        )

    def _is_lost(self, sent: SentRequest, stopped_s: float) -> bool:
        """Return whether a planned stop cut off a request that ran in undisturbed times.

        Requests that ended at their deadline, or that may be cut off, are excused.
        """
        if sent.ended_s is None or sent.ended_s < stopped_s:
            return False
        if self._is_disturbed(sent.sent_s, sent.ended_s) or not self.runs.get(sent.request_id):
            return False
        if any(_overlaps(cut.interval, sent.sent_s, sent.ended_s) for cut in self.isolations):
            return False  # Its connection to the endpoint may have been reset.
        if _has_reached_deadline(sent) or self._is_unfinished_work(sent, stopped_s):
            return False
        return sent.status is None or (sent.status == 200 and not sent.is_complete)

    def _is_unfinished_work(self, sent: SentRequest, stopped_s: float) -> bool:
        """Return whether a request was still unfinished in the last part of the grace period.

        Such a request may be cut off if it was sent in the notice period. It is not excused if the
        endpoint had made the answer more than ``CLOSE_RACE_S`` before the end; an answer made later
        may have crossed the close.
        """
        assert sent.ended_s is not None
        is_in_notice = sent.sent_s <= stopped_s + DEREGISTRATION_S + DEREGISTRATION_TOLERANCE_S
        is_in_last_part = sent.ended_s >= stopped_s + WORK_CUT_OFF_S
        completed_s = self.completed_s.get(sent.request_id, math.inf)
        return is_in_notice and is_in_last_part and completed_s > sent.ended_s - CLOSE_RACE_S

    def _is_disturbed(self, from_s: float, to_s: float) -> bool:
        return any(_overlaps(span, from_s, to_s) for span in self.disturbances)

    def outcomes(self) -> Counter[str]:
        """Count the requests by kind and status."""
        return Counter(
            f"{sent.kind.value} {sent.status if sent.is_complete or sent.status != 200 else 'cut'}"
            for sent in self.sent.values()
        )


def check_isolations(ledger: Ledger) -> Iterable[Violation]:
    """Check that callers of isolated hosts are served about as often as those of the others.

    Isolations during other disturbances are not checked, nor hosts that were stopped just before.
    """
    for cut in ledger.isolations:
        from_s, to_s = cut.interval.begin_s + ISOLATION_DETECTION_S, cut.interval.end_s
        if from_s >= to_s or any(_overlaps(d, from_s, to_s) for d in ledger.disturbances):
            continue
        stopped = ledger.hosts_stopped_between(from_s - STOP_EFFECT_S, to_s)
        sent = [
            s
            for s in ledger.sent.values()
            if from_s <= s.sent_s and _ended_before(s, to_s) and s.host not in stopped
        ]
        there = [s for s in sent if s.host in cut.hosts]
        elsewhere = [s for s in sent if s.host not in cut.hosts]
        if not there or not elsewhere:
            continue
        served, served_elsewhere = sum(map(_is_served, there)), sum(map(_is_served, elsewhere))
        share, share_elsewhere = served / len(there), served_elsewhere / len(elsewhere)
        allowed_failures = ISOLATION_FAILURES + ISOLATION_FAILED_SHARE * len(sent)
        is_too_low = share < ISOLATION_SERVED_RATIO * share_elsewhere
        if is_too_low and len(there) - served > allowed_failures:
            counts = f"{served} of {len(there)}, the others {served_elsewhere} of {len(elsewhere)}"
            yield Violation("isolated", "", f"{sorted(cut.hosts)} served {counts}")


def _ended_before(sent: SentRequest, time_s: float) -> bool:
    return sent.ended_s is not None and sent.ended_s <= time_s


def _is_served(sent: SentRequest) -> bool:
    return sent.status == 200 and sent.is_complete


def _overlaps(span: Disturbance, from_s: float, to_s: float) -> bool:
    return span.begin_s < to_s and span.end_s > from_s


def _has_reached_deadline(sent: SentRequest) -> bool:
    """Return whether a request ended because of its deadline."""
    assert sent.ended_s is not None
    return sent.ended_s >= sent.expires_s - ANSWER_MARGIN_S


def _newest_version_before(sent: SentRequest, accepted: Iterable[SentRequest]) -> int:
    """Return the newest version whose key was accepted before a request; 0 if there is none.

    Answers within ``REGRESSION_S`` before the request do not count.
    """
    return max(
        (
            other.key_version
            for other in accepted
            if other.ended_s is not None and sent.sent_s > other.ended_s + REGRESSION_S
        ),
        default=0,
    )


def expected_answer(sent: SentRequest) -> bytes:
    """Return the body of a complete answer to a request."""
    if sent.kind is Kind.STREAM:
        numbers = range(1, sent.events + 1)
        return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in numbers)
    return b"%s for %s" % (sent.stamp.encode(), sent.request_id.encode())
