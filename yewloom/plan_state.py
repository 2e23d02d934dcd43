"""What a coordinator remembers between two plans, and the orders that a plan gives."""

from dataclasses import dataclass, field

from yewloom.directory import GroupKey
from yewloom.ids import GroupId, HostId, ModelName
from yewloom.replica_orders import EngineOrder
from yewloom.schema.records_pb2 import Group, Placement
from yewloom.values import value_class

ORDER_REPEAT_S = 1.5
"""Pause before an order whose effect has not shown is given again: a listing shows an effect
within some hundred milliseconds."""


@value_class
class PlannedOrder:
    """An order to one engine."""

    engine: HostId
    address: str
    order: EngineOrder


@value_class
class OrderName:
    """An order as it is remembered: to whom, of which kind, for which group."""

    engine: HostId
    kind: str
    key: GroupKey | None


@value_class
class Staging:
    """A model that is being loaded onto a host, and since when."""

    model: ModelName
    since_s: float


@dataclass
class ReplicaPlan:
    """The next record, None if nothing changes in it, and the orders to give."""

    record: Placement | None
    orders: list[PlannedOrder]


@dataclass
class PlanState:
    """What is remembered between two plans; all of it may be lost at any time.

    ``left`` are groups whose leader confirmed that it left; ``suspects`` are hosts that did not
    answer although they are listed; ``answered_s`` tells when hosts that are not listed answered;
    ``stood_still_s`` tells when groups were reported to; ``gathered`` are hosts that were free
    before.
    """

    first_seen_s: dict[GroupKey, float] = field(default_factory=dict)
    ordered_s: dict[OrderName, float] = field(default_factory=dict)
    leaving_since_s: dict[GroupKey, float] = field(default_factory=dict)
    left: set[GroupKey] = field(default_factory=set)
    unreachable_since_s: dict[HostId, float] = field(default_factory=dict)
    staging: dict[HostId, Staging] = field(default_factory=dict)
    unlisted_since_s: dict[HostId, float] = field(default_factory=dict)
    answered_s: dict[HostId, float] = field(default_factory=dict)
    stood_still_s: dict[GroupKey, float] = field(default_factory=dict)
    suspects: set[HostId] = field(default_factory=set)
    load_times_s: list[float] = field(default_factory=list)
    gathered: set[HostId] = field(default_factory=set)
    gathered_s: float = 0.0

    def may_order(self, planned: PlannedOrder, now_s: float) -> bool:
        """Tell whether an order is due, and remember it as given if it is."""
        name = order_name(planned)
        given_s = self.ordered_s.get(name)
        if given_s is not None and now_s - given_s < ORDER_REPEAT_S:
            return False
        self.ordered_s[name] = now_s
        return True


def key_of(group: Group) -> GroupKey:
    """Return the name of one formation of a recorded group."""
    return GroupKey(GroupId(group.id), group.generation)


def order_name(planned: PlannedOrder) -> OrderName:
    """Return the name under which an order is remembered."""
    order = planned.order
    return OrderName(planned.engine, type(order).__name__, getattr(order, "key", None))
