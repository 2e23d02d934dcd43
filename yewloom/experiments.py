"""Experiments: a fair split of sessions between two policies on the same groups.

A session is assigned by a keyed hash of the experiment and the session's name, so the side does
not depend on load, time or entry host. Every entry host keeps counts of all requests, and the
single observations of the sessions with the lowest hashes, so that the samples of several entry
hosts can be joined without favouring any.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from yewloom.hashing import hash64
from yewloom.ids import PolicyName
from yewloom.schema.table_pb2 import ExperimentRow
from yewloom.states import Outcome
from yewloom.values import value_class

MAX_SESSIONS = 1000
"""Sessions whose single observations an entry host keeps for one experiment."""


class Side(Enum):
    """Side of an experiment."""

    A = "a"
    B = "b"


def assign_side(name: str, row: ExperimentRow, session: str) -> Side:
    """Return the side of a session."""
    point = hash64(f"{name}\0{row.salt}\0{session}") / 2**64
    return Side.B if point < row.share_b else Side.A


def policy_of(side: Side, row: ExperimentRow) -> PolicyName:
    """Return the policy that routes a side's requests."""
    return PolicyName(row.policy_b if side is Side.B else row.policy_a)


@value_class
class Observation:
    """One request; times in milliseconds, None where there was no token to take them from."""

    side: Side
    outcome: Outcome
    first_token_ms: float | None
    between_tokens_ms: float | None


@dataclass
class ExperimentRecord:
    """What was observed of one experiment.

    ``sample`` holds the observations of each session by the session's hash; it is whole for all
    hashes up to ``threshold``.
    """

    counts: Counter[tuple[Side, Outcome]] = field(default_factory=Counter)
    sample: defaultdict[int, list[Observation]] = field(default_factory=lambda: defaultdict(list))
    threshold: int = 2**64

    def add(self, session: str, observation: Observation) -> None:
        """Take in one request."""
        self.counts[(observation.side, observation.outcome)] += 1
        point = hash64(f"sample\0{session}")
        if point > self.threshold:
            return
        self.sample[point].append(observation)
        if len(self.sample) > MAX_SESSIONS:
            self._lower_threshold(max(self.sample) - 1)

    def join(self, other: "ExperimentRecord") -> None:
        """Take in another entry host's record."""
        self.counts += other.counts
        for point, observations in other.sample.items():
            self.sample[point] += observations
        self._lower_threshold(min(self.threshold, other.threshold))

    def to_fields(self) -> dict[str, Any]:
        """Return the record as JSON fields."""
        counts = {f"{side.value} {o.value}": n for (side, o), n in self.counts.items()}
        sample = {str(p): [_observation_fields(o) for o in os] for p, os in self.sample.items()}
        return {"counts": counts, "sample": sample, "threshold": str(self.threshold)}

    def _lower_threshold(self, threshold: int) -> None:
        self.threshold = threshold
        for point in [point for point in self.sample if point > threshold]:
            del self.sample[point]


def record_from(fields: Mapping[str, Any]) -> ExperimentRecord:
    """Return a record from its JSON fields; raises KeyError or ValueError if they are not one."""
    record = ExperimentRecord(threshold=int(fields["threshold"]))
    for words, count in fields["counts"].items():
        side, outcome = words.split()
        record.counts[(Side(side), Outcome(outcome))] = int(count)
    for point, observations in fields["sample"].items():
        record.sample[int(point)] = [_observation_from(entry) for entry in observations]
    return record


def join_records(records: Iterable[ExperimentRecord]) -> ExperimentRecord:
    """Return the records of several entry hosts as one."""
    joined = ExperimentRecord()
    for record in records:
        joined.join(record)
    return joined


def _observation_fields(observation: Observation) -> list[Any]:
    return [
        observation.side.value,
        observation.outcome.value,
        observation.first_token_ms,
        observation.between_tokens_ms,
    ]


def _observation_from(entry: list[Any]) -> Observation:
    side, outcome, first_token_ms, between_tokens_ms = entry
    return Observation(Side(side), Outcome(outcome), first_token_ms, between_tokens_ms)
