"""Tests of a coordinator whose engines answer late or never, on trio's mock clock.

The scenario is one lost host every three seconds. The coordinator still queries the lost
hosts, and waits for each query to time out, while it has to repair the groups of other hosts.
"""

import functools
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio
import trio.testing

from yewloom.background import BackgroundTasks
from yewloom.directory import EndpointDirectory, GroupKey
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import GroupId, HostId
from yewloom.order_delivery import JOIN_REPORT_TIMEOUT_S, OrderDelivery
from yewloom.plan_state import PlannedOrder, PlanState, order_id
from yewloom.replica_orders import (
    REPORT_TIMEOUT_S,
    EngineOrder,
    EngineReport,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    OrderAnswer,
    StageModel,
)
from yewloom.schema.records_pb2 import Group, GroupMember
from yewloom.stall_timeouts import DEFAULT_STALL_TIMEOUT_S
from yewloom.stalled_groups import (
    PROBE_INTERVAL_S,
    SILENT_REPORT_TIMEOUT_S,
    SUSPECT_REPORT_TIMEOUT_S,
    StalledGroups,
)
from yewloom.stalls import MAX_MESSAGE_DELAY_S, StallDetector
from yewloom.states import GroupIntent
from yewloom.tests.entry_support import SMALL, make_engine

ORDER_TIMEOUT_S = 0.4
"""Time after which an order to the engine named ``dead`` fails."""

SILENCE_S = 1.3
"""Time for which the engine named ``silent`` says nothing, and works on after that."""

SLOW_ANSWER_S = 1.0
"""Time that the engine named ``slow`` takes to answer."""

UNRESPONSIVE_S = REPORT_TIMEOUT_S + SILENT_REPORT_TIMEOUT_S
"""Time after which a member that does not answer is suspected, if others of its group answer."""

KEY = GroupKey(GroupId("g"), 1)


