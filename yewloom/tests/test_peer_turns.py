"""Tests of the selection of recipients in data centres with many entry hosts."""

import unittest
from collections.abc import Container, Sequence

from yewloom.entry_states import PeerStates
from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.peer_turns import (
    MIN_NEAR_RECIPIENTS,
    MIN_REMOTE_RECIPIENTS,
    NEAR_ROUND_S,
    REMOTE_ROUND_S,
    SEND_INTERVAL_S,
    RecipientSelector,
)
from yewloom.schema.entry_pb2 import EndpointLoad, EntryState
from yewloom.tests.entry_support import DATA_CENTRE


def _hosts(name: str, count: int) -> list[EntryHostId]:
    return [EntryHostId(f"{name}-{number:02}") for number in range(count)]


def _recipients(
    selector: RecipientSelector,
    near: Sequence[EntryHostId],
    remote: Sequence[EntryHostId],
    always: Container[EntryHostId],
) -> list[EntryHostId]:
    return [recipient.peer for recipient in selector.next_recipients(near, remote, always)]


class TestRecipientSelector(unittest.TestCase):
    """The number of recipients grows with the number of peers up to a bound."""

    def test_all_peers_of_a_small_deployment_get_each_message(self) -> None:
        near, remote = _hosts("near", 2), _hosts("remote", 6)
        self.assertEqual(_recipients(RecipientSelector(), near, remote, ()), [*near, *remote])

    def test_peers_of_a_large_deployment_get_equally_many_messages(self) -> None:
        near, remote, selector = _hosts("near", 22), _hosts("remote", 45), RecipientSelector()
        recipients: list[EntryHostId] = []
        for _ in range(22 * 45):
            next_recipients = _recipients(selector, near, remote, ())
            self.assertEqual(len(next_recipients), MIN_NEAR_RECIPIENTS + MIN_REMOTE_RECIPIENTS)
            recipients += next_recipients
        self.assertEqual(len({recipients.count(peer) for peer in near}), 1)
        self.assertEqual(len({recipients.count(peer) for peer in remote}), 1)

    def test_all_near_peers_get_the_message_if_all_are_in_always(self) -> None:
        near, selector = _hosts("near", 22), RecipientSelector()
        self.assertEqual(_recipients(selector, near, [], near), near)

    def test_followers_get_each_message_in_addition_to_the_rotation(self) -> None:
        near, selector = _hosts("near", 22), RecipientSelector()
        for _ in range(5):
            recipients = _recipients(selector, near, [], {near[3], near[9]})
            self.assertLessEqual({near[3], near[9]}, set(recipients))
            self.assertEqual(len(recipients), len(set(recipients)))
            self.assertEqual(len(recipients), MIN_NEAR_RECIPIENTS + 2)

    def test_host_without_peers_sends_nothing(self) -> None:
        self.assertEqual(_recipients(RecipientSelector(), [], [], ()), [])


class TestIntervals(unittest.TestCase):
    """A live peer's state stays valid until its next message but one, in systems of any size.

    Otherwise the selection of endpoints would count slots with running requests as free.
    """

    def _loads_seen(self, near: int, remote: int) -> set[int]:
        """Return the loads seen by a near and a remote peer if every second message is lost."""
        own_id, peers = EntryHostId("me"), (_hosts("near", near), _hosts("remote", remote))
        states_by_peer = {
            peers[0][-1]: PeerStates(EntryHostId("near"), DATA_CENTRE),
            peers[1][-1]: PeerStates(EntryHostId("remote"), DataCentreId("elsewhere")),
        }
        selector, sent, seen = RecipientSelector(), dict.fromkeys(states_by_peer, 0), set[int]()
        for step in range(int(6 * REMOTE_ROUND_S / SEND_INTERVAL_S)):
            now_s = step * SEND_INTERVAL_S
            for recipient in selector.next_recipients(*peers, always=()):
                if recipient.peer not in states_by_peer:
                    continue
                sent[recipient.peer] += 1
                if sent[recipient.peer] % 2:
                    state = EntryState(host_id=own_id, data_centre=DATA_CENTRE, sequence=step + 1)
                    state.loads.append(EndpointLoad(endpoint="a", running=5))
                    state.interval_ms = round(recipient.interval_s * 1000)
                    states_by_peer[recipient.peer].update(state, now_s)
            for peer, peer_states in states_by_peer.items():
                peer_states.drop_expired(now_s)
                if sent[peer]:
                    seen.add(peer_states.running(HostId("a")))
        return seen

    def test_load_of_a_live_peer_is_always_counted_at_any_size(self) -> None:
        for data_centres in (2, 5, 23):
            for hosts in (9, 195, 1100):
                near = max(2, hosts // data_centres)
                self.assertEqual(self._loads_seen(near, max(1, hosts - near)), {5})

    def test_no_peer_waits_longer_than_a_round(self) -> None:
        selector = RecipientSelector()
        for near, remote in ((2, 6), (42, 152), (220, 880)):
            recipients = selector.next_recipients(
                _hosts("near", near), _hosts("remote", remote), always=()
            )
            near_s = max(r.interval_s for r in recipients if r.peer.startswith("near"))
            remote_s = max(r.interval_s for r in recipients if r.peer.startswith("remote"))
            self.assertLessEqual(round(near_s, 6), NEAR_ROUND_S)
            self.assertLessEqual(round(remote_s, 6), REMOTE_ROUND_S)
