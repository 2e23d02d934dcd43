"""Tests of the checks of the configuration soak, and short soaks with fixed seeds."""

import random
import unittest
from dataclasses import replace

from yewloom.tests.soak.configuration_run import MIN_ANSWERS, RoutePlan, soak_routes
from yewloom.tests.soak.faults import DisturbPeers, Fault, draw_store_faults
from yewloom.tests.soak.ledger import REGRESSION_S, Disturbance
from yewloom.tests.soak.loop_lag import MIN_STALL_S, LoopLag
from yewloom.tests.soak.operator import UNKNOWN_ROUTE, WrittenVersion
from yewloom.tests.soak.route_checks import (
    APPLY_S,
    MIN_REQUESTS,
    MIN_SLOW_REQUESTS,
    MIN_SPLIT_ANSWERS,
    SETTLE_S,
    ProbeResult,
    RouteChecks,
)

SHORT_SEED = 1
"""Seed of a short soak in CI."""

FAILED_SEEDS = (6,)
"""Seeds that failed once. A seed gives the same faults again, but not the same changes of routes:
the operator shares its random generator with the endpoints, so its draws depend on their timing.

6: a host that did not watch the store listed the configuration over an idle connection that had
fallen silent. It refused two routes that had been added 2.0 s and 2.3 s earlier; see
``test_silent_connections``.
"""

PLAIN, OTHER, BOTH = ("plain",), ("other",), ("plain", "other")

WRITTEN = [
    WrittenVersion(1, 0.0, {}),
    WrittenVersion(5, 10.0, {"a": PLAIN}),
    WrittenVersion(6, 20.0, {"a": OTHER, "b": PLAIN}),
    WrittenVersion(9, 30.0, {"a": BOTH}),
]

PROBE_RESULT = ProbeResult("e", "e/1", "a", 0.0, 0.1, 200, "plain")


def _result(sent_s: float, route: str, service: str = "", process_name: str = "e/1") -> ProbeResult:
    """Return an answer of a service, or a 404 for an unknown route."""
    return replace(
        PROBE_RESULT,
        process_name=process_name,
        route=route,
        sent_s=sent_s,
        ended_s=sent_s + 0.1,
        status=200 if service else 404,
        service=service,
    )


