"""Tests of the back-off during store outages in data centres with many entry hosts."""

import unittest

from yewloom.store_retries import (
    IDLE_SPACING_S,
    JITTER,
    MAX_DUTY_FACTOR,
    MIN_IDLE_FACTOR,
    StoreBackoff,
)

FIRST_PAUSE_S = 0.2
OUTAGE_S = 9.0


def _calls(host: int, hosts: int, has_duty: bool) -> int:
    """Return the number of calls by a host in an outage; the first is at its start."""
    retries = StoreBackoff(FIRST_PAUSE_S, host / max(1, hosts - 1))
    calls, now_s = 0, 0.0
    while now_s < OUTAGE_S:
        calls += 1
        now_s += retries.pause_s(calls, has_duty, hosts)
    return calls


class TestStoreRetries(unittest.TestCase):
    """The rate of calls in an outage does not grow with the number of hosts."""

    def test_calls_of_hosts_without_the_duty_do_not_grow_with_their_number(self) -> None:
        for hosts in (9, 43, 48, 220):
            calls = sum(_calls(host, hosts, has_duty=False) for host in range(hosts))
            # Each host makes one call to notice the outage; after that all of them share one rate.
            min_interval_s = IDLE_SPACING_S * (1 - JITTER / 2)
            self.assertLessEqual(calls - hosts, OUTAGE_S / min_interval_s)

    def test_pause_in_a_small_data_centre_has_a_lower_bound(self) -> None:
        pause_s = StoreBackoff(FIRST_PAUSE_S, 0.5).pause_s(1, False, near_host_count=1)
        self.assertEqual(pause_s, FIRST_PAUSE_S * MIN_IDLE_FACTOR)

    def test_host_with_the_duty_retries_soon_and_then_less_often(self) -> None:
        retries = StoreBackoff(FIRST_PAUSE_S, 0.5)
        pauses_s = [retries.pause_s(failures, True, 43) for failures in range(1, 8)]
        self.assertEqual(pauses_s[0], FIRST_PAUSE_S)
        self.assertEqual(pauses_s, sorted(pauses_s))
        self.assertEqual(pauses_s[-1], FIRST_PAUSE_S * MAX_DUTY_FACTOR)

    def test_host_that_lacks_a_change_retries_soon_whatever_the_number_of_hosts(self) -> None:
        retries = StoreBackoff(FIRST_PAUSE_S, 0.5, longest_behind_s=0.8)
        pauses_s = [retries.pause_s(failures, False, 43, is_behind=True) for failures in (1, 2, 9)]
        self.assertEqual(pauses_s, [FIRST_PAUSE_S, 2 * FIRST_PAUSE_S, 0.8])

    def test_hosts_that_fail_at_the_same_time_do_not_retry_at_the_same_time(self) -> None:
        pauses_s = {StoreBackoff(FIRST_PAUSE_S, n / 10).pause_s(3, True, 9) for n in range(10)}
        self.assertEqual(len(pauses_s), 10)
