"""Tests of the position up to which a host knows the store's objects."""

import unittest
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from yewloom.followed_position import LISTING_REPORT_DELAY_S, RELAY_GRACE_S, FollowedPosition
from yewloom.schema.entry_pb2 import ListingWord
from yewloom.store_revisions import era_of, number_of, qualify_revision

INF = float("inf")


class TestFollowedPosition(unittest.TestCase):
    """Reports of peers, and changes that are still missing."""

    def setUp(self) -> None:
        self.followed = FollowedPosition()
        self.followed.record_changes(10, True, 1.0)

    def test_report_of_a_peer_without_further_changes_confirms_the_position(self) -> None:
        self.followed.on_peer_report(ListingWord(changed_at=10, position=30), 5.0, 6.0)
        self.assertEqual((self.followed.position, self.followed.age_s(6.0)), (30, 1.0))

    def test_report_of_a_peer_with_further_changes_confirms_nothing(self) -> None:
        self.followed.on_peer_report(ListingWord(changed_at=12, position=30), 5.0, 6.0)
        self.assertEqual((self.followed.position, self.followed.age_s(6.0)), (10, 5.0))

    def test_reported_age_is_bounded_while_a_change_is_missing(self) -> None:
        self.assertEqual(self.followed.reported_age_ms(1.5), 500)
        self.followed.on_peer_report(ListingWord(changed_at=12, position=30), 5.0, 6.0)
        self.assertEqual(self.followed.reported_age_ms(6.1 + RELAY_GRACE_S), 1_000_000_000)

    def test_change_that_does_not_arrive_in_time_makes_the_age_infinite(self) -> None:
        report = ListingWord(changed_at=12, position=30)
        self.followed.on_peer_report(report, 5.0, 6.0)
        # Reports of peers without the change must not postpone the call to the store.
        self.followed.on_peer_report(ListingWord(changed_at=10, position=11), 5.9, 6.1)
        self.followed.on_peer_report(report, 5.9, 6.2)
        self.assertLess(self.followed.age_s(6.0 + RELAY_GRACE_S - 0.01), INF)
        self.assertEqual(self.followed.age_s(6.0 + RELAY_GRACE_S + 0.01), INF)
        self.followed.record_changes(12, True, 6.3)
        self.assertAlmostEqual(self.followed.age_s(6.5), 0.2)

    def test_listing_is_reported_once_the_last_change_before_it_is_known(self) -> None:
        self.followed.forget()
        self.followed.record_listing(20, 2.0)
        self.assertIsNone(self.followed.report(2.1))
        # A report from before the listing does not cover the time in between.
        self.followed.on_peer_report(ListingWord(changed_at=12, position=19), 2.0, 2.2)
        self.assertIsNone(self.followed.report(2.2))
        self.followed.on_peer_report(ListingWord(changed_at=12, position=21), 2.2, 2.3)
        report = self.followed.report(2.3)
        assert report is not None
        self.assertEqual((report.changed_at, report.position), (12, 21))

    def test_listing_is_reported_after_a_delay_if_its_last_change_stays_unknown(self) -> None:
        self.followed.forget()
        self.followed.record_listing(20, 2.0)
        report = self.followed.report(2.0 + LISTING_REPORT_DELAY_S)
        assert report is not None
        self.assertEqual((report.changed_at, report.position), (20, 20))

    def test_difference_of_listings_is_applied_only_where_nothing_changed(self) -> None:
        self.assertTrue(self.followed.can_apply(8, 12, unchanged_until=10))
        self.assertTrue(self.followed.can_apply(10, 12, unchanged_until=11))
        self.assertFalse(self.followed.can_apply(8, 12, unchanged_until=9))
        self.assertFalse(self.followed.can_apply(11, 12, unchanged_until=11))

    def test_report_from_before_the_store_went_back_confirms_nothing(self) -> None:
        """Guards against a host that trusts a peer which does not know what the store has lost."""
        self.followed.record_listing(qualify_revision(1, 4), 2.0)
        self.followed.on_peer_report(ListingWord(changed_at=10, position=30), 5.0, 6.0)
        self.assertEqual(self.followed.position, qualify_revision(1, 4))
        self.assertEqual(self.followed.age_s(6.0), 4.0)

    def test_report_from_after_the_store_went_back_makes_a_host_ask_itself(self) -> None:
        position = qualify_revision(1, 4)
        report = ListingWord(changed_at=position, position=position)
        self.followed.on_peer_report(report, 5.0, 6.0)
        self.assertEqual(self.followed.age_s(6.0 + RELAY_GRACE_S + 0.01), INF)
        self.assertFalse(self.followed.can_apply(position, position + 1))

    def test_changes_are_applied_only_without_a_gap(self) -> None:
        self.assertTrue(self.followed.can_apply(8, 12))
        self.assertTrue(self.followed.can_apply(10, 12))
        self.assertFalse(self.followed.can_apply(11, 12))
        self.assertFalse(self.followed.can_apply(8, 10))
        self.followed.forget()
        self.assertFalse(self.followed.can_apply(8, 12))
        self.assertEqual(self.followed.age_s(1.0), INF)


