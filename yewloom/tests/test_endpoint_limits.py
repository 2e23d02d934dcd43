"""Tests of limits that endpoints name: how they are divided among hosts, and what a host knows."""

import math
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.endpoint_limits import LEAST_PER_S, TELL_S, EndpointLimits, LimitWord
from yewloom.entry_states import SharingHost
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.tests.entry_support import HALL, make_plain

FAR = DataCentreId("hall-b")
E = make_plain("e")

WINDOW_S = 4.0

SETTLED_S = 3.0
"""Time after the first word of a limit from which on it holds."""

STEP_S = 0.1
EXAMPLES = 25


def most_allowed(per_s: float) -> float:
    """Return the most requests that an endpoint may get in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def make_hosts(count: int, far: int = 0) -> list[SharingHost]:
    """Return hosts of which some are in another data centre than the endpoint."""
    near = [SharingHost(EntryHostId(f"n{number}"), HALL) for number in range(count - far)]
    return [*near, *(SharingHost(EntryHostId(f"f{number}"), FAR) for number in range(far))]


class Fleet:
    """Hosts that divide a limit."""

    def __init__(self, hosts: list[SharingHost]) -> None:
        self.hosts = hosts
        directory = EndpointDirectory()
        directory.put(E)
        self.limits = [EndpointLimits(host.host, directory, lambda _: self.hosts) for host in hosts]

    def name(self, per_s: float | None, now_s: float = 0.0) -> None:
        """Let all hosts read what the endpoint says."""
        for limits in self.limits:
            limits.note(E.id, per_s, now_s)

    def send_all(self, until_s: float, rng: random.Random) -> list[float]:
        """Let each host send whenever it may; return when."""
        sent_s = []
        for step in range(math.ceil(until_s / STEP_S)):
            now_s = step * STEP_S
            for limits in rng.sample(self.limits, len(self.limits)):
                while limits.wait_s(E, now_s) == 0 and limits.has_any:
                    limits.spend(E, now_s)
                    sent_s.append(now_s)
        return sent_s


class TestDivision(unittest.TestCase):
    """All hosts together keep a limit, and use it."""

    @settings(max_examples=EXAMPLES)
    @given(st.floats(0.1, 30), st.integers(1, 25), st.randoms(use_true_random=False))
    def test_hosts_that_send_whenever_they_may_keep_the_limit(
        self, per_s: float, count: int, rng: random.Random
    ) -> None:
        fleet = Fleet(make_hosts(count, far=count // 2))
        fleet.name(per_s)
        sent_s = [s for s in fleet.send_all(SETTLED_S + 3 * WINDOW_S, rng) if s >= SETTLED_S]
        for begin_s in sent_s:
            in_window = sum(begin_s <= s < begin_s + WINDOW_S for s in sent_s)
            self.assertLessEqual(in_window, most_allowed(per_s))

    @settings(max_examples=EXAMPLES)
    @given(st.floats(0.5, 30), st.integers(1, 25), st.randoms(use_true_random=False))
    def test_a_limit_is_used(self, per_s: float, count: int, rng: random.Random) -> None:
        """Guards against parts that are so small that an endpoint gets nothing."""
        fleet = Fleet(make_hosts(count))
        fleet.name(per_s)
        sent = len(fleet.send_all(20.0, rng))
        self.assertGreaterEqual(sent, 0.8 * 20.0 * per_s - 4)

    def test_hosts_in_the_endpoints_data_centre_come_first(self) -> None:
        fleet = Fleet(make_hosts(12, far=6))
        fleet.name(1.0)
        senders = [h.host for h, m in zip(fleet.hosts, fleet.limits, strict=True) if _sends(m)]
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
            limits.note(endpoint.id, 1.0, 0.0)
        mine = sum(limits.wait_s(endpoint, 100.0) == 0 for endpoint in endpoints)
        self.assertTrue(2 <= mine <= 20, mine)

    def test_one_host_more_or_less_moves_one_part_at_most(self) -> None:
        """Guards against limits that are exceeded whenever a host starts or stops."""
        hosts = make_hosts(20)
        before, after = (set(_senders(hosts[:count])) for count in (20, 19))
        self.assertLessEqual(len(after - before), 1)


class TestKnowledge(unittest.TestCase):
    """Which word on a limit holds."""

    def setUp(self) -> None:
        self.hosts = make_hosts(1)
        self.directory = EndpointDirectory()
        self.directory.put(E)
        self.news = 0
        self.limits = self._host()

    def _host(self) -> EndpointLimits:
        return EndpointLimits(
            self.hosts[0].host, self.directory, lambda _: self.hosts, self._note_news
        )

    def _note_news(self) -> None:
        self.news += 1

    def test_an_endpoint_without_a_limit_gets_what_comes(self) -> None:
        self.limits.note(E.id, None, 0.0)
        self.assertFalse(self.limits.has_any)
        self.assertEqual(self.limits.wait_s(E, 0.0), 0.0)

    def test_a_limit_begins_with_nothing(self) -> None:
        """Requests that came before it was named count towards it."""
        self.limits.note(E.id, 2.0, 10.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 10.0), 0.5)
        self.assertEqual(self.limits.wait_s(E, 10.5), 0.0)

    def test_a_lower_a_higher_and_no_limit_hold_at_once(self) -> None:
        self.limits.note(E.id, 2.0, 0.0)
        self.limits.note(E.id, 0.5, 0.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 0.0), 2.0)
        self.limits.note(E.id, 10.0, 0.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 0.0), 0.1)
        self.limits.note(E.id, None, 0.0)
        self.assertEqual(self.limits.wait_s(E, 0.0), 0.0)
        self.assertEqual(self.news, 4)

    def test_zero_lets_one_request_through_now_and_then(self) -> None:
        """Guards against an endpoint whose limit is never heard to be over."""
        self.limits.note(E.id, 0.0, 0.0)
        self.assertAlmostEqual(self.limits.wait_s(E, 0.0), 1 / LEAST_PER_S)

    def test_a_peers_word_holds_until_something_newer_is_said(self) -> None:
        self.limits.take(LimitWord(E.id, 1.0, 0.5), 10.0)
        self.assertGreater(self.limits.wait_s(E, 10.0), 0.0)
        self.limits.take(LimitWord(E.id, None, 2.0), 10.0)  # It is older.
        self.assertGreater(self.limits.wait_s(E, 10.0), 0.0)
        self.limits.take(LimitWord(E.id, None, 0.1), 10.0)
        self.assertEqual(self.limits.wait_s(E, 10.0), 0.0)

    def test_only_what_a_host_read_itself_is_told_and_for_a_time(self) -> None:
        """Guards against old words that hosts tell each other for ever."""
        self.limits.take(LimitWord(E.id, 1.0, 0.5), 10.0)
        self.assertEqual(self.limits.words(10.0), [])
        self.limits.note(E.id, 1.0, 10.0)
        self.assertEqual(self.limits.words(11.0), [LimitWord(E.id, 1.0, 1.0)])
        self.assertEqual(self.limits.words(10.0 + TELL_S), [])

    def test_limits_of_endpoints_that_are_gone_or_started_again_are_forgotten(self) -> None:
        self.limits.note(E.id, 1.0, 0.0)
        self.limits.forget(E.id)
        self.assertFalse(self.limits.has_any)
        self.limits.note(E.id, 1.0, 0.0)
        self.directory.remove(E.id)
        self.limits.words(0.0)
        self.assertFalse(self.limits.has_any)

    def test_a_limit_that_holds_no_more_is_told_and_then_forgotten(self) -> None:
        self.limits.note(E.id, 1.0, 0.0)
        self.limits.note(E.id, None, 1.0)
        self.assertEqual(self.limits.words(2.0), [LimitWord(E.id, None, 1.0)])
        self.limits.words(1.0 + TELL_S + 0.1)
        self.assertFalse(self.limits.has_any)

    def test_a_text_that_is_no_limit_is_logged_once_and_leaves_what_was_said(self) -> None:
        self.limits.note(E.id, 1.0, 0.0)
        with mock.patch("yewloom.endpoint_limits.logger") as logger:
            for text in ("'x'", "'x'", "'y'", "'y'"):
                self.limits.note_unreadable(E.id, text)
        texts = [call.kwargs["text"] for call in logger.warning.call_args_list]
        self.assertEqual(texts, ["'x'", "'y'"])
        self.assertGreater(self.limits.wait_s(E, 0.0), 0.0)


def _sends(limits: EndpointLimits, endpoint: Endpoint = E) -> bool:
    """Tell whether a host has a part of an endpoint's limit."""
    return limits.wait_s(endpoint, 1000.0) == 0


def _senders(hosts: list[SharingHost]) -> list[EntryHostId]:
    """Return the hosts that have a part of a limit."""
    fleet = Fleet(hosts)
    fleet.name(1.0)
    return [h.host for h, m in zip(hosts, fleet.limits, strict=True) if _sends(m)]
