"""Giving the coordinator's orders to engines, and noting what their answers tell."""

from collections.abc import Iterable
from functools import partial

import structlog
import trio

from yewloom.background import BackgroundTasks
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import HostId
from yewloom.plan_state import PlannedOrder, PlanState, order_name
from yewloom.process_starts import is_same_process
from yewloom.replica_orders import EngineOrders, JoinGroup, LeaveGroup, OrderAnswer, StageModel
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

_NO_ANSWER = (OrderAnswer.UNREACHABLE, OrderAnswer.UNKNOWN)
_HAS_LEFT = (OrderAnswer.BEGUN, OrderAnswer.HOLDS, OrderAnswer.OTHER_ENGINE)
"""Answers after which an engine told to leave a group belongs to it no more."""


class _StartedAgainError(Exception):
    """The process that an order is meant for has ended, and another one runs under its id."""


@value_class
class _Process:
    """One process of an engine."""

    engine: HostId
    started_unix_ms: int


def _process_of(planned: PlannedOrder) -> _Process:
    return _Process(planned.engine, planned.started_unix_ms)


class OrderDelivery:
    """Gives orders, each with the count of orders that its engine must have taken before."""

    def __init__(
        self, engine_orders: EngineOrders, state: PlanState, metrics: ForwardMetrics
    ) -> None:
        self._engine_orders = engine_orders
        self._state = state
        self._metrics = metrics
        self._sequences: dict[_Process, int] = {}

    def forget_sequences(self) -> None:
        """Drop what is known of the engines' counts, as others may have given orders since."""
        self._sequences.clear()

    def give(self, orders: Iterable[PlannedOrder], tasks: BackgroundTasks) -> None:
        """Give all orders at once, and wait for none of the answers.

        An engine that is busy with an order gets no other one: the next plan gives it again.
        """
        for order in orders:
            if not tasks.start(order.engine, partial(self._give_one, order)):
                self._plan_again(order)

    async def _give_one(self, planned: PlannedOrder) -> None:
        try:
            sequence = await self._sequence_for(planned)
        except _StartedAgainError:
            logger.info("order not given", engine=planned.engine, reason="engine started again")
            self._plan_again(planned)
            return
        answer = await self._engine_orders.send(
            planned.engine, planned.address, planned.order, sequence
        )
        self._note_sequence(planned, sequence, answer)
        self._metrics.on_order(type(planned.order).__name__, answer.value)
        logger.info("order", engine=planned.engine, order=str(planned.order), answer=answer.value)
        self._note_reach(planned.engine, answer)
        if isinstance(planned.order, LeaveGroup) and answer in _HAS_LEFT:
            self._state.left.add(planned.order.key)

    async def _sequence_for(self, planned: PlannedOrder) -> int | None:
        """Return the count of orders that the engine must have taken for an order to hold.

        Raises _StartedAgainError if the process has ended that the order is meant for.

        Orders that name a group are safe without: they affect no other group.
        """
        if not isinstance(planned.order, JoinGroup | StageModel):
            return None
        known = self._sequences.get(_process_of(planned))
        if known is not None:
            return known
        report = await self._engine_orders.read_report(planned.address)
        if report is None:
            return None
        if not is_same_process(planned.started_unix_ms, report.started_unix_ms):
            raise _StartedAgainError
        return report.sequence

    def _note_sequence(
        self, planned: PlannedOrder, sequence: int | None, answer: OrderAnswer
    ) -> None:
        process = _process_of(planned)
        known = self._sequences.pop(process, sequence)
        if answer is OrderAnswer.BEGUN and known is not None:
            self._sequences[process] = known + 1
        elif answer is OrderAnswer.HOLDS and known is not None:
            self._sequences[process] = known
        elif answer is OrderAnswer.OUT_OF_DATE:
            self._plan_again(planned)

    def _plan_again(self, planned: PlannedOrder) -> None:
        """Let the next plan give an order again, with the sequence as it is then."""
        self._state.ordered_s.pop(order_name(planned), None)
        if isinstance(planned.order, StageModel):
            self._state.staging.pop(planned.engine, None)

    def _note_reach(self, engine: HostId, answer: OrderAnswer) -> None:
        if answer in _NO_ANSWER:
            self._state.unreachable_since_s.setdefault(engine, trio.current_time())
        else:
            self._state.unreachable_since_s.pop(engine, None)
