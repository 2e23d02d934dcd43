"""Number of orders that each engine has accepted, derived from its answers and reports.

An order that names the count expected of its engine has no effect if another order was accepted in
between. A report is a few hundred milliseconds old, so directly after an answer it may still show
the state before that answer; the answer then takes precedence.
"""

from yewloom.directory import GroupKey
from yewloom.ids import HostId
from yewloom.process_starts import may_be_same_process
from yewloom.replica_orders import (
    EngineOrder,
    EngineReport,
    JoinGroup,
    LeaveGroup,
    OrderAnswer,
)
from yewloom.values import value_class

_ACCEPTED = (OrderAnswer.STARTED, OrderAnswer.UNCHANGED)


@value_class
class KnownCount:
    """The number of orders that an engine process has accepted, and its group after them, if any.

    ``started_unix_ms`` is the start of the process; each process counts its orders from zero.
    """

    started_unix_ms: int
    order_count: int
    group: GroupKey | None


class OrderCounts:
    """Holds the last known order count of each engine."""

    def __init__(self) -> None:
        self._counts_by_engine: dict[HostId, KnownCount] = {}

    def clear(self) -> None:
        """Discard all counts, as another coordinator may have sent orders."""
        self._counts_by_engine.clear()

    def get(self, engine: HostId, started_unix_ms: int) -> KnownCount | None:
        """Return the known count of a process (0 for any process), or None if unknown."""
        known = self._counts_by_engine.get(engine)
        if known is None or not may_be_same_process(known.started_unix_ms, started_unix_ms):
            return None
        return known

    def record_report(self, engine: HostId, report: EngineReport) -> KnownCount:
        """Record a report unless an answer is more recent; return the current count."""
        known = self.get(engine, report.started_unix_ms)
        if known is None or report.order_count > known.order_count:
            known = KnownCount(report.started_unix_ms, report.order_count, report.group)
            self._counts_by_engine[engine] = known
        return known

    def record_answer(
        self,
        engine: HostId,
        order: EngineOrder,
        expected_order_count: int | None,
        answer: OrderAnswer,
    ) -> None:
        """Record an answer to an order, which named the expected count or None.

        ``STARTED`` means that the count was incremented. ``UNCHANGED`` means that nothing changed,
        except after an order to leave: leaving completes immediately, so the order incremented the
        count if the engine was in the named group. Without an expected count, the engine may have
        been in a state other than the known one.
        """
        known = self._counts_by_engine.pop(engine, None)
        if known is None:
            return
        is_conclusive = answer is OrderAnswer.STARTED or expected_order_count is not None
        if answer not in _ACCEPTED or not is_conclusive:
            return
        is_departure = isinstance(order, LeaveGroup) and known.group == order.key
        is_incremented = answer is OrderAnswer.STARTED or is_departure
        self._counts_by_engine[engine] = KnownCount(
            known.started_unix_ms,
            known.order_count + is_incremented,
            _group_after(order, known.group),
        )


def _group_after(order: EngineOrder, group: GroupKey | None) -> GroupKey | None:
    """Return the group that an engine belongs to after it has accepted an order."""
    match order:
        case JoinGroup(key=key):
            return key
        case LeaveGroup(key=key) if key == group:
            return None
    return group
