"""Tests of the configuration's version and age."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.configuration import ConfigurationState
from yewloom.tests.entry_support import make_configuration


class TestConfigurationState(unittest.TestCase):
    """Versions never decrease, and the age is never understated."""

    @given(st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100)), min_size=1))
    def test_highest_version_is_kept_whatever_the_order_of_reads(
        self, reads: list[tuple[int, float]]
    ) -> None:
        configuration_state = ConfigurationState()
        highest = 0
        for version, confirmed_s in reads:
            is_newer = configuration_state.apply(make_configuration(version=version), confirmed_s)
            self.assertEqual(is_newer, version > highest)
            highest = max(highest, version)
            assert configuration_state.current is not None
            self.assertEqual(configuration_state.current.version, highest)

    def test_reading_an_older_version_does_not_confirm_the_current_one(self) -> None:
        configuration_state = ConfigurationState()
        configuration_state.apply(make_configuration(version=5), confirmed_s=10.0)
        configuration_state.apply(make_configuration(version=4), confirmed_s=20.0)
        self.assertEqual(configuration_state.age_s(21.0), 11.0)

    def test_age_counts_from_the_time_of_the_request(self) -> None:
        configuration_state = ConfigurationState()
        self.assertEqual(configuration_state.age_s(0.0), float("inf"))
        configuration_state.apply(make_configuration(), confirmed_s=10.0)
        configuration_state.confirm(12.0)
        configuration_state.confirm(11.0)
        self.assertEqual(configuration_state.age_s(15.0), 3.0)
