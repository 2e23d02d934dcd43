"""How many orders each engine has taken, as far as its own answers prove it.

An order that names the count which its engine must have reached falls flat if another one came in
between. A report tells the count as it was some hundred milliseconds ago, so right behind an answer
it may still show what the answer ended; then the answer counts.
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

_TAKEN = (OrderAnswer.BEGUN, OrderAnswer.HOLDS)


@value_class
class ProvedCount:
    """The count of orders that an engine's process has taken, and its group then, if any.

    ``started_unix_ms`` is the start of the process; each counts its orders from zero.
    """

    started_unix_ms: int
    sequence: int
    group: GroupKey | None


class OrderCounts:
    """Keeps what was proved last of each engine."""

    def __init__(self) -> None:
        self._proved: dict[HostId, ProvedCount] = {}

    def clear(self) -> None:
        """Drop everything, as others may have given orders since."""
        self._proved.clear()

    def get(self, engine: HostId, started_unix_ms: int) -> ProvedCount | None:
        """Return what is proved of a process (0: of any); None if nothing."""
        known = self._proved.get(engine)
        if known is None or not is_same_process(known.started_unix_ms, started_unix_ms):
            return None
        return known

    def take_report(self, engine: HostId, report: EngineReport) -> ProvedCount:
        """Take in a report, unless an answer has proved more; return what holds now."""
        known = self.get(engine, report.started_unix_ms)
        if known is None or report.sequence > known.sequence:
            known = ProvedCount(report.started_unix_ms, report.sequence, report.group)
            self._proved[engine] = known
        return known

    def take_answer(
        self,
        engine: HostId,
        order: EngineOrder,
        expected_sequence: int | None,
        answer: OrderAnswer,
    ) -> None:
        """Take in an answer to an order that named the count which it expected, or none.

        What began raised the count. An order that holds changed nothing, but for a leave: that is
        done at once, and so raised the count if it found the engine in the group that it names. An
        order without a count may have found the engine otherwise than it was known.
        """
        known = self._proved.pop(engine, None)
        if known is None:
            return
        is_proof = answer is OrderAnswer.BEGUN or expected_sequence is not None
        if answer not in _TAKEN or not is_proof:
            return
        leaves = isinstance(order, LeaveGroup) and known.group == order.key
        is_raised = answer is OrderAnswer.BEGUN or leaves
        self._proved[engine] = ProvedCount(
            known.started_unix_ms, known.sequence + is_raised, _group_after(order, known.group)
        )


def _group_after(order: EngineOrder, group: GroupKey | None) -> GroupKey | None:
    """Return the group that an engine belongs to once it has taken an order."""
    match order:
        case JoinGroup(key=key):
            return key
        case LeaveGroup(key=key) if key == group:
            return None
    return group