class _Store:
    """A store with one object; each change increments the revision, and may restore old values.

    ``values`` also holds what the store lost when it went back to an older copy. ``revisions`` has
    the latest revision at each time, which is counted in changes and returns.
    """

    def __init__(self) -> None:
        self.values = {1: 0}
        self.revisions = [1]

    @property
    def revision(self) -> int:
        return self.revisions[-1]

    @property
    def now_s(self) -> float:
        return float(len(self.revisions) - 1)

    def change(self, value: int | None) -> None:
        """Change the object, or an object of another kind if there is no value."""
        self.revisions.append(self.revision + 1)
        if value is not None:
            self.values[self.revision] = value

    def go_back(self, lost: int) -> None:
        """Lose the latest changes; revision 0 of the new era stands for what the copy holds."""
        era, number = era_of(self.revision), max(1, number_of(self.revision) - lost)
        copied = max(qualify_revision(era, number), min(self.values))
        self.values[qualify_revision(era + 1, 0)] = self.value_at(copied)
        self.revisions.append(qualify_revision(era + 1, number))

    def last_change(self, position: int) -> int:
        return max(change for change in self.values if change <= position)

    def value_at(self, position: int) -> int:
        return self.values[self.last_change(position)]


class _SentChanges(NamedTuple):
    """Changes sent to peers; ``value`` is None if they do not contain the object."""

    base: int
    position: int
    value: int | None
    unchanged_until: int | None


class _Host:
    """A host that holds the object as of some revision."""

    def __init__(self) -> None:
        self.followed = FollowedPosition()
        self.value = 0


class RelayMachine(RuleBasedStateMachine):
    """No gap goes unnoticed, whatever the order, delay and loss of watches, changes and reports."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        self.hosts = [_Host(), _Host(), _Host()]
        self.sent_changes: list[_SentChanges] = []
        self.sent_reports: list[tuple[ListingWord, int]] = []

    @rule(value=st.integers(0, 1))
    def change(self, value: int) -> None:
        self.store.change(value)

    @rule()
    def change_other_kind(self) -> None:
        self.store.change(None)

    @rule(lost=st.integers(0, 10))
    def go_back(self, lost: int) -> None:
        self.store.go_back(lost)

    @rule(number=st.integers(0, 2))
    def watch(self, number: int) -> None:
        """Watch, and send the changes to peers, which may receive them later."""
        host, now = self.hosts[number], self.store.revision
        base = host.followed.position
        if base is None:
            return
        if era_of(base) != era_of(now):
            host.followed.forget()  # The position has expired.
            return
        host.value = self.store.value_at(now)
        has_changed = self.store.last_change(now) > base
        host.followed.record_changes(now, has_changed, self.store.now_s)
        if has_changed:
            self.sent_changes.append(_SentChanges(base, now, host.value, None))

    @rule(number=st.integers(0, 2))
    def list(self, number: int) -> None:
        """List, and send the difference to the last known state, if there is one, to peers."""
        host, now = self.hosts[number], self.store.revision
        last_position, value = host.followed.last_position, self.store.value_at(now)
        if host.followed.position is not None:
            return
        if last_position is not None and era_of(last_position) == era_of(now):
            difference = value if value != host.value else None
            base = host.followed.changed_at
            host.followed.record_changes(now, True, self.store.now_s)
            self.sent_changes.append(_SentChanges(base, now, difference, last_position))
        host.value = value
        host.followed.record_listing(now, self.store.now_s)

    @rule(number=st.integers(0, 2))
    def forget_position(self, number: int) -> None:
        self.hosts[number].followed.forget()

    @rule(number=st.integers(0, 2), index=st.integers(0, 100))
    def receive_changes(self, number: int, index: int) -> None:
        if not self.sent_changes:
            return
        sent, host = self.sent_changes[index % len(self.sent_changes)], self.hosts[number]
        if host.followed.can_apply(sent.base, sent.position, sent.unchanged_until):
            host.value = sent.value if sent.value is not None else host.value
            host.followed.record_changes(sent.position, True, float("-inf"))

    @rule(number=st.integers(0, 2))
    def send_report(self, number: int) -> None:
        followed = self.hosts[number].followed
        report = followed.report(1e6)
        if report is not None:
            self.sent_reports.append((report, round(max(followed.confirmed_s, 0.0))))

    @rule(number=st.integers(0, 2), index=st.integers(0, 100))
    def receive_report(self, number: int, index: int) -> None:
        if self.sent_reports:
            report, confirmed = self.sent_reports[index % len(self.sent_reports)]
            self.hosts[number].followed.on_peer_report(report, float(confirmed), 0.0)

    @invariant()
    def value_matches_position(self) -> None:
        for host in self.hosts:
            if host.followed.position is not None:
                assert host.value == self.store.value_at(host.followed.position)

    @invariant()
    def confirmed_changes_are_present(self) -> None:
        """A confirmation at some revision means that no change up to it is missing."""
        for host in self.hosts:
            followed = host.followed
            if followed.position is not None and followed.confirmed_s > 0:
                confirmed_at = self.store.revisions[round(followed.confirmed_s)]
                assert followed.position >= self.store.last_change(confirmed_at)


TestRelay = RelayMachine.TestCase
TestRelay.settings = settings(max_examples=200, stateful_step_count=40)
