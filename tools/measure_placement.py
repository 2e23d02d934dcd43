"""Compare placement policies on the same failure traces: group downtime and stranded accelerators.

Hosts of four fabric domains fail at random, one whole domain fails once, and hosts return after ten
minutes. The baseline never changes its groups: a group waits for its lost member. Prints the group
downtime in group-minutes (relative to the number of groups serving after five minutes), the mean
numbers of stranded accelerators and of serving groups, and the number of record writes; each as
median (lowest-highest) over five seeds.
"""

import random
from dataclasses import dataclass, field

from queue_model import format_spread

from yewloom.drafts import PlacementPlan
from yewloom.fleet import Fleet
from yewloom.ids import AttemptId, DataCentreId, EntryHostId, HostId, PolicyName
from yewloom.orders import due_orders
from yewloom.placement import FleetState, PlacementPlanner, PlacementTiming
from yewloom.schema.records_pb2 import Host, HostReport, Placement
from yewloom.schema.table_pb2 import DowntimePlacement, PolicyRow, StrandedPlacement
from yewloom.states import EngineState

DOMAINS, HOSTS_PER_DOMAIN, GROUP_SIZE = 4, 16, 4
ACCELERATORS_PER_HOST = 2
STEP_S = 5.0
HOURS = 6
REPAIR_S = 600.0
FAILURES_PER_HOUR = 6
LOAD_S, CACHED_LOAD_S = 90.0, 30.0
SEEDS = range(5)
DATA_CENTRE, POLICY = DataCentreId("a"), PolicyName("p")

_COMMON = {
    "model": "m",
    "model_version": "1",
    "group_size": GROUP_SIZE,
    "max_groups": 99,
    "weight": 1,
}
POLICIES = {
    "least downtime, 1 spare": PolicyRow(**_COMMON, downtime=DowntimePlacement(spare_hosts=1)),
    "least downtime, 3 spares": PolicyRow(**_COMMON, downtime=DowntimePlacement(spare_hosts=3)),
    "least stranded": PolicyRow(**_COMMON, stranded=StrandedPlacement()),
    "least stranded, across domains": PolicyRow(
        **_COMMON, stranded=StrandedPlacement(cross_domain=True)
    ),
}


@dataclass
class _Engine:
    host: Host
    is_alive: bool = True
    group: tuple[str, int] = ("", 0)
    ready_s: float = 0.0
    is_cached: bool = False

    def report(self, now_s: float) -> HostReport:
        is_ready = bool(self.group[0]) and now_s >= self.ready_s
        state = EngineState.READY if is_ready else EngineState.LOADING
        return HostReport(
            host_id=self.host.id,
            state=state.value if self.group[0] else EngineState.IDLE.value,
            group_id=self.group[0],
            generation=self.group[1],
            capacity=8,
            cached_model="m@1" if self.is_cached else "",
        )


@dataclass
class _Result:
    downtime_minutes: float = 0.0
    stranded: float = 0.0
    serving: float = 0.0
    writes: int = 0


