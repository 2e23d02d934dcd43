"""Tests of the datagram exchange between entry hosts."""

import unittest
from unittest.mock import Mock

import trio

from yewloom.entry_addresses import EntryAddresses, PeerAddress
from yewloom.entry_exchange import EntryExchange
from yewloom.entry_states import PeerBoard
from yewloom.follow_duty import FollowDuty
from yewloom.ids import EntryHostId
from yewloom.own_state import OwnState
from yewloom.peer_intake import PeerIntake
from yewloom.tests.entry_support import HALL
from yewloom.tests.free_ports import free_address
from yewloom.tests.support import FakePlatform

ME = EntryHostId("me")


class TestEntryExchange(unittest.TestCase):
    """Recovery from errors."""

    def test_exchange_can_be_run_again_after_an_error(self) -> None:
        async def main() -> None:
            board = PeerBoard(ME, HALL)
            own = PeerAddress(free_address(), HALL)
            addresses = EntryAddresses(ME, own, FakePlatform(), FakePlatform(), board)
            parts = [Mock(spec=part) for part in (FollowDuty, OwnState, PeerIntake)]
            exchange = EntryExchange(addresses, board, *parts)
            for _ in range(2):
                with trio.move_on_after(0.05) as timer:
                    await exchange.run()
                self.assertTrue(timer.cancelled_caught)

        trio.run(main)
