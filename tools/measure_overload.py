"""Measure goodput from one to three times the capacity, and a small customer beside a large one.

One entry host admits requests to one pool of engines in the queue model. The baseline admits
everything at once in order of arrival. Prints the share of the capacity that was answered within
the deadline, the 95th percentile of the time to the first token of what was admitted of either
customer, and the small customer's share in time; median (lowest-highest) over five seeds.
"""

import random

from queue_model import Clock, GroupModel, Job, percentile, spread

from yewloom.admission import Admission, Admitted, Arrival, Decision
from yewloom.ids import CustomerId, RequestId

CAPACITY = 64
TOKENS = 40
SERVICE_S = 0.02 * (TOKENS + 1) + 0.02
FULL_RATE = CAPACITY / SERVICE_S
SMALL_RATE = 0.05 * FULL_RATE
DEADLINE_S = 4.0
MAX_QUEUE_S = 1.0
DURATION_S = 90.0
SEEDS = range(5)
LARGE, SMALL = CustomerId("large"), CustomerId("small")


class _Trial:
    """One run; with ``is_fair`` the requests pass admission, otherwise they go straight on."""

    def __init__(self, load: float, seed: int, is_fair: bool) -> None:
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.engine = GroupModel(self.clock, CAPACITY)
        self.admission = Admission(round(CAPACITY * 1.5), max_queued=2000)
        self.is_fair = is_fair
        self.jobs: dict[RequestId, Job] = {}
        self._arrive(LARGE, load * FULL_RATE - SMALL_RATE)
        self._arrive(SMALL, SMALL_RATE)
        self.clock.run(DURATION_S)

    def _arrive(self, customer: CustomerId, rate: float) -> None:
        now_s = self.clock.now_s
        blocks = [self.rng.getrandbits(40)]
        job = Job(
            f"{customer}{len(self.jobs)}", customer, blocks, TOKENS, now_s, now_s + DEADLINE_S
        )
        name = RequestId(job.name)
        self.jobs[name] = job
        if self.is_fair:
            job.on_end = self._on_end
            cost, start_by_s = float(TOKENS), now_s + MAX_QUEUE_S
            arrival = Arrival(name, customer, 1.0, cost, job.deadline_s, 10**6, start_by_s)
            self._carry_out([self.admission.offer(arrival, now_s)])
        else:
            self.engine.submit(job)
        self.clock.after(self.rng.expovariate(rate), lambda: self._arrive(customer, rate))

    def _on_end(self, job: Job) -> None:
        self._carry_out(self.admission.release(RequestId(job.name), self.clock.now_s))

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Admitted):
                self.engine.submit(self.jobs[decision.request_id])

    def goodput(self) -> float:
        """Return answers in time as a share of what the engines can bear."""
        return sum(map(_is_in_time, self.jobs.values())) / (FULL_RATE * DURATION_S)

    def large_first_token(self) -> float:
        """Return the large customer's first-token time at the 95th percentile, once admitted."""
        jobs = [job for job in self.jobs.values() if job.customer == LARGE]
        waits = [j.first_token_s - j.arrived_s for j in jobs if j.first_token_s is not None]
        return percentile(waits, 0.95)

    def small(self) -> tuple[float, float]:
        """Return the small customer's first-token time at the 95th percentile and share in time."""
        jobs = [j for j in self.jobs.values() if j.customer == SMALL and j.deadline_s < DURATION_S]
        waits = [(job.first_token_s or float("inf")) - job.arrived_s for job in jobs]
        return percentile(waits, 0.95), sum(map(_is_in_time, jobs)) / len(jobs)


def _is_in_time(job: Job) -> bool:
    return job.ended_s is not None and job.ended_s <= job.deadline_s


def main() -> None:
    """Print the table."""
    print("| load | admission | goodput | large p95, s | small p95, s | small in time |")
    print("|---|---|---|---|---|---|")
    for load in (1.0, 1.5, 2.0, 3.0):
        for is_fair in (True, False):
            trials = [_Trial(load, seed, is_fair) for seed in SEEDS]
            small = [trial.small() for trial in trials]
            cells = [
                spread([trial.goodput() for trial in trials]),
                spread([trial.large_first_token() for trial in trials]),
                spread([p95 for p95, _ in small]),
                spread([share for _, share in small]),
            ]
            name = "fair queueing" if is_fair else "none"
            print(f"| {load:g} | {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
