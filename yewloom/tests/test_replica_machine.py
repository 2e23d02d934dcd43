"""A machine of engines and coordinators: nothing serves in part, and no host is in two groups.

It plays engines that die, start again under their names, lose the store's sight, are reached by one
coordinator and not by the other, lose answers, take orders late, and stand still until they break;
and two coordinators, both of which believe that they lead, act on listings that are old or go back,
and stand still between their writing and their orders. Plans and deliveries are the product's.
"""

from dataclasses import dataclass, field, replace
from functools import partial

import trio
import trio.testing
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from yewloom.background import BackgroundTasks
from yewloom.directory import Endpoint, EndpointDirectory, GroupKey, Membership, MemberState
from yewloom.forward_metrics import ForwardMetrics
from yewloom.ids import HostId, ModelName
from yewloom.model_need import configured_demand
from yewloom.order_delivery import OrderDelivery
from yewloom.plan_state import PlannedOrder, PlanState, key_of
from yewloom.replica_orders import (
    REPORT_TIMEOUT_S,
    CloseGroup,
    EngineOrder,
    EngineReport,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    OrderAnswer,
    StageModel,
)
from yewloom.replica_plan import ReplicaPlanner
from yewloom.schema.records_pb2 import Group, Placement
from yewloom.states import GroupIntent
from yewloom.tests.engine_rules import (
    PlayedEngine,
    break_if_stalled,
    is_held_by_leader,
    is_whole,
)
from yewloom.tests.entry_support import ENGINES, HALL, LARGE, SMALL, make_engine, make_profile
from yewloom.weight_loads import SupplyBounds

RATIONED = SupplyBounds(is_unlimited=False, max_loads=6)
PROFILE = make_profile()

SETTLE_ROUNDS = 40
"""Seconds of calm within which everything that can serve serves: the time after which a group whose
weights have to be loaded is formed anew (19 s), twice."""

NAMES = [f"e{number}" for number in range(8)]
ENGINE = st.sampled_from(NAMES)
WHICH = st.integers(0, 1)


@dataclass
class _Engine(PlayedEngine):
    """An engine as the platform describes it; its state is that of the world, not of a listing.

    It is reached by those coordinators that are not among ``out_of_reach_of``; orders to it lose
    their answers, or are ``late`` as well: they are carried out later, if at all.
    """

    out_of_reach_of: set[int] = field(default_factory=set)
    loses_answers: bool = False
    is_late: bool = False
    started_unix_ms: int = 1_000_000
    earlier_starts: set[int] = field(default_factory=set)
    left_behind: set[GroupKey] = field(default_factory=set)


@dataclass(frozen=True)
class _Order:
    """An order on its way; ``sequence`` is what its engine must have taken before."""

    engine: HostId
    order: EngineOrder
    sequence: int | None


