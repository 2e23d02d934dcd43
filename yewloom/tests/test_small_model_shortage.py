"""Tests of the replicas of a small model while hosts are lost one after the other.

The scenario is a rack that fails slowly: every three seconds a host is lost, in each data centre in
turn. Groups of two hosts break as often as groups of four. Their hosts hold the weights of the
large model as a reserve. A load takes 12 s, in which four more hosts are lost.
"""

import unittest

from yewloom.directory import EndpointDirectory, GroupKey, GroupMembership, MemberState
from yewloom.ids import DataCentreId, GroupId, HostId, ModelName
from yewloom.model_reserves import RESERVE_TIMEOUT_S
from yewloom.plan_state import Departure, PlanState
from yewloom.replica_orders import StageModel
from yewloom.replica_plan import ReplicaPlanner
from yewloom.schema.records_pb2 import Placement
from yewloom.states import GroupIntent
from yewloom.tests.entry_support import (
    DATA_CENTRE,
    ENGINES,
    LARGE,
    SMALL,
    make_engine,
    make_profile,
)
from yewloom.weight_loads import LoadLimit

LIMITED = LoadLimit(is_unlimited=False, max_loads=6)
OTHER_DATA_CENTRE = DataCentreId("hall-b")
PROFILE = make_profile()
SMALL_IS_SHORT = {SMALL: 60.0, LARGE: 30.0}
LARGE_IS_SHORT = {SMALL: 30.0, LARGE: 60.0}


def _directory_with_others() -> EndpointDirectory:
    """Return a directory with two groups of each model in another data centre."""
    directory = EndpointDirectory()
    for number, model in enumerate([SMALL, SMALL, LARGE, LARGE]):
        key = GroupKey(GroupId(f"other-{number}"), 1)
        leader = GroupMembership(key, 0, MemberState.OPEN)
        directory.put(make_engine(f"o{number}", "o1", None, leader, model, OTHER_DATA_CENTRE))
    return directory


class TestSurvivors(unittest.TestCase):
    """Surviving hosts of broken groups form new groups without a load if possible."""

    def setUp(self) -> None:
        self.directory, self.state = _directory_with_others(), PlanState()

    def _formed(self, demand: dict[ModelName, float]) -> list[tuple[str, list[str]]]:
        """Plan once; return the model and the members of each group that is formed."""
        planner = ReplicaPlanner(
            DATA_CENTRE, ENGINES, PROFILE, self.directory, self.state, LIMITED, demand
        )
        plan = planner.plan(Placement(), 10.0)
        self.loads = [p.engine for p in plan.orders if isinstance(p.order, StageModel)]
        groups = plan.record.groups if plan.record is not None else []
        return [(g.model, sorted(m.host_id for m in g.members)) for g in groups]

    def test_hosts_with_reserve_weights_form_a_group_of_their_last_model_without_a_load(
        self,
    ) -> None:
        for name in ("a", "b"):
            self.directory.put(make_engine(name, staged=LARGE, model=SMALL))
        self.assertEqual(self._formed(SMALL_IS_SHORT), [(SMALL, ["a", "b"])])
        self.assertEqual(self.loads, [])

    def test_hosts_with_reserve_weights_serve_the_large_model_if_its_need_is_greater(self) -> None:
        for name in ("a", "b", "c", "d"):
            self.directory.put(make_engine(name, staged=LARGE, model=SMALL))
        self.assertEqual(self._formed(LARGE_IS_SHORT), [(LARGE, ["a", "b", "c", "d"])])


class TestReserves(unittest.TestCase):
    """All groups of a domain break at once, and their surviving hosts become free one by one.

    Of two groups of the small model, which is in greater need, one host is free and another one has
    not left yet. Three hosts of the large model are free. All have the large model's weights.
    """

    def setUp(self) -> None:
        self.directory, self.state = _directory_with_others(), PlanState()
        for name in ("c", "d", "e"):
            self.directory.put(make_engine(name, staged=LARGE, model=LARGE))
        self.directory.put(make_engine("a", staged=LARGE, model=SMALL))
        self.key = GroupKey(GroupId("broken"), 1)
        membership = GroupMembership(self.key, 1, MemberState.READY)
        self.directory.put(make_engine("b", staged=LARGE, membership=membership, model=SMALL))
        self.state.unresponsive.add(HostId("lost"))
        self.record = Placement(data_centre=DATA_CENTRE, generation=1)
        group = self.record.groups.add(id="broken", generation=1, model=SMALL)
        group.intent = GroupIntent.REPLACING.value
        for name in ("lost", "b"):
            group.members.add(host_id=name, address=name)

    def _plan(self, now_s: float, demand: dict[ModelName, float]) -> list[tuple[str, list[str]]]:
        """Plan once; return the model and the members of each group that is formed."""
        planner = ReplicaPlanner(
            DATA_CENTRE, ENGINES, PROFILE, self.directory, self.state, LIMITED, demand
        )
        self.record = planner.plan(self.record, now_s).record or self.record
        formed = [g for g in self.record.groups if g.intent == GroupIntent.ACTIVE.value]
        return [(g.model, sorted(m.host_id for m in g.members)) for g in formed]

    def test_free_host_waits_for_another_that_is_leaving_its_group(self) -> None:
        self.assertEqual(self._plan(10.0, SMALL_IS_SHORT), [])
        self.state.departures.add(Departure(HostId("b"), self.key))
        self.assertEqual(self._plan(10.4, SMALL_IS_SHORT), [(SMALL, ["a", "b"])])

    def test_free_host_waits_for_a_limited_time(self) -> None:
        self.assertEqual(self._plan(10.0, SMALL_IS_SHORT), [])
        formed = self._plan(10.0 + RESERVE_TIMEOUT_S + 0.2, SMALL_IS_SHORT)
        self.assertEqual(formed, [(LARGE, ["a", "c", "d", "e"])])

    def test_no_host_waits_for_an_unresponsive_one(self) -> None:
        self.state.suspects.add(HostId("b"))
        self.assertEqual(self._plan(10.0, SMALL_IS_SHORT), [(LARGE, ["a", "c", "d", "e"])])

    def test_model_in_greater_need_does_not_wait(self) -> None:
        self.assertEqual(self._plan(10.0, LARGE_IS_SHORT), [(LARGE, ["a", "c", "d", "e"])])
