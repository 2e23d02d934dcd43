"""Tests of limits that endpoints announce: their division among hosts, and their updates."""

import math
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.endpoint_limits import MIN_PER_S, REPORT_PERIOD_S, EndpointLimits, LimitReport
from yewloom.entry_states import LimitSharingHost
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.tests.entry_support import DATA_CENTRE, make_plain

REMOTE = DataCentreId("hall-b")
E = make_plain("e")

WINDOW_S = 4.0

SETTLED_S = 3.0
"""Time after the first announcement of a limit from which the hosts must respect it."""

STEP_S = 0.1
EXAMPLES = 25


def max_in_window(per_s: float) -> float:
    """Return the maximum number of requests that an endpoint may get in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def make_hosts(count: int, remote: int = 0) -> list[LimitSharingHost]:
    """Return hosts, ``remote`` of them in another data centre than the endpoint."""
    local = [
        LimitSharingHost(EntryHostId(f"n{number}"), DATA_CENTRE) for number in range(count - remote)
    ]
    return [
        *local,
        *(LimitSharingHost(EntryHostId(f"f{number}"), REMOTE) for number in range(remote)),
    ]


class Fleet:
    """Entry hosts that share the limit of one endpoint."""

    def __init__(self, hosts: list[LimitSharingHost]) -> None:
        self.hosts = hosts
        directory = EndpointDirectory()
        directory.put(E)
        self.limits = [EndpointLimits(host.host, directory, lambda _: self.hosts) for host in hosts]

    def announce(self, per_s: float | None, now_s: float = 0.0) -> None:
        """Let all hosts receive the endpoint's limit."""
        for limits in self.limits:
            limits.apply_announced(E.id, per_s, now_s)

    def send_all(self, until_s: float, rng: random.Random) -> list[float]:
        """Let each host send whenever it may; return the times of all requests."""
        sent_s = []
        for step in range(math.ceil(until_s / STEP_S)):
            now_s = step * STEP_S
            for limits in rng.sample(self.limits, len(self.limits)):
                while limits.wait_s(E, now_s) == 0 and limits.has_any:
                    limits.take_token(E, now_s)
                    sent_s.append(now_s)
        return sent_s


