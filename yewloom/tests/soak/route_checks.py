"""Check that answers on added routes match configuration versions that may be in force.

A version allows an answer if it sends the route to the service that answered, or if it lacks the
route and the answer is 404. Other answers say nothing about the version.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yewloom.tests.soak.ledger import REGRESSION_S, Disturbance, Violation
from yewloom.tests.soak.operator import UNKNOWN_ROUTE, WrittenVersion

APPLY_S = 2.0
"""Time after the store's answer within which a version must be in force; specified by the
platform's documentation."""

SETTLE_S = 3.0
"""Time after a disturbance of a host from which ``APPLY_S`` applies to it again; specified by the
platform's documentation."""

MIN_REQUESTS = 20
"""Minimum number of requests in undisturbed times for checking whether added routes are served and
whether hosts know that their configuration is current; specified by the platform's
documentation."""

MIN_SERVED_SHARE = 0.25
"""Minimum share of the requests on added routes that must be served; the platform's documentation
specifies it relative to the share that is served on the initial routes."""


MAX_UNSURE_SHARE = 0.25
"""Maximum share of the requests for an unknown route that an undisturbed host may answer with 503.
With 503 it says that it does not know whether its configuration is current, which would hide that
it applies versions late."""

MIN_SPLIT_ANSWERS = 60
"""Minimum number of answers on split routes for checking how requests are split."""

MIN_SPLIT_SHARE = 0.2
"""Minimum share of the answers on split routes that each of two services must have. With equal
weights, 60 answers violate it by chance once in a million soaks."""

MIN_SLOW_REQUESTS = 8
"""Minimum number of requests that exceed their route's time-out for checking that it is enforced.
This constant and the next two are specified by the platform's documentation."""

TIMEOUT_SLACK_S = 0.5
"""Time after a route's time-out by which the final answer must have come."""

MAX_OVERDUE_SHARE = 0.25
"""Maximum share of the requests that exceed their time-out whose answer may come later."""


@dataclass(frozen=True)
class ProbeResult:
    """One request on an added or unknown route, and its result.

    ``service`` is the one that answered; ``work_s`` is how long its endpoint was asked to work.
    """

    host: str
    process_name: str
    route: str
    sent_s: float
    ended_s: float
    status: int | None
    service: str = ""
    work_s: float = 0.0

    @property
    def shows_version(self) -> bool:
        """Return whether the answer depends on the version in force."""
        return self.status == 404 or (self.status == 200 and bool(self.service))