@dataclass
class _Trial:
    """One run of the planner, or of the baseline, which keeps its initial groups."""

    policy: PolicyRow
    seed: int
    is_baseline: bool
    engines: dict[HostId, _Engine] = field(default_factory=dict)
    result: _Result = field(default_factory=_Result)

    def __post_init__(self) -> None:
        for number in range(DOMAINS * HOSTS_PER_DOMAIN):
            name, domain = f"h{number:03}", f"d{number // HOSTS_PER_DOMAIN}"
            host = Host(
                id=name, address=name, fabric_domain=domain, state="live", checks_fences=True
            )
            self.engines[HostId(name)] = _Engine(host)
        self.fleet = Fleet(4 * STEP_S, 2 * STEP_S)
        self.planner = PlacementPlanner(
            EntryHostId("e"), PlacementTiming(4 * STEP_S, 600.0, 2 * STEP_S)
        )
        self.record = Placement(data_centre=DATA_CENTRE)
        self.events = _failure_trace(self.seed)

    def run(self) -> _Result:
        """Simulate the whole trace and return the result."""
        target = 0
        for step in range(int(HOURS * 3600 / STEP_S)):
            now_s = step * STEP_S
            self._apply_events(now_s)
            self._probe(now_s)
            if not self.is_baseline or step < 3:
                self._plan(now_s)
            serving = len(self.fleet.open_groups(now_s))
            target = serving if now_s == 300.0 else target
            if now_s > 300.0:
                self._add_losses(target - serving)
            self.result.serving += serving
        self.result.stranded /= HOURS * 3600 / STEP_S
        self.result.serving /= HOURS * 3600 / STEP_S
        return self.result

    def _apply_events(self, now_s: float) -> None:
        while self.events and self.events[0][0] <= now_s:
            _, name, is_alive = self.events.pop(0)
            engine = self.engines[name]
            engine.is_alive = is_alive
            if is_alive:
                self._restart(engine, now_s)

    def _restart(self, engine: _Engine, now_s: float) -> None:
        """Return a host without cached weights; in the baseline, its group reloads immediately."""
        engine.is_cached = False
        engine.ready_s = now_s + LOAD_S
        if not self.is_baseline:
            engine.group = ("", 0)

    def _probe(self, now_s: float) -> None:
        for name, engine in self.engines.items():
            if engine.is_alive:
                self.fleet.on_host_answered(name, engine.report(now_s), now_s)
            else:
                self.fleet.on_host_failed(name, now_s)
        for _, group in list(self.fleet.groups()):
            self.fleet.aggregate_probes(group, now_s)

    def _plan(self, now_s: float) -> None:
        state = FleetState(
            listed={name: engine.host for name, engine in self.engines.items()},
            hosts=self.fleet.hosts,
            groups=self.fleet.group_observations,
            policies={POLICY: self.policy},
        )
        plan: PlacementPlan = self.planner.plan(self.record, state, now_s, AttemptId("a"))
        if plan.placement is not None:
            self.record = plan.placement
            self.fleet.apply_placement(self.record)
            self.result.writes += 1
        groups, hosts = self.fleet.group_observations, self.fleet.hosts
        for due in due_orders(self.record, groups, hosts, dict(state.listed or {}), 99):
            self._load(self.engines[due.host_id], (due.order.group_id, due.order.generation), now_s)

    def _load(self, engine: _Engine, group: tuple[str, int], now_s: float) -> None:
        if engine.is_alive and engine.group != group:
            engine.group = group
            engine.ready_s = now_s + (CACHED_LOAD_S if engine.is_cached else LOAD_S)
            engine.is_cached = True

    def _add_losses(self, missing: int) -> None:
        self.result.downtime_minutes += max(0, missing) * STEP_S / 60
        placed = {
            member.host_id
            for group in self.record.groups
            if all(self.engines[HostId(m.host_id)].is_alive for m in group.members)
            for member in group.members
        }
        idle = [n for n, e in self.engines.items() if e.is_alive and n not in placed]
        self.result.stranded += len(idle) * ACCELERATORS_PER_HOST


def _failure_trace(seed: int) -> list[tuple[float, HostId, bool]]:
    """Return host failures and returns in order of time; they are the same for every policy."""
    rng = random.Random(seed)
    events = []
    for _ in range(HOURS * FAILURES_PER_HOUR):
        at_s = rng.uniform(600, HOURS * 3600 - REPAIR_S)
        name = HostId(f"h{rng.randrange(DOMAINS * HOSTS_PER_DOMAIN):03}")
        events += [(at_s, name, False), (at_s + REPAIR_S, name, True)]
    domain_failure_s, domain = rng.uniform(3600, 7200), rng.randrange(DOMAINS)
    for number in range(domain * HOSTS_PER_DOMAIN, (domain + 1) * HOSTS_PER_DOMAIN):
        name = HostId(f"h{number:03}")
        events += [(domain_failure_s, name, False), (domain_failure_s + REPAIR_S, name, True)]
    return sorted(events)


def main() -> None:
    """Print the results as a table."""
    print(
        "| placement | downtime, group-minutes | stranded accelerators | groups serving | writes |"
    )
    print("|---|---|---|---|---|")
    rows = [(name, policy, False) for name, policy in POLICIES.items()]
    rows.append(("baseline: groups never change", POLICIES["least stranded"], True))
    for name, policy, is_baseline in rows:
        results = [_Trial(policy, seed, is_baseline).run() for seed in SEEDS]
        cells = [
            format_spread([result.downtime_minutes for result in results]),
            format_spread([result.stranded for result in results]),
            format_spread([result.serving for result in results]),
            format_spread([float(result.writes) for result in results]),
        ]
        print(f"| {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
