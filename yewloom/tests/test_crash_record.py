"""Tests of which request is held guilty of the ends of endpoints."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.crash_record import (
    CRASHES,
    KEEP_S,
    MOST_CRASHES,
    MOST_REQUESTS,
    TELL_S,
    CrashRecord,
    EndpointProcess,
)
from yewloom.ids import EntryHostId, Fingerprint, HostId
from yewloom.quarantine import FIRST_HOLD_S, Quarantine

GUILTY, FIRST_INNOCENT = Fingerprint(1), 100
ME = EntryHostId("me")


def _process(number: int) -> EndpointProcess:
    return EndpointProcess(HostId(f"e{number}"), 0)


def _innocent(number: int) -> Fingerprint:
    return Fingerprint(FIRST_INNOCENT + number)


class Host:
    """What one host keeps, and what it would tell a peer."""

    def __init__(self) -> None:
        self.quarantine = Quarantine(ME, lambda: [ME])
        self.record = CrashRecord(self.quarantine)

    def held(self) -> set[Fingerprint]:
        """Return the requests that are held."""
        return {word.fingerprint for word in self.quarantine.words(0.0) if not word.is_lifted}

    def tell(self, other: "Host", now_s: float) -> None:
        """Tell another host what this one saw itself."""
        for answer in self.record.answer_words(now_s):
            other.record.take_answer(answer, now_s)
        for crash in self.record.crash_words(now_s):
            other.record.take_crash(crash, now_s, now_s)


class TestCrashRecord(unittest.TestCase):
    """Guilt and bad luck."""

    def setUp(self) -> None:
        self.host = Host()

    def _crash(self, number: int, *requests: Fingerprint, at_s: float | None = None) -> None:
        now_s = float(number) if at_s is None else at_s
        self.host.record.note_crash(_process(number), requests, now_s)

    def test_the_request_that_was_at_all_of_them_is_held_and_the_others_are_not(self) -> None:
        for number in range(CRASHES):
            self.assertEqual(self.host.held(), set())
            self._crash(number, GUILTY, _innocent(number))
        self.assertEqual(self.host.held(), {GUILTY})

    def test_many_endpoints_that_end_at_once_condemn_nobody(self) -> None:
        """Guards against a host that holds all its requests after the loss of a rack."""
        for number in range(50):
            self._crash(number, *(_innocent(50 * number + i) for i in range(13)), at_s=1.0)
        self.assertEqual(self.host.held(), set())

    def test_a_process_counts_once_however_often_it_is_reported(self) -> None:
        for _ in range(2 * CRASHES):
            self._crash(0, GUILTY)
        self.assertEqual(self.host.held(), set())

    def test_a_good_answer_clears_a_request(self) -> None:
        for number in range(2 * CRASHES):
            self._crash(number, GUILTY)
            self.assertEqual(self.host.held(), set())
            self.host.record.note_answer(GUILTY, number + 0.5)

    def test_an_answer_from_before_a_crash_clears_nothing_of_it(self) -> None:
        self._crash(0, GUILTY)
        self.host.record.note_answer(GUILTY, 0.5)
        for number in range(1, 1 + CRASHES):
            self._crash(number, GUILTY)
        self.assertEqual(self.host.held(), {GUILTY})

    def test_what_a_guilty_request_explains_counts_against_nobody_else(self) -> None:
        """Guards against guilt by having been at the same endpoints."""
        unlucky = _innocent(0)
        self._crash(0, GUILTY)
        for number in range(1, CRASHES):
            self._crash(number, GUILTY, unlucky)
        self._crash(CRASHES, GUILTY, unlucky)
        self._crash(CRASHES + 1, GUILTY, unlucky)
        self.assertEqual(self.host.held(), {GUILTY})

    def test_crashes_are_forgotten_after_a_time(self) -> None:
        for number in range(CRASHES - 1):
            self._crash(number, GUILTY)
        self._crash(CRASHES, GUILTY, at_s=KEEP_S + CRASHES)
        self.assertEqual(self.host.held(), set())

    def test_a_trial_that_ends_another_endpoint_holds_the_request_at_once(self) -> None:
        for number in range(CRASHES):
            self._crash(number, GUILTY)
        over_s = CRASHES - 1 + FIRST_HOLD_S
        self._crash(CRASHES, GUILTY, at_s=over_s + 1)
        self.assertEqual(self.host.quarantine.count_of(GUILTY), 2)

    def test_what_was_on_its_way_when_a_request_was_held_does_not_count_again(self) -> None:
        for number in range(CRASHES + 3):
            self._crash(number, GUILTY)
        self.assertEqual(self.host.quarantine.count_of(GUILTY), 1)

    def test_an_answer_lifts_the_quarantine(self) -> None:
        for number in range(CRASHES):
            self._crash(number, GUILTY)
        self.host.record.note_answer(GUILTY, 50.0)
        self.assertEqual(self.host.held(), set())

    def test_the_table_is_bounded(self) -> None:
        for number in range(MOST_CRASHES + 10):
            self._crash(number, _innocent(number), at_s=1.0)
        self.assertFalse(self.host.record.is_suspect(_innocent(0)))
        self.assertTrue(self.host.record.is_suspect(_innocent(MOST_CRASHES)))

    def test_of_too_many_requests_at_one_process_the_suspects_are_kept(self) -> None:
        suspect = _innocent(10 * MOST_REQUESTS)
        self._crash(0, suspect)
        self._crash(1, suspect, *(_innocent(n) for n in range(2 * MOST_REQUESTS)))
        self._crash(2, suspect, at_s=2.0)
        self.assertEqual(self.host.held(), {suspect})


class TestSharedCrashes(unittest.TestCase):
    """Several hosts that each see a part."""

    @given(st.lists(st.integers(0, 2), min_size=CRASHES, max_size=CRASHES), st.randoms())
    def test_hosts_agree_whoever_saw_which_crash(self, seen_by: list[int], rng: object) -> None:
        hosts = [Host(), Host(), Host()]
        for number, witness in enumerate(seen_by):
            hosts[witness].record.note_crash(_process(number), [GUILTY, _innocent(number)], 1.0)
        pairs = [(a, b) for a in hosts for b in hosts if a is not b]
        rng.shuffle(pairs)  # type: ignore[attr-defined]
        for source, target in pairs:
            source.tell(target, 1.5)
        for host in hosts:
            self.assertEqual(host.held(), {GUILTY})

    def test_one_process_that_two_hosts_saw_end_counts_once(self) -> None:
        one, other = Host(), Host()
        for number in range(CRASHES - 1):
            one.record.note_crash(_process(number), [GUILTY], 1.0)
            other.record.note_crash(_process(number), [GUILTY], 1.0)
        one.tell(other, 1.5)
        self.assertEqual(other.held(), set())

    def test_an_answer_at_one_host_clears_the_request_at_all(self) -> None:
        one, other = Host(), Host()
        for number in range(CRASHES - 1):
            one.record.note_crash(_process(number), [GUILTY], 1.0)
        one.tell(other, 1.5)
        other.record.note_answer(GUILTY, 2.0)
        other.tell(one, 2.5)
        one.record.note_crash(_process(CRASHES), [GUILTY], 3.0)
        self.assertEqual(one.held(), set())

    def test_crashes_are_told_for_a_time_only(self) -> None:
        host = Host()
        host.record.note_crash(_process(0), [GUILTY], 1.0)
        self.assertEqual(len(host.record.crash_words(1.0 + TELL_S / 2)), 1)
        self.assertEqual(host.record.crash_words(1.0 + TELL_S), [])
