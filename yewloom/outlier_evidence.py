"""Finds endpoints that fail far more often than the others that get the same requests.

An endpoint's latest answers are held against those of the others on the same routes and models. If
it failed as rarely as they do, so many failures would have a probability of at most
``exp(-evidence)`` (Hoeffding's bound). If all fail alike, the evidence is about zero.

A request that is sent again and again counts once for an endpoint. Where several customers use the
routes, the failures of one alone are no evidence: it must also hold, less strictly, without the
customer with the most failures.
"""

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from yewloom.endpoint_answers import Answer, FailureKind
from yewloom.ids import CustomerId, Fingerprint, HostId, ModelName, RouteName
from yewloom.values import value_class

MAX_JUDGED = 48
"""Number of an endpoint's latest answers that are judged: few, so that a new fault shows soon, but
enough to tell three that fail from a fourth that does not."""

MIN_FAILURES = 5
"""Minimum number of failures of an outlier; fewer can have one cause."""

MIN_OTHER_ANSWERS = 6
"""Minimum number of answers of the others on a route; fewer are nothing to compare with."""

MIN_EXCESS = 0.15
"""Minimum difference between an outlier's share of failures and the others': retries cover less."""

MIN_EVIDENCE = 14.0
"""Evidence against an outlier: a chance of one in a million, for it is judged many times a day."""

MIN_CONFIRMATION = 3.0
"""Evidence without the customer with the most failures: a chance of one in twenty."""

Kind = tuple[RouteName, ModelName | None]
"""What requests must have in common to be compared."""


@value_class
class Rates:
    """Why an endpoint is an outlier: its failures, and the share expected from the others'."""

    answers: int
    failures: int
    most_frequent: FailureKind
    expected_share: float
    evidence: float


@dataclass
class _Tally:
    """A number of answers, and of failures among them."""

    answers: int = 0
    failures: int = 0

    def add(self, answer: Answer) -> None:
        """Count an answer."""
        self.answers += 1
        self.failures += answer.failure is not None


@dataclass
class _Tallies:
    """Answers to one kind of request, in total and by endpoint."""

    total: _Tally = field(default_factory=_Tally)
    by_endpoint: defaultdict[HostId, _Tally] = field(default_factory=lambda: defaultdict(_Tally))


@dataclass
class _Comparison:
    """An endpoint's answers of the kinds that others have answered too."""

    answers: int = 0
    failures: int = 0
    expected_failures: float = 0.0

    @property
    def expected_share(self) -> float:
        """Return the share of failures expected from the others'."""
        return self.expected_failures / self.answers if self.answers else 0.0

    @property
    def evidence(self) -> float:
        """Return the evidence that the endpoint fails more often than expected."""
        if not self.answers:
            return 0.0
        return self.answers * _divergence(self.failures / self.answers, self.expected_share)

    @property
    def is_sufficient(self) -> bool:
        """Return whether the endpoint is an outlier."""
        if self.failures < MIN_FAILURES or self.evidence < MIN_EVIDENCE:
            return False
        return self.failures / self.answers - self.expected_share >= MIN_EXCESS


def may_be_outlier(endpoint: HostId, newest_first: Iterable[Answer]) -> bool:
    """Return whether an endpoint has failed often enough to be compared; this costs little."""
    own = itertools.islice((a for a in newest_first if a.endpoint == endpoint), MAX_JUDGED)
    outcomes = [answer.failure is not None for answer in own]
    return sum(outcomes) >= max(MIN_FAILURES, MIN_EXCESS * len(outcomes))


def find_outliers(newest_first: Iterable[Answer]) -> dict[HostId, Rates]:
    """Return the endpoints that are outliers by their answers, the worst first."""
    answers = _latest(newest_first)
    tallies = _count(answers)
    outliers: dict[HostId, Rates] = {}
    failures = Counter(answer.endpoint for answer in answers if answer.failure is not None)
    for endpoint, count in failures.items():
        if count < MIN_FAILURES:
            continue
        found = _compare(endpoint, tallies)
        if found.is_sufficient and _is_confirmed(endpoint, answers):
            kinds = Counter(a.failure for a in answers if a.endpoint == endpoint and a.failure)
            [(kind, _)] = kinds.most_common(1)
            outliers[endpoint] = Rates(
                found.answers, found.failures, kind, found.expected_share, found.evidence
            )
    return dict(sorted(outliers.items(), key=lambda item: (-item[1].evidence, item[0])))


def _latest(newest_first: Iterable[Answer]) -> list[Answer]:
    """Return each endpoint's latest answers, without those to a request that failed there later."""
    counts: Counter[HostId] = Counter()
    failed: set[tuple[HostId, Fingerprint | None]] = set()
    latest = []
    for answer in newest_first:
        if counts[answer.endpoint] == MAX_JUDGED:
            continue
        if answer.failure is not None:
            request = (answer.endpoint, answer.fingerprint)
            if request in failed:
                continue
            failed.add(request)
        counts[answer.endpoint] += 1
        latest.append(answer)
    return latest


def _count(answers: Iterable[Answer]) -> dict[Kind, _Tallies]:
    """Return the number of answers and failures by kind of request."""
    tallies: defaultdict[Kind, _Tallies] = defaultdict(_Tallies)
    for answer in answers:
        of_kind = tallies[answer.route, answer.model]
        of_kind.total.add(answer)
        of_kind.by_endpoint[answer.endpoint].add(answer)
    return tallies


def _compare(endpoint: HostId, tallies: dict[Kind, _Tallies]) -> _Comparison:
    """Compare an endpoint with the others."""
    comparison = _Comparison()
    for of_kind in tallies.values():
        own, total = of_kind.by_endpoint.get(endpoint), of_kind.total
        if own is None or total.answers - own.answers < MIN_OTHER_ANSWERS:
            continue
        # One more failure than seen, as the others' share of failures may be higher than it seems.
        share = (total.failures - own.failures + 1) / (total.answers - own.answers + 2)
        comparison.answers += own.answers
        comparison.failures += own.failures
        comparison.expected_failures += own.answers * share
    return comparison


def _is_confirmed(endpoint: HostId, answers: Sequence[Answer]) -> bool:
    """Return whether the failures are not those of a single customer among several."""
    own = [answer for answer in answers if answer.endpoint == endpoint]
    kinds = {(answer.route, answer.model) for answer in own}
    customers = {a.customer for a in answers if (a.route, a.model) in kinds}
    if len(customers) < 2:
        return True
    failed: Counter[CustomerId | None] = Counter(a.customer for a in own if a.failure is not None)
    [(worst, _)] = failed.most_common(1)
    without = _count(answer for answer in answers if answer.customer != worst)
    return _compare(endpoint, without).evidence >= MIN_CONFIRMATION


def _divergence(share: float, expected: float) -> float:
    """Return the relative entropy of a share that exceeds the expected one; 0 if it does not."""
    if share <= expected:
        return 0.0
    rest = (1 - share) * math.log((1 - share) / (1 - expected)) if share < 1 else 0.0
    return share * math.log(share / expected) + rest
