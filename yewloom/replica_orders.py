"""Orders from the coordinator to model engines, and the meaning of their answers."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from yewloom.directory import GroupKey
from yewloom.ids import HostId, ModelName
from yewloom.values import value_class

REPORT_TIMEOUT_S = 0.4
"""Default time-out for an engine's report. It can be short, as an engine reports without a slot in
its batch of requests."""


@value_class
class JoinGroup:
    """Join a group; the first member is the leader."""

    key: GroupKey
    model: ModelName
    members: Sequence[HostId]


@value_class
class OpenGroup:
    """Accept requests; sent to the leader of a group whose members are all ready."""

    key: GroupKey


@value_class
class CloseGroup:
    """Accept no more requests and finish the running ones; sent to the leader."""

    key: GroupKey


@value_class
class LeaveGroup:
    """Leave the group immediately."""

    key: GroupKey


@value_class
class StageModel:
    """Load a model's weights onto the host in the background."""

    model: ModelName


EngineOrder = JoinGroup | OpenGroup | CloseGroup | LeaveGroup | StageModel


class OrderAnswer(Enum):
    """Outcome of an order.

    ``STARTED``: the engine is changing its state. ``UNCHANGED``: the state was already as ordered.
    ``REFUSED``: the order does not match the engine's state or its order count.
    ``WRONG_ENGINE``: the address now belongs to another endpoint. ``UNREACHABLE``: nothing was
    sent. ``UNKNOWN``: the order may have been accepted, or may still be executed.
    """

    STARTED = "begun"
    UNCHANGED = "holds"
    REFUSED = "out_of_date"
    WRONG_ENGINE = "other_engine"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@value_class
class EngineReport:
    """An engine's report of its own state, which is a few hundred milliseconds old.

    ``order_count`` is the number of orders that it has accepted, ``started_unix_ms`` the start of
    its process (0 if unknown), and ``group`` the group that it belongs to, if any. ``is_busy``
    means that it is executing an order.
    """

    order_count: int
    started_unix_ms: int = 0
    group: GroupKey | None = None
    is_busy: bool = False


class EngineOrders(Protocol):
    """Sends orders to engines."""

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_order_count: int | None
    ) -> OrderAnswer:
        """Send one order; it takes effect only if the engine's count is ``expected_order_count``.

        None sends the order unconditionally.
        """
        ...

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Query an engine's report; return None if it does not answer in time."""
        ...
