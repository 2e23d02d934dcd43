"""Tests of the replicas of a small model while hosts are lost one after the other.

The pattern is a host lost every three seconds in turn in each data centre, as in a rack that fails
slowly: groups of two break as often as groups of four, their hosts keep the weights of the large
model as a reserve, and a load takes 12 s, in which four more hosts are lost.
"""

import unittest

from yewloom.directory import EndpointDirectory, GroupKey, Membership, MemberState
from yewloom.ids import DataCentreId, GroupId, HostId, ModelName
from yewloom.model_reserves import RESERVE_TIMEOUT_S
from yewloom.plan_state import Departure, PlanState
from yewloom.replica_orders import StageModel
from yewloom.replica_plan import ReplicaPlanner
from yewloom.schema.records_pb2 import Placement
from yewloom.states import GroupIntent
from yewloom.tests.entry_support import ENGINES, HALL, LARGE, SMALL, make_engine, make_profile
from yewloom.weight_loads import SupplyBounds

RATIONED = SupplyBounds(is_unlimited=False, max_loads=6)
OTHER_HALL = DataCentreId("hall-b")
PROFILE = make_profile()
SMALL_IS_SHORT = {SMALL: 60.0, LARGE: 30.0}
LARGE_IS_SHORT = {SMALL: 30.0, LARGE: 60.0}


def _directory_with_others() -> EndpointDirectory:
    """Return a directory that lists two groups of each model in another data centre."""
    directory = EndpointDirectory()
    for number, model in enumerate([SMALL, SMALL, LARGE, LARGE]):
        key = GroupKey(GroupId(f"other-{number}"), 1)
        leader = Membership(key, 0, MemberState.OPEN)
        directory.put(make_engine(f"o{number}", "o1", None, leader, model, OTHER_HALL))
    return directory


class TestSurvivors(unittest.TestCase):
    """Hosts whose groups broke serve again as soon as they can."""

    def setUp(self) -> None:
        self.directory, self.state = _directory_with_others(), PlanState()

    def _formed(self, demand: dict[ModelName, float]) -> list[tuple[str, list[str]]]:
        """Return the model and the members of each group that is formed now."""
        planner = ReplicaPlanner(
            HALL, ENGINES, PROFILE, self.directory, self.state, RATIONED, demand
        )
        plan = planner.plan(Placement(), 10.0)
        self.loads = [p.engine for p in plan.orders if isinstance(p.order, StageModel)]
        groups = plan.record.groups if plan.record is not None else []
        return [(g.model, sorted(m.host_id for m in g.members)) for g in groups]

    def test_two_that_keep_the_reserve_form_a_group_of_their_last_model_without_a_load(
        self,
    ) -> None:
        for name in ("a", "b"):
            self.directory.put(make_engine(name, staged=LARGE, model=SMALL))
        self.assertEqual(self._formed(SMALL_IS_SHORT), [(SMALL, ["a", "b"])])
        self.assertEqual(self.loads, [])

    def test_a_reserve_goes_to_the_large_model_while_that_lacks_more(self) -> None:
        for name in ("a", "b", "c", "d"):
            self.directory.put(make_engine(name, staged=LARGE, model=SMALL))
        self.assertEqual(self._formed(LARGE_IS_SHORT), [(LARGE, ["a", "b", "c", "d"])])


class TestReserves(unittest.TestCase):
    """All groups of a domain break at once, and their other hosts come free one by one.

    Of two groups of the small model, which is in greater need, one host is free and another has
    still to leave; three of the large model's are free. All hold the large model's weights.
    """

    def setUp(self) -> None:
        self.directory, self.state = _directory_with_others(), PlanState()
        for name in ("c", "d", "e"):
            self.directory.put(make_engine(name, staged=LARGE, model=LARGE))
        self.directory.put(make_engine("a", staged=LARGE, model=SMALL))
        self.key = GroupKey(GroupId("broken"), 1)
        place = Membership(self.key, 1, MemberState.READY)
        self.directory.put(make_engine("b", staged=LARGE, membership=place, model=SMALL))
        self.state.unresponsive.add(HostId("lost"))
        self.record = Placement(data_centre=HALL, generation=1)
        group = self.record.groups.add(id="broken", generation=1, model=SMALL)
        group.intent = GroupIntent.REPLACING.value
        for name in ("lost", "b"):
            group.members.add(host_id=name, address=name)

    def _plan(self, now_s: float, demand: dict[ModelName, float]) -> list[tuple[str, list[str]]]:
        """Plan once; return the model and the members of each group that is formed."""
        planner = ReplicaPlanner(
            HALL, ENGINES, PROFILE, self.directory, self.state, RATIONED, demand
        )
        self.record = planner.plan(self.record, now_s).record or self.record
        formed = [g for g in self.record.groups if g.intent == GroupIntent.ACTIVE.value]
        return [(g.model, sorted(m.host_id for m in g.members)) for g in formed]

    def test_a_host_waits_for_another_that_is_about_to_be_free(self) -> None:
        self.assertEqual(self._plan(10.0, SMALL_IS_SHORT), [])
        self.state.departures.add(Departure(HostId("b"), self.key))
        self.assertEqual(self._plan(10.4, SMALL_IS_SHORT), [(SMALL, ["a", "b"])])

    def test_it_waits_for_a_short_while_only(self) -> None:
        self.assertEqual(self._plan(10.0, SMALL_IS_SHORT), [])
        formed = self._plan(10.0 + RESERVE_TIMEOUT_S + 0.2, SMALL_IS_SHORT)
        self.assertEqual(formed, [(LARGE, ["a", "c", "d", "e"])])

    def test_nothing_waits_for_a_host_that_gives_no_answer(self) -> None:
        self.state.suspects.add(HostId("b"))
        self.assertEqual(self._plan(10.0, SMALL_IS_SHORT), [(LARGE, ["a", "c", "d", "e"])])

    def test_the_model_in_greater_need_waits_for_nobody(self) -> None:
        self.assertEqual(self._plan(10.0, LARGE_IS_SHORT), [(LARGE, ["a", "c", "d", "e"])])
