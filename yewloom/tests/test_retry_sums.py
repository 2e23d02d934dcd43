"""Tests that the retries of all entry hosts together stay within their bound."""

import math
import random
import unittest
from collections.abc import Callable
from functools import partial

from yewloom.tests.retry_deployment import RetryDeployment

HOSTS = 8
SMALL_EXTRA, LARGE_EXTRA = 10.0, 100.0
INTERVAL_S = 0.0125
"""Time between two requests to the deployment."""

OUTAGE_S = 16.0
"""Time from which on each request fails and a retry is wanted."""

END_S = 46.0

HELD_UP_S = 3.3
"""Longest time for which links hold up what is sent."""


def _play(
    choose_host: Callable[[float], int],
    restarted_at: Callable[[float], int | None] = lambda now_s: None,
    extra: float = SMALL_EXTRA,
) -> RetryDeployment:
    """Send requests to hosts, restart some of them, and retry each request from OUTAGE_S on."""
    deployment = RetryDeployment(HOSTS, extra)
    for step in range(round(END_S / INTERVAL_S)):
        now_s = step * INTERVAL_S
        restarted = restarted_at(now_s)
        if restarted is not None:
            deployment.restart(restarted, now_s)
        host = choose_host(now_s)
        deployment.request(host, now_s)
        if now_s >= OUTAGE_S:
            deployment.retry(host, now_s)
    return deployment


class TestSumOfRetries(unittest.TestCase):
    """Each host knows only its own requests and retries, yet the sum is bounded."""

    def setUp(self) -> None:
        self.rng = random.Random(1)

    def _any_host(self, now_s: float) -> int:
        return self.rng.randrange(HOSTS)

    def _crowded_host(self, crowded: int) -> int:
        return crowded if self.rng.random() < 0.9 else self._any_host(0.0)

    def test_callers_stay_at_their_hosts(self) -> None:
        deployment = _play(self._any_host)
        self.assertLessEqual(deployment.excess(), 0.0)

    def _host_of_crowd(self, period_s: float, now_s: float) -> int:
        return self._crowded_host(int(now_s / period_s) % HOSTS)

    # Guards against BUDGET violations: requests at one host covered retries long after its
    # callers had moved on and covered more retries elsewhere.
    def test_callers_crowd_at_another_host_every_few_seconds(self) -> None:
        for period_s in (2.5, 5.0, 10.0, 12.0):
            deployment = _play(partial(self._host_of_crowd, period_s))
            self.assertLessEqual(deployment.excess(), 0.0, period_s)

    # Guards against BUDGET violations: a process that started used the extra retries that its
    # predecessor had used before.
    def test_hosts_restart_again_and_again(self) -> None:
        steps_between = round(0.6 / INTERVAL_S)

        def restarted_at(now_s: float) -> int | None:
            step = round(now_s / INTERVAL_S)
            return step // steps_between % HOSTS if step % steps_between == 0 else None

        for extra in (SMALL_EXTRA, LARGE_EXTRA):
            deployment = _play(self._any_host, restarted_at, extra)
            self.assertLessEqual(deployment.excess(), 0.0, extra)

    # Guards against BUDGET violations: hosts also counted requests that others do not count, such
    # as those that only test which configuration is in force.
    def test_a_part_of_the_requests_counts_at_hosts_only(self) -> None:
        deployment = RetryDeployment(HOSTS, SMALL_EXTRA)
        for step in range(round(END_S / INTERVAL_S)):
            now_s, host = step * INTERVAL_S, self._any_host(0.0)
            deployment.request(host, now_s, is_counted=step % 6 > 0)
            if now_s >= OUTAGE_S:
                deployment.retry(host, now_s)
        self.assertLessEqual(deployment.excess(), 0.0)

    # Guards against BUDGET violations: retries counted when they were allowed, and reached their
    # endpoints together once their links worked again.
    def test_retries_are_held_up_on_their_way(self) -> None:
        deployment = RetryDeployment(HOSTS, LARGE_EXTRA)
        for step in range(round(END_S / INTERVAL_S)):
            now_s, host = step * INTERVAL_S, self._any_host(0.0)
            deployment.request(host, now_s)
            if now_s >= OUTAGE_S:
                arrives_s = math.ceil((now_s + 1e-6) / HELD_UP_S) * HELD_UP_S
                deployment.retry(host, now_s, arrives_s)
        self.assertLessEqual(deployment.excess(), 0.0)

    def test_random_crowds_and_restarts(self) -> None:
        for seed in range(20):
            self.rng.seed(seed)
            crowded = 0

            def choose(now_s: float) -> int:
                nonlocal crowded
                if self.rng.random() < 0.01:
                    crowded = self._any_host(now_s)
                return self._crowded_host(crowded)

            def restarted_at(now_s: float) -> int | None:
                return self._any_host(now_s) if self.rng.random() < 0.02 else None

            extra = self.rng.choice((SMALL_EXTRA, LARGE_EXTRA))
            deployment = _play(choose, restarted_at, extra)
            self.assertLessEqual(deployment.excess(), 0.0, seed)
