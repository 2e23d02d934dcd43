"""Tests of the median functions against those of the standard library."""

import statistics
import subprocess
import sys
import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.medians import median, median_low

VALUES = st.lists(st.floats(0.0, 1e6), min_size=1)


class TestMedians(unittest.TestCase):
    """They return the same values, without an import that would slow down the start."""

    @given(VALUES)
    def test_medians_equal_those_of_the_standard_library(self, values: list[float]) -> None:
        self.assertEqual(median(values), statistics.median(values))
        self.assertEqual(median_low(values), statistics.median_low(values))

    def test_the_program_does_not_import_statistics(self) -> None:
        code = "import sys, yewloom.platform.program; print('statistics' in sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertEqual(done.stdout.strip(), b"False")
