"""Tests of which peers get a message: the pattern is a data centre of many entry hosts."""

import unittest

from yewloom.ids import EntryHostId
from yewloom.peer_turns import NEAR_PEERS_AT_ONCE, REMOTE_PEERS_AT_ONCE, PeerTurns


def _hosts(name: str, count: int) -> list[EntryHostId]:
    return [EntryHostId(f"{name}-{number:02}") for number in range(count)]


class TestPeerTurns(unittest.TestCase):
    """What a host sends grows with its peers up to a bound."""

    def test_a_small_deployment_hears_each_message(self) -> None:
        near, remote = _hosts("near", 2), _hosts("remote", 6)
        self.assertEqual(PeerTurns().next(near, remote, always=()), [*near, *remote])

    def test_on_a_large_one_each_peer_has_its_turn_as_often_as_the_others(self) -> None:
        near, remote, turns = _hosts("near", 22), _hosts("remote", 45), PeerTurns()
        told: list[EntryHostId] = []
        for _ in range(22 * 45):
            message = turns.next(near, remote, always=())
            self.assertEqual(len(message), NEAR_PEERS_AT_ONCE + REMOTE_PEERS_AT_ONCE)
            told += message
        self.assertEqual(len({told.count(peer) for peer in near}), 1)
        self.assertEqual(len({told.count(peer) for peer in remote}), 1)

    def test_news_and_a_followers_word_go_to_all_that_are_near(self) -> None:
        near, turns = _hosts("near", 22), PeerTurns()
        self.assertEqual(turns.next(near, [], always=near), near)

    def test_followers_get_each_message_beside_those_whose_turn_it_is(self) -> None:
        near, turns = _hosts("near", 22), PeerTurns()
        for _ in range(5):
            told = turns.next(near, [], always={near[3], near[9]})
            self.assertLessEqual({near[3], near[9]}, set(told))
            self.assertEqual(len(told), len(set(told)))
            self.assertEqual(len(told), NEAR_PEERS_AT_ONCE + 2)

    def test_a_host_that_is_alone_tells_nobody(self) -> None:
        self.assertEqual(PeerTurns().next([], [], always=()), [])
