"""Tests of the load limits of data centres, in fleets with few and many data centres."""

import unittest

from yewloom.weight_loads import LOADS_WINDOW_S, compute_load_limit


class TestSupplyBounds(unittest.TestCase):
    """All data centres together stay within the rate limit of the weight store."""

    def test_the_sum_over_all_data_centres_is_within_the_rate(self) -> None:
        for data_centres in (1, 2, 5, 23):
            for loads_per_s in (1.0, 4.0, 77.0, 522.0):
                load_limit = compute_load_limit(False, loads_per_s, data_centres)
                rate = load_limit.max_loads / load_limit.window_s * data_centres
                self.assertLessEqual(rate, loads_per_s)
                self.assertGreaterEqual(load_limit.window_s, LOADS_WINDOW_S)

    def test_each_data_centre_may_load_at_times(self) -> None:
        self.assertEqual(compute_load_limit(False, 1.0, 23).max_loads, 1)

    def test_three_data_centres_use_30_percent_each(self) -> None:
        self.assertEqual(compute_load_limit(False, 77.0, 3).max_loads, int(77 * 5 * 0.3))
