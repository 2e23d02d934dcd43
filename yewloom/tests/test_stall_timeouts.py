"""Tests of how long a group may be silent: engines that step at different paces, fast and slow.

A member of a group is lost while others read long prompts. The group's streams must be moved before
their callers notice the pause, but those of a group that is only busy, or slow, must not.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.configuration import (
    Configuration,
    ConfigurationState,
    EngineProfile,
    ReplicaModel,
    Service,
)
from yewloom.directory import EndpointDirectory
from yewloom.engine_pace import EnginePace
from yewloom.event_paces import EventIntervals
from yewloom.ids import HostId
from yewloom.routes import RouteTable
from yewloom.stall_timeouts import (
    ARRIVAL_MARGIN_S,
    DEFAULT_STALL_TIMEOUT_S,
    MAX_STALL_TIMEOUT_S,
    MIN_STALL_TIMEOUT_S,
    StallTimeouts,
)
from yewloom.tests.entry_support import ENGINES, LARGE, SMALL, put_group

LEADER = HostId("a")
PACE = EnginePace(
    step_s=0.006,
    request_step_s=0.0002,
    read_tokens_per_s=50_000.0,
    chunk_tokens=2048,
    steps_per_pass=5,
)
SLOTS = 24


class Fixture:
    """Timeouts for two groups whose models run at different paces."""

    def __init__(self, pace: EnginePace | None = PACE) -> None:
        models = {
            LARGE: ReplicaModel(LARGE, 12, 0.5, 1.0, 16.0, 1.6),
            SMALL: ReplicaModel(SMALL, 6, 0.5, 0.6, 12.0, 1.1),
        }
        profile = EngineProfile(slots=SLOTS, models=models, loads_per_s=14.0, pace=pace)
        self.intervals, directory = EventIntervals(), EndpointDirectory()
        put_group(directory, "large", LARGE, [LEADER])
        put_group(directory, "small", SMALL, ["b"])
        state = ConfigurationState()
        services = {ENGINES: Service(ENGINES, profile)}
        state.apply(Configuration(1, RouteTable([]), services, False, {}), 0.0)
        self.timeouts = StallTimeouts(directory, state, self.intervals)


class TestStallTimeouts(unittest.TestCase):
    """Timeouts by published figures and observed intervals."""

    def test_a_group_may_be_silent_for_the_longest_pass_of_its_model(self) -> None:
        timeouts = Fixture().timeouts
        longest_s = PACE.longest_pass_s(SLOTS)
        self.assertAlmostEqual(timeouts.timeout_s(LEADER, 0.0), longest_s + ARRIVAL_MARGIN_S)
        self.assertAlmostEqual(
            timeouts.timeout_s(HostId("b"), 0.0), 0.6 * longest_s + ARRIVAL_MARGIN_S
        )

    def test_a_group_that_became_slow_is_given_time_in_proportion(self) -> None:
        fixture = Fixture()
        usual_s = PACE.usual_pass_s(SLOTS)
        before_s = fixture.timeouts.timeout_s(LEADER, 1.0)
        fixture.intervals.record(LEADER, 2 * usual_s, 1.0)
        after_s = fixture.timeouts.timeout_s(LEADER, 1.0)
        self.assertAlmostEqual(after_s - ARRIVAL_MARGIN_S, 2 * (before_s - ARRIVAL_MARGIN_S))

    def test_an_outdated_interval_counts_for_nothing(self) -> None:
        fixture = Fixture()
        before_s = fixture.timeouts.timeout_s(LEADER, 9.0)
        fixture.intervals.record(LEADER, 1.0, 1.0)
        self.assertEqual(fixture.timeouts.timeout_s(LEADER, 9.0), before_s)

    def test_a_restarted_engine_is_judged_by_its_published_figures(self) -> None:
        fixture = Fixture()
        before_s = fixture.timeouts.timeout_s(LEADER, 1.0)
        fixture.intervals.record(LEADER, 1.0, 1.0)
        fixture.intervals.forget(LEADER)
        self.assertEqual(fixture.timeouts.timeout_s(LEADER, 1.0), before_s)

    def test_engines_without_published_figures_get_the_default(self) -> None:
        self.assertEqual(Fixture(None).timeouts.timeout_s(LEADER, 0.0), DEFAULT_STALL_TIMEOUT_S)
        self.assertEqual(Fixture().timeouts.timeout_s(HostId("gone"), 0.0), DEFAULT_STALL_TIMEOUT_S)

    @given(st.floats(0.0, 100.0))
    def test_the_timeout_is_bounded_whatever_was_observed(self, interval_s: float) -> None:
        fixture = Fixture()
        fixture.intervals.record(LEADER, interval_s, 1.0)
        timeout_s = fixture.timeouts.timeout_s(LEADER, 1.0)
        self.assertGreaterEqual(timeout_s, MIN_STALL_TIMEOUT_S)
        self.assertLessEqual(timeout_s, MAX_STALL_TIMEOUT_S)
