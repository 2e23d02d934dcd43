"""Tests of placement and of when groups are open, under random combinations of failures."""

import unittest
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from yewloom.drafts import PlacementError, PlacementPlan, check_placement
from yewloom.fleet import Fleet
from yewloom.formation import choose_members
from yewloom.groups import HostObservation
from yewloom.ids import AttemptId, DataCentreId, EntryHostId, GroupId, HostId, PolicyName
from yewloom.orders import DueOrder, due_orders
from yewloom.placement import FleetState, PlacementPlanner, PlacementTiming
from yewloom.schema.records_pb2 import Group, GroupMember, Host, HostReport, Placement
from yewloom.schema.table_pb2 import DowntimePlacement, PolicyRow, StrandedPlacement
from yewloom.states import EngineState, GroupIntent, HostState
from yewloom.tests.support import make_host, make_policy

FRESHNESS_S = 2.0
MISSING_AFTER_S = 4.0
TIMING = PlacementTiming(FRESHNESS_S, load_timeout_s=30.0, settle_s=3.0)
DATA_CENTRE = DataCentreId("hall-a")
HOSTS = [f"h{i}" for i in range(7)]
POLICY = PolicyName("p")


@dataclass
class _Engine:
    """The actual state of a model engine, which entry hosts may not know."""

    host: Host
    is_alive: bool = True
    fence: int = 0
    group: tuple[str, int] = ("", 0)
    is_ready: bool = False
    running: int = 0

    def report(self) -> HostReport:
        state = EngineState.READY if self.is_ready else EngineState.LOADING
        return HostReport(
            host_id=self.host.id,
            state=(state if self.group[0] else EngineState.IDLE).value,
            group_id=self.group[0],
            generation=self.group[1],
            running=self.running,
            capacity=4,
        )

    def execute_order(self, due: DueOrder) -> None:
        if not self.is_alive or (self.host.checks_fences and due.order.fence < self.fence):
            return
        self.fence = max(self.fence, due.order.fence)
        if self.group != (due.order.group_id, due.order.generation):
            self.group = (due.order.group_id, due.order.generation)
            self.is_ready = False
            self.running = 0


@dataclass
class _EntryHost:
    """One entry host: its view, its planner, and a planned placement that it may write later."""

    name: str
    fleet: Fleet = field(default_factory=lambda: Fleet(FRESHNESS_S, MISSING_AFTER_S))
    planner: PlacementPlanner = field(init=False)
    pending: tuple[PlacementPlan, int] | None = None

    def __post_init__(self) -> None:
        self.planner = PlacementPlanner(EntryHostId(self.name), TIMING)


