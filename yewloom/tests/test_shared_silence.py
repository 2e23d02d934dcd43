"""Tests of which endpoints are likely to be silent."""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from yewloom.directory import Endpoint
from yewloom.ids import DataCentreId, HostId
from yewloom.shared_silence import MIN_SILENT, find_silent
from yewloom.stall_timeouts import DEFAULT_STALL_TIMEOUT_S
from yewloom.stalls import FIRST_EVENT_TIMEOUT_S, SILENT_SHARE, Activity, StallDetector
from yewloom.tests.entry_support import make_plain

SILENT_S = SILENT_SHARE * DEFAULT_STALL_TIMEOUT_S


class TestSharedSilence(unittest.TestCase):
    """Most silent endpoints of a data centre speak for those of which nothing is known."""

    def _find(self, *activities: Activity, tried: int = 0, data_centres: int = 1) -> set[str]:
        """Return the endpoints that are found silent, by number; the first ones were tried."""
        stalls = StallDetector()
        endpoints: list[Endpoint] = []
        for number, activity in enumerate(activities):
            endpoint = make_plain(str(number))
            place = DataCentreId(f"hall-{number % data_centres}")
            endpoints.append(replace(endpoint, data_centre=place))
            if activity is not Activity.UNKNOWN:
                stalls.on_stream_start(endpoint.id, 0.0)
                stalls.on_event(endpoint.id, 10.0 if activity is Activity.ACTIVE else 0.0)
        tried_ids = {HostId(str(number)) for number in range(tried)}
        return set(find_silent(endpoints, tried_ids, stalls, 10.0))

    def test_silent_endpoints_speak_for_unknown_ones_if_they_are_most(self) -> None:
        unknown, active, silent = Activity.UNKNOWN, Activity.ACTIVE, Activity.SILENT
        self.assertEqual(self._find(silent, silent, unknown), {"0", "1", "2"})
        self.assertEqual(self._find(silent, silent, silent, active, unknown), {"0", "1", "2", "4"})
        self.assertEqual(self._find(silent, silent, active, active, unknown), {"0", "1"})
        self.assertEqual(self._find(silent, unknown), {"0"})
        self.assertEqual(self._find(unknown, unknown), set())

    def test_the_endpoint_at_which_the_request_is_speaks_for_none(self) -> None:
        """Guards against a hanging endpoint that is left late since another one is silent too."""
        silent, unknown = Activity.SILENT, Activity.UNKNOWN
        self.assertEqual(self._find(silent, silent, unknown, tried=1), {"1"})

    def test_endpoints_speak_for_their_own_data_centre_only(self) -> None:
        silent, unknown = Activity.SILENT, Activity.UNKNOWN
        found = self._find(silent, unknown, silent, unknown, unknown, data_centres=2)
        self.assertEqual(found, {"0", "2", "4"})

    @given(st.lists(st.sampled_from(Activity), max_size=8))
    def test_an_active_endpoint_is_never_held_back(self, activities: list[Activity]) -> None:
        found = self._find(*activities)
        for number, activity in enumerate(activities):
            if activity is Activity.ACTIVE:
                self.assertNotIn(str(number), found)
            elif activity is Activity.SILENT:
                self.assertIn(str(number), found)
        if activities.count(Activity.SILENT) < MIN_SILENT:
            self.assertEqual(len(found), activities.count(Activity.SILENT))


class TestActivity(unittest.TestCase):
    """What the streams of this host show of an endpoint."""

    def test_an_endpoint_is_silent_for_a_part_of_its_stall_timeout_before_it_has_stalled(
        self,
    ) -> None:
        stalls, host = StallDetector(), HostId("h")
        self.assertIs(stalls.activity_of(host, 0.0), Activity.UNKNOWN)
        stalls.on_stream_start(host, 0.0)
        self.assertIs(stalls.activity_of(host, 0.0), Activity.UNKNOWN)
        waiting_s = SILENT_SHARE * FIRST_EVENT_TIMEOUT_S
        self.assertIs(stalls.activity_of(host, waiting_s), Activity.SILENT)
        stalls.on_event(host, 5.0)
        self.assertIs(stalls.activity_of(host, 5.0 + SILENT_S - 0.01), Activity.ACTIVE)
        self.assertIs(stalls.activity_of(host, 5.0 + SILENT_S + 0.01), Activity.SILENT)
        self.assertFalse(stalls.is_stalled(host, 5.0 + SILENT_S + 0.01))
        stalls.on_stream_end(host)
        self.assertIs(stalls.activity_of(host, 9.0), Activity.UNKNOWN)
