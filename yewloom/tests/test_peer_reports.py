"""Tests of what entry hosts tell each other of groups, from message to view."""

import unittest
from typing import cast

from yewloom.configuration import ConfigurationBook
from yewloom.crash_parts import CrashParts
from yewloom.crash_record import CRASHES, TELL_S, EndpointProcess
from yewloom.directory import EndpointDirectory
from yewloom.endpoint_limits import EndpointLimits
from yewloom.entry_states import LIMIT_SHARE_RETENTION_S, PeerBoard
from yewloom.follow_duty import Standing
from yewloom.followed_position import FollowedPosition
from yewloom.ids import EntryHostId, Fingerprint, HostId
from yewloom.limit_messages import LimitMessages
from yewloom.own_state import EntryIdentity, OwnState
from yewloom.peer_intake import PeerIntake
from yewloom.peer_reports import PeerReports
from yewloom.schema.entry_pb2 import EntryMessage, EntryState
from yewloom.selection import Selector
from yewloom.stalls import MOVING_S, READ_LATE_S, StallDetector
from yewloom.tests.entry_support import HALL, make_plain

HEAD = HostId("h")
GUILTY = Fingerprint(2**64 - 1)


class NoSelector:
    """Stands for a selector whose endpoints run nothing."""

    def running(self) -> dict[HostId, int]:
        """Return nothing."""
        return {}

    def avoid(self, endpoint: HostId, until_s: float) -> None:
        """Avoid nothing."""


class Host:
    """An entry host, as far as it tells of groups and hears of them."""

    def __init__(self, name: str) -> None:
        self.news = 0
        self.stalls = StallDetector(self._note_news)
        selector = cast(Selector, NoSelector())
        me = EntryIdentity(EntryHostId(name), HALL, 1)
        board = self.board = PeerBoard(me.host_id, HALL, 1)
        directory = self.directory = EndpointDirectory()
        book, followed = ConfigurationBook(), FollowedPosition()
        self.crashes = CrashParts(me.host_id, board.known_hosts, directory, self._note_news)
        self.limits = EndpointLimits(me.host_id, directory, board.sharing_hosts, self._note_news)
        self._own = OwnState(
            me,
            book,
            selector,
            self.stalls,
            followed,
            lambda: Standing(True, False),
            [self.crashes.messages, LimitMessages(self.limits)],
        )
        reports = PeerReports(self.stalls, selector)
        self._intake = PeerIntake(
            board,
            book,
            followed,
            lambda changes: None,
            reports,
            lambda: None,
            [self.crashes.messages, LimitMessages(self.limits)],
        )

    def _note_news(self) -> None:
        self.news += 1

    def message(self, now_s: float) -> EntryState:
        """Return what this host tells."""
        return self._own.next_state(now_s)

    def tell(self, other: "Host", now_s: float, read_late_s: float = 0.0) -> None:
        """Send the other host a message, which it may read late; both have one clock here."""
        sent = EntryMessage(state=self.message(now_s)).SerializeToString()
        other._intake.take(EntryMessage.FromString(sent), now_s + read_late_s, now_s)


class TestSuspectedGroups(unittest.TestCase):
    """A host that can't reach a leader learns whether its group moves for others."""

    def setUp(self) -> None:
        self.me, self.peer = Host("me"), Host("peer")
        self.peer.stalls.on_begin(HEAD, 0.0)
        self.peer.stalls.on_event(HEAD, 1.0)

    def test_a_peer_tells_of_movement_once_it_hears_of_the_suspicion(self) -> None:
        self.peer.tell(self.me, 1.1)
        self.assertFalse(self.me.stalls.moved_since(HEAD, 0.0))
        self.me.stalls.report_unreachable(HEAD, 1.1)
        self.me.tell(self.peer, 1.1)
        self.assertEqual(self.peer.news, 1)
        self.peer.tell(self.me, 1.1)
        self.assertTrue(self.me.stalls.moved_since(HEAD, 0.89))

    def test_a_word_tells_of_no_later_movement_than_it_shows(self) -> None:
        """It may have been read late."""
        self.me.stalls.report_unreachable(HEAD, 1.1)
        self.me.tell(self.peer, 1.1)
        self.peer.tell(self.me, 1.1)
        self.assertFalse(self.me.stalls.moved_since(HEAD, 1.0 - READ_LATE_S))
        self.peer.tell(self.me, 1.0 + MOVING_S + 0.1)  # Nothing has moved since.
        self.assertFalse(self.me.stalls.moved_since(HEAD, 1.0 - READ_LATE_S))

    def test_a_word_that_a_host_reads_late_tells_of_nothing_later(self) -> None:
        """Guards against old words that a host which stood still takes for new ones."""
        self.me.stalls.report_unreachable(HEAD, 1.1)
        self.me.tell(self.peer, 1.1)
        self.peer.tell(self.me, 1.1, read_late_s=5.0)
        self.assertFalse(self.me.stalls.moved_since(HEAD, 1.1))
        self.peer.stalls.report(HEAD, 1.2)
        self.peer.tell(self.me, 1.2, read_late_s=5.0)
        self.assertEqual(self.me.stalls.suspected(2.1), {HEAD})
        self.assertEqual(self.me.stalls.suspected(6.2), set())

    def test_a_stream_that_waits_for_its_first_event_moves_nothing(self) -> None:
        self.peer.stalls.on_end(HEAD)
        self.peer.stalls.on_begin(HEAD, 1.1)
        self.me.stalls.report_unreachable(HEAD, 1.1)
        self.me.tell(self.peer, 1.1)
        self.assertEqual(self.peer.news, 0)
        self.peer.tell(self.me, 1.1)
        self.assertFalse(self.me.stalls.moved_since(HEAD, 0.0))

    def test_own_streams_tell_of_movement_too_and_a_restart_ends_all_words(self) -> None:
        self.assertTrue(self.peer.stalls.moved_since(HEAD, 0.9))
        self.me.stalls.move_by_peer(HEAD, 0.0, 1.0)
        self.me.stalls.forget(HEAD)
        self.assertFalse(self.me.stalls.moved_since(HEAD, 0.0))


