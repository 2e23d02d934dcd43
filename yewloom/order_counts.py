"""Number of orders that each engine has accepted, derived from its answers and reports.

An order that names the count expected of its engine has no effect if another order was accepted in
between. A report is a few hundred milliseconds old, so directly after an answer it may still show
the state before that answer; the answer then takes precedence.
"""

from yewloom.directory import GroupKey
from yewloom.ids import HostId
from yewloom.process_starts import is_same_process
from yewloom.replica_orders import (
    EngineOrder,
    EngineReport,
    JoinGroup,
    LeaveGroup,
    OrderAnswer,
)
from yewloom.values import value_class

_ACCEPTED = (OrderAnswer.BEGUN, OrderAnswer.HOLDS)


@value_class
class KnownCount:
    """The number of orders that an engine process has accepted, and its group after them, if any.

    ``started_unix_ms`` is the start of the process; each process counts its orders from zero.
    """

    started_unix_ms: int
    sequence: int
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
        if known is None or not is_same_process(known.started_unix_ms, started_unix_ms):
            return None
        return known

    def record_report(self, engine: HostId, report: EngineReport) -> KnownCount:
        """Record a report unless an answer is more recent; return the current count."""
        known = self.get(engine, report.started_unix_ms)
        if known is None or report.sequence > known.sequence:
            known = KnownCount(report.started_unix_ms, report.sequence, report.group)
            self._counts_by_engine[engine] = known
        return known

    def record_answer(
        self,
        engine: HostId,
        order: EngineOrder,
        expected_sequence: int | None,
        answer: OrderAnswer,
    ) -> None:
        """Record an answer to an order, which named the expected count or None.

        ``BEGUN`` means that the count was incremented. ``HOLDS`` means that nothing changed, except
        for a leave: it completes immediately, so it incremented the count if the engine was in the
        named group. Without an expected count, the engine may have been in a state other than the
        known one.
        """
        known = self._counts_by_engine.pop(engine, None)
        if known is None:
            return
        is_proof = answer is OrderAnswer.BEGUN or expected_sequence is not None
        if answer not in _ACCEPTED or not is_proof:
            return
        is_departure = isinstance(order, LeaveGroup) and known.group == order.key
        is_incremented = answer is OrderAnswer.BEGUN or is_departure
        self._counts_by_engine[engine] = KnownCount(
            known.started_unix_ms, known.sequence + is_incremented, _group_after(order, known.group)
        )


def _group_after(order: EngineOrder, group: GroupKey | None) -> GroupKey | None:
    """Return the group that an engine belongs to after it has accepted an order."""
    match order:
        case JoinGroup(key=key):
            return key
        case LeaveGroup(key=key) if key == group:
            return None
    return group