class TestDivision(unittest.TestCase):
    """All hosts together respect a limit and use it up."""

    @settings(max_examples=EXAMPLES)
    @given(st.floats(0.1, 30), st.integers(1, 25), st.randoms(use_true_random=False))
    def test_hosts_that_send_whenever_they_may_respect_the_limit(
        self, per_s: float, count: int, rng: random.Random
    ) -> None:
        fleet = Fleet(make_hosts(count, remote=count // 2))
        fleet.announce(per_s)
        sent_s = [s for s in fleet.send_all(SETTLED_S + 3 * WINDOW_S, rng) if s >= SETTLED_S]
        for start_s in sent_s:
            in_window = sum(start_s <= s < start_s + WINDOW_S for s in sent_s)
            self.assertLessEqual(in_window, max_in_window(per_s))

    @settings(max_examples=EXAMPLES)
    @given(st.floats(0.5, 30), st.integers(1, 25), st.randoms(use_true_random=False))
    def test_a_limit_is_used(self, per_s: float, count: int, rng: random.Random) -> None:
        """Guards against shares so small that hosts do not use the limit."""
        fleet = Fleet(make_hosts(count))
        fleet.announce(per_s)
        sent = len(fleet.send_all(20.0, rng))
        self.assertGreaterEqual(sent, 0.8 * 20.0 * per_s - 4)

    def test_hosts_in_the_endpoints_data_centre_come_first(self) -> None:
        fleet = Fleet(make_hosts(12, remote=6))
        fleet.announce(1.0)
        senders = [
            host.host
            for host, limits in zip(fleet.hosts, fleet.limits, strict=True)
            if _sends(limits)
        ]
        self.assertEqual(len(senders), 4)
        self.assertTrue(all(sender.startswith("n") for sender in senders))

    def test_each_endpoint_has_senders_of_its_own(self) -> None:
        hosts = make_hosts(12)
        directory = EndpointDirectory()
        endpoints = [make_plain(f"e{number}") for number in range(30)]
        for endpoint in endpoints:
            directory.put(endpoint)
        limits = EndpointLimits(hosts[0].host, directory, lambda _: hosts)
        for endpoint in endpoints:
            limits.apply_announced(endpoint.id, 1.0, 0.0)
        own = sum(limits.wait_s(endpoint, 100.0) == 0 for endpoint in endpoints)
        self.assertTrue(2 <= own <= 20, own)

    def test_adding_or_removing_a_host_moves_at_most_one_share(self) -> None:
        """Guards against limits that are exceeded whenever a host starts or stops."""
        hosts = make_hosts(20)
        before, after = (set(_senders(hosts[:count])) for count in (20, 19))
        self.assertLessEqual(len(after - before), 1)


class TestReports(unittest.TestCase):
    """Which report of a limit applies."""

    def setUp(self) -> None:
        self.hosts = make_hosts(1)
        self.directory = EndpointDirectory()
        self.directory.put(E)
        self.changes = 0
        self.limits = self._host()

    def _host(self) -> EndpointLimits:
        return EndpointLimits(
            self.hosts[0].host, self.directory, lambda _: self.hosts, self._count_change
        )

    def _count_change(self) -> None:
        self.changes += 1

    def test_an_endpoint_without_a_limit_is_not_limited(self) -> None:
        self.limits.apply_announced(E.id, None, 0.0)
        self.assertFalse(self.limits.has_any)
        self.assertEqual(self.limits.wait_s(E, 0.0), 0.0)

    def test_the_token_bucket_of_a_new_limit_starts_empty(self) -> None:
        """Guards against a burst on top of the requests sent before the limit was announced."""
        self.limits.apply_announced(E.id, 2.0, 10.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 10.0), 0.5)
        self.assertEqual(self.limits.wait_s(E, 10.5), 0.0)

    def test_a_lower_a_higher_and_no_limit_apply_immediately(self) -> None:
        self.limits.apply_announced(E.id, 2.0, 0.0)
        self.limits.apply_announced(E.id, 0.5, 0.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 0.0), 2.0)
        self.limits.apply_announced(E.id, 10.0, 0.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 0.0), 0.1)
        self.limits.apply_announced(E.id, None, 0.0)
        self.assertEqual(self.limits.wait_s(E, 0.0), 0.0)
        self.assertEqual(self.changes, 4)

    def test_a_limit_of_zero_still_allows_occasional_requests(self) -> None:
        """Guards against never noticing that the endpoint accepts requests again."""
        self.limits.apply_announced(E.id, 0.0, 0.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 0.0), 1 / MIN_PER_S)

    def test_a_peers_report_holds_until_a_newer_one(self) -> None:
        self.limits.apply(LimitReport(E.id, 1.0, 0.5), 10.0)
        self.assertGreater(self.limits.wait_s(E, 10.0), 0.0)
        self.limits.apply(LimitReport(E.id, None, 2.0), 10.0)  # The report is older.
        self.assertGreater(self.limits.wait_s(E, 10.0), 0.0)
        self.limits.apply(LimitReport(E.id, None, 0.1), 10.0)
        self.assertEqual(self.limits.wait_s(E, 10.0), 0.0)

    def test_only_limits_from_the_endpoint_itself_are_reported_and_for_a_limited_time(self) -> None:
        """Guards against reports that hosts pass on to each other forever."""
        self.limits.apply(LimitReport(E.id, 1.0, 0.5), 10.0)
        self.assertEqual(self.limits.reports(10.0), [])
        self.limits.apply_announced(E.id, 1.0, 10.0)
        self.assertEqual(self.limits.reports(11.0), [LimitReport(E.id, 1.0, 1.0)])
        self.assertEqual(self.limits.reports(10.0 + REPORT_PERIOD_S), [])

    def test_limits_of_removed_or_restarted_endpoints_are_dropped(self) -> None:
        self.limits.apply_announced(E.id, 1.0, 0.0)
        self.limits.forget(E.id)
        self.assertFalse(self.limits.has_any)
        self.limits.apply_announced(E.id, 1.0, 0.0)
        self.directory.remove(E.id)
        self.limits.reports(0.0)
        self.assertFalse(self.limits.has_any)

    def test_the_end_of_a_limit_is_reported_and_then_dropped(self) -> None:
        self.limits.apply_announced(E.id, 1.0, 0.0)
        self.limits.apply_announced(E.id, None, 1.0)
        self.assertEqual(self.limits.reports(2.0), [LimitReport(E.id, None, 1.0)])
        self.limits.reports(1.0 + REPORT_PERIOD_S + 0.1)
        self.assertFalse(self.limits.has_any)

    def test_an_invalid_limit_is_logged_once_and_leaves_the_previous_one(self) -> None:
        self.limits.apply_announced(E.id, 1.0, 0.0)
        with mock.patch("yewloom.endpoint_limits.logger") as logger:
            for text in ("'x'", "'x'", "'y'", "'y'"):
                self.limits.log_invalid(E.id, text)
        texts = [call.kwargs["text"] for call in logger.warning.call_args_list]
        self.assertEqual(texts, ["'x'", "'y'"])
        self.assertGreater(self.limits.wait_s(E, 0.0), 0.0)


def _sends(limits: EndpointLimits, endpoint: Endpoint = E) -> bool:
    """Return whether a host has a share of an endpoint's limit."""
    return limits.wait_s(endpoint, 1000.0) == 0


def _senders(hosts: list[LimitSharingHost]) -> list[EntryHostId]:
    """Return the hosts that have a share of a limit."""
    fleet = Fleet(hosts)
    fleet.announce(1.0)
    return [host.host for host, limits in zip(hosts, fleet.limits, strict=True) if _sends(limits)]
