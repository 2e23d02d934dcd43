"""Tests that the coordinator avoids orders that engines refuse, with realistic engine answers.

An engine that is ordered to leave its group has left and counted the order when it answers, but its
reports are a few hundred milliseconds old. An engine that is loading weights refuses another load.
The scenarios are a group that lost a member, and a coordinator whose predecessor started a load.
"""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from yewloom.background import BackgroundTasks
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import HostId
from yewloom.order_delivery import OrderDelivery
from yewloom.plan_state import ORDER_RETRY_S, LoadInProgress, PlannedOrder, PlanState
from yewloom.replica_orders import (
    REPORT_TIMEOUT_S,
    EngineOrder,
    EngineReport,
    OrderAnswer,
    StageModel,
)
from yewloom.tests.engine_world import CoordinatorSimulation, SimulatedEngines, run_simulation
from yewloom.tests.entry_support import SMALL

REPLACEMENT_TIMEOUT_S = 6.0
"""Generous time limit for detecting a lost member and forming its group again."""

LOAD = PlannedOrder(HostId("a"), "a", StageModel(SMALL))


class TestJoins(unittest.TestCase):
    """Orders to join directly after a departure."""

    def test_join_after_a_departure_is_not_refused(self) -> None:
        """The leader's departure ends the group, so the other member is still in it at the join."""
        world = SimulatedEngines()
        world.add_serving_group("old", ["a", "b", "c"])

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(1.0)
            lost = world.engines[HostId("c")]
            lost.is_alive = lost.is_listed = False
            await trio.sleep(REPLACEMENT_TIMEOUT_S)

        run_simulation(world, test)
        self.assertEqual(world.open_groups(), [{"a", "b"}])
        self.assertEqual(world.refused, [])


class _LoadingEngine:
    """An engine that loads weights for an earlier coordinator, and may not report it yet."""

    def __init__(self, reports_load: bool) -> None:
        self._reports_load = reports_load
        self.is_loading = True
        self.refused_s: list[float] = []
        self.started_count = 0

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_order_count: int | None
    ) -> OrderAnswer:
        """Refuse a load while another one is in progress."""
        if self.is_loading:
            self.refused_s.append(trio.current_time())
            return OrderAnswer.REFUSED
        self.started_count += 1
        return OrderAnswer.STARTED

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Report whether a load is in progress."""
        return EngineReport(3, is_busy=self.is_loading and self._reports_load)


class TestLoads(unittest.TestCase):
    """Orders to load weights for an engine that is already loading."""

    def setUp(self) -> None:
        self.state = PlanState()

    def _run(
        self,
        engine: _LoadingEngine,
        test: Callable[[OrderDelivery, BackgroundTasks], Awaitable[None]],
    ) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                delivery = OrderDelivery(engine, self.state, ForwardMetrics())
                await test(delivery, BackgroundTasks(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _plan(self, delivery: OrderDelivery, tasks: BackgroundTasks, for_s: float) -> None:
        """Order the load whenever it is due, as a planner does."""
        ends_s = trio.current_time() + for_s
        while trio.current_time() < ends_s:
            now_s = trio.current_time()
            if LOAD.engine not in self.state.loads_in_progress and not self.state.is_busy(
                LOAD.engine, now_s
            ):
                self.state.recent_load_starts_s.append(now_s)
                self.state.loads_in_progress[LOAD.engine] = LoadInProgress(SMALL, now_s)
                delivery.send_all([LOAD], tasks)
            await trio.sleep(0.2)

    def test_engine_that_reports_a_load_gets_no_other_load(self) -> None:
        engine = _LoadingEngine(reports_load=True)

        async def test(delivery: OrderDelivery, tasks: BackgroundTasks) -> None:
            await self._plan(delivery, tasks, 10.0)
            engine.is_loading = False
            await self._plan(delivery, tasks, 5.0)

        self._run(engine, test)
        self.assertEqual((engine.refused_s, engine.started_count), ([], 1))

    def test_refused_load_is_delayed_and_frees_its_rate_limit_slot(self) -> None:
        engine = _LoadingEngine(reports_load=False)

        async def test(delivery: OrderDelivery, tasks: BackgroundTasks) -> None:
            await self._plan(delivery, tasks, 10.0)

        self._run(engine, test)
        pauses_s = [b - a for a, b in zip(engine.refused_s, engine.refused_s[1:], strict=False)]
        self.assertGreaterEqual(min(pauses_s), ORDER_RETRY_S)
        self.assertEqual(self.state.recent_load_starts_s, [])


class TestPauses(unittest.TestCase):
    """An order that is refused repeatedly is sent less and less often."""

    def test_pause_grows_until_an_order_is_accepted(self) -> None:
        state, now_s = PlanState(), 100.0
        pauses_s = []
        for _ in range(5):
            state.record_refused(LOAD, now_s)
            pauses_s.append(state.next_send_s[next(iter(state.next_send_s))] - now_s)
        self.assertEqual(pauses_s, sorted(pauses_s))
        self.assertLess(pauses_s[0], pauses_s[-1])
        self.assertLessEqual(pauses_s[-1], ORDER_RETRY_S)
        state.record_accepted(LOAD)
        state.record_refused(LOAD, now_s)
        self.assertEqual(state.next_send_s[next(iter(state.next_send_s))] - now_s, pauses_s[0])
