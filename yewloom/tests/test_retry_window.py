"""Tests of the retry budget."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.entry_states import PeerStates
from yewloom.ids import EntryHostId
from yewloom.retry_window import RetryBudget
from yewloom.tests.entry_support import DATA_CENTRE, PLAIN

STEPS = st.lists(st.tuples(st.booleans(), st.floats(0, 3)), max_size=60)


class TestRetryBudget(unittest.TestCase):
    """In any window, retries stay within a ratio of its requests or of those before it."""

    @given(STEPS)
    def test_retries_in_any_window_are_bounded(self, steps: list[tuple[bool, float]]) -> None:
        budget, now_s = RetryBudget(0.2, 10.0, lambda: 3.0), 0.0
        requests: list[float] = []
        retries: list[float] = []
        for is_request, pause_s in steps:
            now_s += pause_s
            if is_request:
                budget.on_request(PLAIN, now_s)
                requests.append(now_s)
            elif budget.try_acquire(PLAIN, now_s):
                retries.append(now_s)
                for from_s in retries:
                    used = sum(from_s <= time_s <= from_s + 10.0 for time_s in retries)
                    within = sum(from_s <= time_s <= from_s + 10.0 for time_s in requests)
                    before = sum(from_s - 10.0 <= time_s <= from_s for time_s in requests)
                    self.assertLessEqual(used, 0.2 * max(within, before) + 3.0 + 1e-6)

    @given(st.integers(1, 80), st.floats(1, 300))
    def test_the_shares_of_all_hosts_sum_up_to_the_extra_at_most(
        self, hosts: int, extra: float
    ) -> None:
        peer_states = PeerStates(EntryHostId("h0"), DATA_CENTRE)
        for number in range(hosts):
            peer_states.add_host(EntryHostId(f"h{number}"))
        share = extra / peer_states.sharing_host_count()
        self.assertLessEqual(share * hosts, extra * 1.000001)

    # Guards against memory that grows while no request is retried.
    def test_requests_are_forgotten_without_any_retry(self) -> None:
        budget = RetryBudget(0.2, 10.0, lambda: 1.0)
        for step in range(10_000):
            budget.on_request(PLAIN, step * 0.1)
        self.assertLessEqual(budget.remembered_requests(PLAIN), 400)

    def test_each_service_has_its_own_budget(self) -> None:
        budget = RetryBudget(0.0, 10.0, lambda: 1.0)
        self.assertTrue(budget.try_acquire(PLAIN, 0.0))
        self.assertFalse(budget.try_acquire(PLAIN, 0.0))
        self.assertTrue(budget.try_acquire(type(PLAIN)("other"), 0.0))
