"""Experiments: a fair split of sessions between two policies on the same groups.

A session is assigned by a keyed hash of the experiment and the session's name, so the side does
not depend on load, time or entry host.
"""

from enum import Enum

from yewloom.hashing import hash64
from yewloom.ids import PolicyName
from yewloom.schema.table_pb2 import ExperimentRow


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
