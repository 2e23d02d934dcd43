"""Tests of the discovery of entry hosts, of which very many may start at once."""

import unittest
from typing import cast
from unittest.mock import Mock

import trio

from yewloom.entry_addresses import ADDRESS_KIND, EntryAddresses, PeerAddress
from yewloom.entry_exchange import EntryExchange
from yewloom.entry_states import PeerStates
from yewloom.follow_duty import FollowDuty, FollowStatus
from yewloom.follow_times import FollowTimes
from yewloom.ids import EntryHostId
from yewloom.own_state import OwnStateBuilder
from yewloom.peer_intake import PeerIntake
from yewloom.schema.entry_pb2 import EntryAddress, EntryState
from yewloom.tests.entry_support import DATA_CENTRE
from yewloom.tests.free_ports import allocate_address
from yewloom.tests.support import FakePlatform, run_on_mock_clock
from yewloom.writes import to_json

OWN_ID, PEER = EntryHostId("me"), EntryHostId("peer")

LIMIT_S = 20.0
"""Longest wait for peers to hear from each other, which takes some 0.4 s."""


class _OwnState:
    """A state with only the host's identity and sequence numbers."""

    def __init__(self, host: EntryHostId) -> None:
        self._host = host
        self._sequence = 0

    def next_state(self, now_s: float) -> EntryState:
        """Return the next state."""
        self._sequence += 1
        return EntryState(
            host_id=self._host,
            data_centre=DATA_CENTRE,
            started_unix_ms=1,
            sequence=self._sequence,
            sent_ms=int(now_s * 1000),
        )


class _Host:
    """The exchange of one entry host, with an empty store."""

    def __init__(self, host: EntryHostId) -> None:
        self.peer_states = PeerStates(host, DATA_CENTRE, 1)
        self.addresses = _addresses(host, allocate_address(), FakePlatform(), self.peer_states)
        times = FollowTimes(0.8, 1.15, 1.3)
        duty = FollowDuty(host, self.peer_states, lambda: FollowStatus(False, False), times, 0.5)
        intake = Mock(spec=PeerIntake)
        intake.process = lambda message, now_s, arrived_s: self.peer_states.update(
            message.state, now_s
        )
        own_state = cast(OwnStateBuilder, _OwnState(host))
        self.exchange = EntryExchange(self.addresses, self.peer_states, duty, own_state, intake)


def _addresses(
    host: EntryHostId, address: str, platform: FakePlatform, peer_states: PeerStates | None = None
) -> EntryAddresses:
    peer_states = peer_states or PeerStates(host, DATA_CENTRE)
    return EntryAddresses(host, PeerAddress(address, DATA_CENTRE), platform, platform, peer_states)


class TestPublishing(unittest.TestCase):
    """A host writes its address only if the store does not have it yet."""

    def _count_writes(self, stored: str | None) -> int:
        """Return the number of writes of a host at 10.0.0.1:1, given the address already stored."""
        platform = FakePlatform()

        async def main() -> None:
            if stored is not None:
                before = to_json(EntryAddress(address=stored, data_centre=DATA_CENTRE))
                await platform.update(f"{ADDRESS_KIND}/{OWN_ID}", before, 0)
            platform.calls.clear()
            with trio.move_on_after(60):
                await _addresses(OWN_ID, "10.0.0.1:1", platform).run()

        run_on_mock_clock(main)
        self.assertIn("10.0.0.1:1", platform.objects[f"{ADDRESS_KIND}/{OWN_ID}"].value)
        return platform.calls["update"]

    def test_host_that_restarts_at_the_same_address_writes_nothing(self) -> None:
        self.assertEqual(self._count_writes("10.0.0.1:1"), 0)

    def test_host_that_is_new_or_has_moved_writes_its_address_once(self) -> None:
        self.assertEqual(self._count_writes(None), 1)
        self.assertEqual(
            self._count_writes("10.0.0.2:1"), 2
        )  # The first write conflicts with the old address.


class TestReportedAddresses(unittest.TestCase):
    """A peer that is not in the list read from the store yet reports its own address."""

    def test_address_from_the_store_takes_precedence_over_a_reported_one(self) -> None:
        platform = FakePlatform()
        addresses = _addresses(OWN_ID, "10.0.0.1:1", platform)
        reported, stored = (
            PeerAddress("10.0.0.2:1", DATA_CENTRE),
            PeerAddress("10.0.0.3:1", DATA_CENTRE),
        )
        self.assertTrue(addresses.add_reported(PEER, reported))
        self.assertEqual(addresses.by_peer, {PEER: reported})
        addresses.by_peer[PEER] = stored
        self.assertFalse(addresses.add_reported(PEER, reported))
        self.assertFalse(addresses.add_reported(OWN_ID, reported))
        self.assertEqual(addresses.by_peer, {PEER: stored})

    def test_two_hosts_hear_from_each_other_although_only_one_knows_the_other(self) -> None:
        async def main() -> None:
            hosts = [_Host(OWN_ID), _Host(PEER)]
            hosts[0].addresses.by_peer[PEER] = hosts[1].addresses.own
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    nursery.start_soon(host.exchange.run)
                with trio.fail_after(LIMIT_S):
                    while not all(h.peer_states.live_peer_count() for h in hosts):  # noqa: ASYNC110 - no event
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(main)
