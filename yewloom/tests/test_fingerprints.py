"""Tests of request fingerprints."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.fingerprints import compute_fingerprint, format_fingerprint
from yewloom.ids import CustomerId, Fingerprint

CUSTOMERS = st.none() | st.sampled_from([CustomerId("a"), CustomerId("ab")])
REQUESTS = st.tuples(
    st.sampled_from(["", "h", "ha"]),
    st.binary(max_size=3),
    CUSTOMERS,
    st.binary(max_size=3),
)


class TestFingerprints(unittest.TestCase):
    """Equal requests have equal fingerprints, and different ones differ."""

    @given(REQUESTS, REQUESTS)
    def test_two_requests_share_a_fingerprint_only_if_they_are_equal(
        self,
        one: tuple[str, bytes, CustomerId | None, bytes],
        other: tuple[str, bytes, CustomerId | None, bytes],
    ) -> None:
        same = compute_fingerprint(*one) == compute_fingerprint(*other)
        self.assertEqual(same, one == other)

    def test_a_fingerprint_is_formatted_as_sixteen_digits(self) -> None:
        self.assertEqual(format_fingerprint(Fingerprint(255)), "00000000000000ff")
