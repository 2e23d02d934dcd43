"""Tests of routing and of the prefix index."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.ids import DataCentreId, GroupId, ModelName
from yewloom.prefixes import BLOCK_CHARACTERS, MAX_EXPECTED_BLOCKS, PrefixIndex, block_hashes
from yewloom.routing import (
    Candidate,
    RoundRobinCounter,
    RouteRequest,
    choose_group,
    default_routing,
)
from yewloom.schema.records_pb2 import CacheEvent
from yewloom.schema.table_pb2 import LeastLoadRouting, RoundRobinRouting

SCORE = default_routing()
LOCAL, REMOTE = DataCentreId("a"), DataCentreId("b")
GROUP = GroupId("g")


def _candidate(
    name: str, load: int = 0, sent: int = 0, blocks: int = 0, data_centre: DataCentreId = LOCAL
) -> Candidate:
    return Candidate(GroupId(name), data_centre, load, 8, sent, blocks)


def _choose(policy: object, candidates: list[Candidate], failed: str = "") -> str | None:
    request = RouteRequest(ModelName("m"), LOCAL, 4000, frozenset({GroupId(failed)}))
    route = choose_group(policy, request, candidates, random.Random(1), RoundRobinCounter())  # type: ignore[arg-type]
    return route.group_id if route is not None else None


class TestChooseGroup(unittest.TestCase):
    """The choice of a group for a request."""

    def test_no_candidates_give_no_route(self) -> None:
        self.assertIsNone(_choose(SCORE, []))

    def test_the_less_loaded_of_two_is_chosen(self) -> None:
        self.assertEqual(_choose(SCORE, [_candidate("x", load=20), _candidate("y")]), "y")

    def test_requests_sent_by_this_host_count_before_they_are_reported(self) -> None:
        self.assertEqual(_choose(SCORE, [_candidate("x", sent=20), _candidate("y", load=9)]), "y")

    def test_a_group_with_a_cached_prefix_is_preferred(self) -> None:
        self.assertEqual(_choose(SCORE, [_candidate("x"), _candidate("y", blocks=40)]), "y")

    def test_a_full_group_is_not_chosen_for_its_cached_prefix(self) -> None:
        full = _candidate("y", load=30, blocks=40)
        self.assertEqual(_choose(SCORE, [_candidate("x"), full]), "x")

    def test_a_local_group_is_chosen_until_requests_would_queue(self) -> None:
        remote = _candidate("y", data_centre=REMOTE)
        self.assertEqual(_choose(SCORE, [_candidate("x", load=4), remote]), "x")
        self.assertEqual(_choose(SCORE, [_candidate("x", load=24), remote]), "y")

    def test_a_group_that_failed_is_avoided_unless_it_is_the_only_one(self) -> None:
        candidates = [_candidate("x"), _candidate("y", load=30)]
        self.assertEqual(_choose(SCORE, candidates, failed="x"), "y")
        self.assertEqual(_choose(SCORE, candidates[:1], failed="x"), "x")

    def test_least_load_and_round_robin_ignore_unreported_requests(self) -> None:
        candidates = [_candidate("x", load=9, sent=0), _candidate("y", load=3, sent=30)]
        self.assertEqual(_choose(LeastLoadRouting(), candidates), "y")
        turns, rng = RoundRobinCounter(), random.Random(1)
        request = RouteRequest(ModelName("m"), LOCAL, 0)
        routes = [
            choose_group(RoundRobinRouting(), request, candidates, rng, turns) for _ in range(4)
        ]
        self.assertEqual([r.group_id for r in routes if r], ["y", "x", "y", "x"])

    @given(st.lists(st.integers(0, 40), min_size=1, max_size=12), st.integers(0, 99))
    def test_the_choice_is_always_a_candidate(self, loads: list[int], seed: int) -> None:
        candidates = [_candidate(str(i), load) for i, load in enumerate(loads)]
        request = RouteRequest(ModelName("m"), LOCAL, 100)
        route = choose_group(SCORE, request, candidates, random.Random(seed), RoundRobinCounter())
        assert route is not None
        self.assertIn(route.group_id, {c.group_id for c in candidates})


class TestPrefixIndex(unittest.TestCase):
    """Cache events that are late or lost."""

    def test_equal_prefixes_have_equal_hashes(self) -> None:
        prompt = "x" * (3 * BLOCK_CHARACTERS)
        self.assertEqual(block_hashes(prompt)[:2], block_hashes(prompt + "more")[:2])
        self.assertNotEqual(block_hashes("y" + prompt)[1:], block_hashes(prompt)[1:])

    @given(st.permutations(range(1, 7)), st.sets(st.integers(1, 6), max_size=3))
    def test_after_any_gap_no_removed_block_is_believed_cached(
        self, order: list[int], lost: set[int]
    ) -> None:
        """Guards against matching evicted blocks when events are lost or reordered.

        Event 1 adds block 1 and event 4 removes it.
        """
        events = {
            number: CacheEvent(sequence=number, added=[number], removed=[1] if number == 4 else [])
            for number in range(1, 7)
        }
        index = PrefixIndex()
        for number in order:
            known = [events[number]] if number not in lost else []
            index.apply(GROUP, 1, known, sequence=number)
        if max(order) == 6:
            self.assertEqual(index.matched_blocks(GROUP, [1]), 0)

    def test_a_gap_drops_the_blocks_of_its_engine(self) -> None:
        index = PrefixIndex()
        index.apply(GROUP, 1, [CacheEvent(sequence=1, added=[7])], 1)
        self.assertEqual(index.matched_blocks(GROUP, [7, 8]), 1)
        index.apply(GROUP, 1, [CacheEvent(sequence=3, added=[8])], 3)
        self.assertEqual(index.matched_blocks(GROUP, [7]), 0)

    def test_a_new_generation_starts_empty(self) -> None:
        index = PrefixIndex()
        index.apply(GROUP, 1, [CacheEvent(sequence=1, added=[7])], 1)
        index.add_expected_blocks(GROUP, 2, [9])
        self.assertEqual(index.matched_blocks(GROUP, [7]), 0)
        self.assertEqual(index.matched_blocks(GROUP, [9]), 1)

    def test_expected_blocks_are_bounded(self) -> None:
        index = PrefixIndex()
        index.add_expected_blocks(GROUP, 1, range(MAX_EXPECTED_BLOCKS + 10))
        self.assertEqual(index.matched_blocks(GROUP, [0]), 0)
        self.assertEqual(index.matched_blocks(GROUP, [MAX_EXPECTED_BLOCKS]), 1)
