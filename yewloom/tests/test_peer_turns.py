"""Tests of which peers get a message: the pattern is a data centre of many entry hosts."""

import unittest
from collections.abc import Container, Sequence

from yewloom.entry_states import PeerBoard
from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.peer_turns import (
    MIN_NEAR_RECIPIENTS,
    MIN_REMOTE_RECIPIENTS,
    NEAR_ROUND_S,
    REMOTE_ROUND_S,
    SEND_INTERVAL_S,
    PeerTurns,
)
from yewloom.schema.entry_pb2 import EndpointLoad, EntryState
from yewloom.tests.entry_support import HALL


def _hosts(name: str, count: int) -> list[EntryHostId]:
    return [EntryHostId(f"{name}-{number:02}") for number in range(count)]


def _told(
    turns: PeerTurns,
    near: Sequence[EntryHostId],
    remote: Sequence[EntryHostId],
    always: Container[EntryHostId],
) -> list[EntryHostId]:
    return [turn.peer for turn in turns.next_turns(near, remote, always)]


class TestPeerTurns(unittest.TestCase):
    """What a host sends grows with its peers up to a bound."""

    def test_a_small_deployment_hears_each_message(self) -> None:
        near, remote = _hosts("near", 2), _hosts("remote", 6)
        self.assertEqual(_told(PeerTurns(), near, remote, ()), [*near, *remote])

    def test_on_a_large_one_each_peer_has_its_turn_as_often_as_the_others(self) -> None:
        near, remote, turns = _hosts("near", 22), _hosts("remote", 45), PeerTurns()
        told: list[EntryHostId] = []
        for _ in range(22 * 45):
            message = _told(turns, near, remote, ())
            self.assertEqual(len(message), MIN_NEAR_RECIPIENTS + MIN_REMOTE_RECIPIENTS)
            told += message
        self.assertEqual(len({told.count(peer) for peer in near}), 1)
        self.assertEqual(len({told.count(peer) for peer in remote}), 1)

    def test_news_and_a_followers_word_go_to_all_that_are_near(self) -> None:
        near, turns = _hosts("near", 22), PeerTurns()
        self.assertEqual(_told(turns, near, [], near), near)

    def test_followers_get_each_message_beside_those_whose_turn_it_is(self) -> None:
        near, turns = _hosts("near", 22), PeerTurns()
        for _ in range(5):
            told = _told(turns, near, [], {near[3], near[9]})
            self.assertLessEqual({near[3], near[9]}, set(told))
            self.assertEqual(len(told), len(set(told)))
            self.assertEqual(len(told), MIN_NEAR_RECIPIENTS + 2)

    def test_a_host_that_is_alone_tells_nobody(self) -> None:
        self.assertEqual(_told(PeerTurns(), [], [], ()), [])


class TestIntervals(unittest.TestCase):
    """A live peer's word counts until its next one but one, whatever the size of the system.

    A choice of endpoints would else take requests that run for places that are free.
    """

    def _loads_seen(self, near: int, remote: int) -> set[int]:
        """Return the loads that a near and a remote peer see while each second message is lost."""
        me, peers = EntryHostId("me"), (_hosts("near", near), _hosts("remote", remote))
        boards = {
            peers[0][-1]: PeerBoard(EntryHostId("near"), HALL),
            peers[1][-1]: PeerBoard(EntryHostId("remote"), DataCentreId("elsewhere")),
        }
        turns, told, seen = PeerTurns(), dict.fromkeys(boards, 0), set[int]()
        for step in range(int(6 * REMOTE_ROUND_S / SEND_INTERVAL_S)):
            now_s = step * SEND_INTERVAL_S
            for turn in turns.next_turns(*peers, always=()):
                if turn.peer not in boards:
                    continue
                told[turn.peer] += 1
                if told[turn.peer] % 2:
                    state = EntryState(host_id=me, data_centre=HALL, sequence=step + 1)
                    state.loads.append(EndpointLoad(endpoint="a", running=5))
                    state.interval_ms = round(turn.interval_s * 1000)
                    boards[turn.peer].take(state, now_s)
            for peer, board in boards.items():
                board.drop_silent(now_s)
                if told[peer]:
                    seen.add(board.running(HostId("a")))
        return seen

    def test_a_live_peer_counts_all_the_time_at_any_size(self) -> None:
        for data_centres in (2, 5, 23):
            for hosts in (9, 195, 1100):
                near = max(2, hosts // data_centres)
                self.assertEqual(self._loads_seen(near, max(1, hosts - near)), {5})

    def test_no_peer_waits_longer_for_its_turn_than_a_round(self) -> None:
        turns = PeerTurns()
        for near, remote in ((2, 6), (42, 152), (220, 880)):
            told = turns.next_turns(_hosts("near", near), _hosts("remote", remote), always=())
            near_s = max(t.interval_s for t in told if t.peer.startswith("near"))
            remote_s = max(t.interval_s for t in told if t.peer.startswith("remote"))
            self.assertLessEqual(round(near_s, 6), NEAR_ROUND_S)
            self.assertLessEqual(round(remote_s, 6), REMOTE_ROUND_S)
