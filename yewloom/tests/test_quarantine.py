"""Tests of how long a request is held, who may try it again, and how hosts come to agree."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.ids import EntryHostId, Fingerprint
from yewloom.quarantine import (
    FIRST_HOLD_S,
    LONGEST_HOLD_S,
    MOST_ENTRIES,
    TRIAL_STEP_S,
    Quarantine,
    QuarantineWord,
)

HOSTS = [EntryHostId(f"h{number}") for number in range(5)]
F = Fingerprint(7)

WORDS = st.builds(
    QuarantineWord, st.just(F), st.integers(1, 3), st.booleans(), st.floats(0, FIRST_HOLD_S)
)


def _quarantine(me: EntryHostId = HOSTS[0]) -> Quarantine:
    return Quarantine(me, lambda: HOSTS)


class TestQuarantine(unittest.TestCase):
    """Holding and trying again."""

    def test_a_request_is_held_and_nothing_else_is(self) -> None:
        quarantine = _quarantine()
        quarantine.add(F, 10.0)
        self.assertEqual(quarantine.wait_s(F, 10.0), FIRST_HOLD_S)
        self.assertEqual(quarantine.wait_s(Fingerprint(8), 10.0), 0.0)

    def test_each_time_is_twice_as_long_up_to_the_longest(self) -> None:
        quarantine = _quarantine()
        held_s = []
        for _ in range(40):
            quarantine.add(F, 0.0)
            held_s.append(quarantine.wait_s(F, 0.0))
        self.assertEqual(held_s[:3], [FIRST_HOLD_S, 2 * FIRST_HOLD_S, 4 * FIRST_HOLD_S])
        self.assertEqual(held_s[-1], LONGEST_HOLD_S)

    def test_hosts_try_it_again_one_after_the_other(self) -> None:
        """Guards against a trial at each host at once, each of which ends an endpoint."""
        quarantines = [_quarantine(host) for host in HOSTS]
        for quarantine in quarantines:
            quarantine.add(F, 0.0)
        for step in range(len(HOSTS)):
            now_s = FIRST_HOLD_S + step * TRIAL_STEP_S
            may_try = [q for q in quarantines if q.wait_s(F, now_s) == 0]
            self.assertEqual(len(may_try), step + 1)

    def test_one_host_tries_it_once_in_a_step(self) -> None:
        quarantine = Quarantine(HOSTS[0], lambda: HOSTS[:1])
        quarantine.add(F, 0.0)
        quarantine.note_trial(F, FIRST_HOLD_S)
        self.assertEqual(quarantine.wait_s(F, FIRST_HOLD_S), TRIAL_STEP_S)

    def test_what_is_lifted_is_held_no_more_until_it_is_added_again(self) -> None:
        quarantine = _quarantine()
        quarantine.add(F, 0.0)
        self.assertTrue(quarantine.lift(F))
        self.assertFalse(quarantine.lift(F))
        self.assertEqual(quarantine.wait_s(F, 0.0), 0.0)
        quarantine.add(F, 1.0)
        self.assertEqual(quarantine.wait_s(F, 1.0), 2 * FIRST_HOLD_S)

    @given(st.permutations(list(range(6))), st.lists(WORDS, min_size=6, max_size=6))
    def test_words_in_any_order_leave_the_same(
        self, order: list[int], words: list[QuarantineWord]
    ) -> None:
        one, other = _quarantine(), _quarantine()
        for word in words:
            one.take(word, 0.0)
        for number in order:
            other.take(words[number], 0.0)
        self.assertEqual(one.is_held(F), other.is_held(F))
        self.assertEqual(one.count_of(F), other.count_of(F))

    def test_a_word_that_goes_in_circles_grows_no_younger(self) -> None:
        """Guards against hosts that hold a request for ever by telling each other of it."""
        one, other = _quarantine(HOSTS[0]), _quarantine(HOSTS[1])
        one.add(F, 0.0)
        now_s = 0.0
        for _ in range(100):
            now_s += 1.0
            for source, target in ((one, other), (other, one)):
                for word in source.words(now_s):
                    target.take(word, now_s + 0.1)  # A tenth of a second on the way.
        self.assertLessEqual(other.wait_s(F, now_s), FIRST_HOLD_S - now_s + 0.1)
        self.assertEqual(one.wait_s(F, now_s), FIRST_HOLD_S - now_s)

    def test_a_full_table_forgets_what_is_held_for_the_shortest_time(self) -> None:
        quarantine = _quarantine()
        for number in range(MOST_ENTRIES + 1):
            quarantine.add(Fingerprint(number), float(number))
        self.assertFalse(quarantine.is_held(Fingerprint(0)))
        self.assertTrue(quarantine.is_held(Fingerprint(1)))
        self.assertEqual(len(quarantine.words(0.0)), MOST_ENTRIES)