class RouteChecks:
    """Checks results against the versions in ``written``, which is sorted by time."""

    def __init__(
        self,
        written: Sequence[WrittenVersion],
        results: Sequence[ProbeResult],
        disturbances: dict[str, list[Disturbance]],
    ) -> None:
        self._written = written
        self._versioned_results = [one for one in results if one.shows_version]
        self._results = results
        self._disturbances = disturbances

    def check(self) -> list[Violation]:
        """Return all violations."""
        return [
            *self._check_in_force(),
            *self._check_regressions(),
            *self._check_served(),
            *self._check_current(),
            *self._check_splits(),
            *self._check_timeouts(),
        ]

    def _check_in_force(self) -> Iterable[Violation]:
        """Check that undisturbed hosts answer as a version that may be in force allows.

        Answers that no version written so far allows are violations of disturbed hosts too.
        """
        for result in self._versioned_results:
            may_be = self._may_be_in_force(result)
            if any(_allows(self._written[number], result) for number in may_be):
                continue
            if self._is_undisturbed(result.host, result.sent_s) or not self._allowing_versions(
                result
            ):
                yield Violation("not in force", result.route, self._describe(result))

    def _check_regressions(self) -> Iterable[Violation]:
        """Check that no process answers as an older version than one that it acted on before."""
        by_life: defaultdict[str, list[ProbeResult]] = defaultdict(list)
        for result in self._versioned_results:
            by_life[result.process_name].append(result)
        for results in by_life.values():
            shown = sorted((a.ended_s, min(self._allowing_versions(a), default=0)) for a in results)
            for result in results:
                before = (n for at_s, n in shown if at_s + REGRESSION_S < result.sent_s)
                if max(self._allowing_versions(result), default=0) < max(before, default=0):
                    yield Violation("regressed", result.route, self._describe(result))

    def _check_served(self) -> Iterable[Violation]:
        """Check that added routes are served if they exist throughout a request."""
        counts: Counter[int | None] = Counter(
            result.status
            for result in self._results
            if self._is_undisturbed(result.host, result.sent_s)
            and not self._exceeds_timeout(result)
            and all(
                result.route in self._written[n].services for n in self._may_be_in_force(result)
            )
        )
        if counts.total() >= MIN_REQUESTS and counts[200] < MIN_SERVED_SHARE * counts.total():
            yield Violation("not served", "", f"added routes: {dict(counts)}")

    def _check_current(self) -> Iterable[Violation]:
        """Check that undisturbed hosts know their configuration to be current.

        They then answer 404 rather than 503 on an unknown route.
        """
        statuses = Counter(
            result.status
            for result in self._results
            if result.route == UNKNOWN_ROUTE and self._is_undisturbed(result.host, result.sent_s)
        )
        most = MAX_UNSURE_SHARE * statuses.total()
        if statuses.total() >= MIN_REQUESTS and statuses[503] > most:
            yield Violation("not sure", UNKNOWN_ROUTE, f"{dict(statuses)}")

    def _check_splits(self) -> Iterable[Violation]:
        """Check that routes that are split by equal weights send each service its share."""
        counts = Counter(
            result.service for result in self._versioned_results if self._is_split(result)
        )
        least = MIN_SPLIT_SHARE * counts.total()
        if counts.total() >= MIN_SPLIT_ANSWERS and (
            len(counts) < 2 or min(counts.values()) < least
        ):
            yield Violation("not split", "", f"answers on split routes: {dict(counts)}")

    def _is_split(self, result: ProbeResult) -> bool:
        """Return whether an answer is on a route that all versions that may be in force split."""
        if result.status != 200:
            return False
        may_be = (self._written[number] for number in self._may_be_in_force(result))
        return all(len(written.services.get(result.route, ())) > 1 for written in may_be)

    def _check_timeouts(self) -> Iterable[Violation]:
        """Check that requests that exceed their route's time-out get their answer by then."""
        slow = [result for result in self._results if self._exceeds_timeout(result)]
        overdue = [result for result in slow if self._is_overdue(result)]
        if len(slow) >= MIN_SLOW_REQUESTS and len(overdue) > MAX_OVERDUE_SHARE * len(slow):
            detail = f"{len(overdue)} of {len(slow)} answers came late"
            yield Violation("time-out not kept", overdue[0].route, detail)

    def _exceeds_timeout(self, result: ProbeResult) -> bool:
        timeout_s = self._timeout_s(result)
        is_undisturbed = self._is_undisturbed(result.host, result.sent_s) and self._is_undisturbed(
            result.host, result.ended_s
        )
        return timeout_s is not None and result.work_s > timeout_s and is_undisturbed

    def _is_overdue(self, result: ProbeResult) -> bool:
        timeout_s = self._timeout_s(result)
        assert timeout_s is not None
        return result.ended_s - result.sent_s > timeout_s + TIMEOUT_SLACK_S

    def _timeout_s(self, result: ProbeResult) -> float | None:
        """Return the longest time-out of a request's route in the versions that may be in force.

        Return None if one of these versions lacks the route or gives no time-out.
        """
        may_be = (self._written[number] for number in self._may_be_in_force(result))
        timeouts_ms = [written.timeouts_ms.get(result.route) for written in may_be]
        known = [timeout_ms for timeout_ms in timeouts_ms if timeout_ms is not None]
        return max(known) / 1000 if len(known) == len(timeouts_ms) else None

    def _may_be_in_force(self, result: ProbeResult) -> list[int]:
        """Return the indices of the versions that an undisturbed host may act on."""
        applied = [n for n, one in enumerate(self._written) if one.at_s + APPLY_S <= result.sent_s]
        written_before = [n for n, one in enumerate(self._written) if one.at_s <= result.ended_s]
        return list(range(max(applied, default=0), max(written_before, default=0) + 1))

    def _allowing_versions(self, result: ProbeResult) -> list[int]:
        """Return the indices of the versions that allow an answer and were written by its end."""
        return [
            number
            for number, written in enumerate(self._written)
            if written.at_s <= result.ended_s and _allows(written, result)
        ]

    def _is_undisturbed(self, host: str, at_s: float) -> bool:
        return not any(
            span.begin_s <= at_s < span.end_s + SETTLE_S
            for span in self._disturbances.get(host, [])
        )

    def _describe(self, result: ProbeResult) -> str:
        newest_allowing = max(self._allowing_versions(result), default=0)
        next_version = self._written[min(newest_allowing + 1, len(self._written) - 1)]
        return (
            f"{result.process_name} answered {result.status} {result.service} "
            f"at {result.sent_s:.2f} s, "
            f"which version {self._written[newest_allowing].version} allows; "
            f"version {next_version.version} is {result.sent_s - next_version.at_s:.2f} s old"
        )


def _allows(written: WrittenVersion, result: ProbeResult) -> bool:
    """Return whether a version allows an answer."""
    services = written.services.get(result.route)
    if result.status == 404:
        return services is None
    return services is not None and result.service in services
