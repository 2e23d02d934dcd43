"""Tests of orders that an engine would refuse, with engines that answer as the platform's do.

An engine that is told to leave its group has left when it answers, and counts that order, but what
it reports is some hundred milliseconds old. One that loads weights refuses another load. The
patterns are a group that lost a member, and a coordinator whose predecessor began a load.
"""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from yewloom.background import BackgroundTasks
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import HostId
from yewloom.order_delivery import OrderDelivery
from yewloom.plan_state import ORDER_REPEAT_S, PlannedOrder, PlanState, Staging
from yewloom.replica_orders import (
    REPORT_TIMEOUT_S,
    EngineOrder,
    EngineReport,
    OrderAnswer,
    StageModel,
)
from yewloom.tests.engine_world import EngineWorld, Played, play
from yewloom.tests.entry_support import SMALL

REPLACED_S = 6.0
"""Time for a lost member to be noticed and its group to be formed anew, with much to spare."""

LOAD = PlannedOrder(HostId("a"), "a", StageModel(SMALL))


class TestJoins(unittest.TestCase):
    """Joins right behind a departure."""

    def test_no_join_behind_a_departure_is_refused(self) -> None:
        """The leader's departure ends the group; the other member is still in it when it joins."""
        world = EngineWorld()
        world.serve("old", ["a", "b", "c"])

        async def test(played: Played) -> None:
            await trio.sleep(1.0)
            lost = world.engines[HostId("c")]
            lost.is_alive = lost.is_listed = False
            await trio.sleep(REPLACED_S)

        play(world, test)
        self.assertEqual(world.open_groups(), [{"a", "b"}])
        self.assertEqual(world.refused, [])


class _LoadingEngine:
    """An engine that an earlier coordinator told to load weights; it reports that, or not yet."""

    def __init__(self, reports_it: bool) -> None:
        self._reports_it = reports_it
        self.is_loading = True
        self.refused_s: list[float] = []
        self.begun = 0

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_sequence: int | None
    ) -> OrderAnswer:
        """Refuse a load while another one is under way."""
        if self.is_loading:
            self.refused_s.append(trio.current_time())
            return OrderAnswer.OUT_OF_DATE
        self.begun += 1
        return OrderAnswer.BEGUN

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Return whether a load is under way."""
        return EngineReport(3, is_busy=self.is_loading and self._reports_it)


class TestLoads(unittest.TestCase):
    """Loads onto an engine that already loads."""

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
        """Order the load at each step at which it is due, as a plan does."""
        ends_s = trio.current_time() + for_s
        while trio.current_time() < ends_s:
            now_s = trio.current_time()
            if LOAD.engine not in self.state.staging and not self.state.is_busy(LOAD.engine, now_s):
                self.state.load_times_s.append(now_s)
                self.state.staging[LOAD.engine] = Staging(SMALL, now_s)
                delivery.give([LOAD], tasks)
            await trio.sleep(0.2)

    def test_an_engine_that_reports_a_load_is_left_to_it(self) -> None:
        engine = _LoadingEngine(reports_it=True)

        async def test(delivery: OrderDelivery, tasks: BackgroundTasks) -> None:
            await self._plan(delivery, tasks, 10.0)
            engine.is_loading = False
            await self._plan(delivery, tasks, 5.0)

        self._run(engine, test)
        self.assertEqual((engine.refused_s, engine.begun), ([], 1))

    def test_a_load_that_was_refused_waits_and_takes_no_place_of_others(self) -> None:
        engine = _LoadingEngine(reports_it=False)

        async def test(delivery: OrderDelivery, tasks: BackgroundTasks) -> None:
            await self._plan(delivery, tasks, 10.0)

        self._run(engine, test)
        pauses_s = [b - a for a, b in zip(engine.refused_s, engine.refused_s[1:], strict=False)]
        self.assertGreaterEqual(min(pauses_s), ORDER_REPEAT_S)
        self.assertEqual(self.state.load_times_s, [])


class TestPauses(unittest.TestCase):
    """An order that is refused again and again is given ever less often."""

    def test_the_pause_grows_and_ends_with_an_order_that_is_taken(self) -> None:
        state, now_s = PlanState(), 100.0
        pauses_s = []
        for _ in range(5):
            state.note_refused(LOAD, now_s)
            pauses_s.append(state.due_s[next(iter(state.due_s))] - now_s)
        self.assertEqual(pauses_s, sorted(pauses_s))
        self.assertLess(pauses_s[0], pauses_s[-1])
        self.assertLessEqual(pauses_s[-1], ORDER_REPEAT_S)
        state.note_accepted(LOAD)
        state.note_refused(LOAD, now_s)
        self.assertEqual(state.due_s[next(iter(state.due_s))] - now_s, pauses_s[0])
