"""Comparison of the two sides of an experiment, with confidence intervals.

Requests of one session share a side and a fate, so intervals come from a bootstrap over sessions.
The two metrics share the stated error rate between them.
"""

import math
import random
from collections.abc import Callable, Sequence

from yewloom.experiments import ExperimentRecord, Observation, Side
from yewloom.states import Outcome
from yewloom.values import value_class

ERROR_RATE = 0.05
"""Share of comparisons of equal policies that may find a difference."""

RESAMPLES = 400
PERCENTILE = 0.95
MIN_SESSIONS = 30
"""Sessions a side below which no difference counts as established."""

MAX_IMBALANCE = 3.0
"""Standard deviations by which the split may miss its share."""

_Value = Callable[[Observation], float | None]
_METRICS: dict[str, _Value] = {
    "first token": lambda observation: observation.first_token_ms,
    "between tokens": lambda observation: observation.between_tokens_ms,
}


@value_class
class MetricComparison:
    """One metric: the 95th percentile of each side, and the interval of B less A, in ms."""

    metric: str
    a_ms: float
    b_ms: float
    low_ms: float
    high_ms: float
    is_established: bool

    @property
    def verdict(self) -> str:
        """Say in words what is known."""
        if not self.is_established:
            return "the difference is not established"
        return "B is slower" if self.low_ms > 0 else "B is faster"


@value_class
class Comparison:
    """Both sides: requests by outcome, sessions sampled, balance of the split, and the metrics."""

    counts: dict[Side, dict[Outcome, int]]
    sessions: dict[Side, int]
    imbalance: float
    metrics: tuple[MetricComparison, ...]

    @property
    def is_balanced(self) -> bool:
        """Tell whether the split fits its share."""
        return abs(self.imbalance) <= MAX_IMBALANCE


def compare(
    record: ExperimentRecord, share_b: float, rng: random.Random, resamples: int = RESAMPLES
) -> Comparison:
    """Compare the sides of an experiment; ``share_b`` is the share of sessions on side B."""
    sessions = {side: _sessions_of(record, side) for side in Side}
    sizes = {side: len(found) for side, found in sessions.items()}
    metrics = tuple(
        _compare_metric(name, value, sessions, rng, resamples) for name, value in _METRICS.items()
    )
    counts = {
        side: {outcome: record.counts[(side, outcome)] for outcome in Outcome} for side in Side
    }
    return Comparison(counts, sizes, _imbalance(sizes, share_b), metrics)


def _sessions_of(record: ExperimentRecord, side: Side) -> list[list[Observation]]:
    found = ([o for o in record.sample[p] if o.side is side] for p in sorted(record.sample))
    return [observations for observations in found if observations]


def _imbalance(sizes: dict[Side, int], share_b: float) -> float:
    """Return by how many standard deviations side B misses its share."""
    total = sizes[Side.A] + sizes[Side.B]
    deviation = math.sqrt(total * share_b * (1 - share_b))
    return (sizes[Side.B] - total * share_b) / deviation if deviation else 0.0


def _compare_metric(
    name: str,
    value: _Value,
    sessions: dict[Side, list[list[Observation]]],
    rng: random.Random,
    resamples: int,
) -> MetricComparison:
    samples = {side: _Sample(found, value) for side, found in sessions.items()}
    a, b = samples[Side.A], samples[Side.B]
    if min(a.size, b.size) == 0:
        return MetricComparison(name, math.nan, math.nan, -math.inf, math.inf, False)
    drawn = sorted(b.draw(rng) - a.draw(rng) for _ in range(resamples))
    tail = ERROR_RATE / len(_METRICS) / 2
    low, high = _quantile(drawn, tail), _quantile(drawn, 1 - tail)
    is_enough = min(a.size, b.size) >= MIN_SESSIONS
    is_established = is_enough and (low > 0 or high < 0)
    return MetricComparison(name, a.percentile(), b.percentile(), low, high, is_established)


class _Sample:
    """The values of one side, by session, in order of size."""

    def __init__(self, sessions: Sequence[Sequence[Observation]], value: _Value) -> None:
        pairs = [(v, n) for n, os in enumerate(sessions) for o in os if (v := value(o)) is not None]
        names = sorted({number for _, number in pairs})
        places = {number: place for place, number in enumerate(names)}
        self.size = len(names)
        self._values = sorted((v, places[number]) for v, number in pairs)

    def percentile(self) -> float:
        """Return the percentile of all values."""
        return self._weighted([1] * self.size)

    def draw(self, rng: random.Random) -> float:
        """Return the percentile of a resample of the sessions."""
        weights = [0] * self.size
        for _ in range(self.size):
            weights[int(rng.random() * self.size)] += 1
        return self._weighted(weights)

    def _weighted(self, weights: Sequence[int]) -> float:
        left = (1 - PERCENTILE) * sum(weights[place] for _, place in self._values)
        for value, place in reversed(self._values):
            left -= weights[place]
            if left < 0:
                return value
        return self._values[0][0]


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, max(0, round(share * (len(ordered) - 1))))]
