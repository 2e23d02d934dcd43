"""Compare routing policies in the queue model when load reports arrive with a delay.

Prints, for loads from half to twice the capacity: the 95th percentile of the time to the first
token of admitted requests, the fraction of all requests answered within the deadline, and the
prefix hit rate; each as median (lowest-highest) over five seeds. Arguments replace the list of
loads, for trial runs.
"""

import random
import sys
from functools import partial

from google.protobuf.message import Message
from queue_model import (
    PREFILL_S_PER_BLOCK,
    GroupModel,
    Job,
    VirtualClock,
    format_spread,
    percentile,
    random_prompt_blocks,
)

from yewloom.admission import AdmissionController, AdmissionRequest, Admitted, Decision
from yewloom.ids import CustomerId, DataCentreId, GroupId, ModelName, RequestId
from yewloom.prefixes import BLOCK_CHARACTERS, PrefixIndex
from yewloom.routing import (
    Candidate,
    RoundRobinCounter,
    RouteRequest,
    choose_group,
    default_routing,
)
from yewloom.schema.records_pb2 import CacheEvent
from yewloom.schema.table_pb2 import LeastLoadRouting, RoundRobinRouting, ScoreRouting

GROUPS = 12
CAPACITY = 8
ENTRY_HOSTS = 3
REPORT_INTERVAL_S = 0.5
EVENT_LOSS_RATE = 0.05
DURATION_S = 60.0
TOKENS = 40
PREFIX_FAMILIES = 40
SLOTS_PER_CAPACITY = 1.5
DEADLINE_S = 6.0
MAX_QUEUE_S = 1.0
SEEDS = range(5)
DATA_CENTRE = DataCentreId("a")
CAPACITY_RATE = GROUPS * CAPACITY / (0.15 + 0.02 * (TOKENS + 1))
"""Requests per second that the groups can process when most prefixes are cached."""


def _score(**cells: float) -> ScoreRouting:
    routing = default_routing()
    routing.prefill_us_a_token = round(PREFILL_S_PER_BLOCK * 1e6 * 4 / BLOCK_CHARACTERS)
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
    """An entry host with its delayed view of the groups, its admission and its routing."""

    def __init__(self, policy: Message, groups: dict[GroupId, GroupModel], seed: int) -> None:
        self.policy = policy
        self.groups = groups
        self.rng = random.Random(seed)
        self.turns = RoundRobinCounter()
        self.prefixes = PrefixIndex()
        self.reported = dict.fromkeys(groups, 0)
        self.sequence = dict.fromkeys(groups, 0)
        self.own = dict.fromkeys(groups, 0)
        slots = round(GROUPS * CAPACITY * SLOTS_PER_CAPACITY / ENTRY_HOSTS)
        self.admission = AdmissionController(slots, max_queued=1000)
        self.jobs: dict[RequestId, Job] = {}

    def offer(self, job: Job, now_s: float) -> None:
        """Admit, queue or refuse a request."""
        name = RequestId(job.name)
        self.jobs[name] = job
        job.on_end = self._on_end
        cost, start_by_s = float(TOKENS), now_s + MAX_QUEUE_S
        arrival = AdmissionRequest(
            name, CustomerId("c"), 1.0, cost, job.deadline_s, 10**6, start_by_s
        )
        self._submit_admitted([self.admission.submit(arrival, now_s)])

    def _on_end(self, job: Job) -> None:
        assert job.ended_s is not None
        self._submit_admitted(self.admission.release(RequestId(job.name), job.ended_s))

    def _submit_admitted(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Admitted):
                job = self.jobs[decision.request_id]
                self.groups[self.route(job)].submit(job)

    def report(self, name: GroupId, load: int, added: list[int], removed: list[int]) -> None:
        """Apply a report of one group; some reports lose their cache events."""
        self.reported[name] = load
        self.own[name] = 0
        if not added and not removed:
            return
        self.sequence[name] += 1
        sequence_number = self.sequence[name]
        events = [CacheEvent(sequence=sequence_number, added=added, removed=removed)]
        is_lost = self.rng.random() < EVENT_LOSS_RATE
        self.prefixes.apply(name, 1, [] if is_lost else events, sequence_number)

    def route(self, job: Job) -> GroupId:
        """Choose a group for a request."""
        candidates = [
            Candidate(
                name,
                DATA_CENTRE,
                self.reported[name],
                CAPACITY,
                self.own[name],
                self.prefixes.matched_blocks(name, job.blocks),
            )
            for name in self.groups
        ]
        request = RouteRequest(
            ModelName("m"), DATA_CENTRE, len(job.blocks) * BLOCK_CHARACTERS, entry_hosts=ENTRY_HOSTS
        )
        route = choose_group(self.policy, request, candidates, self.rng, self.turns)
        assert route is not None
        self.own[route.group_id] += 1
        self.prefixes.add_expected_blocks(route.group_id, 1, job.blocks)
        return route.group_id


def simulate(policy: Message, load: float, seed: int) -> tuple[float, float, float]:
    """Return the 95th percentile of first-token time, fraction in time, and prefix hit rate."""
    clock, rng = VirtualClock(), random.Random(seed)
    groups = {GroupId(f"g{i:02}"): GroupModel(clock, CAPACITY) for i in range(GROUPS)}
    entries = [_EntryHost(policy, groups, seed * 10 + i) for i in range(ENTRY_HOSTS)]
    jobs: list[Job] = []

    def arrive() -> None:
        now_s = clock.now_s
        job = Job(
            str(len(jobs)),
            "c",
            random_prompt_blocks(rng, PREFIX_FAMILIES),
            TOKENS,
            now_s,
            now_s + DEADLINE_S,
        )
        jobs.append(job)
        rng.choice(entries).offer(job, now_s)
        clock.schedule(rng.expovariate(load * CAPACITY_RATE), arrive)

    clock.schedule(0.0, arrive)
    clock.schedule(REPORT_INTERVAL_S, lambda: _send_reports(clock, groups, entries))
    clock.run(DURATION_S)
    waits = [j.first_token_s - j.arrived_s for j in jobs if j.first_token_s is not None]
    due = [j for j in jobs if j.deadline_s <= DURATION_S]
    ran = [job for job in jobs if job.first_token_s is not None]
    hits = sum(job.hits for job in ran) / sum(len(job.blocks) for job in ran)
    return percentile(waits, 0.95), sum(_is_in_time(job) for job in due) / len(due), hits


def _is_in_time(job: Job) -> bool:
    return job.ended_s is not None and job.ended_s <= job.deadline_s


def _send_reports(
    clock: VirtualClock, groups: dict[GroupId, GroupModel], entries: list[_EntryHost]
) -> None:
    for name, group in groups.items():
        load, added, removed = group.load, group.added, group.removed
        group.added, group.removed = [], []
        for entry in entries:
            delay_s = entry.rng.uniform(0.0, REPORT_INTERVAL_S)
            clock.schedule(delay_s, partial(entry.report, name, load, added, removed))
    clock.schedule(REPORT_INTERVAL_S, lambda: _send_reports(clock, groups, entries))


def main() -> None:
    """Print the results as a table."""
    print("| load | policy | first token p95, s | within deadline | prefix hits |")
    print("|---|---|---|---|---|")
    loads = [float(text) for text in sys.argv[1:]] or [0.5, 0.8, 1.0, 1.5, 2.0]
    for load in loads:
        for name, policy in POLICIES.items():
            runs = [simulate(policy, load, seed) for seed in SEEDS]
            cells = [format_spread([run[column] for run in runs]) for column in range(3)]
            print(f"| {load:g} | {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