class PlacementMachine(RuleBasedStateMachine):
    """Entry hosts that all act as coordinator, and engines that fail, pause and return."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.engines = {HostId(n): _Engine(make_host(n)) for n in HOSTS}
        self.entries = [_EntryHost("e0"), _EntryHost("e1")]
        self.record = Placement(data_centre=DATA_CENTRE)
        self.version = 0
        self.orders: list[DueOrder] = []
        self.last_ready_s: dict[tuple[str, str, int], float] = {}
        self.attempts = 0

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5, 5.0]))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(name=st.sampled_from(HOSTS))
    def kill(self, name: str) -> None:
        self.engines[HostId(name)].is_alive = False

    @rule(name=st.sampled_from(HOSTS), has_state=st.booleans())
    def restore(self, name: str, has_state: bool) -> None:
        """Make a host alive again: after a pause with its state, after a restart without."""
        engine = self.engines[HostId(name)]
        if not has_state:
            engine.group, engine.is_ready, engine.fence = ("", 0), False, 0
        engine.is_alive = True

    @rule(name=st.sampled_from(HOSTS))
    def load(self, name: str) -> None:
        engine = self.engines[HostId(name)]
        engine.is_ready = engine.is_alive and bool(engine.group[0])

    @rule()
    def load_all(self) -> None:
        for name in HOSTS:
            self.load(name)

    @rule(name=st.sampled_from(HOSTS), state=st.sampled_from(list(HostState)))
    def set_listed_state(self, name: str, state: HostState) -> None:
        self.engines[HostId(name)].host.state = state.value

    @rule(index=st.integers(0, 1), reachable=st.sets(st.sampled_from(HOSTS), min_size=3))
    def probe(self, index: int, reachable: set[str]) -> None:
        """Probe all hosts; those not in ``reachable`` are partitioned from this entry host."""
        self._record_ready_members()
        fleet = self.entries[index].fleet
        for name, engine in self.engines.items():
            if engine.is_alive and name in reachable:
                fleet.on_host_answered(name, engine.report(), self.now_s)
            else:
                fleet.on_host_failed(name, self.now_s)
        for _, group in list(fleet.groups()):
            fleet.aggregate_probes(group, self.now_s)

    @rule(index=st.integers(0, 1))
    def probe_all(self, index: int) -> None:
        self.probe(index, set(HOSTS))

    @rule(index=st.integers(0, 1))
    def exchange(self, index: int) -> None:
        source, target = self.entries[1 - index].fleet, self.entries[index].fleet
        for placement in source.newer_placements(target.placement_versions()):
            target.apply_placement(placement)
        target.merge_groups(source.group_reports(self.now_s), self.now_s)

    @rule(index=st.integers(0, 1))
    def plan(self, index: int) -> None:
        """Read the record and plan; the write may follow later or never."""
        entry = self.entries[index]
        entry.fleet.apply_placement(self.record)
        state = FleetState(
            listed={name: engine.host for name, engine in self.engines.items()},
            hosts=entry.fleet.hosts,
            groups=entry.fleet.group_observations,
            policies={POLICY: make_policy(size=3, spare=1)},
        )
        self.attempts += 1
        attempt = AttemptId(str(self.attempts))
        entry.pending = (
            entry.planner.plan(self.record, state, self.now_s, attempt),
            self.version,
        )

    @rule(index=st.integers(0, 1))
    def write(self, index: int) -> None:
        entry, pending = self.entries[index], self.entries[index].pending
        entry.pending = None
        if pending is None or pending[0].placement is None or pending[1] != self.version:
            return
        assert pending[0].placement.generation > self.record.generation
        self.record, self.version = pending[0].placement, self.version + 1
        entry.fleet.apply_placement(self.record)

    @rule(index=st.integers(0, 1))
    def send_orders(self, index: int) -> None:
        fleet = self.entries[index].fleet
        listed = {name: engine.host for name, engine in self.engines.items()}
        self.orders += due_orders(
            fleet.placement(DATA_CENTRE), fleet.group_observations, fleet.hosts, listed, 2
        )

    @rule(data=st.data())
    def deliver_order(self, data: st.DataObject) -> None:
        """Deliver any order sent so far, however old."""
        if self.orders:
            due = data.draw(st.sampled_from(self.orders))
            self.engines[due.host_id].execute_order(due)

    @rule()
    def deliver_all_orders(self) -> None:
        for due in self.orders:
            self.engines[due.host_id].execute_order(due)

    @rule()
    def run_healthy_round(self) -> None:
        """Run one round without failures, so that groups do become open."""
        self.plan(0)
        self.write(0)
        self.probe_all(0)
        self.send_orders(0)
        self.deliver_all_orders()
        self.load_all()
        self.probe_all(0)
        self.exchange(1)

    def _record_ready_members(self) -> None:
        for name, engine in self.engines.items():
            if engine.is_alive and engine.is_ready:
                self.last_ready_s[(name, *engine.group)] = self.now_s

    @invariant()
    def no_host_is_in_two_groups(self) -> None:
        check_placement(self.record)
        for entry in self.entries:
            open_groups = [group for _, group, _ in entry.fleet.open_groups(self.now_s)]
            members = [member.host_id for group in open_groups for member in group.members]
            assert len(members) == len(set(members))

    @invariant()
    def no_group_is_open_while_a_member_is_missing(self) -> None:
        """Each member of an open group was ready in its generation within the freshness bound."""
        self._record_ready_members()
        for entry in self.entries:
            for _, group, _ in entry.fleet.open_groups(self.now_s):
                for member in group.members:
                    known = (member.host_id, group.id, group.generation)
                    ready_s = self.last_ready_s.get(known, float("-inf"))
                    assert self.now_s - ready_s <= FRESHNESS_S, f"{member.host_id} is missing"


TestPlacementMachine = PlacementMachine.TestCase
TestPlacementMachine.settings = settings(max_examples=60, stateful_step_count=60)


class TestCheckPlacement(unittest.TestCase):
    """Invalid placement records are rejected."""

    def test_host_in_two_groups_is_refused(self) -> None:
        member = GroupMember(host_id="h1")
        groups = [Group(id="a", members=[member]), Group(id="b", members=[member])]
        with self.assertRaises(PlacementError):
            check_placement(Placement(groups=groups))

    def test_group_generation_above_the_records_is_refused(self) -> None:
        with self.assertRaises(PlacementError):
            check_placement(Placement(generation=1, groups=[Group(id="a", generation=2)]))


class _Harness:
    """One planner with engines that execute all orders."""

    def __init__(self, policy: PolicyRow, hosts: list[Host]) -> None:
        self.policy: PolicyRow | None = policy
        self.engines = {HostId(host.id): _Engine(host) for host in hosts}
        self.fleet = Fleet(FRESHNESS_S, MISSING_AFTER_S)
        self.planner = PlacementPlanner(EntryHostId("e"), TIMING)
        self.record = Placement(data_centre=DATA_CENTRE)
        self.now_s = 0.0
        self.reasons: list[str] = []

    def round(self, seconds: float = 0.5) -> None:
        """Probe, plan, write, send orders and load once."""
        self.now_s += seconds
        self._probe()
        plan = self.planner.plan(self.record, self._state(), self.now_s, AttemptId("a"))
        self.reasons += [f"{d.change.value}: {d.reason}" for d in plan.decisions]
        if plan.placement is not None:
            self.record = plan.placement
            self.fleet.apply_placement(self.record)
        listed = {name: engine.host for name, engine in self.engines.items()}
        groups, hosts = self.fleet.group_observations, self.fleet.hosts
        for due in due_orders(self.record, groups, hosts, listed, max_loading=9):
            self.engines[due.host_id].execute_order(due)
        for engine in self.engines.values():
            engine.is_ready = engine.is_alive and bool(engine.group[0])
        self._probe()

    def open_members(self) -> list[set[str]]:
        """Return the members of each group that accepts new work."""
        found = self.fleet.open_groups(self.now_s)
        return [{member.host_id for member in group.members} for _, group, _ in found]

    def _probe(self) -> None:
        for name, engine in self.engines.items():
            if engine.is_alive:
                self.fleet.on_host_answered(name, engine.report(), self.now_s)
            else:
                self.fleet.on_host_failed(name, self.now_s)
        for _, group in list(self.fleet.groups()):
            self.fleet.aggregate_probes(group, self.now_s)

    def _state(self) -> FleetState:
        return FleetState(
            listed={name: engine.host for name, engine in self.engines.items()},
            hosts=self.fleet.hosts,
            groups=self.fleet.group_observations,
            policies={POLICY: self.policy} if self.policy is not None else {},
        )


class TestPlacementPlanner(unittest.TestCase):
    """The life cycle of groups in individual scenarios."""

    def _harness(self, count: int, policy: PolicyRow, domains: int = 1) -> _Harness:
        hosts = [make_host(f"h{i}", f"rack-{i % domains}") for i in range(count)]
        harness = _Harness(policy, hosts)
        harness.round()
        return harness

    def test_spare_hosts_are_kept_and_replace_a_lost_member(self) -> None:
        harness = self._harness(7, make_policy(size=3, spare=1))
        self.assertEqual(len(harness.open_members()), 2)
        harness.engines[HostId("h0")].is_alive = False
        for _ in range(10):
            harness.round()
        self.assertEqual(len(harness.open_members()), 2)
        self.assertNotIn("h0", set().union(*harness.open_members()))

    def test_returning_member_of_a_lost_group_does_not_serve(self) -> None:
        harness = self._harness(7, make_policy(size=3, spare=1))
        harness.engines[HostId("h0")].is_alive = False
        for _ in range(10):
            harness.round()
        harness.engines[HostId("h0")].is_alive = True
        harness.round()
        self.assertEqual(len(harness.open_members()), 2)
        self.assertNotIn("h0", set().union(*harness.open_members()))

    def test_restarted_member_ends_its_group_and_a_new_generation_forms(self) -> None:
        harness = self._harness(3, make_policy(size=3))
        generation = harness.record.groups[0].generation
        harness.engines[HostId("h1")].group = ("", 0)
        harness.round()
        harness.round()
        self.assertTrue(any("was restarted" in reason for reason in harness.reasons))
        self.assertGreater(harness.record.groups[0].generation, generation)
        self.assertEqual(len(harness.open_members()), 1)

    def test_group_with_a_leaving_member_drains_until_its_requests_end(self) -> None:
        harness = self._harness(6, make_policy(size=3))
        busy = harness.engines[HostId("h0")]
        busy.running = 1
        busy.host.state = HostState.LEAVING.value
        for _ in range(20):
            harness.round()
        self.assertNotIn(
            "dissolve: drained", harness.reasons, "dissolved while a request was running"
        )
        self.assertEqual(len(harness.open_members()), 1)
        busy.running = 0
        for _ in range(10):
            harness.round()
        self.assertTrue(any(r == "dissolve: drained" for r in harness.reasons))

    def test_replacement_forms_while_the_group_drains(self) -> None:
        harness = self._harness(7, make_policy(size=3, spare=3))
        self.assertEqual(len(harness.open_members()), 1)
        busy = harness.engines[HostId("h0")]
        busy.running = 1
        busy.host.state = HostState.LEAVING.value
        harness.round()
        harness.round()
        self.assertEqual(len(harness.open_members()), 1)
        self.assertNotIn("h0", harness.open_members()[0])

    def test_version_changes_one_group_at_a_time(self) -> None:
        harness = self._harness(6, make_policy(size=3))
        harness.policy = make_policy(size=3, model_version="2")
        harness.round()
        draining = [g for g in harness.record.groups if g.intent == GroupIntent.DRAINING.value]
        self.assertEqual(len(draining), 1)
        for _ in range(60):
            harness.round()
        versions = {group.model_version for group in harness.record.groups if group.members}
        self.assertEqual(versions, {"2"})

    def test_groups_of_a_deleted_policy_are_drained_and_removed(self) -> None:
        harness = self._harness(3, make_policy(size=3))
        harness.policy = None
        for _ in range(20):
            harness.round()
        self.assertEqual(list(harness.record.groups), [])

    def test_coordinator_without_fresh_observations_abandons_no_group(self) -> None:
        harness = self._harness(3, make_policy(size=3))
        for engine in harness.engines.values():
            engine.is_alive = False
        for _ in range(20):
            harness.round()
        self.assertEqual([len(group.members) for group in harness.record.groups], [3])
        self.assertFalse(any(reason.startswith("lose") for reason in harness.reasons))

    def test_host_without_fence_checks_is_used_only_after_stale_views_expired(self) -> None:
        hosts = [make_host(f"h{i}", checks_fences=False) for i in range(3)]
        harness = _Harness(make_policy(size=3), hosts)
        harness.round()
        self.assertEqual(list(harness.record.groups), [])
        for _ in range(6):
            harness.round()
        self.assertEqual(len(harness.open_members()), 1)

    def test_policy_below_its_minimum_of_groups_comes_first(self) -> None:
        harness = _Harness(make_policy(size=2), [make_host(f"h{i}") for i in range(4)])
        policies = {
            PolicyName("a"): make_policy(size=2, weight=100.0),
            PolicyName("b"): make_policy(size=2, min_groups=1),
        }
        harness._probe()
        state = FleetState(
            listed={n: e.host for n, e in harness.engines.items()},
            hosts=harness.fleet.hosts,
            groups={},
            policies=policies,
        )
        plan = harness.planner.plan(harness.record, state, harness.now_s, AttemptId("a"))
        assert plan.placement is not None
        self.assertEqual([g.policy for g in plan.placement.groups], ["b", "a"])


class TestChooseMembers(unittest.TestCase):
    """Selection of the hosts of the next group."""

    def test_downtime_placement_keeps_spare_hosts_unless_the_group_is_needed(self) -> None:
        free = [make_host(f"h{i}") for i in range(4)]
        placement = DowntimePlacement(spare_hosts=1)
        self.assertEqual(choose_members(placement, free, 4, False), [])
        self.assertEqual(len(choose_members(placement, free, 4, True)), 4)

    def test_stranded_placement_combines_domains_only_if_allowed(self) -> None:
        free = [make_host(f"h{i}", f"rack-{i % 2}") for i in range(4)]
        self.assertEqual(choose_members(StrandedPlacement(), free, 3, False), [])
        joined = choose_members(StrandedPlacement(cross_domain=True), free, 3, False)
        self.assertEqual(len(joined), 3)

    def test_single_domain_is_preferred_to_combined_domains(self) -> None:
        free = [make_host("h0", "rack-0")] + [make_host(f"h{i}", "rack-1") for i in range(1, 4)]
        chosen = choose_members(StrandedPlacement(cross_domain=True), free, 3, False)
        self.assertEqual({host.fabric_domain for host in chosen}, {"rack-1"})


def _two_observing_fleets() -> tuple[Fleet, Fleet, Group]:
    """Return two entry hosts' views of one placement, and its only group, which has one member."""
    group = Group(
        id="g",
        generation=1,
        intent=GroupIntent.ACTIVE.value,
        members=[GroupMember(host_id="h0")],
    )
    fleets = Fleet(FRESHNESS_S, MISSING_AFTER_S), Fleet(FRESHNESS_S, MISSING_AFTER_S)
    for fleet in fleets:
        fleet.apply_placement(Placement(data_centre=DATA_CENTRE, generation=1, groups=[group]))
    return *fleets, group


