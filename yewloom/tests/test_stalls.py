"""Tests of the signs that a group stands still."""

import unittest

from yewloom.ids import HostId
from yewloom.stalls import FIRST_EVENT_S, QUIET_S, REPORT_S, StallDetector

HEAD = HostId("h")


class TestStallDetector(unittest.TestCase):
    """Silence of all streams of a group, and who hears of it."""

    def test_one_stream_that_moves_speaks_for_the_group(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(HEAD, 0.0)
        stalls.on_begin(HEAD, 0.0)
        stalls.on_event(HEAD, 1.0)
        self.assertFalse(stalls.is_stalled(HEAD, 1.0 + QUIET_S - 0.01))
        self.assertTrue(stalls.is_stalled(HEAD, 1.0 + QUIET_S + 0.01))

    def test_streams_without_events_may_wait_longer(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(HEAD, 0.0)
        self.assertFalse(stalls.is_stalled(HEAD, QUIET_S + 0.01))
        self.assertTrue(stalls.is_stalled(HEAD, FIRST_EVENT_S))

    def test_a_new_stream_after_all_ended_begins_afresh(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(HEAD, 0.0)
        stalls.on_event(HEAD, 0.1)
        stalls.on_end(HEAD)
        self.assertFalse(stalls.is_stalled(HEAD, 50.0))
        stalls.on_begin(HEAD, 50.0)
        self.assertFalse(stalls.is_stalled(HEAD, 50.0 + QUIET_S))

    def test_a_full_engine_is_no_news_for_others(self) -> None:
        stalls = StallDetector()
        stalls.on_begin(HEAD, 0.0)
        stalls.report(HEAD, 2.0)
        self.assertEqual(stalls.reported(2.0), [])
        stalls.on_event(HEAD, 3.0)
        stalls.report(HEAD, 4.0)
        self.assertEqual(stalls.reported(4.0), [HEAD])

    def test_reports_of_peers_are_not_told_on_and_run_out(self) -> None:
        stalls = StallDetector()
        stalls.report_by_peer(HEAD, 0.0)
        self.assertEqual(stalls.reported(0.1), [])
        self.assertEqual(stalls.suspected(0.1), {HEAD})
        self.assertEqual(stalls.suspected(REPORT_S), set())
