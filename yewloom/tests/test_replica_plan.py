"""Tests of the plan of replicas: nothing serves in part, and no host is in two groups.

The machine plays engines that die, start again under their names, lose the store's sight, take
orders late, and two coordinators that both believe they lead and act on old listings.
"""

import unittest
from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from yewloom.directory import Endpoint, EndpointDirectory, GroupKey, Membership, MemberState
from yewloom.ids import GroupId, HostId, ModelName
from yewloom.model_need import starting_demand
from yewloom.plan_state import PlannedOrder, PlanState, Staging, key_of
from yewloom.replica_lifecycle import LEAVING_SERVICE_S, UNLISTED_GRACE_S
from yewloom.replica_orders import (
    CloseGroup,
    EngineOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from yewloom.replica_plan import ReplicaPlanner
from yewloom.replica_supply import GATHER_S
from yewloom.schema.records_pb2 import Placement
from yewloom.states import GroupIntent
from yewloom.tests.entry_support import (
    ENGINES,
    HALL,
    LARGE,
    SMALL,
    make_engine,
    make_profile,
    put_group,
)
from yewloom.weight_loads import SupplyBounds

FREE_LOADS = SupplyBounds(loads_are_free=True, max_loads=6)
RATIONED = SupplyBounds(loads_are_free=False, max_loads=6)
PROFILE = make_profile()


def _planner(
    directory: EndpointDirectory, state: PlanState, bounds: SupplyBounds = FREE_LOADS
) -> ReplicaPlanner:
    demand = starting_demand(PROFILE)
    return ReplicaPlanner(HALL, ENGINES, PROFILE, directory, state, bounds, demand)


def _orders(plan_orders: list[PlannedOrder], kind: type) -> list[PlannedOrder]:
    return [planned for planned in plan_orders if isinstance(planned.order, kind)]


class TestForming(unittest.TestCase):
    """The first groups, and what follows from them."""

    def test_first_groups_wait_until_no_more_hosts_appear(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        for number in range(8):
            directory.put(make_engine(f"e{number}"))
        self.assertIsNone(_planner(directory, state).plan(Placement(), 10.0).record)
        plan = _planner(directory, state).plan(Placement(), 10.0 + GATHER_S)
        assert plan.record is not None
        models = sorted(group.model for group in plan.record.groups)
        self.assertEqual(models, [LARGE, SMALL, SMALL])
        members = [m.host_id for group in plan.record.groups for m in group.members]
        self.assertEqual(len(members), len(set(members)))

    def test_a_ready_group_is_opened_once_and_again_only_later(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        record = _record(directory, SMALL, ["a", "b"], MemberState.READY)
        plan = _planner(directory, state, RATIONED).plan(record, 0.0)
        self.assertEqual(len(_orders(plan.orders, OpenGroup)), 1)
        plan = _planner(directory, state, RATIONED).plan(record, 0.2)
        self.assertEqual(_orders(plan.orders, OpenGroup), [])

    def test_a_group_that_is_not_all_ready_is_not_opened(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        record = _record(directory, SMALL, ["a", "b"], MemberState.READY)
        key = GroupKey(record.groups[0].id, 1)  # type: ignore[arg-type]
        joining = Membership(key, 1, MemberState.JOINING)
        directory.put(make_engine("b", membership=joining))
        plan = _planner(directory, state, RATIONED).plan(record, 0.0)
        self.assertEqual(_orders(plan.orders, OpenGroup), [])

    def test_hosts_without_the_weights_form_nothing_once_loads_count(self) -> None:
        directory = EndpointDirectory()
        for number in range(2):
            directory.put(make_engine(f"e{number}"))
        plan = _planner(directory, PlanState(), RATIONED).plan(Placement(), 0.0)
        self.assertIsNone(plan.record)
        self.assertEqual(len(_orders(plan.orders, StageModel)), 2)


class TestLosses(unittest.TestCase):
    """What follows when a member is lost."""

    def test_a_group_serves_on_while_an_unlisted_member_answers(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        record = _record(directory, SMALL, ["a", "b"])
        directory.remove(HostId("b"))
        for now_s in (0.0, 1.0, 2.0, 3.0):
            state.answered_s[HostId("b")] = now_s
            self.assertIsNone(_planner(directory, state, RATIONED).plan(record, now_s).record)
        plan = _planner(directory, state, RATIONED).plan(record, 3.0 + UNLISTED_GRACE_S + 0.1)
        self.assertIsNotNone(plan.record)

    def test_a_group_that_stands_still_is_given_up_whoever_has_the_lost_address(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        record = _record(directory, SMALL, ["a", "b"])
        directory.remove(HostId("b"))
        state.answered_s[HostId("b")] = 5.0
        state.stood_still_s[GroupKey(record.groups[0].id, 1)] = 5.0  # type: ignore[arg-type]
        self.assertIsNotNone(_planner(directory, state, RATIONED).plan(record, 5.2).record)

    def test_a_group_whose_leader_is_unlisted_is_given_up(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        record = _record(directory, SMALL, ["a", "b"])
        directory.remove(HostId("a"))
        state.answered_s[HostId("a")] = 0.0
        self.assertIsNotNone(_planner(directory, state, RATIONED).plan(record, 0.0).record)

    def test_a_lost_group_keeps_its_hosts_until_its_leader_has_left(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        record = _record(directory, SMALL, ["a", "b"])
        directory.remove(HostId("b"))
        directory.put(make_engine("c", staged=SMALL))
        self.assertIsNone(_planner(directory, state, RATIONED).plan(record, -2.0).record)
        plan = _planner(directory, state, RATIONED).plan(record, 0.0)
        assert plan.record is not None
        self.assertEqual(plan.record.groups[0].intent, GroupIntent.REPLACING.value)
        plan = _planner(directory, state, RATIONED).plan(plan.record, 0.2)
        self.assertEqual(len(_orders(plan.orders, LeaveGroup)), 1)
        self.assertIsNone(plan.record)
        state.left.add(GroupKey(record.groups[0].id, 1))  # type: ignore[arg-type]
        plan = _planner(directory, state, RATIONED).plan(_retired(record), 0.4)
        assert plan.record is not None
        [group] = plan.record.groups
        self.assertEqual({m.host_id for m in group.members}, {"a", "c"})

    def test_a_listing_that_is_older_than_a_group_does_not_show_that_its_leader_left(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        for name in ("a", "b"):
            directory.put(make_engine(name, staged=SMALL))  # As they were before the group.
        record = Placement(generation=3)
        key = GroupKey(GroupId("g"), 3)
        _add_group(record, key, SMALL, ["a", "b"])
        plan = _planner(directory, state, RATIONED).plan(_retired(record), 0.0)
        self.assertIsNone(plan.record)
        [leave] = _orders(plan.orders, LeaveGroup)
        self.assertEqual((leave.engine, leave.order), ("a", LeaveGroup(key)))
        state.left.add(key)
        self.assertIsNotNone(
            _planner(directory, state, RATIONED).plan(_retired(record), 0.2).record
        )

    def test_an_unlisted_leader_that_answers_still_holds_its_members(self) -> None:
        """A leader cut off from the store alone goes on serving."""
        directory, state = EndpointDirectory(), PlanState()
        record = _retired(_record(directory, SMALL, ["a", "b"]))
        directory.remove(HostId("a"))
        directory.put(make_engine("c", staged=SMALL))
        for now_s in (0.0, 5.0, 50.0):
            plan = _planner(directory, state, RATIONED).plan(record, now_s)
            self.assertIsNone(plan.record)
        state.unreachable_since_s[HostId("a")] = 50.0
        self.assertIsNone(_planner(directory, state, RATIONED).plan(record, 51.0).record)
        self.assertIsNotNone(_planner(directory, state, RATIONED).plan(record, 54.0).record)

    def test_hosts_of_a_serving_group_that_is_in_no_record_are_not_taken(self) -> None:
        directory = EndpointDirectory()
        key = put_group(directory, "old", SMALL, ["a", "b"])
        plan = _planner(directory, PlanState(), RATIONED).plan(Placement(), 0.0)
        self.assertIsNone(plan.record)
        [leave] = _orders(plan.orders, LeaveGroup)
        self.assertEqual((leave.engine, leave.order), ("a", LeaveGroup(key)))

    def test_a_group_whose_member_started_again_is_given_up_and_its_hosts_form_another(
        self,
    ) -> None:
        for name in ("a", "b"):
            directory, state = EndpointDirectory(), PlanState()
            record = _record(directory, SMALL, ["a", "b"])
            for member in record.groups[0].members:
                member.started_unix_ms = 7
            for known in list(directory.by_id.values()):
                directory.put(replace(known, started_unix_ms=7))
            self.assertIsNone(_planner(directory, state, RATIONED).plan(record, 0.0).record)
            fresh = make_engine(name, staged=SMALL)
            directory.put(replace(fresh, started_unix_ms=5))  # Its clock was set back.
            plan = _planner(directory, state, RATIONED).plan(record, 0.2)
            assert plan.record is not None
            self.assertEqual(plan.record.groups[0].intent, GroupIntent.REPLACING.value)
            self.assertEqual(_orders(plan.orders, JoinGroup), [])
            state.left.add(GroupKey(record.groups[0].id, 1))  # type: ignore[arg-type]
            plan = _planner(directory, state, RATIONED).plan(plan.record, 0.4)
            assert plan.record is not None
            [group] = plan.record.groups
            self.assertEqual(group.generation, 3)
            lives = {member.host_id: member.started_unix_ms for member in group.members}
            self.assertEqual(lives, {"a": 7, "b": 7} | {name: 5})
            joins = _planner(directory, state, RATIONED).join_orders(group)
            self.assertEqual({join.engine: join.started_unix_ms for join in joins}, lives)

    def test_what_is_remembered_of_an_earlier_life_is_forgotten(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        host = HostId("a")
        directory.put(replace(make_engine("a"), started_unix_ms=7))
        _planner(directory, state, RATIONED).plan(Placement(), 0.0)
        state.suspects.add(host)
        state.unreachable_since_s[host] = 0.0
        state.staging[host] = Staging(LARGE, 0.0)
        state.answered_s[host] = 0.0
        _planner(directory, state, RATIONED).plan(Placement(), 0.2)
        self.assertEqual(state.suspects, {host})
        directory.put(replace(make_engine("a", staged=LARGE), started_unix_ms=9))
        _planner(directory, state, RATIONED).plan(Placement(), 0.4)
        self.assertEqual(state.suspects, set())
        self.assertEqual((state.unreachable_since_s, state.answered_s, state.staging), ({}, {}, {}))

    def test_a_leaving_leader_ends_its_group_at_once_and_another_member_later(self) -> None:
        for leaving, ends_s in (("a", 0.0), ("b", LEAVING_SERVICE_S)):
            directory, state = EndpointDirectory(), PlanState()
            record = _record(directory, SMALL, ["a", "b"])
            listed = directory.by_id[HostId(leaving)]
            directory.put(replace(listed, is_leaving=True))
            for now_s in (0.0, 1.0, LEAVING_SERVICE_S):
                plan = _planner(directory, state, RATIONED).plan(record, now_s)
                self.assertEqual(plan.record is not None, now_s >= ends_s)

    def test_a_host_of_a_small_group_takes_a_lost_place_without_a_load(self) -> None:
        directory, state = EndpointDirectory(), PlanState()
        for name in ("a", "b", "c"):
            directory.put(make_engine(name, staged=LARGE))
        key = put_group(directory, "s", SMALL, ["x", "y"], staged=LARGE)
        record = Placement(generation=1)
        _add_group(record, key, SMALL, ["x", "y"])
        for number in range(4):  # Small groups elsewhere make this one worth giving up.
            names = [f"{number}p", f"{number}q"]
            other = put_group(directory, f"o{number}", SMALL, names, domain="d2")
            _add_group(record, other, SMALL, names)
        plan = _planner(directory, state, RATIONED).plan(record, 0.0)
        assert plan.record is not None
        intents = {g.id: g.intent for g in plan.record.groups}
        self.assertEqual(intents["s"], GroupIntent.DRAINING.value)
        self.assertEqual(_orders(plan.orders, StageModel), [])

    def test_loads_are_rationed(self) -> None:
        directory = EndpointDirectory()
        for number in range(40):
            directory.put(make_engine(f"e{number}", domain=f"d{number // 4}"))
        plan = _planner(directory, PlanState(), RATIONED).plan(Placement(), 0.0)
        self.assertEqual(len(_orders(plan.orders, StageModel)), RATIONED.max_loads)


def _record(
    directory: EndpointDirectory,
    model: ModelName,
    names: list[str],
    state: MemberState = MemberState.OPEN,
) -> Placement:
    record = Placement(generation=1)
    _add_group(record, put_group(directory, "g", model, names, state), model, names)
    return record


def _add_group(record: Placement, key: GroupKey, model: ModelName, names: list[str]) -> None:
    group = record.groups.add(
        id=key.group_id, generation=key.generation, model=model, intent=GroupIntent.ACTIVE.value
    )
    for name in names:
        group.members.add(host_id=name, address=f"{name}:1")


def _retired(record: Placement) -> Placement:
    retired = Placement()
    retired.CopyFrom(record)
    retired.groups[0].intent = GroupIntent.REPLACING.value
    return retired


@dataclass
class _Engine:
    """An engine as the platform describes it; its state is that of the world, not of a listing."""

    name: HostId
    is_alive: bool = True
    is_listed: bool = True
    started_unix_ms: int = 1_000_000
    left_behind: set[GroupKey] = field(default_factory=set)
    sequence: int = 0
    staged: ModelName | None = None
    key: GroupKey | None = None
    members: tuple[HostId, ...] = ()
    model: ModelName | None = None
    state: MemberState = MemberState.JOINING


@dataclass
class _Leader:
    """A coordinator that believes it leads, with its own listing and memory."""

    directory: EndpointDirectory = field(default_factory=EndpointDirectory)
    state: PlanState = field(default_factory=PlanState)
    record: Placement = field(default_factory=Placement)
    version: int = 0


@dataclass(frozen=True)
class _Order:
    """An order on its way; ``sequence`` is that of the engine when it was given."""

    planned: PlannedOrder
    sequence: int | None


class ReplicaMachine(RuleBasedStateMachine):
    """Engines, one record, two coordinators, and orders that come late or twice."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.engines = {HostId(f"e{n}"): _Engine(HostId(f"e{n}"), staged=LARGE) for n in range(4)}
        for number in range(4, 8):
            name = HostId(f"e{number}")
            self.engines[name] = _Engine(name, staged=SMALL)
        self.leaders = [_Leader(), _Leader()]
        self.record = Placement()
        self.version = 0
        self.late: list[_Order] = []
        self.ready_keys: set[tuple[GroupKey, HostId]] = set()

    @initialize()
    def form_first_groups(self) -> None:
        """Begin with groups that serve."""
        self.go_on_calmly(4)

    @rule(seconds=st.sampled_from([0.2, 1.0, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Let time pass; groups whose leader misses a member break after 5 s."""
        self.now_s += seconds
        for number, engine in enumerate(self.engines.values()):
            # Within a short time only some of the hosts come to be ready.
            if seconds >= 1.0 or number % 2:
                self._become_ready(engine)

    def _become_ready(self, engine: _Engine) -> None:
        if engine.is_alive and engine.key and engine.state is MemberState.JOINING:
            engine.state = MemberState.READY
            self.ready_keys.add((engine.key, engine.name))

    @rule(which=st.integers(0, 1), is_blind=st.booleans(), is_late=st.booleans())
    def act(self, which: int, is_blind: bool, is_late: bool) -> None:
        """Let a coordinator plan, write and order; blind, it acts on what it read long ago."""
        if not is_blind:
            self._read(self.leaders[which])
        self._step(self.leaders[which], is_late)

    @rule(rounds=st.integers(1, 4))
    def go_on_calmly(self, rounds: int) -> None:
        """Let one coordinator work undisturbed for a while."""
        for _ in range(rounds):
            self._read(self.leaders[0])
            self._step(self.leaders[0], is_late=False)
            self.pass_time(1.0)

    def _read(self, leader: _Leader) -> None:
        listed = [self._endpoint(e) for e in self.engines.values() if e.is_listed and e.is_alive]
        leader.directory.replace_all(listed, self.now_s, after_outage=False)
        leader.record, leader.version = self.record, self.version

    def _step(self, leader: _Leader, is_late: bool) -> None:
        planner = _planner(leader.directory, leader.state, RATIONED)
        plan = planner.plan(leader.record, self.now_s)
        orders = list(plan.orders)
        if plan.record is not None:
            if leader.version != self.version:
                leader.record, leader.version = self.record, self.version
                return
            known = {group.id for group in leader.record.groups}
            self.record, self.version = plan.record, self.version + 1
            leader.record, leader.version = self.record, self.version
            for group in self.record.groups:
                if group.id not in known:
                    orders += planner.join_orders(group)
        for planned in orders:
            if not self._is_meant_for(planned):
                continue  # The engine's report tells so before the order is given.
            order = _Order(planned, self._sequence_for(planned))
            if is_late:
                self.late.append(order)
            self._carry_out(order, None if is_late else leader)

    @rule(data=st.data())
    def carry_out_late(self, data: st.DataObject) -> None:
        """Let an order that got no answer come once more, after newer ones."""
        if self.late:
            self._carry_out(data.draw(st.sampled_from(self.late)), None)

    @rule(name=st.sampled_from([f"e{n}" for n in range(8)]))
    def lose(self, name: str) -> None:
        """Let an engine die; its place is taken by an empty one of another name."""
        engine = self.engines[HostId(name)]
        if engine.is_alive:
            engine.is_alive = False
            fresh = HostId(f"{name}-{len(self.engines)}")
            self.engines[fresh] = _Engine(fresh, staged=engine.staged)

    @rule(
        name=st.sampled_from([f"e{n}" for n in range(8)]),
        clock_step_ms=st.sampled_from([-5000, -1, 1, 5000]),
    )
    def start_again(self, name: str, clock_step_ms: int) -> None:
        """Let an engine start again under its name; it holds and knows nothing of before.

        Its clock may have been set back. Orders that it had not carried out end with it.
        """
        engine = self.engines[HostId(name)]
        if not engine.is_alive:
            return
        if engine.key is not None:
            engine.left_behind.add(engine.key)
        engine.started_unix_ms += clock_step_ms
        engine.sequence = 0
        engine.key, engine.members, engine.model = None, (), None
        engine.state = MemberState.JOINING
        self.late = [order for order in self.late if order.planned.engine != engine.name]

    @rule()
    def replace_what_started_again(self) -> None:
        """Check that calm times leave no group that counts on what an earlier life held."""
        self.go_on_calmly(8)
        for group in self.record.groups:
            if group.intent != GroupIntent.ACTIVE.value:
                continue
            for member in group.members:
                engine = self.engines[HostId(member.host_id)]
                assert key_of(group) not in engine.left_behind, f"{engine.name} in {group.id}"

    @rule(name=st.sampled_from([f"e{n}" for n in range(8)]), is_listed=st.booleans())
    def hide(self, name: str, is_listed: bool) -> None:
        """Cut an engine off from the store, or let it back; it serves on."""
        self.engines[HostId(name)].is_listed = is_listed

    @invariant()
    def no_host_is_recorded_twice(self) -> None:
        """Check the record."""
        members = [m.host_id for group in self.record.groups for m in group.members]
        assert len(members) == len(set(members))

    def _is_meant_for(self, planned: PlannedOrder) -> bool:
        if not isinstance(planned.order, JoinGroup | StageModel):
            return True
        return planned.started_unix_ms == self.engines[planned.engine].started_unix_ms

    def _sequence_for(self, planned: PlannedOrder) -> int | None:
        if isinstance(planned.order, JoinGroup | StageModel):
            return self.engines[planned.engine].sequence
        return None

    def _carry_out(self, order: _Order, leader: _Leader | None) -> None:
        """Let an engine take an order as the platform describes; check what must hold."""
        engine = self.engines[order.planned.engine]
        if not engine.is_alive:
            if leader is not None:
                leader.state.unreachable_since_s.setdefault(engine.name, self.now_s)
            return
        if order.sequence is not None and order.sequence != engine.sequence:
            return
        if self._apply(engine, order.planned.order):
            engine.sequence += 1
        if leader is not None and isinstance(order.planned.order, LeaveGroup):
            leader.state.left.add(order.planned.order.key)

    def _apply(self, engine: _Engine, order: EngineOrder) -> bool:
        match order:
            case JoinGroup(key=key, model=model, members=members):
                return self._join(engine, key, model, tuple(members))
            case OpenGroup(key=key):
                return self._open(engine, key)
            case CloseGroup(key=key) if engine.key == key and engine.state is MemberState.OPEN:
                engine.state = MemberState.READY
                return True
            case LeaveGroup(key=key) if engine.key == key:
                engine.key = None
                return True
            case StageModel(model=model):
                engine.staged = model
                return True
        return False

    def _join(
        self, engine: _Engine, key: GroupKey, model: ModelName, members: tuple[HostId, ...]
    ) -> bool:
        if engine.key is not None:
            if key.generation < engine.key.generation or key == engine.key:
                return False
            head = self.engines[engine.members[0]]
            holds = head.is_alive and head.key == engine.key
            is_serving = head.state in (MemberState.OPEN, MemberState.CLOSING)
            assert not (holds and is_serving), f"{engine.name} was taken from a serving group"
        assert key not in engine.left_behind, f"{engine.name} joins {key}, which it left behind"
        engine.key, engine.model, engine.members = key, model, members
        engine.state = MemberState.JOINING
        return True

    def _open(self, engine: _Engine, key: GroupKey) -> bool:
        if engine.key != key or engine.state is not MemberState.READY:
            return False
        for member in engine.members:
            assert (key, member) in self.ready_keys, f"{member} was never ready in {key}"
        engine.state = MemberState.OPEN
        return True

    def _endpoint(self, engine: _Engine) -> Endpoint:
        endpoint = make_engine(engine.name, staged=engine.staged, model=engine.model)
        endpoint = replace(endpoint, started_unix_ms=engine.started_unix_ms)
        if engine.key is None:
            return endpoint
        rank = engine.members.index(engine.name)
        return replace(endpoint, membership=Membership(engine.key, rank, engine.state))


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = settings(max_examples=200, stateful_step_count=30)
