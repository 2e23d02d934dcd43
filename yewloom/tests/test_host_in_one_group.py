"""Regression tests: a host must not join a group while its previous group still serves.

In an incident, two hosts of a serving group were joined to another group without having left. Their
leader was alive but missing from a listing for a moment, and an earlier order to it had remained
unanswered: either a first order that took effect nevertheless, or one sent while only the
connection between the coordinator and the leader was interrupted.

The coordinator took the missing answer as proof that the leader had failed. It considered an
abandoned group ended when the leader was unlisted and an order to it had gone unanswered for 3 s,
did not reset that timer while the group served, and did not require the host to confirm that it
had left. Each of these tests failed before the fix.
"""

import unittest
from dataclasses import replace

import trio

from yewloom.ids import HostId
from yewloom.replica_orders import OpenGroup
from yewloom.tests.engine_world import CoordinatorSimulation, SimulatedEngines, run_simulation

A, B, C = HostId("a"), HostId("b"), HostId("c")

LEASE_S = 4.0
"""Time until the coordinator is active: it first waits for a lease that another host may hold."""

SETTLE_S = 8.0
"""Time within which a group is replaced: the engines' stall time plus a few orders."""


class TestHostInOneGroup(unittest.TestCase):
    """A host does not join a group while it is a member of a group whose leader is open."""

    def setUp(self) -> None:
        self.world = SimulatedEngines()

    def test_old_unanswered_order_is_no_evidence_that_the_leader_failed(self) -> None:
        """An order to open took effect unanswered; 22 s later the leader is unlisted for 1 s."""
        self.world.add_free_engines("a", "b")
        self.world.engines[A].loses_answers = self.world.engines[B].loses_answers = (OpenGroup,)

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(12.0)
            self.world.add_free_engines("c")
            await trio.sleep(12.0)
            self.assertEqual(self.world.open_groups(), [{A, B}])
            await self._hide_leader(1.0)

        run_simulation(self.world, test)

    def test_member_leaves_an_unreachable_leader_before_it_joins_another_group(self) -> None:
        self.world.add_serving_group("old", ["a", "b"])
        self.world.add_free_engines("c")

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(LEASE_S)
            self.world.engines[A].is_reachable = False
            simulation.stalls.report_stalled(A, trio.current_time())
            await trio.sleep(4.0)
            await self._hide_leader(10.0)
            self.assertEqual(self.world.open_groups(), [{B, C}])

        run_simulation(self.world, test)

    def test_outdated_listing_is_no_evidence_that_the_leader_left(self) -> None:
        self.world.add_serving_group("old", ["a", "b"])
        before = [replace(self.world.engines[name].endpoint(), membership=None) for name in (A, B)]

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(LEASE_S)
            for endpoint in before:
                self.world.engines[endpoint.id].listed_as = endpoint
            await trio.sleep(SETTLE_S)
            for engine in self.world.engines.values():
                engine.listed_as = None
            await self._check_settled()

        run_simulation(self.world, test)

    def test_host_of_an_unrecorded_group_leaves_before_it_joins(self) -> None:
        self.world.add_serving_group("old", ["a", "b"], is_recorded=False)
        self.world.add_free_engines("c")
        self.world.engines[A].is_listed = self.world.engines[A].is_reachable = False

        async def test(simulation: CoordinatorSimulation) -> None:
            await self._check_settled()
            self.assertEqual(self.world.open_groups(), [{B, C}])

        run_simulation(self.world, test)

    def test_host_without_a_report_is_not_joined(self) -> None:
        """The hosts' entries are older than their group, and they do not return reports."""
        self.world.add_serving_group("old", ["a", "b"], is_recorded=False)
        self.world.add_free_engines("c")
        for name in (A, B):
            engine = self.world.engines[name]
            engine.listed_as = replace(engine.endpoint(), membership=None)
            engine.answers_reports = False

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(SETTLE_S)
            self.assertEqual(self.world.unsafe_joins, [])
            self.assertIn({A, B}, self.world.open_groups())

        run_simulation(self.world, test)

    async def _hide_leader(self, for_s: float) -> None:
        """Remove the leader from the listing for a while, and check the outcome."""
        self.world.engines[A].is_listed = False
        await trio.sleep(for_s)
        self.world.engines[A].is_listed = True
        await self._check_settled()

    async def _check_settled(self) -> None:
        """Check that no host was moved from a serving group, and that a group serves again."""
        await trio.sleep(SETTLE_S)
        self.assertEqual(self.world.unsafe_joins, [])
        self.assertNotEqual(self.world.open_groups(), [])


class TestOutdatedEvidence(unittest.TestCase):
    """Observations of a group are discarded once they are outdated or disproved."""

    def setUp(self) -> None:
        self.world = SimulatedEngines()
        self.world.add_serving_group("old", ["a", "b"])

    def test_briefly_outdated_listing_does_not_end_a_group(self) -> None:
        """The time limit for forming a group is counted from when it was last seen serving."""
        before = [replace(self.world.engines[name].endpoint(), membership=None) for name in (A, B)]

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(LEASE_S + 20.0)
            for endpoint in before:
                self.world.engines[endpoint.id].listed_as = endpoint
            await trio.sleep(1.0)
            for engine in self.world.engines.values():
                engine.listed_as = None
            await trio.sleep(SETTLE_S)
            self._check_still_serves()

        run_simulation(self.world, test)

    def test_listed_leader_that_serves_other_hosts_keeps_its_group(self) -> None:
        """The coordinator cannot reach it, but a peer reports progress of its streams."""

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(LEASE_S)
            self.world.engines[A].is_reachable = False
            for _ in range(20):
                simulation.stalls.report_unreachable(A, trio.current_time())
                await trio.sleep(0.2)
                simulation.stalls.on_peer_progress(A, 0.05, trio.current_time())
            self._check_still_serves()

        run_simulation(self.world, test)

    def test_suspects_are_discarded_with_the_lease(self) -> None:
        """The store refuses all calls while the coordinator suspects the leader."""

        async def test(simulation: CoordinatorSimulation) -> None:
            await trio.sleep(LEASE_S)
            simulation.store.is_unavailable = True
            self.world.engines[A].is_reachable = False
            simulation.stalls.report_stalled(A, trio.current_time())
            while simulation.coordinator.holds_lease:  # noqa: ASYNC110 - the lease ends by its time
                await trio.sleep(1.0)
            self.world.engines[A].is_reachable = True
            simulation.store.is_unavailable = False
            while not simulation.coordinator.holds_lease:  # noqa: ASYNC110 - as above
                await trio.sleep(1.0)
            await trio.sleep(SETTLE_S)
            self._check_still_serves()

        run_simulation(self.world, test)

    def _check_still_serves(self) -> None:
        self.assertEqual(self.world.open_groups(), [{A, B}])
        key = self.world.engines[A].key
        assert key is not None
        self.assertEqual(key.group_id, "old")
