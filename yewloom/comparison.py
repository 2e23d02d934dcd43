"""Comparison of the two sides of an experiment, with confidence intervals.

Requests of one session are not independent: they run on the same side under similar conditions.
Confidence intervals therefore come from a bootstrap that resamples whole sessions. The error rate
is divided equally between the two metrics (Bonferroni correction).
"""

import math
import random
from collections.abc import Callable, Sequence

from yewloom.experiments import ExperimentRecord, Observation, Side
from yewloom.states import Outcome
from yewloom.values import value_class

ERROR_RATE = 0.05
"""Accepted share of comparisons of equal policies that report a difference (false positives)."""

RESAMPLES = 400
"""Number of bootstrap resamples for each confidence interval."""

PERCENTILE = 0.95
"""Percentile of a metric that is compared."""

MIN_SESSIONS = 30
"""Minimum number of sessions on each side for a difference to count as established."""

MAX_IMBALANCE = 3.0
"""Maximum deviation of the split from its configured share, in standard deviations."""

_MetricReader = Callable[[Observation], float | None]
_METRICS: dict[str, _MetricReader] = {
    "first token": lambda observation: observation.first_token_ms,
    "between tokens": lambda observation: observation.between_tokens_ms,
}


@value_class
class MetricComparison:
    """Result for one metric: the 95th percentile of each side and the interval of B - A, in ms."""

    metric: str
    a_ms: float
    b_ms: float
    low_ms: float
    high_ms: float
    is_established: bool

    @property
    def verdict(self) -> str:
        """Describe the result in words."""
        if not self.is_established:
            return "the difference is not established"
        return "B is slower" if self.low_ms > 0 else "B is faster"


@value_class
class Comparison:
    """Result for both sides: requests by outcome, sampled sessions, imbalance and metrics."""

    counts: dict[Side, dict[Outcome, int]]
    sessions: dict[Side, int]
    imbalance: float
    metrics: tuple[MetricComparison, ...]

    @property
    def is_balanced(self) -> bool:
        """Tell whether the split matches the configured share of side B."""
        return abs(self.imbalance) <= MAX_IMBALANCE


def compare(
    record: ExperimentRecord, share_b: float, rng: random.Random, resamples: int = RESAMPLES
) -> Comparison:
    """Compare the sides of an experiment; ``share_b`` is the share of sessions on side B."""
    sessions = {side: _sessions_on_side(record, side) for side in Side}
    session_counts = {side: len(on_side) for side, on_side in sessions.items()}
    metrics = tuple(
        _compare_metric(name, read_value, sessions, rng, resamples)
        for name, read_value in _METRICS.items()
    )
    counts = {
        side: {outcome: record.counts[(side, outcome)] for outcome in Outcome} for side in Side
    }
    return Comparison(counts, session_counts, _imbalance(session_counts, share_b), metrics)


def _sessions_on_side(record: ExperimentRecord, side: Side) -> list[list[Observation]]:
    sessions = (
        [o for o in record.sample[session_hash] if o.side is side]
        for session_hash in sorted(record.sample)
    )
    return [observations for observations in sessions if observations]


def _imbalance(session_counts: dict[Side, int], share_b: float) -> float:
    """Return the deviation of side B from its expected share, in standard deviations."""
    total = session_counts[Side.A] + session_counts[Side.B]
    standard_deviation = math.sqrt(total * share_b * (1 - share_b))
    return (
        (session_counts[Side.B] - total * share_b) / standard_deviation
        if standard_deviation
        else 0.0
    )


def _compare_metric(
    name: str,
    read_value: _MetricReader,
    sessions: dict[Side, list[list[Observation]]],
    rng: random.Random,
    resamples: int,
) -> MetricComparison:
    samples = {side: _Sample(on_side, read_value) for side, on_side in sessions.items()}
    a, b = samples[Side.A], samples[Side.B]
    if min(a.session_count, b.session_count) == 0:
        return MetricComparison(name, math.nan, math.nan, -math.inf, math.inf, False)
    differences = sorted(
        b.resampled_percentile(rng) - a.resampled_percentile(rng) for _ in range(resamples)
    )
    tail_probability = ERROR_RATE / len(_METRICS) / 2
    low, high = (
        _quantile(differences, tail_probability),
        _quantile(differences, 1 - tail_probability),
    )
    has_enough_sessions = min(a.session_count, b.session_count) >= MIN_SESSIONS
    is_established = has_enough_sessions and (low > 0 or high < 0)
    return MetricComparison(name, a.percentile(), b.percentile(), low, high, is_established)


class _Sample:
    """Values of one metric on one side, sorted, each with the index of its session."""

    def __init__(
        self, sessions: Sequence[Sequence[Observation]], read_value: _MetricReader
    ) -> None:
        numbered_values = [
            (v, n)
            for n, observations in enumerate(sessions)
            for o in observations
            if (v := read_value(o)) is not None
        ]
        session_numbers = sorted({number for _, number in numbered_values})
        indexes = {number: index for index, number in enumerate(session_numbers)}
        self.session_count = len(session_numbers)
        self._values = sorted((v, indexes[number]) for v, number in numbered_values)

    def percentile(self) -> float:
        """Return the percentile of all values."""
        return self._weighted_percentile([1] * self.session_count)

    def resampled_percentile(self, rng: random.Random) -> float:
        """Return the percentile of one bootstrap resample of the sessions."""
        weights = [0] * self.session_count
        for _ in range(self.session_count):
            weights[int(rng.random() * self.session_count)] += 1
        return self._weighted_percentile(weights)

    def _weighted_percentile(self, weights: Sequence[int]) -> float:
        remaining = (1 - PERCENTILE) * sum(weights[index] for _, index in self._values)
        for value, index in reversed(self._values):
            remaining -= weights[index]
            if remaining < 0:
                return value
        return self._values[0][0]


def _quantile(sorted_values: Sequence[float], fraction: float) -> float:
    return sorted_values[
        min(len(sorted_values) - 1, max(0, round(fraction * (len(sorted_values) - 1))))
    ]
