"""Tests of what entry hosts learn from each other."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.entry_states import (
    MIN_REMOTE_STATE_TTL_S,
    MIN_STATE_TTL_S,
    PeerBoard,
    PeerConfirmations,
)
from yewloom.ids import EntryHostId, HostId
from yewloom.schema.entry_pb2 import EndpointLoad, EntryState, ListingWord
from yewloom.tests.entry_support import HALL

ME = EntryHostId("me")
STARTED_UNIX_MS = 7


def _state(
    sequence: int, running: int = 0, started: int = 1, echoed_ms: int = 0, version: int = 0
) -> EntryState:
    return EntryState(
        host_id="peer",
        data_centre=HALL,
        started_unix_ms=started,
        sequence=sequence,
        loads=[EndpointLoad(endpoint="a", running=running)] if running else [],
        echoed_ms=echoed_ms,
        echoed_started_unix_ms=STARTED_UNIX_MS,
        configuration_version=version,
        configuration_age_ms=1500,
    )


class TestPeerBoard(unittest.TestCase):
    """Load, and words on the configuration."""

    @given(st.permutations(list(range(1, 7))))
    def test_datagrams_in_any_order_leave_the_latest(self, order: list[int]) -> None:
        board = PeerBoard(ME, HALL, STARTED_UNIX_MS)
        for sequence in order:
            board.take(_state(sequence, running=sequence), 0.0)
        self.assertEqual(board.running(HostId("a")), 6)

    def test_a_peer_that_restarted_begins_anew(self) -> None:
        board = PeerBoard(ME, HALL, STARTED_UNIX_MS)
        board.take(_state(90, running=5, started=1), 0.0)
        board.take(_state(1, running=2, started=2), 0.0)
        board.take(_state(91, running=5, started=1), 0.0)
        self.assertEqual(board.running(HostId("a")), 2)

    def test_a_silent_peer_stops_counting(self) -> None:
        board = PeerBoard(ME, HALL, STARTED_UNIX_MS)
        board.take(_state(1, running=5), 0.0)
        board.drop_silent(MIN_STATE_TTL_S + 0.1)
        self.assertEqual(board.running(HostId("a")), 0)
        self.assertEqual(board.live_peers(), 0)

    def test_a_word_counts_from_what_this_host_had_sent(self) -> None:
        board = PeerBoard(ME, HALL, STARTED_UNIX_MS)
        state = _state(1, echoed_ms=50_000, version=7)
        word = board.take(state, 99.0).configuration
        assert word is not None
        # However long the datagram was on its way, it proves nothing later than that.
        self.assertEqual((word.version, word.confirmed_s), (7, 48.5))

    def test_an_echo_of_an_earlier_life_of_this_host_proves_nothing(self) -> None:
        board = PeerBoard(ME, HALL, started_unix_ms=STARTED_UNIX_MS + 1)
        # That life's clock had another origin, so its times mean nothing to this one.
        state = _state(1, echoed_ms=300_000_000, version=7)
        self.assertEqual(board.take(state, 99.0), PeerConfirmations())
        state = _state(2, echoed_ms=50_000, version=7)
        state.echoed_started_unix_ms = STARTED_UNIX_MS + 1
        self.assertIsNotNone(board.take(state, 99.0).configuration)

    def test_a_word_on_the_endpoints_counts_from_there_too(self) -> None:
        state = _state(1, echoed_ms=50_000)
        state.listing.CopyFrom(ListingWord(changed_at=3, position=9, age_ms=700))
        word = PeerBoard(ME, HALL, STARTED_UNIX_MS).take(state, 99.0).listing
        assert word is not None
        self.assertEqual((word.report.position, word.confirmed_s), (9, 49.3))

    def test_a_peer_elsewhere_is_heard_less_often_and_counts_longer(self) -> None:
        board = PeerBoard(ME, HALL, STARTED_UNIX_MS)
        state = _state(1, running=5)
        state.data_centre = "hall-b"
        board.take(state, 0.0)
        board.drop_silent(MIN_STATE_TTL_S + 0.1)
        self.assertEqual(board.running(HostId("a")), 5)
        board.drop_silent(MIN_REMOTE_STATE_TTL_S + 0.1)
        self.assertEqual(board.running(HostId("a")), 0)

    def test_without_an_echo_or_a_version_nothing_is_proved(self) -> None:
        board = PeerBoard(ME, HALL, STARTED_UNIX_MS)
        self.assertEqual(board.take(_state(1, version=7), 0.0), PeerConfirmations())
        self.assertEqual(board.take(_state(2, echoed_ms=1), 0.0), PeerConfirmations())

    def test_own_datagrams_are_ignored(self) -> None:
        board = PeerBoard(EntryHostId("peer"), HALL)
        self.assertEqual(board.take(_state(1, running=3), 0.0), PeerConfirmations())
        self.assertEqual(board.running(HostId("a")), 0)
