"""Soaks with seeds that failed once, for regressions of the faults that they found."""

import unittest

from yewloom.tests.soak.faults import FaultMix
from yewloom.tests.soak.run import SoakPlan
from yewloom.tests.soak_support import assert_clean

FAILED_SEEDS = {
    101: FaultMix.FAULTS,
    204: FaultMix.SIGNALS,
    405: FaultMix.BOTH,
    434: FaultMix.SIGNALS,
}
"""Seeds that failed once, and the mix that each was run with. They found these faults:

101: a stopping host went on accepting connections, and cut off the last request.
204: a stopping host accepted requests on connections whose answers ended after the notice period,
and cut them off. Seeds 200 to 229 found the same. In seed 219 a reload also ended a host that was
starting, which test_entry_process tests.
405, 434: a host that was stopped while it started reset connections that callers had opened during
its imports. Seed 435 found the same.
"""

CUT_LINKS_SEED = 7
"""Seed that failed with links to engines cut: an engine was ordered to join a group while its old
group was still open. The leader of the old group was unlisted, and unreachable for the coordinator
only."""


class TestFailedSeeds(unittest.TestCase):
    """Soaks with entry hosts as processes and injected faults."""

    def test_seeds_that_failed_once_break_no_promise(self) -> None:
        for seed, mix in FAILED_SEEDS.items():
            with self.subTest(seed=seed):
                assert_clean(self, SoakPlan(seed, 15.0, entries=4, engines=6, mix=mix))

    def test_a_seed_with_cut_engine_links_has_no_violations(self) -> None:
        plan = SoakPlan(CUT_LINKS_SEED, 20.0, entries=4, engines=6, mix=FaultMix.WAYS)
        assert_clean(self, plan)