class TestRouteChecks(unittest.TestCase):
    """The checks find every late, older or missing version, and report nothing else."""

    def _violated(self, *result: ProbeResult, disturbed: Disturbance | None = None) -> list[str]:
        disturbances = {"e": [disturbed]} if disturbed is not None else {}
        return [violation.check for violation in RouteChecks(WRITTEN, result, disturbances).check()]

    def test_a_version_must_be_in_force_after_the_apply_time(self) -> None:
        for sent_s in (10.0 + APPLY_S - 0.1, 5.0):
            self.assertEqual(self._violated(_result(sent_s, "a")), [])
        self.assertEqual(self._violated(_result(10.0 + APPLY_S + 0.1, "a")), ["not in force"])

    def test_a_moved_route_must_go_to_its_new_service(self) -> None:
        self.assertEqual(self._violated(_result(20.1, "a", "plain")), [])
        self.assertEqual(self._violated(_result(20.1, "a", "other")), [])
        late = _result(20.0 + APPLY_S + 0.1, "a", "plain")
        self.assertEqual(self._violated(late), ["not in force"])

    def test_a_dropped_route_must_not_be_served(self) -> None:
        late = _result(30.0 + APPLY_S + 0.1, "b", "plain")
        self.assertEqual(self._violated(late), ["not in force"])

    def test_a_split_route_may_go_to_any_of_its_services(self) -> None:
        answers = (_result(40.0, "a", "plain"), _result(40.0, "a", "other"))
        self.assertEqual(self._violated(*answers), [])

    def test_a_version_must_not_be_in_force_before_it_is_written(self) -> None:
        self.assertIn("not in force", self._violated(_result(9.0, "a", "plain")))

    def test_a_disturbed_host_may_be_late(self) -> None:
        late_s = 10.0 + APPLY_S + 0.1
        during = Disturbance(late_s - 1.0, late_s + 1.0)
        self.assertEqual(self._violated(_result(late_s, "a"), disturbed=during), [])
        just_over = Disturbance(0.0, late_s - SETTLE_S + 0.1)
        self.assertEqual(self._violated(_result(late_s, "a"), disturbed=just_over), [])
        over = Disturbance(0.0, late_s - SETTLE_S - 0.1)
        self.assertEqual(self._violated(_result(late_s, "a"), disturbed=over), ["not in force"])

    def test_a_process_must_not_return_to_an_older_version(self) -> None:
        newer = _result(10.1, "a", "plain")
        back = _result(10.2 + REGRESSION_S + 0.1, "a")
        always = Disturbance(0.0, 100.0)
        self.assertEqual(self._violated(newer, back, disturbed=always), ["regressed"])
        self.assertEqual(
            self._violated(newer, replace(back, process_name="e/2"), disturbed=always), []
        )
        at_once = _result(10.2 + REGRESSION_S - 0.1, "a")
        self.assertEqual(self._violated(newer, at_once, disturbed=always), [])

    def test_added_routes_must_be_served(self) -> None:
        busy = replace(_result(15.0, "a"), status=503)
        self.assertEqual(self._violated(*[busy] * MIN_REQUESTS), ["not served"])
        self.assertEqual(self._violated(*[busy] * (MIN_REQUESTS - 1)), [])
        served = [_result(15.0, "a", "plain")] * MIN_REQUESTS
        self.assertEqual(self._violated(*[busy] * MIN_REQUESTS, *served), [])

    def test_an_undisturbed_host_must_know_that_its_configuration_is_current(self) -> None:
        unsure = replace(_result(15.0, UNKNOWN_ROUTE), status=503)
        sure = _result(15.0, UNKNOWN_ROUTE)
        self.assertEqual(self._violated(*[unsure] * MIN_REQUESTS), ["not sure"])
        self.assertEqual(self._violated(*[unsure] * (MIN_REQUESTS - 1)), [])
        self.assertEqual(self._violated(*[unsure] * MIN_REQUESTS, *[sure] * 4 * MIN_REQUESTS), [])
        always = Disturbance(0.0, 100.0)
        self.assertEqual(self._violated(*[unsure] * MIN_REQUESTS, disturbed=always), [])

    def test_a_split_route_must_send_each_service_its_share(self) -> None:
        plain = [_result(40.0, "a", "plain")] * MIN_SPLIT_ANSWERS
        other = [_result(40.0, "a", "other")] * MIN_SPLIT_ANSWERS
        self.assertEqual(self._violated(*plain), ["not split"])
        self.assertEqual(self._violated(*plain[:-1]), [])
        self.assertEqual(self._violated(*plain, *other), [])
        self.assertEqual(self._violated(*plain, *other[: MIN_SPLIT_ANSWERS // 10]), ["not split"])

    def test_a_time_out_that_is_not_enforced_is_reported(self) -> None:
        written = [WrittenVersion(1, 0.0, {"a": PLAIN}, {"a": 300})]
        kept = replace(_result(40.0, "a"), status=504, ended_s=40.3, work_s=1.5)
        overdue = replace(kept, ended_s=41.0)
        for result, expected in (
            ([kept] * MIN_SLOW_REQUESTS, []),
            ([overdue] * (MIN_SLOW_REQUESTS - 1), []),
            ([overdue] * MIN_SLOW_REQUESTS, ["time-out not kept"]),
            ([overdue, *[kept] * MIN_SLOW_REQUESTS], []),
            ([replace(overdue, work_s=0.1)] * MIN_SLOW_REQUESTS, []),
        ):
            found = RouteChecks(written, result, {}).check()
            self.assertEqual([violation.check for violation in found], expected)


class TestLoopLag(unittest.TestCase):
    """Stalls of the soak's own event loop."""

    def test_a_stall_of_the_loop_is_recorded(self) -> None:
        lag = LoopLag()
        lag.record(1.0, 1.0 + MIN_STALL_S - 0.1)
        self.assertEqual(lag.stalls, [])
        lag.record(2.0, 2.0 + MIN_STALL_S + 0.1)
        self.assertEqual(lag.stalls, [Disturbance(2.0, 2.0 + MIN_STALL_S + 0.1)])
        self.assertAlmostEqual(lag.max_lag_s, MIN_STALL_S + 0.1)


class TestDraws(unittest.TestCase):
    """Faults are drawn from the seed."""

    def _draw(self, seed: int) -> list[Fault]:
        return draw_store_faults(random.Random(seed), 40.0, 9)

    def test_a_seed_gives_the_same_faults_again(self) -> None:
        self.assertEqual(self._draw(1), self._draw(1))
        self.assertNotEqual(self._draw(1), self._draw(2))

    def test_peer_faults_do_not_change_the_other_faults(self) -> None:
        alone, both = (RoutePlan(6, 40.0, with_peers=peers).draw() for peers in (False, True))
        self.assertEqual(alone, self._draw(6))
        self.assertEqual(both[: len(alone)], alone)
        self.assertEqual({type(fault) for fault in both[len(alone) :]}, {DisturbPeers})

    def test_all_kinds_of_faults_are_drawn(self) -> None:
        drawn = {type(fault).__name__ for seed in range(20) for fault in self._draw(seed)}
        kinds = {"KillEntry", "PauseEntry", "DisturbStore", "SilenceStore", "FailStore"}
        self.assertEqual(drawn, kinds | {"AddInvalidRecords"})


class TestRouteSoak(unittest.TestCase):
    """Short soaks with entry hosts as processes, an operator, and faults of the store links."""

    def test_a_short_soak_breaks_no_promise(self) -> None:
        result = soak_routes(RoutePlan(SHORT_SEED, 12.0, with_peers=True))
        self.assertEqual(result.violations, [])
        self.assertGreaterEqual(result.statuses[200], MIN_ANSWERS)

    def test_seeds_that_failed_once_break_no_promise(self) -> None:
        for seed in FAILED_SEEDS:
            with self.subTest(seed=seed):
                result = soak_routes(RoutePlan(seed, 40.0))
                self.assertEqual(result.violations, [])
                self.assertGreaterEqual(result.statuses[200], MIN_ANSWERS)
