"""Tests of the signs that a group stands still."""

import unittest

from yewloom.ids import HostId
from yewloom.stalls import (
    FIRST_EVENT_TIMEOUT_S,
    PEER_REPORTED_QUIET_S,
    QUIET_S,
    REPORT_S,
    StallDetector,
)

LEADER = HostId("h")


class TestStallDetector(unittest.TestCase):
    """Silence of all streams of a group, and who hears of it."""

    def test_one_stream_that_moves_speaks_for_the_group(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        stalls.on_begin(LEADER, 0.0)
        stalls.on_event(LEADER, 1.0)
        self.assertFalse(stalls.is_stalled(LEADER, 1.0 + QUIET_S - 0.01))
        self.assertTrue(stalls.is_stalled(LEADER, 1.0 + QUIET_S + 0.01))

    def test_streams_without_events_may_wait_longer(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        self.assertFalse(stalls.is_stalled(LEADER, QUIET_S + 0.01))
        self.assertTrue(stalls.is_stalled(LEADER, FIRST_EVENT_TIMEOUT_S))

    def test_a_new_stream_after_all_ended_begins_afresh(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        stalls.on_event(LEADER, 0.1)
        stalls.on_end(LEADER)
        self.assertFalse(stalls.is_stalled(LEADER, 50.0))
        stalls.on_begin(LEADER, 50.0)
        self.assertFalse(stalls.is_stalled(LEADER, 50.0 + QUIET_S))

    def test_a_full_engine_is_no_news_for_others(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        stalls.report(LEADER, 2.0)
        self.assertEqual(stalls.reported(2.0), [])
        stalls.on_event(LEADER, 3.0)
        stalls.report(LEADER, 4.0)
        self.assertEqual(stalls.reported(4.0), [LEADER])

    def test_reports_of_peers_are_not_told_on_and_run_out(self) -> None:
        stalls = StallDetector()
        stalls.report_by_peer(LEADER, 0.0)
        self.assertEqual(stalls.reported(0.1), [])
        self.assertEqual(stalls.suspected(0.1), {LEADER})
        self.assertEqual(stalls.suspected(REPORT_S), set())

    def test_a_peer_who_saw_a_group_stop_speaks_for_streams_without_an_event(self) -> None:
        """A head's group loses a member while requests of several hosts wait at it."""
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        stalls.report_by_peer(LEADER, 0.1)
        self.assertFalse(stalls.is_stalled(LEADER, 0.1))
        self.assertTrue(stalls.is_stalled(LEADER, PEER_REPORTED_QUIET_S))
        self.assertLessEqual(stalls.next_check_s(LEADER, 0.1), PEER_REPORTED_QUIET_S)

    def test_a_peer_that_can_not_reach_a_head_says_nothing_of_its_streams_elsewhere(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        stalls.report_unreachable_by_peer(LEADER, 0.1)
        self.assertFalse(stalls.is_stalled(LEADER, 0.5))
        self.assertEqual(stalls.suspected(0.5), {LEADER})

    def test_a_group_that_moves_on_is_not_left_for_a_peers_word(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        stalls.report_by_peer(LEADER, 0.3)
        stalls.on_event(LEADER, 0.35)
        self.assertFalse(stalls.is_stalled(LEADER, 0.35 + PEER_REPORTED_QUIET_S - 0.01))

    def test_only_the_first_of_several_reports_is_news(self) -> None:
        news: list[None] = []
        stalls = StallDetector(lambda: news.append(None))
        for now_s in (0.0, 0.1, REPORT_S - 0.01):
            stalls.report(LEADER, now_s)
        self.assertEqual(len(news), 1)
        stalls.report_unreachable(LEADER, 0.0)
        self.assertEqual(len(news), 2)


class TestRestart(unittest.TestCase):
    """A head that started again is suspected of nothing."""

    def test_an_event_that_was_read_late_proves_no_later_movement(self) -> None:
        """Guards against old words that a host which stood still takes for new ones."""
        stalls = StallDetector()
        stalls.on_begin(LEADER, 0.0)
        stalls.on_event(LEADER, 5.0, late_s=3.0)
        self.assertFalse(stalls.moved_since(LEADER, 2.0))
        self.assertTrue(stalls.moved_since(LEADER, 1.9))
        self.assertFalse(stalls.is_stalled(LEADER, 5.0 + QUIET_S - 0.01))
        stalls.report_unreachable_by_peer(LEADER, 5.0)
        self.assertEqual(stalls.moving(5.0), {})

    def test_reports_of_the_earlier_process_count_no_more(self) -> None:
        stalls = StallDetector()
        for report in (
            stalls.report,
            stalls.report_unreachable,
            stalls.report_by_peer,
            stalls.report_unreachable_by_peer,
        ):
            report(LEADER, 1.0)
            self.assertEqual(stalls.suspected(1.1), {LEADER})
            stalls.forget(LEADER)
            self.assertEqual(stalls.suspected(1.1), set())