class _Reach:
    """The engines as one coordinator reaches them."""

    def __init__(self, machine: "ReplicaMachine", which: int) -> None:
        self._machine = machine
        self._which = which

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_sequence: int | None
    ) -> OrderAnswer:
        """Let an engine take an order, now or late, and answer if it can."""
        taker = self._machine.engines[engine]
        if not self._reaches(taker):
            return OrderAnswer.UNREACHABLE
        given = _Order(engine, order, expected_sequence)
        if taker.is_late:
            self._machine.late.append(given)
            return OrderAnswer.UNKNOWN
        answer = self._machine.carry_out(given)
        return OrderAnswer.UNKNOWN if taker.loses_answers else answer

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Tell what an engine says of itself."""
        engine = self._machine.engines[HostId(address.partition(":")[0])]
        if not self._reaches(engine):
            return None
        return EngineReport(engine.sequence, engine.started_unix_ms, engine.key)

    def _reaches(self, engine: _Engine) -> bool:
        return engine.is_alive and self._which not in engine.out_of_reach_of


@dataclass
class _Leader:
    """A coordinator that believes it leads, with its own listing and memory.

    ``waiting`` are the orders of a step in the middle of which its process stands still.
    """

    delivery: OrderDelivery
    state: PlanState
    directory: EndpointDirectory = field(default_factory=EndpointDirectory)
    record: Placement = field(default_factory=Placement)
    version: int = 0
    waiting: list[PlannedOrder] = field(default_factory=list)


class ReplicaMachine(RuleBasedStateMachine):
    """Engines, one record, two coordinators, and orders that come late or twice."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.engines = {HostId(name): _Engine(HostId(name), staged=LARGE) for name in NAMES[:4]}
        for name in NAMES[4:]:
            self.engines[HostId(name)] = _Engine(HostId(name), staged=SMALL)
        self.leaders = [self._make_leader(which) for which in (0, 1)]
        self.record = Placement()
        self.version = 0
        self.late: list[_Order] = []
        self.listings: list[list[Endpoint]] = []
        self.ready_keys: set[tuple[GroupKey, HostId]] = set()

    def _make_leader(self, which: int) -> _Leader:
        state = PlanState()
        return _Leader(OrderDelivery(_Reach(self, which), state, ForwardMetrics()), state)

    @initialize()
    def form_first_groups(self) -> None:
        """Begin with groups that serve."""
        self.go_on_calmly(4)

    @rule(seconds=st.sampled_from([0.2, 1.0, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Let time pass; groups whose leader misses a member break after the stall time."""
        self.now_s += seconds
        for number, engine in enumerate(self.engines.values()):
            # Within a short time only some of the hosts come to be ready.
            if seconds >= 1.0 or number % 2:
                self._become_ready(engine)
            break_if_stalled(engine, self.engines, self.now_s)

    def _become_ready(self, engine: _Engine) -> None:
        if engine.is_alive and engine.key and engine.state is MemberState.JOINING:
            engine.state = MemberState.READY
            self.ready_keys.add((engine.key, engine.name))

    @rule(which=WHICH, is_blind=st.booleans(), stands_still=st.booleans())
    def act(self, which: int, is_blind: bool, stands_still: bool) -> None:
        """Let a coordinator plan, write and order; blind, it acts on what it read long ago."""
        leader = self.leaders[which]
        if not is_blind:
            self._read(leader)
        orders = self._plan_and_write(leader)
        if stands_still:
            leader.waiting += orders
        else:
            self._give(leader, orders)

    @rule(which=WHICH)
    def go_on_after_standing_still(self, which: int) -> None:
        """Let a coordinator give the orders before which its process stood still."""
        leader = self.leaders[which]
        waiting, leader.waiting = leader.waiting, []
        self._give(leader, waiting)

    @rule(which=WHICH)
    def lose_lease(self, which: int) -> None:
        """Let a coordinator forget what it saw, as it does when it loses its lease."""
        leader = self.leaders[which]
        leader.state.forget_evidence()
        leader.delivery.forget_sequences()
        leader.waiting = []

    @rule(which=WHICH, data=st.data(), rounds=st.integers(0, 8))
    def go_back(self, which: int, data: st.DataObject, rounds: int) -> None:
        """Let a coordinator's listing be an older one, and let it go on with that for a while."""
        leader = self.leaders[which]
        old = data.draw(st.sampled_from(self.listings))
        leader.directory.replace_all(old, self.now_s, after_outage=False)
        leader.record, leader.version = self.record, self.version
        for _ in range(rounds):
            self._give(leader, self._plan_and_write(leader))
            self.pass_time(1.0)

    @rule(rounds=st.integers(1, 4))
    def go_on_calmly(self, rounds: int) -> None:
        """Let one coordinator work undisturbed for a while."""
        for _ in range(rounds):
            self._read(self.leaders[0])
            self._give(self.leaders[0], self._plan_and_write(self.leaders[0]))
            self.pass_time(1.0)

    def _read(self, leader: _Leader) -> None:
        listed = [self._endpoint(e) for e in self.engines.values() if e.is_listed and e.is_alive]
        self.listings.append(listed)
        leader.directory.replace_all(listed, self.now_s, after_outage=False)
        leader.record, leader.version = self.record, self.version

    def _plan_and_write(self, leader: _Leader) -> list[PlannedOrder]:
        demand = configured_demand(PROFILE)
        planner = ReplicaPlanner(
            HALL, ENGINES, PROFILE, leader.directory, leader.state, RATIONED, demand
        )
        plan = planner.plan(leader.record, self.now_s)
        if plan.record is None:
            return plan.orders
        if leader.version != self.version:
            leader.record, leader.version = self.record, self.version
            return []
        known = {group.id for group in leader.record.groups}
        self.record, self.version = plan.record, self.version + 1
        leader.record, leader.version = self.record, self.version
        formed = [group for group in self.record.groups if group.id not in known]
        return [*plan.orders, *(order for g in formed for order in planner.join_orders(g))]

    def _give(self, leader: _Leader, orders: list[PlannedOrder]) -> None:
        if orders:
            trio.run(partial(_deliver, leader.delivery, orders), clock=trio.testing.MockClock())

    @rule(data=st.data())
    def carry_out_late(self, data: st.DataObject) -> None:
        """Let an order that got no answer come, perhaps once more, after newer ones."""
        if self.late:
            self.carry_out(data.draw(st.sampled_from(self.late)))

    @rule(name=ENGINE, loses_answers=st.booleans(), is_late=st.booleans())
    def answer(self, name: str, loses_answers: bool, is_late: bool) -> None:
        """Let an engine leave its orders unanswered, or carry them out late, or answer again."""
        engine = self.engines[HostId(name)]
        engine.loses_answers, engine.is_late = loses_answers, is_late

    @rule(name=ENGINE, which=WHICH, is_reached=st.booleans())
    def cut(self, name: str, which: int, is_reached: bool) -> None:
        """Cut the way from one coordinator to an engine, or mend it; others reach the engine."""
        blocked = self.engines[HostId(name)].out_of_reach_of
        blocked.discard(which) if is_reached else blocked.add(which)

    @rule(name=ENGINE, which=WHICH)
    def find_silent(self, name: str, which: int) -> None:
        """Let a coordinator that does not reach an engine find out, as its questions do."""
        if which in self.engines[HostId(name)].out_of_reach_of:
            self.leaders[which].state.suspects.add(HostId(name))

    @rule(name=ENGINE)
    def lose(self, name: str) -> None:
        """Let an engine die; its place is taken by an empty one of another name."""
        engine = self.engines[HostId(name)]
        if engine.is_alive:
            engine.is_alive = False
            fresh = HostId(f"{name}-{len(self.engines)}")
            self.engines[fresh] = _Engine(fresh, staged=engine.staged)

    @rule(name=ENGINE, clock_step_ms=st.sampled_from([-5000, -1, 1, 5000]))
    def start_again(self, name: str, clock_step_ms: int) -> None:
        """Let an engine start again under its name; it holds and knows nothing of before.

        Its clock may have been set back. Orders that it had not carried out end with it.
        """
        engine = self.engines[HostId(name)]
        if not engine.is_alive:
            return
        if engine.key is not None:
            engine.left_behind.add(engine.key)
        engine.earlier_starts.add(engine.started_unix_ms)
        while engine.started_unix_ms in engine.earlier_starts:  # No two start in the same ms.
            engine.started_unix_ms += clock_step_ms
        engine.sequence = 0
        engine.key, engine.members, engine.model = None, (), None
        engine.state = MemberState.JOINING
        self.late = [order for order in self.late if order.engine != engine.name]

    @rule(name=ENGINE, is_listed=st.booleans())
    def hide(self, name: str, is_listed: bool) -> None:
        """Cut an engine off from the store, or let it back; it serves on."""
        self.engines[HostId(name)].is_listed = is_listed

    @rule()
    def replace_what_started_again(self) -> None:
        """Check that calm times leave no group that counts on what an earlier life held."""
        self._mend_ways()
        self.go_on_calmly(8)
        for group in self._active_groups():
            for member in group.members:
                engine = self.engines[HostId(member.host_id)]
                assert key_of(group) not in engine.left_behind, f"{engine.name} in {group.id}"

    @rule()
    def settle(self) -> None:
        """Check that after calm times each group that can be formed is formed and serves."""
        self._mend_ways()
        self.go_on_calmly(SETTLE_ROUNDS)
        for group in self.record.groups:
            assert group.intent == GroupIntent.ACTIVE.value, f"{group.id} is {group.intent}"
            head = self.engines[HostId(group.members[0].host_id)]
            assert head.key == key_of(group) and head.state is MemberState.OPEN, f"{group.id}"
            assert is_whole(head, self.engines), f"{group.id} lacks a member"
        recorded = {m.host_id for group in self.record.groups for m in group.members}
        free = [e for e in self.engines.values() if e.is_alive and e.name not in recorded]
        for model in (LARGE, SMALL):
            ready = [e for e in free if self._endpoint(e).is_prepared_for(model)]
            assert len(ready) < PROFILE.models[model].group_size, (
                f"{len(ready)} could serve {model}"
            )

    def _mend_ways(self) -> None:
        for engine in self.engines.values():
            engine.is_listed = True
            engine.is_late = engine.loses_answers = False
            engine.out_of_reach_of.clear()
        for leader in self.leaders:
            leader.state.suspects.clear()

    def _active_groups(self) -> list[Group]:
        return [g for g in self.record.groups if g.intent == GroupIntent.ACTIVE.value]

    @invariant()
    def no_host_is_recorded_twice(self) -> None:
        """Check the record."""
        members = [m.host_id for group in self.record.groups for m in group.members]
        assert len(members) == len(set(members))

    def carry_out(self, given: _Order) -> OrderAnswer:
        """Let an engine take an order as the platform describes; check what must hold."""
        engine = self.engines[given.engine]
        if not engine.is_alive:
            return OrderAnswer.UNREACHABLE
        if given.sequence is not None and given.sequence != engine.sequence:
            return OrderAnswer.OUT_OF_DATE
        answer = self._apply(engine, given.order)
        if answer is OrderAnswer.BEGUN:
            engine.sequence += 1
        return answer

    def _apply(self, engine: _Engine, order: EngineOrder) -> OrderAnswer:
        match order:
            case JoinGroup(key=key, model=model, members=members):
                return self._join(engine, key, model, tuple(members))
            case OpenGroup(key=key):
                return self._open(engine, key)
            case CloseGroup(key=key) if engine.key == key and engine.state is MemberState.OPEN:
                engine.state = MemberState.READY
                return OrderAnswer.BEGUN
            case LeaveGroup(key=key) if engine.key == key:
                engine.key, engine.members = None, ()
                return OrderAnswer.BEGUN
            case StageModel(model=model):
                engine.staged = model
                return OrderAnswer.BEGUN
        return OrderAnswer.HOLDS

    def _join(
        self, engine: _Engine, key: GroupKey, model: ModelName, members: tuple[HostId, ...]
    ) -> OrderAnswer:
        if key == engine.key:
            return OrderAnswer.HOLDS
        if engine.key is not None and key.generation < engine.key.generation:
            return OrderAnswer.OUT_OF_DATE
        is_held = is_held_by_leader(engine, self.engines)
        assert not is_held, f"{engine.name} was taken from a serving group"
        assert key not in engine.left_behind, f"{engine.name} joins {key}, which it left behind"
        engine.key, engine.model, engine.members = key, model, members
        engine.state, engine.incomplete_since_s = MemberState.JOINING, None
        return OrderAnswer.BEGUN

    def _open(self, engine: _Engine, key: GroupKey) -> OrderAnswer:
        if engine.key != key or engine.state is not MemberState.READY:
            return OrderAnswer.OUT_OF_DATE
        for member in engine.members:
            assert (key, member) in self.ready_keys, f"{member} was never ready in {key}"
        engine.state = MemberState.OPEN
        return OrderAnswer.BEGUN

    def _endpoint(self, engine: _Engine) -> Endpoint:
        endpoint = make_engine(engine.name, staged=engine.staged, model=engine.model)
        endpoint = replace(endpoint, started_unix_ms=engine.started_unix_ms)
        if engine.key is None:
            return endpoint
        rank = engine.members.index(engine.name)
        return replace(endpoint, membership=Membership(engine.key, rank, engine.state))


async def _deliver(delivery: OrderDelivery, orders: list[PlannedOrder]) -> None:
    """Give orders, and wait for all answers."""
    async with trio.open_nursery() as nursery:
        delivery.give(orders, BackgroundTasks(nursery))


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = settings(max_examples=200, stateful_step_count=30)
