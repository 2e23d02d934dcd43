"""Tests of which model needs another replica."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.model_need import DEMAND_TIME_CONSTANT_S, DemandMeter, ModelNeed
from yewloom.tests.entry_support import LARGE, SMALL, make_profile

PROFILE = make_profile()
COUNTS = st.integers(0, 30)
DEMANDS = st.floats(0.1, 100)


def _need(large: int, small: int, demand_large: float = 1, demand_small: float = 1) -> ModelNeed:
    replicas = {LARGE: large, SMALL: small}
    return ModelNeed(PROFILE, replicas, {LARGE: demand_large, SMALL: demand_small})


class TestModelNeed(unittest.TestCase):
    """Models are ordered by their shortage of replicas relative to demand."""

    def test_model_with_the_fewest_replicas_for_its_demand_comes_first(self) -> None:
        self.assertEqual(_need(2, 8).models_by_need()[0].name, LARGE)
        self.assertEqual(_need(8, 2).models_by_need()[0].name, SMALL)
        self.assertEqual(_need(4, 4, demand_large=3).models_by_need()[0].name, LARGE)

    def test_equally_supplied_models_are_ordered_by_group_size(self) -> None:
        self.assertEqual(_need(4, 4).models_by_need()[0].name, SMALL)

    @given(COUNTS, COUNTS, DEMANDS, DEMANDS, st.integers(1, 3))
    def test_exchange_leaves_the_source_model_at_least_as_well_supplied(
        self, large: int, small: int, demand_large: float, demand_small: float, source_count: int
    ) -> None:
        need = _need(large, small, demand_large, demand_small)
        if need.is_exchange_worthwhile(SMALL, LARGE, source_count):
            left = small - source_count
            self.assertGreater(left, 0)
            self.assertGreaterEqual(left / demand_small, (large + 1) / demand_large)

    @given(COUNTS, COUNTS, DEMANDS, DEMANDS)
    def test_no_exchange_goes_both_ways(
        self, large: int, small: int, demand_large: float, demand_small: float
    ) -> None:
        need = _need(large, small, demand_large, demand_small)
        if need.is_exchange_worthwhile(SMALL, LARGE, 1):
            after = _need(large + 1, small - 1, demand_large, demand_small)
            self.assertFalse(after.is_exchange_worthwhile(LARGE, SMALL, 1) and large + 1 > small)


class TestDemandMeter(unittest.TestCase):
    """Demand is the number of running requests, averaged over several seconds."""

    def test_configured_shares_are_used_until_requests_arrive(self) -> None:
        demand = DemandMeter().demand(PROFILE)
        self.assertAlmostEqual(demand[LARGE], demand[SMALL], delta=0.2)

    def test_running_requests_dominate_configured_shares(self) -> None:
        meter = DemandMeter()
        for second in range(60):
            meter.sample({LARGE: 10, SMALL: 90}, float(second))
        demand = meter.demand(PROFILE)
        self.assertGreater(demand[SMALL], 5 * demand[LARGE])

    def test_single_sample_has_little_weight(self) -> None:
        meter = DemandMeter()
        meter.sample({LARGE: 50, SMALL: 50}, 0.0)
        meter.sample({LARGE: 0, SMALL: 500}, DEMAND_TIME_CONSTANT_S / 50)
        demand = meter.demand(PROFILE)
        self.assertLess(demand[SMALL], 2 * demand[LARGE])