class TestCrashes(unittest.TestCase):
    """What a request did is known to all hosts, in whatever way they hear of it."""

    def setUp(self) -> None:
        self.me, self.peer, self.third = Host("me"), Host("peer"), Host("third")

    def _crash(self, host: Host, number: int, now_s: float = 1.0) -> None:
        process = EndpointProcess(HostId(f"e{number}"), 0)
        host.crashes.record.note_crash(process, [GUILTY], now_s)

    def _wait_s(self, host: Host, now_s: float) -> float:
        return host.crashes.quarantine.wait_s(GUILTY, now_s)

    def test_hosts_that_saw_one_crash_each_hold_the_request_once_they_told_each_other(self) -> None:
        for number, host in enumerate((self.me, self.peer, self.third)):
            self._crash(host, number)
        self.me.tell(self.peer, 1.1)
        self.assertEqual(self._wait_s(self.peer, 1.1), 0.0)
        self.third.tell(self.peer, 1.1)
        self.assertGreater(self._wait_s(self.peer, 1.1), 0.0)
        self.assertGreater(self.peer.news, 0)

    def test_a_host_that_missed_all_crashes_hears_of_the_verdict_from_any_other(self) -> None:
        """Guards against hosts that have just started, or were cut off, and send it once more."""
        for number in range(CRASHES):
            self._crash(self.me, number)
        self.me.tell(self.peer, 1.1)
        late_s = 1.1 + 2 * TELL_S
        self.peer.tell(self.third, late_s)
        held_s = self._wait_s(self.me, late_s)
        self.assertAlmostEqual(self._wait_s(self.third, late_s), held_s, delta=0.01)

    def test_a_request_that_was_let_go_is_let_go_by_all(self) -> None:
        for number in range(CRASHES):
            self._crash(self.me, number)
        self.me.tell(self.peer, 1.1)
        self.peer.crashes.quarantine.lift(GUILTY)
        self.peer.tell(self.me, 1.2)
        self.assertEqual(self._wait_s(self.me, 1.2), 0.0)

    def test_an_answer_clears_a_suspect_at_all_hosts(self) -> None:
        for number in range(CRASHES - 1):
            self._crash(self.me, number)
        self.me.tell(self.peer, 1.1)
        self.peer.crashes.record.note_answer(GUILTY, 2.0)
        self.peer.tell(self.me, 2.1)
        self._crash(self.me, CRASHES, 3.0)
        self.assertEqual(self._wait_s(self.me, 3.0), 0.0)

    def test_a_quiet_host_tells_nothing_of_crashes(self) -> None:
        message = self.me.message(1.0)
        self.assertFalse(message.crashed or message.answered or message.quarantined)


class TestLimits(unittest.TestCase):
    """Hosts that have not heard a limit themselves learn of it."""

    def setUp(self) -> None:
        self.me, self.peer = Host("me"), Host("peer")
        self.endpoint = make_plain("e")
        for host in (self.me, self.peer):
            host.directory.put(self.endpoint)

    def test_a_limit_that_one_host_heard_holds_at_the_others(self) -> None:
        self.me.limits.note(self.endpoint.id, 1.0, 1.0)
        self.assertEqual(self.me.news, 1)
        self.me.tell(self.peer, 1.1)
        self.assertGreater(self.peer.limits.wait_s(self.endpoint, 1.1), 0.0)

    def test_so_does_its_end(self) -> None:
        self.me.limits.note(self.endpoint.id, 1.0, 1.0)
        self.me.tell(self.peer, 1.1)
        self.me.limits.note(self.endpoint.id, None, 2.0)
        self.me.tell(self.peer, 2.1)
        self.assertEqual(self.peer.limits.wait_s(self.endpoint, 2.1), 0.0)

    def test_hosts_that_hear_each_other_divide_it(self) -> None:
        hosts = [Host(f"h{number}") for number in range(8)]
        for host in hosts:
            host.directory.put(self.endpoint)
            host.limits.note(self.endpoint.id, 1.0, 1.0)
        for source in hosts:
            for target in hosts:
                source.tell(target, 1.1)
        may_send = [host for host in hosts if host.limits.wait_s(self.endpoint, 20.0) == 0]
        self.assertEqual(len(may_send), 4)

    def test_a_host_that_fell_silent_keeps_its_part_for_a_time(self) -> None:
        """Guards against a limit that each side of a cut takes for its own."""
        self.me.tell(self.peer, 1.0)
        self.peer.board.drop_silent(10.0)
        self.assertEqual(len(self.peer.board.sharing_hosts(10.0)), 2)
        self.assertEqual(len(self.peer.board.sharing_hosts(1.0 + LIMIT_SHARE_RETENTION_S)), 1)
