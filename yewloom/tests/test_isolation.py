"""Tests of when a host concludes that it is cut off from all endpoints."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from yewloom.directory import EndpointDirectory
from yewloom.entry_states import PeerStates
from yewloom.ids import HostId
from yewloom.isolation import CONFIRMATION_S, Isolation
from yewloom.reachability import Reachability
from yewloom.schema.entry_pb2 import EntryState, ListingWord
from yewloom.tests.entry_support import DATA_CENTRE, ENGINES, OWN_HOST, PLAIN, make_plain
from yewloom.tests.support import run_on_mock_clock

INTERVAL_S = 0.2
"""Interval between messages to peers."""


class IsolationFixture:
    """A host with three plain endpoints; ``send`` builds its next message."""

    def __init__(self) -> None:
        self.directory = EndpointDirectory()
        for number in range(3):
            self.directory.put(make_plain(f"p{number}"))
        self.reachability = Reachability(self.directory)
        self.peer_states = PeerStates(OWN_HOST, DATA_CENTRE)
        self.isolation = Isolation(self.directory, self.reachability, self.peer_states)

    def lose(self, *numbers: int) -> None:
        """Record failures to connect to endpoints."""
        for number in numbers:
            endpoint = self.directory.by_id[HostId(f"p{number}")]
            self.reachability.on_failure(endpoint, trio.current_time())

    def add_peer(self, *lost_services: str) -> None:
        """Record a message of a peer."""
        state = EntryState(
            host_id="peer",
            data_centre=DATA_CENTRE,
            sequence=1,
            listing=ListingWord(),
            lost_services=lost_services,
        )
        self.peer_states.update(state, trio.current_time())

    def send(self) -> EntryState:
        """Return a message that reports an unreachable and a stalled group."""
        state = EntryState(unreachable=["a"], stalled=["b"])
        self.isolation.add_fields(state, trio.current_time())
        return state

    async def send_until_confirmed(self) -> EntryState:
        """Send messages until a loss is confirmed, and return the last one."""
        self.send()
        await trio.sleep(CONFIRMATION_S)
        return self.send()


def run(test: Callable[[IsolationFixture], Awaitable[None]]) -> None:
    """Run a test on a mock clock."""

    async def main() -> None:
        await test(IsolationFixture())

    run_on_mock_clock(main)


class TestIsolation(unittest.TestCase):
    """A host is isolated if it reaches no endpoint while a peer does."""

    def test_a_host_that_alone_reaches_no_endpoint_is_isolated(self) -> None:
        async def test(fixture: IsolationFixture) -> None:
            fixture.add_peer()
            fixture.lose(0, 1, 2)
            self.assertEqual(fixture.send().lost_services, [PLAIN])
            self.assertFalse(fixture.isolation.is_isolated)
            await fixture.send_until_confirmed()
            self.assertTrue(fixture.isolation.is_isolated)
            endpoint = fixture.directory.by_id[HostId("p1")]
            fixture.reachability.on_connected(endpoint, trio.current_time())
            self.assertFalse(fixture.isolation.is_isolated)
            self.assertEqual(fixture.send().lost_services, [])

        run(test)

    def test_a_host_is_not_isolated_if_no_host_reaches_an_endpoint(self) -> None:
        """Guards against all hosts giving up their duties when all endpoints are down."""

        async def test(fixture: IsolationFixture) -> None:
            fixture.lose(0, 1, 2)
            await fixture.send_until_confirmed()
            self.assertFalse(fixture.isolation.is_isolated)
            fixture.add_peer(PLAIN)
            self.assertFalse(fixture.isolation.is_isolated)

        run(test)

    def test_a_peer_that_lost_another_service_shows_isolation(self) -> None:
        async def test(fixture: IsolationFixture) -> None:
            fixture.add_peer(ENGINES)
            fixture.lose(0, 1, 2)
            await fixture.send_until_confirmed()
            self.assertTrue(fixture.isolation.is_isolated)

        run(test)

    def test_endpoints_that_are_silent_for_a_second_do_not_isolate_a_host(self) -> None:
        """Guards against taking the pause of two endpoints for a loss of all links."""

        async def test(fixture: IsolationFixture) -> None:
            fixture.add_peer()
            fixture.lose(0, 1)
            fixture.send()
            for endpoint in fixture.reachability.take_due_probes(trio.current_time()):
                if endpoint.id == "p2":
                    fixture.reachability.on_connected(endpoint, trio.current_time())
            await trio.sleep(1.0)
            self.assertEqual(fixture.send().lost_services, [])
            self.assertFalse(fixture.isolation.is_isolated)

        run(test)

    def test_an_isolated_host_reports_no_endpoint(self) -> None:
        """Guards against peers that avoid sound groups because an isolated host cannot reach them.

        Its failures are its own.
        """

        async def test(fixture: IsolationFixture) -> None:
            fixture.add_peer()
            self.assertEqual(list(fixture.send().unreachable), ["a"])
            fixture.lose(0, 1, 2)
            state = await fixture.send_until_confirmed()
            self.assertEqual((list(state.unreachable), list(state.stalled)), ([], []))

        run(test)