def _answer_probe(fleet: Fleet, group: Group, answered_s: float) -> None:
    report = HostReport(host_id="h0", state=EngineState.READY.value, group_id="g", generation=1)
    fleet.on_host_answered(HostId("h0"), report, answered_s)
    fleet.aggregate_probes(group, answered_s)


def _fail_probe(fleet: Fleet, group: Group, now_s: float) -> None:
    fleet.on_host_failed(HostId("h0"), now_s)
    fleet.aggregate_probes(group, now_s)


class TestObservation(unittest.TestCase):
    """Merging of reports about one group from several observers."""

    def test_delayed_peer_report_does_not_make_a_group_look_fresher(self) -> None:
        fleet = Fleet(FRESHNESS_S, MISSING_AFTER_S)
        group = Group(
            id="g",
            generation=1,
            intent=GroupIntent.ACTIVE.value,
            members=[GroupMember(host_id="h0")],
        )
        fleet.apply_placement(Placement(data_centre=DATA_CENTRE, generation=1, groups=[group]))
        peer = Fleet(FRESHNESS_S, MISSING_AFTER_S)
        peer.apply_placement(fleet.placement(DATA_CENTRE))
        report = HostReport(host_id="h0", state=EngineState.READY.value, group_id="g", generation=1)
        peer.on_host_answered(HostId("h0"), report, 0.0)
        peer.aggregate_probes(group, 0.0)
        fleet.merge_groups(peer.group_reports(1.5), requested_s=1.0)
        self.assertTrue(fleet.is_open(group, 1.4))
        self.assertFalse(fleet.is_open(group, 2.1))

    def test_missing_member_is_reported_although_an_earlier_report_was_faster(self) -> None:
        fleet, peer, group = _two_observing_fleets()
        _answer_probe(peer, group, answered_s=0.0)
        fleet.merge_groups(peer.group_reports(0.001), requested_s=0.001)
        for tenth in range(5, 70):
            now_s = tenth / 10
            _fail_probe(peer, group, now_s)
            fleet.merge_groups(peer.group_reports(now_s), requested_s=now_s - 0.05)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ("h0",))

    def test_missing_member_is_detected_after_the_last_observer_is_gone(self) -> None:
        fleet, peer, group = _two_observing_fleets()
        _answer_probe(fleet, group, answered_s=0.0)
        _answer_probe(peer, group, answered_s=0.2)
        fleet.merge_groups(peer.group_reports(0.2), requested_s=0.2)
        for tenth in range(4, 80):
            _fail_probe(fleet, group, tenth / 10)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ("h0",))

    def test_member_is_missing_only_once_no_observer_sees_it(self) -> None:
        fleet, peer, group = _two_observing_fleets()
        _answer_probe(fleet, group, answered_s=0.0)
        for tenth in range(1, 100):
            now_s = tenth / 10
            _fail_probe(fleet, group, now_s)
            _answer_probe(peer, group, answered_s=now_s)
            fleet.merge_groups(peer.group_reports(now_s), requested_s=now_s)
            self.assertEqual(fleet.group_observations[GroupId("g")].missing, ())
        for tenth in range(100, 138):
            _fail_probe(fleet, group, tenth / 10)
            self.assertEqual(fleet.group_observations[GroupId("g")].missing, ())
        _fail_probe(fleet, group, 14.0)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ("h0",))

    def test_member_that_is_seen_again_is_not_missing(self) -> None:
        fleet, peer, group = _two_observing_fleets()
        _answer_probe(fleet, group, answered_s=0.0)
        for tenth in range(1, 60):
            _fail_probe(fleet, group, tenth / 10)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ("h0",))
        _answer_probe(peer, group, answered_s=6.0)
        fleet.merge_groups(peer.group_reports(6.0), requested_s=6.0)
        _fail_probe(fleet, group, 6.1)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ())

    def test_failures_before_a_pause_in_probing_are_not_counted(self) -> None:
        fleet, _, group = _two_observing_fleets()
        _fail_probe(fleet, group, 0.0)
        _fail_probe(fleet, group, 100.0)
        _fail_probe(fleet, group, 100.0 + MISSING_AFTER_S / 2)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ())
        _fail_probe(fleet, group, 100.0 + MISSING_AFTER_S)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ("h0",))

    def test_pause_of_the_prober_does_not_make_a_member_missing(self) -> None:
        fleet, _, group = _two_observing_fleets()
        _answer_probe(fleet, group, answered_s=0.0)
        # Sent before the pause; the answers remain unread until the time-outs have passed.
        for requested_s in (0.1, 0.5):
            fleet.on_host_failed(HostId("h0"), requested_s)
        fleet.aggregate_probes(group, 0.5 + MISSING_AFTER_S)
        self.assertEqual(fleet.group_observations[GroupId("g")].missing, ())

    def test_failed_call_closes_a_group_until_it_is_seen_again(self) -> None:
        fleet = Fleet(FRESHNESS_S, MISSING_AFTER_S)
        harness = _Harness(make_policy(size=2), [make_host("h0"), make_host("h1")])
        harness.round()
        fleet = harness.fleet
        group = next(group for _, group in fleet.groups())
        fleet.on_call_failed(GroupId(group.id), harness.now_s)
        self.assertFalse(fleet.is_open(group, harness.now_s))
        harness.round()
        self.assertTrue(fleet.is_open(group, harness.now_s))

    def test_older_placement_that_arrives_late_is_ignored(self) -> None:
        fleet = Fleet(FRESHNESS_S, MISSING_AFTER_S)
        newer = Placement(data_centre=DATA_CENTRE, generation=5)
        older = Placement(data_centre=DATA_CENTRE, generation=4)
        self.assertTrue(fleet.apply_placement(newer))
        self.assertFalse(fleet.apply_placement(older))
        self.assertEqual(fleet.placement(DATA_CENTRE).generation, 5)

    def test_older_answer_does_not_replace_a_newer_one(self) -> None:
        fleet = Fleet(FRESHNESS_S, MISSING_AFTER_S)
        fleet.on_host_answered(HostId("h"), HostReport(running=2), 5.0)
        fleet.on_host_answered(HostId("h"), HostReport(running=1), 4.0)
        self.assertEqual(fleet.hosts[HostId("h")].requested_s, 5.0)
        self.assertEqual(HostObservation().failed(1.0, 4.0).failed(2.0, 4.0).failing_since_s, 1.0)
