"""Experiments that split sessions at random between two policies on the same groups.

The side of a session is derived from a salted hash of the experiment and the session name.
Therefore it does not depend on load, time or entry host. Every entry host counts all requests, and
keeps the individual observations of the sessions with the lowest hashes, so that the samples of
several entry hosts can be merged without bias.
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

MAX_SAMPLED_SESSIONS = 1000
"""Maximum number of sessions of an experiment whose observations an entry host keeps."""


class Side(Enum):
    """Side of an experiment."""

    A = "a"
    B = "b"


def assign_side(name: str, row: ExperimentRow, session: str) -> Side:
    """Return the side that a session is assigned to."""
    fraction = hash64(f"{name}\0{row.salt}\0{session}") / 2**64
    return Side.B if fraction < row.share_b else Side.A


def policy_for_side(side: Side, row: ExperimentRow) -> PolicyName:
    """Return the policy that routes the requests of a side."""
    return PolicyName(row.policy_b if side is Side.B else row.policy_a)


@value_class
class Observation:
    """Measurements of one request; a time is None if there were too few tokens to measure it."""

    side: Side
    outcome: Outcome
    first_token_ms: float | None
    between_tokens_ms: float | None


@dataclass
class ExperimentRecord:
    """Counts and sampled observations of one experiment.

    ``sample`` maps the hash of a session to its observations. It is complete for all hashes up to
    ``threshold``.
    """

    counts: Counter[tuple[Side, Outcome]] = field(default_factory=Counter)
    sample: defaultdict[int, list[Observation]] = field(default_factory=lambda: defaultdict(list))
    threshold: int = 2**64

    def add(self, session: str, observation: Observation) -> None:
        """Add one request."""
        self.counts[(observation.side, observation.outcome)] += 1
        session_hash = hash64(f"sample\0{session}")
        if session_hash > self.threshold:
            return
        self.sample[session_hash].append(observation)
        if len(self.sample) > MAX_SAMPLED_SESSIONS:
            self._lower_threshold(max(self.sample) - 1)

    def merge(self, other: "ExperimentRecord") -> None:
        """Merge the record of another entry host into this one."""
        self.counts += other.counts
        for session_hash, observations in other.sample.items():
            self.sample[session_hash] += observations
        self._lower_threshold(min(self.threshold, other.threshold))

    def to_fields(self) -> dict[str, Any]:
        """Return the record as JSON fields."""
        counts = {f"{side.value} {o.value}": n for (side, o), n in self.counts.items()}
        sample = {
            str(session_hash): [_observation_fields(o) for o in observations]
            for session_hash, observations in self.sample.items()
        }
        return {"counts": counts, "sample": sample, "threshold": str(self.threshold)}

    def _lower_threshold(self, threshold: int) -> None:
        self.threshold = threshold
        for session_hash in [
            session_hash for session_hash in self.sample if session_hash > threshold
        ]:
            del self.sample[session_hash]


def record_from_fields(fields: Mapping[str, Any]) -> ExperimentRecord:
    """Decode a record from its JSON fields; raise KeyError or ValueError if they are invalid."""
    record = ExperimentRecord(threshold=int(fields["threshold"]))
    for label, count in fields["counts"].items():
        side, outcome = label.split()
        record.counts[(Side(side), Outcome(outcome))] = int(count)
    for session_hash, observations in fields["sample"].items():
        record.sample[int(session_hash)] = [
            _observation_from_fields(entry) for entry in observations
        ]
    return record


def merge_records(records: Iterable[ExperimentRecord]) -> ExperimentRecord:
    """Merge the records of several entry hosts."""
    merged = ExperimentRecord()
    for record in records:
        merged.merge(record)
    return merged


def _observation_fields(observation: Observation) -> list[Any]:
    return [
        observation.side.value,
        observation.outcome.value,
        observation.first_token_ms,
        observation.between_tokens_ms,
    ]


def _observation_from_fields(entry: list[Any]) -> Observation:
    side, outcome, first_token_ms, between_tokens_ms = entry
    return Observation(Side(side), Outcome(outcome), first_token_ms, between_tokens_ms)
