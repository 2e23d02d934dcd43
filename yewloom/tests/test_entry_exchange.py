"""Tests of the datagram exchange between entry hosts."""

import unittest
from unittest.mock import Mock

import trio

from yewloom.entry_addresses import EntryAddresses, PeerAddress
from yewloom.entry_exchange import EntryExchange
from yewloom.entry_states import PeerStates
from yewloom.follow_duty import FollowDuty
from yewloom.ids import EntryHostId
from yewloom.own_state import OwnStateBuilder
from yewloom.peer_intake import PeerIntake
from yewloom.tests.entry_support import DATA_CENTRE
from yewloom.tests.free_ports import allocate_address
from yewloom.tests.support import FakePlatform

OWN_ID = EntryHostId("me")


class TestEntryExchange(unittest.TestCase):
    """Recovery from errors."""

    def test_exchange_can_be_run_again_after_an_error(self) -> None:
        async def main() -> None:
            peer_states = PeerStates(OWN_ID, DATA_CENTRE)
            own = PeerAddress(allocate_address(), DATA_CENTRE)
            addresses = EntryAddresses(OWN_ID, own, FakePlatform(), FakePlatform(), peer_states)
            mocks = [Mock(spec=kind) for kind in (FollowDuty, OwnStateBuilder, PeerIntake)]
            exchange = EntryExchange(addresses, peer_states, *mocks)
            for _ in range(2):
                with trio.move_on_after(0.05) as timer:
                    await exchange.run()
                self.assertTrue(timer.cancelled_caught)

        trio.run(main)
