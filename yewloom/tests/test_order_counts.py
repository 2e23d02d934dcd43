"""Tests of what answers and reports prove of the orders that an engine has taken."""

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
    """Counts follow from answers, and a report that is older than an answer tells nothing."""

    def setUp(self) -> None:
        self.counts = OrderCounts()

    def _report(self, sequence: int, group: GroupKey | None) -> KnownCount:
        return self.counts.record_report(ENGINE, EngineReport(sequence, START_MS, group))

    def _after(
        self, order: EngineOrder, expected: int | None, answer: OrderAnswer
    ) -> KnownCount | None:
        """Return what is proved by an answer of an engine that had taken 3 orders."""
        self.setUp()
        self._report(3, OLD)
        self.counts.record_answer(ENGINE, order, expected, answer)
        return self.counts.get(ENGINE, START_MS)

    def test_a_leave_that_is_done_counts_whatever_its_answer_calls_it(self) -> None:
        for answer in (OrderAnswer.BEGUN, OrderAnswer.HOLDS):
            left = self._after(LeaveGroup(OLD), 3, answer)
            self.assertEqual(left, KnownCount(START_MS, 4, None))

    def test_a_leave_of_another_group_that_holds_changed_nothing(self) -> None:
        left = self._after(LeaveGroup(NEW), 3, OrderAnswer.HOLDS)
        self.assertEqual(left, KnownCount(START_MS, 3, OLD))

    def test_what_begins_counts(self) -> None:
        self.assertEqual(self._after(JOIN, 3, OrderAnswer.BEGUN), KnownCount(START_MS, 4, NEW))
        for order in (OpenGroup(OLD), CloseGroup(OLD), StageModel(SMALL)):
            begun = self._after(order, None, OrderAnswer.BEGUN)
            self.assertEqual(begun, KnownCount(START_MS, 4, OLD))

    def test_an_answer_that_proves_no_count_leaves_none(self) -> None:
        for answer in set(OrderAnswer) - {OrderAnswer.BEGUN, OrderAnswer.HOLDS}:
            self.assertIsNone(self._after(JOIN, 3, answer), answer)
        self.assertIsNone(self._after(LeaveGroup(OLD), None, OrderAnswer.HOLDS))

    def test_a_report_that_is_older_than_an_answer_tells_nothing(self) -> None:
        self._report(3, OLD)
        self.counts.record_answer(ENGINE, LeaveGroup(OLD), 3, OrderAnswer.HOLDS)
        self.assertEqual(self._report(3, OLD), KnownCount(START_MS, 4, None))
        self.assertEqual(self._report(5, NEW), KnownCount(START_MS, 5, NEW))

    def test_another_process_counts_from_zero(self) -> None:
        self._report(3, OLD)
        self.assertIsNone(self.counts.get(ENGINE, START_MS + 1))
        fresh = self.counts.record_report(ENGINE, EngineReport(0, START_MS + 1, None))
        self.assertEqual(fresh, KnownCount(START_MS + 1, 0, None))
