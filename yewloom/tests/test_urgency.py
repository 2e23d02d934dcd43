"""Tests of who waits at a full engine: requests with objectives of 0.3 s and 0.5 s, and late ones.

The load is that of an hour in which the engines have lost a third of their hosts: twice as many
requests wait as can be in time, and kinds with different objectives share each engine.
"""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from yewloom.routes import Route, RouteKind
from yewloom.tests.entry_support import ENGINES, make_route
from yewloom.urgency import LEAST_URGENT, urgency

PROMPT_S = 0.025
"""Time in which an engine reads a prompt of usual length."""


def _route(objective_ms: int, priority: int = 0) -> Route:
    route = make_route(RouteKind.STREAM, "/s/", ENGINES, is_resumable=True)
    return replace(route, objective_ms=objective_ms, priority=priority)


def _in_time(objectives_s: list[float], by_urgency: bool) -> int:
    """Return how many requests, all here at 0 s, get their first event in time at one engine."""
    waiting = list(objectives_s)
    if by_urgency:
        waiting.sort(key=lambda s: urgency(_route(round(s * 1000)), 0.0, 0.0, resumes=False))
    ends_s = (PROMPT_S * (place + 1) for place in range(len(waiting)))
    return sum(end_s <= objective_s for end_s, objective_s in zip(ends_s, waiting, strict=True))


class TestUrgency(unittest.TestCase):
    """Requests that can still be in time go first."""

    def test_at_an_engine_with_twenty_prompts_all_are_in_time_by_urgency_and_half_by_arrival(
        self,
    ) -> None:
        objectives_s = [0.5] * 10 + [0.3] * 10
        self.assertEqual(_in_time(objectives_s, by_urgency=False), 11)
        self.assertEqual(_in_time(objectives_s, by_urgency=True), 20)

    def test_a_request_that_is_late_anyway_waits_behind_those_that_are_not(self) -> None:
        late = urgency(_route(300), 0.0, 0.4, resumes=False)
        self.assertGreater(late, urgency(_route(500), 0.0, 0.0, resumes=False))
        self.assertLessEqual(urgency(_route(60000), 0.0, 0.0, resumes=False), late)

    def test_a_stream_that_broke_off_goes_on_before_all_others(self) -> None:
        self.assertEqual(urgency(_route(300), 0.0, 2.0, resumes=True), 0)

    @given(st.floats(0.0, 10.0), st.floats(0.0, 10.0), st.integers(0, 20))
    def test_less_time_left_is_never_less_urgent_until_it_is_too_late(
        self, first_s: float, second_s: float, priority: int
    ) -> None:
        sooner_s, later_s = sorted((first_s, second_s))
        levels = [
            urgency(_route(10_000, priority), 0.0, 10.0 - left_s, resumes=False)
            for left_s in (sooner_s, later_s)
        ]
        if sooner_s > 0:
            self.assertLessEqual(*levels)
        self.assertTrue(all(0 <= level <= LEAST_URGENT for level in levels))

    @given(st.floats(-1.0, 10.0), st.floats(-1.0, 10.0))
    def test_a_lower_priority_comes_behind_a_higher_one(
        self, first_s: float, second_s: float
    ) -> None:
        high = urgency(_route(10_000, 0), 0.0, 10.0 - first_s, resumes=False)
        low = urgency(_route(10_000, 1), 0.0, 10.0 - second_s, resumes=False)
        self.assertLess(high, low)
