"""Tests of how order counts of engines are derived from answers and reports."""

import unittest

from yewloom.directory import GroupKey
from yewloom.ids import GroupId, HostId
from yewloom.order_counts import KnownCount, OrderCounts
from yewloom.replica_orders import (
    CloseGroup,
    EngineOrder,
    EngineReport,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    OrderAnswer,
    StageModel,
)
from yewloom.tests.entry_support import SMALL

ENGINE = HostId("a")
START_MS = 7
OLD, NEW = GroupKey(GroupId("old"), 1), GroupKey(GroupId("new"), 2)
JOIN = JoinGroup(NEW, SMALL, [ENGINE])


class TestOrderCounts(unittest.TestCase):
    """Counts are updated by answers, and reports that are older than an answer are ignored."""

    def setUp(self) -> None:
        self.counts = OrderCounts()

    def _report(self, order_count: int, group: GroupKey | None) -> KnownCount:
        return self.counts.record_report(ENGINE, EngineReport(order_count, START_MS, group))

    def _after(
        self, order: EngineOrder, expected: int | None, answer: OrderAnswer
    ) -> KnownCount | None:
        """Return the known count after an answer of an engine that had accepted 3 orders."""
        self.setUp()
        self._report(3, OLD)
        self.counts.record_answer(ENGINE, order, expected, answer)
        return self.counts.get(ENGINE, START_MS)

    def test_leave_is_counted_whichever_answer_confirms_it(self) -> None:
        for answer in (OrderAnswer.STARTED, OrderAnswer.UNCHANGED):
            left = self._after(LeaveGroup(OLD), 3, answer)
            self.assertEqual(left, KnownCount(START_MS, 4, None))

    def test_leave_of_another_group_is_not_counted(self) -> None:
        left = self._after(LeaveGroup(NEW), 3, OrderAnswer.UNCHANGED)
        self.assertEqual(left, KnownCount(START_MS, 3, OLD))

    def test_order_that_has_begun_is_counted(self) -> None:
        self.assertEqual(self._after(JOIN, 3, OrderAnswer.STARTED), KnownCount(START_MS, 4, NEW))
        for order in (OpenGroup(OLD), CloseGroup(OLD), StageModel(SMALL)):
            begun = self._after(order, None, OrderAnswer.STARTED)
            self.assertEqual(begun, KnownCount(START_MS, 4, OLD))

    def test_count_is_unknown_after_an_inconclusive_answer(self) -> None:
        for answer in set(OrderAnswer) - {OrderAnswer.STARTED, OrderAnswer.UNCHANGED}:
            self.assertIsNone(self._after(JOIN, 3, answer), answer)
        self.assertIsNone(self._after(LeaveGroup(OLD), None, OrderAnswer.UNCHANGED))

    def test_report_older_than_an_answer_is_ignored(self) -> None:
        self._report(3, OLD)
        self.counts.record_answer(ENGINE, LeaveGroup(OLD), 3, OrderAnswer.UNCHANGED)
        self.assertEqual(self._report(3, OLD), KnownCount(START_MS, 4, None))
        self.assertEqual(self._report(5, NEW), KnownCount(START_MS, 5, NEW))

    def test_new_process_counts_from_zero(self) -> None:
        self._report(3, OLD)
        self.assertIsNone(self.counts.get(ENGINE, START_MS + 1))
        fresh = self.counts.record_report(ENGINE, EngineReport(0, START_MS + 1, None))
        self.assertEqual(fresh, KnownCount(START_MS + 1, 0, None))
