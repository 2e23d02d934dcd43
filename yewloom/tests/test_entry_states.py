"""Tests of the states that entry hosts receive from each other."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.entry_states import (
    MIN_REMOTE_STATE_TTL_S,
    MIN_STATE_TTL_S,
    PeerConfirmations,
    PeerStates,
)
from yewloom.ids import EntryHostId, HostId
from yewloom.schema.entry_pb2 import EndpointLoad, EntryState, ListingWord
from yewloom.tests.entry_support import DATA_CENTRE

OWN_ID = EntryHostId("me")
STARTED_UNIX_MS = 7


def _state(
    sequence: int, running: int = 0, started: int = 1, echoed_ms: int = 0, version: int = 0
) -> EntryState:
    return EntryState(
        host_id="peer",
        data_centre=DATA_CENTRE,
        started_unix_ms=started,
        sequence=sequence,
        loads=[EndpointLoad(endpoint="a", running=running)] if running else [],
        echoed_ms=echoed_ms,
        echoed_started_unix_ms=STARTED_UNIX_MS,
        configuration_version=version,
        configuration_age_ms=1500,
    )


class TestPeerStates(unittest.TestCase):
    """Loads, and reports on the configuration and the endpoints."""

    @given(st.permutations(list(range(1, 7))))
    def test_latest_state_is_kept_whatever_the_order_of_datagrams(self, order: list[int]) -> None:
        peer_states = PeerStates(OWN_ID, DATA_CENTRE, STARTED_UNIX_MS)
        for sequence in order:
            peer_states.update(_state(sequence, running=sequence), 0.0)
        self.assertEqual(peer_states.running(HostId("a")), 6)

    def test_state_of_a_restarted_peer_replaces_that_of_its_earlier_process(self) -> None:
        peer_states = PeerStates(OWN_ID, DATA_CENTRE, STARTED_UNIX_MS)
        peer_states.update(_state(90, running=5, started=1), 0.0)
        peer_states.update(_state(1, running=2, started=2), 0.0)
        peer_states.update(_state(91, running=5, started=1), 0.0)
        self.assertEqual(peer_states.running(HostId("a")), 2)

    def test_loads_of_a_silent_peer_are_dropped(self) -> None:
        peer_states = PeerStates(OWN_ID, DATA_CENTRE, STARTED_UNIX_MS)
        peer_states.update(_state(1, running=5), 0.0)
        peer_states.drop_expired(MIN_STATE_TTL_S + 0.1)
        self.assertEqual(peer_states.running(HostId("a")), 0)
        self.assertEqual(peer_states.live_peer_count(), 0)

    def test_report_is_dated_to_the_echoed_message_of_this_host(self) -> None:
        peer_states = PeerStates(OWN_ID, DATA_CENTRE, STARTED_UNIX_MS)
        state = _state(1, echoed_ms=50_000, version=7)
        confirmed = peer_states.update(state, 99.0).configuration
        assert confirmed is not None
        # The datagram's delay must not make the report look more recent than the echoed message.
        self.assertEqual((confirmed.version, confirmed.confirmed_s), (7, 48.5))

    def test_echo_of_an_earlier_process_of_this_host_confirms_nothing(self) -> None:
        peer_states = PeerStates(OWN_ID, DATA_CENTRE, started_unix_ms=STARTED_UNIX_MS + 1)
        # The earlier process had a clock with another origin, so its times cannot be compared.
        state = _state(1, echoed_ms=300_000_000, version=7)
        self.assertEqual(peer_states.update(state, 99.0), PeerConfirmations())
        state = _state(2, echoed_ms=50_000, version=7)
        state.echoed_started_unix_ms = STARTED_UNIX_MS + 1
        self.assertIsNotNone(peer_states.update(state, 99.0).configuration)

    def test_report_on_the_endpoints_is_dated_to_the_echoed_message_too(self) -> None:
        state = _state(1, echoed_ms=50_000)
        state.listing.CopyFrom(ListingWord(changed_at=3, position=9, age_ms=700))
        confirmed = PeerStates(OWN_ID, DATA_CENTRE, STARTED_UNIX_MS).update(state, 99.0).listing
        assert confirmed is not None
        self.assertEqual((confirmed.report.position, confirmed.confirmed_s), (9, 49.3))

    def test_state_of_a_peer_in_another_data_centre_is_valid_for_longer(self) -> None:
        peer_states = PeerStates(OWN_ID, DATA_CENTRE, STARTED_UNIX_MS)
        state = _state(1, running=5)
        state.data_centre = "hall-b"
        peer_states.update(state, 0.0)
        peer_states.drop_expired(MIN_STATE_TTL_S + 0.1)
        self.assertEqual(peer_states.running(HostId("a")), 5)
        peer_states.drop_expired(MIN_REMOTE_STATE_TTL_S + 0.1)
        self.assertEqual(peer_states.running(HostId("a")), 0)

    def test_message_without_echo_or_version_confirms_nothing(self) -> None:
        peer_states = PeerStates(OWN_ID, DATA_CENTRE, STARTED_UNIX_MS)
        self.assertEqual(peer_states.update(_state(1, version=7), 0.0), PeerConfirmations())
        self.assertEqual(peer_states.update(_state(2, echoed_ms=1), 0.0), PeerConfirmations())

    def test_own_datagrams_are_ignored(self) -> None:
        peer_states = PeerStates(EntryHostId("peer"), DATA_CENTRE)
        self.assertEqual(peer_states.update(_state(1, running=3), 0.0), PeerConfirmations())
        self.assertEqual(peer_states.running(HostId("a")), 0)
