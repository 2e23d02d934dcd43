"""Tests of the coordinator with a fake platform, and of the orders that it sends."""

import random
import unittest

import trio

from yewloom.coordinators import Coordinator
from yewloom.groups import GroupObservation, HostObservation
from yewloom.ids import AttemptId, GroupId, HostId
from yewloom.node import Node, build_node
from yewloom.observers import EndpointProber
from yewloom.orders import due_orders
from yewloom.platforms import StoredObject
from yewloom.schema.peer_pb2 import GroupReport
from yewloom.schema.records_pb2 import Group, GroupMember, Host, HostReport, Order, Placement
from yewloom.schema.table_pb2 import Row, VersionedRow
from yewloom.settings import parse_settings
from yewloom.states import EngineState, GroupIntent
from yewloom.status import metrics_text
from yewloom.tests.support import (
    FakeEngines,
    FakePlatform,
    make_host,
    make_policy,
    run_on_mock_clock,
)
from yewloom.tests.test_dispatch import SETTINGS
from yewloom.watchers import parse_placement


class _Harness:
    """Coordinators of one data centre over engines that never accept an order."""

    def __init__(self, checks_fences: bool) -> None:
        self.platform = FakePlatform()
        self.engines = FakeEngines(())
        self.attempts = 0
        for name in ("h0", "h1"):
            host = make_host(name, checks_fences=checks_fences)
            self.platform.listed_hosts.append(host)
            report = HostReport(host_id=name, state=EngineState.IDLE.value)
            self.engines.reports[host.address] = report

    def coordinator(self, name: str) -> Coordinator:
        return self.coordinator_and_node(name)[0]

    def coordinator_and_node(self, name: str) -> tuple[Coordinator, Node]:
        node = _node(name)
        prober = EndpointProber(node, self.engines)
        coordinator = Coordinator(node, self.platform, self.engines, prober, self.new_attempt)
        return coordinator, node

    def execute_orders(self) -> None:
        """Make each engine that received an order ready in its group."""
        for order in self.engines.orders:
            address = order.member_addresses[order.rank]
            report = self.engines.reports[address]
            report.state = EngineState.READY.value
            report.group_id, report.generation = order.group_id, order.generation

    def placed_generation(self) -> int:
        """Return the generation of the stored placement."""
        return parse_placement(self.platform.objects["placements/hall-a"]).generation

    def new_attempt(self) -> AttemptId:
        self.attempts += 1
        return AttemptId(str(self.attempts))


def _node(name: str) -> Node:
    settings = parse_settings(SETTINGS.replace("entry-1", name), "test").unwrap()
    node = build_node(settings, random.Random(1), 1)
    policy = make_policy(size=2)
    node.table.apply(VersionedRow(name="policy/p", version=1, row=Row(policy=policy)))
    return node


