"""Giving the coordinator's orders to engines, and noting what their answers tell.

An engine is joined to a group only after its own word that it belongs to no other one.
"""

from collections.abc import Iterable
from dataclasses import replace
from functools import partial

import structlog
import trio

from yewloom.background import BackgroundTasks
from yewloom.directory import GroupKey
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import HostId
from yewloom.order_counts import OrderCounts, ProvedCount
from yewloom.plan_state import Departure, PlannedOrder, PlanState
from yewloom.process_starts import is_same_process
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

_NO_ANSWER = (OrderAnswer.UNREACHABLE, OrderAnswer.UNKNOWN)
_HAS_LEFT = (OrderAnswer.BEGUN, OrderAnswer.HOLDS, OrderAnswer.OTHER_ENGINE)
"""Answers after which an engine told to leave a group belongs to it no more."""

STALE_PAUSES_S = (0.1, 0.2, 0.4)
"""Pauses between questions to an engine whose report is older than its own answer to an order."""

JOIN_REPORT_TIMEOUT_S = 2.0
"""Longest wait for the report of an engine that is to be joined. Without it there is no join, so a
slow engine is waited for."""


class _NotGivenError(Exception):
    """An order can't be given as things stand; its text tells why."""


class _SilentError(_NotGivenError):
    """An engine says nothing of itself."""


class OrderDelivery:
    """Gives orders, each with the count of orders that its engine must have taken before."""

    def __init__(
        self, engine_orders: EngineOrders, state: PlanState, metrics: ForwardMetrics
    ) -> None:
        self._engine_orders = engine_orders
        self._state = state
        self._metrics = metrics
        self._counts = OrderCounts()

    def forget_sequences(self) -> None:
        """Drop what is known of the engines' counts, as others may have given orders since."""
        self._counts.clear()

    def give(self, orders: Iterable[PlannedOrder], tasks: BackgroundTasks) -> None:
        """Give all orders at once, and wait for none of the answers.

        An engine that is busy with an order gets no other one: the next plan gives it again.
        """
        for order in orders:
            if not tasks.start(order.engine, partial(self._give_one, order)):
                self._state.plan_again(order)

    async def _give_one(self, planned: PlannedOrder) -> None:
        try:
            sequence = await self._sequence_for(planned)
        except _NotGivenError as error:
            logger.info("order not given", engine=planned.engine, reason=str(error))
            self._state.plan_again(planned)
            return
        answer = await self._send(planned, sequence)
        if answer is OrderAnswer.OUT_OF_DATE and isinstance(planned.order, LeaveGroup):
            # It affects no other group, so it need not wait until the count is known.
            await self._send(planned, None)

    async def _send(self, planned: PlannedOrder, sequence: int | None) -> OrderAnswer:
        """Send an order, and note what its answer tells."""
        answer = await self._engine_orders.send(
            planned.engine, planned.address, planned.order, sequence
        )
        self._counts.take_answer(planned.engine, planned.order, sequence, answer)
        self._note_effect(planned, answer)
        self._metrics.on_order(type(planned.order).__name__, answer.value)
        logger.info("order", engine=planned.engine, order=str(planned.order), answer=answer.value)
        self._note_reach(planned.engine, answer)
        if isinstance(planned.order, LeaveGroup) and answer in _HAS_LEFT:
            self._state.left.add(Departure(planned.engine, planned.order.key))
        return answer

    async def _sequence_for(self, planned: PlannedOrder) -> int | None:
        """Return the count of orders that the engine must have taken for an order to hold.

        Raises _NotGivenError if the engine does not say, or does not leave its former group, or if
        the process has ended that the order is meant for.

        Orders that name a group are safe without: they affect no other group. A leave names the
        count where that is known, since its answer then proves the next one.
        """
        match planned.order:
            case JoinGroup(key=key):
                return await self._sequence_outside(planned, key)
            case StageModel():
                return await self._sequence_to_load(planned)
            case LeaveGroup(key=key):
                known = self._counts.get(planned.engine, planned.started_unix_ms)
                return known.sequence if known is not None and known.group == key else None
        return None

    async def _sequence_to_load(self, planned: PlannedOrder) -> int | None:
        """Return the count of an engine that is to load weights; None if it does not say.

        Such an order is given all the same: a load that may begin twice does less harm than one
        that is planned again and again, and takes the place of others each time. An engine that is
        at work on a load of an earlier coordinator is left to that.
        """
        known = self._counts.get(planned.engine, planned.started_unix_ms)
        if known is not None:
            return known.sequence
        try:
            report = await self._report(planned, REPORT_TIMEOUT_S)
        except _SilentError:
            return None
        if report.is_busy:
            self._state.note_busy(planned.engine, trio.current_time())
            raise _NotGivenError("engine carries out another order")
        return self._counts.take_report(planned.engine, report).sequence

    async def _sequence_outside(self, planned: PlannedOrder, key: GroupKey) -> int:
        """Return the count of an engine that is in no other group than ``key``.

        A join replaces an engine's place in its group, whoever leads that and whether or not it
        serves. What the listing and other engines tell may be late or wrong, so the engine's own
        word is asked for each time, and it leaves a former group by an order of its own; the count
        shows that nothing came in between. That costs a question and at most one order more for
        each join.
        """
        proved = await self._proved_now(planned)
        if proved.group is None or proved.group == key:
            return proved.sequence
        leave = LeaveGroup(proved.group)
        answer = await self._send(replace(planned, order=leave), proved.sequence)
        left = self._counts.get(planned.engine, planned.started_unix_ms)
        if left is None or left.group is not None:
            raise _NotGivenError(f"engine did not leave {proved.group}: {answer.value}")
        return left.sequence

    async def _proved_now(self, planned: PlannedOrder) -> ProvedCount:
        """Ask an engine of itself until its report is no older than its answers to orders."""
        for pause_s in STALE_PAUSES_S:
            report = await self._report(planned, JOIN_REPORT_TIMEOUT_S)
            proved = self._counts.take_report(planned.engine, report)
            if proved.group is None or not self._state.has_left(planned.engine, proved.group):
                break
            await trio.sleep(pause_s)
        return proved

    async def _report(self, planned: PlannedOrder, timeout_s: float) -> EngineReport:
        """Return what the engine says of itself; raises _NotGivenError, _SilentError among them."""
        report = await self._engine_orders.read_report(planned.address, timeout_s)
        if report is None:
            raise _SilentError("engine does not answer")
        if not is_same_process(planned.started_unix_ms, report.started_unix_ms):
            raise _NotGivenError("engine started again")
        return report

    def _note_effect(self, planned: PlannedOrder, answer: OrderAnswer) -> None:
        """Take in whether an engine took an order; one that was refused is planned again."""
        if answer is OrderAnswer.OUT_OF_DATE:
            self._state.note_refused(planned, trio.current_time())
        else:
            self._state.note_taken(planned)

    def _note_reach(self, engine: HostId, answer: OrderAnswer) -> None:
        if answer in _NO_ANSWER:
            self._state.unanswered.add(engine)
        else:
            self._state.unanswered.discard(engine)
