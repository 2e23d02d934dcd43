"""Compare routing policies under load that is reported late, in the queue model.

Prints, for loads from half to twice the capacity: the 95th percentile of the time to the first
token of admitted requests, the share of all requests answered within the deadline, and the prefix
hit share; median (lowest-highest) over five seeds. An argument limits the loads, for trials.
"""

import random
import sys
from functools import partial

from google.protobuf.message import Message
from queue_model import (
    PREFILL_S_A_BLOCK,
    Clock,
    GroupModel,
    Job,
    draw_blocks,
    percentile,
    spread,
)

from yewloom.admission import Admission, Admitted, Arrival, Decision
from yewloom.ids import CustomerId, DataCentreId, GroupId, ModelName, RequestId
from yewloom.prefixes import BLOCK_CHARACTERS, PrefixIndex
from yewloom.routing import (
    Candidate,
    RouteRequest,
    TurnCounter,
    choose_group,
    default_routing,
)
from yewloom.schema.records_pb2 import CacheEvent
from yewloom.schema.table_pb2 import LeastLoadRouting, RoundRobinRouting, ScoreRouting

GROUPS = 12
CAPACITY = 8
ENTRY_HOSTS = 3
REPORT_S = 0.5
LOST_EVENTS = 0.05
DURATION_S = 60.0
TOKENS = 40
FAMILIES = 40
PLACES_A_CAPACITY = 1.5
DEADLINE_S = 6.0
MAX_QUEUE_S = 1.0
SEEDS = range(5)
PLACE = DataCentreId("a")
FULL_RATE = GROUPS * CAPACITY / (0.15 + 0.02 * (TOKENS + 1))
"""Requests a second that the groups can bear when most prefixes are cached."""


def _score(**cells: float) -> ScoreRouting:
    routing = default_routing()
    routing.prefill_us_a_token = round(PREFILL_S_A_BLOCK * 1e6 * 4 / BLOCK_CHARACTERS)
    routing.service_time_ms = 1000
    for name, value in cells.items():
        setattr(routing, name, value)
    return routing


POLICIES: dict[str, Message] = {
    "score": _score(),
    "score, 2 choices": _score(choices=2),
    "score without prefixes": _score(prefix_weight=0.0),
    "least reported load": LeastLoadRouting(),
    "round robin": RoundRobinRouting(),
}


class _EntryHost:
    """One entry host's late view, and its routing."""

    def __init__(self, policy: Message, groups: dict[GroupId, GroupModel], seed: int) -> None:
        self.policy = policy
        self.groups = groups
        self.rng = random.Random(seed)
        self.turns = TurnCounter()
        self.prefixes = PrefixIndex()
        self.reported = dict.fromkeys(groups, 0)
        self.sequence = dict.fromkeys(groups, 0)
        self.own = dict.fromkeys(groups, 0)
        places = round(GROUPS * CAPACITY * PLACES_A_CAPACITY / ENTRY_HOSTS)
        self.admission = Admission(places, max_queued=1000)
        self.jobs: dict[RequestId, Job] = {}

    def offer(self, job: Job, now_s: float) -> None:
        """Take a request, queue it, or turn it away."""
        name = RequestId(job.name)
        self.jobs[name] = job
        job.on_end = self._on_end
        cost, start_by_s = float(TOKENS), now_s + MAX_QUEUE_S
        arrival = Arrival(name, CustomerId("c"), 1.0, cost, job.deadline_s, 10**6, start_by_s)
        self._carry_out([self.admission.offer(arrival, now_s)])

    def _on_end(self, job: Job) -> None:
        assert job.ended_s is not None
        self._carry_out(self.admission.release(RequestId(job.name), job.ended_s))

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Admitted):
                job = self.jobs[decision.request_id]
                self.groups[self.route(job)].submit(job)

    def report(self, name: GroupId, load: int, added: list[int], removed: list[int]) -> None:
        """Take in one group's report."""
        self.reported[name] = load
        self.own[name] = 0
        if not added and not removed:
            return
        self.sequence[name] += 1
        number = self.sequence[name]
        events = [CacheEvent(sequence=number, added=added, removed=removed)]
        lost = self.rng.random() < LOST_EVENTS
        self.prefixes.apply(name, 1, [] if lost else events, number)

    def route(self, job: Job) -> GroupId:
        """Choose a group."""
        candidates = [
            Candidate(
                name,
                PLACE,
                self.reported[name],
                CAPACITY,
                self.own[name],
                self.prefixes.matched_blocks(name, job.blocks),
            )
            for name in self.groups
        ]
        request = RouteRequest(
            ModelName("m"), PLACE, len(job.blocks) * BLOCK_CHARACTERS, entry_hosts=ENTRY_HOSTS
        )
        route = choose_group(self.policy, request, candidates, self.rng, self.turns)
        assert route is not None
        self.own[route.group_id] += 1
        self.prefixes.expect(route.group_id, 1, job.blocks)
        return route.group_id


def simulate(policy: Message, load: float, seed: int) -> tuple[float, float, float]:
    """Return first-token time at the 95th percentile, share in time, and prefix hit share."""
    clock, rng = Clock(), random.Random(seed)
    groups = {GroupId(f"g{i:02}"): GroupModel(clock, CAPACITY) for i in range(GROUPS)}
    entries = [_EntryHost(policy, groups, seed * 10 + i) for i in range(ENTRY_HOSTS)]
    jobs: list[Job] = []

    def arrive() -> None:
        now_s = clock.now_s
        job = Job(
            str(len(jobs)), "c", draw_blocks(rng, FAMILIES), TOKENS, now_s, now_s + DEADLINE_S
        )
        jobs.append(job)
        rng.choice(entries).offer(job, now_s)
        clock.after(rng.expovariate(load * FULL_RATE), arrive)

    clock.after(0.0, arrive)
    clock.after(REPORT_S, lambda: _report(clock, groups, entries))
    clock.run(DURATION_S)
    waits = [j.first_token_s - j.arrived_s for j in jobs if j.first_token_s is not None]
    due = [j for j in jobs if j.deadline_s <= DURATION_S]
    ran = [job for job in jobs if job.first_token_s is not None]
    hits = sum(job.hits for job in ran) / sum(len(job.blocks) for job in ran)
    return percentile(waits, 0.95), sum(_is_in_time(job) for job in due) / len(due), hits


def _is_in_time(job: Job) -> bool:
    return job.ended_s is not None and job.ended_s <= job.deadline_s


def _report(clock: Clock, groups: dict[GroupId, GroupModel], entries: list[_EntryHost]) -> None:
    for name, group in groups.items():
        load, added, removed = group.load, group.added, group.removed
        group.added, group.removed = [], []
        for entry in entries:
            lag_s = entry.rng.uniform(0.0, REPORT_S)
            clock.after(lag_s, partial(entry.report, name, load, added, removed))
    clock.after(REPORT_S, lambda: _report(clock, groups, entries))


def main() -> None:
    """Print the table."""
    print("| load | policy | first token p95, s | within deadline | prefix hits |")
    print("|---|---|---|---|---|")
    loads = [float(text) for text in sys.argv[1:]] or [0.5, 0.8, 1.0, 1.5, 2.0]
    for load in loads:
        for name, policy in POLICIES.items():
            runs = [simulate(policy, load, seed) for seed in SEEDS]
            cells = [spread([run[column] for run in runs]) for column in range(3)]
            print(f"| {load:g} | {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
