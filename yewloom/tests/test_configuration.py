"""Tests of the configuration's version and age."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.configuration import ConfigurationBook
from yewloom.tests.entry_support import make_configuration


class TestConfigurationBook(unittest.TestCase):
    """Versions never decrease, and the age is never understated."""

    @given(st.lists(st.tuples(st.integers(1, 9), st.floats(0, 100)), min_size=1))
    def test_highest_version_is_kept_whatever_the_order_of_reads(
        self, reads: list[tuple[int, float]]
    ) -> None:
        book = ConfigurationBook()
        highest = 0
        for version, asked_s in reads:
            is_newer = book.apply(make_configuration(version=version), asked_s)
            self.assertEqual(is_newer, version > highest)
            highest = max(highest, version)
            assert book.current is not None
            self.assertEqual(book.current.version, highest)

    def test_reading_an_older_version_does_not_confirm_the_current_one(self) -> None:
        book = ConfigurationBook()
        book.apply(make_configuration(version=5), proved_s=10.0)
        book.apply(make_configuration(version=4), proved_s=20.0)
        self.assertEqual(book.age_s(21.0), 11.0)

    def test_age_counts_from_the_time_of_the_request(self) -> None:
        book = ConfigurationBook()
        self.assertEqual(book.age_s(0.0), float("inf"))
        book.apply(make_configuration(), proved_s=10.0)
        book.confirm(12.0)
        book.confirm(11.0)
        self.assertEqual(book.age_s(15.0), 3.0)
