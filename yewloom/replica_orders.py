"""Orders to model engines: what the coordinator asks of them, and what their answers mean."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from yewloom.directory import GroupKey
from yewloom.ids import HostId, ModelName
from yewloom.values import value_class

REPORT_TIMEOUT_S = 0.4
"""Usual wait for an engine's report, which takes no place in its batch."""


@value_class
class JoinGroup:
    """Take part in a group; the first member leads."""

    key: GroupKey
    model: ModelName
    members: Sequence[HostId]


@value_class
class OpenGroup:
    """Take requests; for the leader of a group whose members are all ready."""

    key: GroupKey


@value_class
class CloseGroup:
    """Take no more requests and finish those that run; for the leader."""

    key: GroupKey


@value_class
class LeaveGroup:
    """Belong to the group no more, at once."""

    key: GroupKey


@value_class
class StageModel:
    """Load a model's weights onto the host beside everything else."""

    model: ModelName


EngineOrder = JoinGroup | OpenGroup | CloseGroup | LeaveGroup | StageModel


class OrderAnswer(Enum):
    """What an engine made of an order.

    ``BEGUN``: it changes the engine's state. ``HOLDS``: the state was as ordered already.
    ``OUT_OF_DATE``: it does not fit the engine's state, or other orders came in between.
    ``OTHER_ENGINE``: the address belongs to another endpoint now. ``UNREACHABLE``: nothing was
    sent. ``UNKNOWN``: it may have been taken, or may still be carried out.
    """

    BEGUN = "begun"
    HOLDS = "holds"
    OUT_OF_DATE = "out_of_date"
    OTHER_ENGINE = "other_engine"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@value_class
class EngineReport:
    """What an engine says of itself.

    ``sequence`` counts the orders that it has taken, ``started_unix_ms`` tells when its process
    started (0 if it does not say), ``group`` which group it belongs to, None for none, and
    ``is_busy`` whether it carries out an order. All of it is as some hundred milliseconds ago.
    """

    sequence: int
    started_unix_ms: int = 0
    group: GroupKey | None = None
    is_busy: bool = False


class EngineOrders(Protocol):
    """Sends orders to engines."""

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_sequence: int | None
    ) -> OrderAnswer:
        """Give one order; it counts only if the engine has taken ``expected_sequence`` so far."""
        ...

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Ask an engine of itself; None if it does not answer in time."""
        ...