class FakeEngines:
    """Engines that record the orders and queries that they get.

    The engine named ``dead`` never answers.
    """

    def __init__(self) -> None:
        self.orders: list[tuple[HostId, EngineOrder]] = []
        self.queried: list[str] = []
        self.started_unix_ms = 0
        self.silent_until_s = 0.0

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_order_count: int | None
    ) -> OrderAnswer:
        """Record an order; ``dead`` does not confirm it."""
        self.orders.append((engine, order))
        if engine == "dead":
            await trio.sleep(ORDER_TIMEOUT_S)
            return OrderAnswer.UNREACHABLE
        return OrderAnswer.STARTED

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Return a report; the engine named ``slow`` takes a second, ``dead`` never answers."""
        self.queried.append(address)
        if address == "silent":
            return await self._answer_after_silence(timeout_s)
        if address == "dead" or (address == "slow" and timeout_s < SLOW_ANSWER_S):
            await trio.sleep(timeout_s)
            return None
        if address == "slow":
            await trio.sleep(SLOW_ANSWER_S)
        return EngineReport(1, self.started_unix_ms)

    async def _answer_after_silence(self, timeout_s: float) -> EngineReport | None:
        """Return the report of the engine named ``silent`` if its silence ends in time."""
        left_s = max(0.0, self.silent_until_s - trio.current_time())
        await trio.sleep(min(left_s, timeout_s))
        return EngineReport(1, self.started_unix_ms) if left_s <= timeout_s else None


def _run(test: Callable[[BackgroundTasks], Awaitable[None]]) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await test(BackgroundTasks(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _order(engine: str, order: EngineOrder) -> PlannedOrder:
    return PlannedOrder(HostId(engine), engine, order)


class TestOrders(unittest.TestCase):
    """Orders to engines that do not answer."""

    def setUp(self) -> None:
        self.engines, self.state = FakeEngines(), PlanState()
        self.delivery = OrderDelivery(self.engines, self.state, ForwardMetrics())

    def test_a_dead_engine_does_not_delay_orders_to_others(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            self.delivery.send_all([_order("dead", LeaveGroup(KEY))], tasks)
            self.delivery.send_all([_order("a", OpenGroup(KEY))], tasks)
            began_s = trio.current_time()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(trio.current_time(), began_s)
            self.assertIn(("a", OpenGroup(KEY)), self.engines.orders)
            await trio.sleep(ORDER_TIMEOUT_S * 2)
            self.assertTrue(self.state.is_unresponsive(HostId("dead")))

        _run(test)

    def test_an_engine_gets_one_order_at_a_time_and_others_are_planned_again(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            staging = _order("dead", StageModel(SMALL))
            self.delivery.send_all([_order("dead", LeaveGroup(KEY))], tasks)
            self.assertTrue(self.state.mark_sent_if_due(staging, 0.0))
            self.delivery.send_all([staging], tasks)
            self.assertTrue(self.state.mark_sent_if_due(staging, 0.0))
            await trio.sleep(ORDER_TIMEOUT_S * 2)
            self.assertEqual(len(self.engines.orders), 1)

        _run(test)

    def test_a_slow_engine_is_waited_for_and_joined(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            join = JoinGroup(KEY, SMALL, [HostId("slow")])
            self.delivery.send_all([_order("slow", join)], tasks)
            await trio.sleep(SLOW_ANSWER_S + 0.1)
            self.assertEqual(self.engines.orders, [("slow", join)])

        _run(test)

    def test_an_unresponsive_engine_gets_a_load_order_once_and_no_join_order(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            for order in (StageModel(SMALL), JoinGroup(KEY, SMALL, [HostId("dead")])):
                planned = _order("dead", order)
                self.assertTrue(self.state.mark_sent_if_due(planned, trio.current_time()))
                self.delivery.send_all([planned], tasks)
                await trio.sleep(JOIN_REPORT_TIMEOUT_S + ORDER_TIMEOUT_S)
                is_sent = self.state.next_send_s[order_id(planned)] > float("-inf")
                self.assertEqual(is_sent, isinstance(order, StageModel))
            self.assertEqual(self.engines.orders, [("dead", StageModel(SMALL))])

        _run(test)

    def test_a_coordinator_without_its_lease_sends_no_more_orders(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            self.delivery.send_all([_order("a", StageModel(SMALL))], tasks)
            tasks.cancel_all()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(self.engines.orders, [])

        _run(test)

    def test_an_order_for_a_previous_process_is_not_sent_to_the_next_one(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            self.engines.started_unix_ms = 7
            staging = PlannedOrder(HostId("a"), "a", StageModel(SMALL), 7)
            self.delivery.send_all([staging], tasks)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(len(self.engines.orders), 1)
            self.engines.started_unix_ms = 9
            self.delivery.clear_order_counts()
            self.assertTrue(self.state.mark_sent_if_due(staging, 0.0))
            self.delivery.send_all([staging], tasks)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(len(self.engines.orders), 1)
            self.assertTrue(
                self.state.mark_sent_if_due(staging, 0.0)
            )  # The next plan decides again.

        _run(test)

    def test_each_new_process_is_queried_for_its_order_count(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            for started_unix_ms in (7, 9):
                self.engines.started_unix_ms = started_unix_ms
                order = PlannedOrder(HostId("a"), "a", StageModel(SMALL), started_unix_ms)
                self.delivery.send_all([order], tasks)
                await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(len(self.engines.queried), 2)

        _run(test)


class TestQueries(unittest.TestCase):
    """Queries to members that do not answer."""

    def test_all_members_are_queried_at_once_and_a_dead_one_is_suspected(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            engines, state, stalls = FakeEngines(), PlanState(), StallDetector()
            group = Group(id="g", generation=1, intent=GroupIntent.ACTIVE.value)
            for name in ("a", "dead", "b"):
                group.members.append(GroupMember(host_id=name, address=name))
            stalls.report_stalled(HostId("a"), trio.current_time())
            groups = StalledGroups(EndpointDirectory(), stalls, engines, state)
            groups.start_probes([group], tasks)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(set(engines.queried), {"a", "dead", "b"})
            await trio.sleep(UNRESPONSIVE_S - 0.1)
            self.assertEqual(state.suspects, set())
            await trio.sleep(0.2)
            self.assertEqual(state.suspects, {"dead"})

        _run(test)

    def test_a_member_that_is_unresponsive_only_to_this_host_is_not_suspected(self) -> None:
        """Covers a peer that reports an event of the group while the member is queried.

        The member is cleared only if the event is later than the query.
        """

        async def test(tasks: BackgroundTasks) -> None:
            for report_after_s, suspects in (
                (MAX_MESSAGE_DELAY_S, {"dead"}),
                (MAX_MESSAGE_DELAY_S + 0.1, set()),
            ):
                engines, state, stalls = FakeEngines(), PlanState(), StallDetector()
                group = Group(id="g", generation=1, intent=GroupIntent.ACTIVE.value)
                for name in ("dead", "b"):
                    group.members.append(GroupMember(host_id=name, address=name))
                stalls.report_unreachable(HostId("dead"), trio.current_time())
                groups = StalledGroups(EndpointDirectory(), stalls, engines, state)
                groups.start_probes([group], tasks)
                await trio.testing.wait_all_tasks_blocked()
                await trio.sleep(report_after_s)
                stalls.on_peer_progress(HostId("dead"), 0.05, trio.current_time())
                await trio.sleep(UNRESPONSIVE_S)
                self.assertEqual(state.suspects, suspects)

        _run(test)

    def test_no_member_is_suspected_while_this_host_reaches_no_endpoint(self) -> None:
        """Guards against a coordinator that gives up all groups when its own links are cut.

        Once it reaches an endpoint again, the member is queried without the usual pause.
        """

        async def test(tasks: BackgroundTasks) -> None:
            engines, state, stalls = FakeEngines(), PlanState(), StallDetector()
            group = Group(id="g", generation=1, intent=GroupIntent.ACTIVE.value)
            group.members.add(host_id="dead", address="dead")
            has_lost_all = True
            groups = StalledGroups(
                EndpointDirectory(), stalls, engines, state, has_lost_all=lambda: has_lost_all
            )
            stalls.report_stalled(HostId("dead"), trio.current_time())
            groups.start_probes([group], tasks)
            await trio.sleep(UNRESPONSIVE_S + 0.1)
            self.assertEqual(state.suspects, set())
            has_lost_all = False
            stalls.report_stalled(HostId("dead"), trio.current_time())
            groups.start_probes([group], tasks)
            await trio.sleep(UNRESPONSIVE_S + 0.1)
            self.assertEqual(state.suspects, {"dead"})

        _run(test)

    def test_members_that_are_all_slow_are_not_suspected(self) -> None:
        """Guards against dissolving groups and losing their streams while all engines are slow."""

        async def test(tasks: BackgroundTasks) -> None:
            for members, suspects in (
                (("slow", "slow"), set()),
                (("slow", "a"), {"slow-0"}),
                (("dead", "dead"), {"dead-0", "dead-1"}),
            ):
                engines, state, stalls = FakeEngines(), PlanState(), StallDetector()
                group = Group(id="g", generation=1, intent=GroupIntent.ACTIVE.value)
                for number, address in enumerate(members):
                    group.members.add(host_id=f"{address}-{number}", address=address)
                stalls.report_stalled(HostId(f"{members[0]}-0"), trio.current_time())
                StalledGroups(EndpointDirectory(), stalls, engines, state).start_probes(
                    [group], tasks
                )
                await trio.sleep(UNRESPONSIVE_S + 0.1)
                self.assertEqual(state.suspects, suspects if "a" in members else set())
                await trio.sleep(SUSPECT_REPORT_TIMEOUT_S)
                self.assertEqual(state.suspects, suspects)

        _run(test)

    def test_a_suspect_that_answers_slowly_is_cleared(self) -> None:
        """Guards against running engines that stay unused because they answered slowly once."""

        async def test(tasks: BackgroundTasks) -> None:
            engines, state, directory = FakeEngines(), PlanState(), EndpointDirectory()
            for name in ("slow", "dead"):
                directory.put(replace(make_engine(name), address=name))
                state.suspects.add(HostId(name))
            groups = StalledGroups(directory, StallDetector(), engines, state)
            groups.start_probes([], tasks)
            await trio.sleep(SLOW_ANSWER_S + 0.1)
            self.assertEqual(state.suspects, {"dead"})
            await trio.sleep(PROBE_INTERVAL_S)
            groups.start_probes([], tasks)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(sorted(engines.queried), ["dead", "dead", "slow"])

        _run(test)

    def test_a_suspect_is_queried_again_if_the_event_loop_was_blocked(self) -> None:
        """Guards against a host that attributes the delay of its own event loop to members."""

        async def test(tasks: BackgroundTasks) -> None:
            for delay_s, query_count in ((0.0, 1), (2.0, 2)):
                engines, state, directory = FakeEngines(), PlanState(), EndpointDirectory()
                directory.put(replace(make_engine("dead"), address="dead"))
                state.suspects.add(HostId("dead"))
                loop_delay_s = functools.partial(float, delay_s)
                groups = StalledGroups(directory, StallDetector(), engines, state, loop_delay_s)
                groups.start_probes([], tasks)
                await trio.sleep(SUSPECT_REPORT_TIMEOUT_S * query_count + 0.1)
                self.assertEqual(state.suspects, {"dead"})
                self.assertEqual(engines.queried, ["dead"] * query_count)

        _run(test)

    def test_a_member_that_is_silent_for_more_than_a_second_is_not_suspected(self) -> None:
        """Guards against ending a sound group, with its streams, for a silence that passes."""

        async def test(tasks: BackgroundTasks) -> None:
            engines, state, stalls = FakeEngines(), PlanState(), StallDetector()
            engines.silent_until_s = trio.current_time() + SILENCE_S
            group = Group(id="g", generation=1, intent=GroupIntent.ACTIVE.value)
            for name in ("silent", "a"):
                group.members.add(host_id=name, address=name)
            await trio.sleep(DEFAULT_STALL_TIMEOUT_S)
            stalls.report_stalled(HostId("silent"), trio.current_time())
            groups = StalledGroups(EndpointDirectory(), stalls, engines, state)
            groups.start_probes([group], tasks)
            await trio.sleep(UNRESPONSIVE_S + 0.1)
            self.assertEqual(state.suspects, set())

        _run(test)

    def test_a_member_that_restarted_does_not_answer_for_its_group(self) -> None:
        async def test(tasks: BackgroundTasks) -> None:
            engines, state, stalls = FakeEngines(), PlanState(), StallDetector()
            engines.started_unix_ms = 9
            group = Group(id="g", generation=1, intent=GroupIntent.ACTIVE.value)
            for name, started_unix_ms in (("a", 9), ("b", 7)):
                group.members.add(host_id=name, address=name, started_unix_ms=started_unix_ms)
            stalls.report_stalled(HostId("a"), trio.current_time())
            groups = StalledGroups(EndpointDirectory(), stalls, engines, state)
            groups.start_probes([group], tasks)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(state.suspects, {"b"})
            self.assertEqual(state.last_answer_s, {})

        _run(test)
