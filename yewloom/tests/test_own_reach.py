"""Tests of a node of ``yewloomd`` that is cut off from all endpoints while its peers reach some.

Failure: such a node told the load balancer that it was ready and kept its coordinator's lease.
"""

import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
from result import Err, Ok, Result

from yewloom.endpoints import EndpointError
from yewloom.ids import HostId
from yewloom.node import Node, build_node
from yewloom.observers import EndpointProber
from yewloom.retries import CallFailure
from yewloom.schema.peer_pb2 import ServiceReport
from yewloom.schema.records_pb2 import HostReport, Placement, ServiceEndpoint
from yewloom.settings import parse_settings
from yewloom.tests.support import FakeEngines, run_on_mock_clock
from yewloom.tests.test_coordinators import _Harness
from yewloom.tests.test_dispatch import SETTINGS

SERVICE_HOSTS = ("s1", "s2")


class CutOffEndpoints(FakeEngines):
    """Endpoints of a plain service, which do not answer while ``is_cut_off``."""

    is_cut_off = False

    async def probe(self, address: str) -> Result[HostReport, EndpointError]:
        """Answer a probe of an endpoint."""
        if self.is_cut_off:
            return Err(EndpointError(CallFailure.CONNECT, "cut off"))
        return Ok(HostReport(host_id=address))


class NodeFixture:
    """A node that probes two endpoints; ``freshness_s`` is how long reports of them are valid."""

    def __init__(self) -> None:
        settings = parse_settings(SETTINGS, "test").unwrap()
        self.freshness_s = settings.groups.freshness_ms / 1000
        self._interval_s = settings.groups.probe_interval_ms / 1000
        self.node: Node = build_node(settings, random.Random(1), 1)
        self.node.is_table_loaded = True
        endpoints = [ServiceEndpoint(service="s", host_id=n, address=n) for n in SERVICE_HOSTS]
        data_centre = self.node.data_centre
        placement = Placement(data_centre=data_centre, generation=1, services=endpoints)
        self.node.fleet.apply_placement(placement)
        self.endpoints = CutOffEndpoints([])
        self._prober = EndpointProber(self.node, self.endpoints)

    async def probe(self, for_s: float, do_peers_reach: bool) -> None:
        """Probe in rounds, and receive the reports of peers that reach the endpoints or not."""
        ends_s = trio.current_time() + for_s
        while trio.current_time() < ends_s:
            await self._prober.probe_round()
            if do_peers_reach:
                reports = [ServiceReport(host_id=name) for name in SERVICE_HOSTS]
                self.node.fleet.merge_services(reports, trio.current_time())
            await trio.sleep(self._interval_s)


def run(test: Callable[[NodeFixture], Awaitable[None]]) -> None:
    """Run a test on a mock clock."""

    async def main() -> None:
        await test(NodeFixture())

    run_on_mock_clock(main)


class TestOwnReach(unittest.TestCase):
    """A node is isolated if none of its own probes is answered and a peer's are."""

    def test_a_node_that_alone_reaches_no_endpoint_is_not_ready(self) -> None:
        """Guards against drawing callers to a node that can serve none of them."""

        async def test(fixture: NodeFixture) -> None:
            await fixture.probe(2.0, do_peers_reach=True)
            self.assertTrue(fixture.node.is_ready)
            fixture.endpoints.is_cut_off = True
            await fixture.probe(fixture.freshness_s + 1.0, do_peers_reach=True)
            self.assertFalse(fixture.node.is_ready)
            self.assertTrue(fixture.node.accepts_requests)
            fixture.endpoints.is_cut_off = False
            await fixture.probe(0.1, do_peers_reach=True)
            self.assertTrue(fixture.node.is_ready)

        run(test)

    def test_nodes_stay_ready_if_none_reaches_an_endpoint(self) -> None:
        """Guards against a fleet without any ready node when all endpoints are down."""

        async def test(fixture: NodeFixture) -> None:
            await fixture.probe(2.0, do_peers_reach=True)
            fixture.endpoints.is_cut_off = True
            await fixture.probe(2 * fixture.freshness_s + 1.0, do_peers_reach=False)
            self.assertTrue(fixture.node.is_ready)

        run(test)

    def test_endpoints_that_are_silent_for_a_second_change_nothing(self) -> None:
        async def test(fixture: NodeFixture) -> None:
            await fixture.probe(2.0, do_peers_reach=True)
            fixture.endpoints.is_cut_off = True
            await fixture.probe(1.0, do_peers_reach=True)
            self.assertTrue(fixture.node.is_ready)

        run(test)


class TestIsolatedCoordinator(unittest.TestCase):
    """A coordinator that reaches no engine lets another host take over."""

    def test_an_isolated_coordinator_lets_its_lease_go(self) -> None:
        coordinator, node = _Harness(checks_fences=True).coordinator_and_node("entry-1")

        async def scenario() -> list[bool]:
            held = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(coordinator.run)
                await trio.sleep(20)
                held.append(coordinator.holds_lease)
                endpoints = [ServiceEndpoint(service="s", host_id="s1", address="s1")]
                placement = Placement(data_centre="hall-z", generation=1, services=endpoints)
                node.fleet.apply_placement(placement)
                with mock.patch.object(node.own_reach, "on_answered"):
                    node.own_reach.on_failed(trio.current_time() - 60.0)
                    node.fleet.on_service_answered(HostId("s1"), HostReport(), trio.current_time())
                    await trio.sleep(1)
                    held.append(coordinator.holds_lease)
                nursery.cancel_scope.cancel()
            return held

        self.assertEqual(run_on_mock_clock(scenario), [True, False])
