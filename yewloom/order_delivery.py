"""Delivery of the coordinator's orders to engines, and evaluation of their answers.

An engine is ordered to join a group only after it has reported that it belongs to no other group.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

import structlog
import trio

from yewloom.background import BackgroundTasks
from yewloom.directory import GroupKey
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import HostId
from yewloom.order_counts import KnownCount, OrderCounts
from yewloom.plan_state import Departure, PlannedOrder, PlanState
from yewloom.process_starts import may_be_same_process
from yewloom.replica_orders import (
    REPORT_TIMEOUT_S,
    EngineOrders,
    EngineReport,
    JoinGroup,
    LeaveGroup,
    OrderAnswer,
    StageModel,
)

logger = structlog.get_logger(__name__)

_UNANSWERED = (OrderAnswer.UNREACHABLE, OrderAnswer.UNKNOWN)
_HAS_LEFT = (OrderAnswer.STARTED, OrderAnswer.UNCHANGED, OrderAnswer.WRONG_ENGINE)
"""Answers to an order to leave after which the engine no longer belongs to the group."""

STALE_REPORT_PAUSES_S = (0.1, 0.2, 0.4)
"""Pauses between queries of an engine whose report is older than its last answer to an order."""

JOIN_REPORT_TIMEOUT_S = 2.0
"""Longest wait for the report of an engine that is to join a group. Without a report the engine
cannot join, so slow engines are given time."""


class _OrderNotSentError(Exception):
    """An order cannot be sent now; the message states the reason."""


class _NoReportError(_OrderNotSentError):
    """An engine did not return a report."""


class OrderDelivery:
    """Sends orders, with the number of orders that the engine must have accepted before."""

    def __init__(
        self,
        engine_orders: EngineOrders,
        state: PlanState,
        metrics: ForwardMetrics,
        on_departure: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialize; ``on_departure`` is called when an engine confirmed that it left a group."""
        self._on_departure = on_departure
        self._engine_orders = engine_orders
        self._state = state
        self._metrics = metrics
        self._counts = OrderCounts()

    def clear_order_counts(self) -> None:
        """Discard the known order counts, as another coordinator may have sent orders."""
        self._counts.clear()

    def send_all(self, orders: Iterable[PlannedOrder], tasks: BackgroundTasks) -> None:
        """Send all orders concurrently without waiting for the answers.

        If an order to the same engine is still in progress, the next plan sends this one again.
        """
        for order in orders:
            if not tasks.start(order.engine, partial(self._deliver_order, order)):
                self._state.reschedule(order)

    async def _deliver_order(self, planned: PlannedOrder) -> None:
        try:
            expected_order_count = await self._expected_count_for(planned)
        except _OrderNotSentError as error:
            logger.info("order not sent", engine=planned.engine, reason=str(error))
            self._state.reschedule(planned)
            return
        answer = await self._send(planned, expected_order_count)
        if answer is OrderAnswer.REFUSED and isinstance(planned.order, LeaveGroup):
            # Leaving affects no other group, so it is safe to send without a count.
            await self._send(planned, None)

    async def _send(self, planned: PlannedOrder, expected_order_count: int | None) -> OrderAnswer:
        """Send an order and record the outcome."""
        answer = await self._engine_orders.send(
            planned.engine, planned.address, planned.order, expected_order_count
        )
        self._counts.record_answer(planned.engine, planned.order, expected_order_count, answer)
        self._record_acceptance(planned, answer)
        self._metrics.on_order(type(planned.order).__name__, answer.value)
        logger.info("order", engine=planned.engine, order=str(planned.order), answer=answer.value)
        self._record_reachability(planned.engine, answer)
        if isinstance(planned.order, LeaveGroup) and answer in _HAS_LEFT:
            self._state.departures.add(Departure(planned.engine, planned.order.key))
            self._on_departure()
        return answer

    async def _expected_count_for(self, planned: PlannedOrder) -> int | None:
        """Return the number of orders that the engine must have accepted before this one, if any.

        Raises _OrderNotSentError if the engine does not report it, does not leave its previous
        group, or is no longer the process that the order is meant for.

        Orders to open, close or leave a group are safe without a count, as they affect no other
        group. An order to leave includes the count if it is known, because the answer then
        determines the next count.
        """
        match planned.order:
            case JoinGroup(key=key):
                return await self._expected_count_to_join(planned, key)
            case StageModel():
                return await self._expected_count_to_load(planned)
            case LeaveGroup(key=key):
                known = self._counts.get(planned.engine, planned.started_unix_ms)
                return known.order_count if known is not None and known.group == key else None
        return None

    async def _expected_count_to_load(self, planned: PlannedOrder) -> int | None:
        """Return the count of an engine that is to load weights, or None if it does not report.

        The order is sent even without a count: a load that may start twice does less harm than one
        that is planned repeatedly and uses up the rate limit of other loads each time. An engine
        that still executes an order of an earlier coordinator is not interrupted.
        """
        known = self._counts.get(planned.engine, planned.started_unix_ms)
        if known is not None:
            return known.order_count
        try:
            report = await self._report(planned, REPORT_TIMEOUT_S)
        except _NoReportError:
            return None
        if report.is_busy:
            self._state.record_busy(planned.engine, trio.current_time())
            raise _OrderNotSentError("engine is executing another order")
        return self._counts.record_report(planned.engine, report).order_count

    async def _expected_count_to_join(self, planned: PlannedOrder, key: GroupKey) -> int:
        """Return the count of an engine, after making sure that it is in no group but ``key``.

        A join replaces the engine's current membership even if that group is serving. Listings and
        other engines may be outdated or wrong, so the engine itself is queried each time and leaves
        a previous group by a separate order; the count shows that no order came in between. This
        costs one query and at most one additional order per join.
        """
        current = await self._fresh_count(planned)
        if current.group is None or current.group == key:
            return current.order_count
        leave = LeaveGroup(current.group)
        answer = await self._send(replace(planned, order=leave), current.order_count)
        after_leave = self._counts.get(planned.engine, planned.started_unix_ms)
        if after_leave is None or after_leave.group is not None:
            raise _OrderNotSentError(f"engine did not leave {current.group}: {answer.value}")
        return after_leave.order_count

    async def _fresh_count(self, planned: PlannedOrder) -> KnownCount:
        """Query an engine until its report is at least as recent as its answers to orders."""
        for pause_s in STALE_REPORT_PAUSES_S:
            report = await self._report(planned, JOIN_REPORT_TIMEOUT_S)
            current = self._counts.record_report(planned.engine, report)
            if current.group is None or not self._state.has_left(planned.engine, current.group):
                break
            await trio.sleep(pause_s)
        return current

    async def _report(self, planned: PlannedOrder, timeout_s: float) -> EngineReport:
        """Query an engine's report; raise _OrderNotSentError if there is none that can be used.

        The subclass _NoReportError means that the engine did not answer.
        """
        report = await self._engine_orders.read_report(planned.address, timeout_s)
        if report is None:
            raise _NoReportError("engine does not answer")
        if not may_be_same_process(planned.started_unix_ms, report.started_unix_ms):
            raise _OrderNotSentError("engine process was restarted")
        return report

    def _record_acceptance(self, planned: PlannedOrder, answer: OrderAnswer) -> None:
        """Record whether an engine accepted an order; a refused order is scheduled again."""
        if answer is OrderAnswer.REFUSED:
            self._state.record_refused(planned, trio.current_time())
        else:
            self._state.record_accepted(planned)

    def _record_reachability(self, engine: HostId, answer: OrderAnswer) -> None:
        if answer in _UNANSWERED:
            self._state.unresponsive.add(engine)
        else:
            self._state.unresponsive.discard(engine)