class TestCoordinator(unittest.TestCase):
    """Leases and orders, with the platform available and unavailable."""

    def _orders_before_and_after_outage(self, checks_fences: bool) -> tuple[int, int]:
        """Return the number of orders sent before an outage, and from 10 s after it began.

        The first count covers 20 s, the second 60 s.
        """
        harness = _Harness(checks_fences)

        async def scenario() -> tuple[int, int]:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.coordinator("entry-1").run)
                await trio.sleep(20)
                before = len(harness.engines.orders)
                harness.platform.is_unavailable = True
                await trio.sleep(10)
                sent_by_expiry = len(harness.engines.orders)
                await trio.sleep(60)
                nursery.cancel_scope.cancel()
            return before, len(harness.engines.orders) - sent_by_expiry

        return run_on_mock_clock(scenario)

    def test_orders_stop_when_the_lease_expires(self) -> None:
        for checks_fences in (True, False):
            before, after = self._orders_before_and_after_outage(checks_fences)
            self.assertGreater(before, 0)
            self.assertEqual(after, 0)

    def test_metric_shows_an_expired_lease_before_any_task_runs(self) -> None:
        """After a pause of the process, its metrics may be scraped before any task runs."""
        coordinator, node = _Harness(checks_fences=True).coordinator_and_node("entry-1")

        async def scenario() -> tuple[bytes, bytes]:
            with trio.move_on_after(20):
                await coordinator.run()
            before = metrics_text(node)
            await trio.sleep(60)
            return before, metrics_text(node)

        before, after = run_on_mock_clock(scenario)
        self.assertIn(b"yewloom_is_coordinator 1.0", before)
        self.assertIn(b"yewloom_is_coordinator 0.0", after)

    def test_undecodable_records_do_not_stop_the_coordinator(self) -> None:
        for key in ("leases/hall-a", "placements/hall-a", "shares/hall-a"):
            harness = _Harness(checks_fences=True)
            harness.platform.objects[key] = StoredObject(key, 1, '{"generation": "many"}')

            async def scenario(harness: _Harness = harness) -> bool:
                with trio.move_on_after(30) as scope:
                    await harness.coordinator("entry-1").run()
                return scope.cancelled_caught

            self.assertTrue(run_on_mock_clock(scenario), key)

    def test_two_coordinators_form_each_group_once(self) -> None:
        harness = _Harness(checks_fences=True)

        async def scenario() -> set[str]:
            async with trio.open_nursery() as nursery:
                for name in ("entry-1", "entry-2"):
                    nursery.start_soon(harness.coordinator(name).run)
                await trio.sleep(60)
                nursery.cancel_scope.cancel()
            return {order.group_id for order in harness.engines.orders}

        self.assertEqual(len(run_on_mock_clock(scenario)), 1)
        self.assertEqual(harness.platform.objects["placements/hall-a"].version, 1)

    def test_group_without_observers_is_replaced_based_on_own_probes(self) -> None:
        harness = _Harness(checks_fences=True)
        coordinator, node = harness.coordinator_and_node("entry-1")

        async def scenario() -> tuple[int, int]:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(coordinator.run)
                await trio.sleep(10)
                harness.execute_orders()
                # The observers are other hosts: one reports that the group is ready, then stops.
                seen = [
                    GroupReport(group_id=name, generation=1, ready=True, was_ready=True)
                    for name in node.fleet.group_ids()
                ]
                node.fleet.merge_groups(seen, trio.current_time())
                del harness.engines.reports["h0:1"]
                groups = node.settings.groups
                await trio.sleep((groups.freshness_ms + groups.give_up_ms) / 2000)
                early = harness.placed_generation()
                await trio.sleep((groups.freshness_ms + groups.give_up_ms) / 2000 + 2)
                nursery.cancel_scope.cancel()
            return early, harness.placed_generation()

        self.assertEqual(run_on_mock_clock(scenario), (1, 2))

    def test_another_host_takes_over_after_a_kill(self) -> None:
        harness = _Harness(checks_fences=True)

        async def scenario() -> list[bool]:
            coordinators = [harness.coordinator(name) for name in ("entry-1", "entry-2")]
            held = []
            async with trio.open_nursery() as nursery:
                first = await _start(nursery, coordinators[0])
                await trio.sleep(10)
                await _start(nursery, coordinators[1])
                await trio.sleep(10)
                held.append(coordinators[1].holds_lease)
                first.cancel()
                await trio.sleep(15)
                held.append(coordinators[1].holds_lease)
                nursery.cancel_scope.cancel()
            return held

        self.assertEqual(run_on_mock_clock(scenario), [False, True])


async def _start(nursery: trio.Nursery, coordinator: Coordinator) -> trio.CancelScope:
    scope = trio.CancelScope()

    async def run() -> None:
        with scope:
            await coordinator.run()

    nursery.start_soon(run)
    return scope


class TestDueOrders(unittest.TestCase):
    """Which orders are due, within the limit of concurrent loads."""

    def _due(self, cached: set[str], started: set[str], max_loading: int) -> list[Order]:
        groups = [
            Group(
                id=f"g{i}",
                model="m",
                model_version="1",
                generation=1,
                intent=GroupIntent.ACTIVE.value,
                members=[GroupMember(host_id=f"h{i}{j}") for j in range(2)],
            )
            for i in range(3)
        ]
        hosts = {}
        for group in groups:
            for member in group.members:
                report = HostReport(cached_model="m@1" if member.host_id in cached else "")
                if member.host_id in started:
                    report.group_id, report.generation = group.id, 1
                hosts[HostId(member.host_id)] = HostObservation(report, 0.0)
        listed = {name: Host(id=name, checks_fences=True) for name in hosts}
        seen = {GroupId("g1"): GroupObservation(GroupId("g1"), 1, 0.0, ready=False)}
        placement = Placement(generation=1, groups=groups)
        return [due.order for due in due_orders(placement, seen, hosts, listed, max_loading)]

    def test_concurrent_loads_are_limited(self) -> None:
        self.assertEqual({order.group_id for order in self._due(set(), set(), 2)}, {"g0", "g1"})

    def test_groups_with_cached_weights_load_first(self) -> None:
        due = self._due({"h20", "h21"}, set(), 1)
        self.assertEqual({order.group_id for order in due}, {"g2"})

    def test_load_in_progress_finishes_before_another_begins(self) -> None:
        due = self._due({"h20", "h21"}, {"h00"}, 1)
        self.assertEqual([(o.group_id, o.rank, o.fence) for o in due], [("g0", 1, 1)])
