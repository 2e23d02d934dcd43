"""Measure goodput at one to three times the capacity, for a large and a small customer.

One entry host admits requests to one pool of engines in the queue model. The baseline admits all
requests immediately, in order of arrival. Prints the goodput (answers within the deadline, as a
fraction of the capacity), the 95th percentile of the time to the first token of each customer's
admitted requests, and the fraction of the small customer's requests that were answered within the
deadline; each as median (lowest-highest) over five seeds.
"""

import random

from queue_model import GroupModel, Job, VirtualClock, format_spread, percentile

from yewloom.admission import AdmissionController, AdmissionRequest, Admitted, Decision
from yewloom.ids import CustomerId, RequestId

CAPACITY = 64
TOKENS = 40
SERVICE_S = 0.02 * (TOKENS + 1) + 0.02
CAPACITY_RATE = CAPACITY / SERVICE_S
SMALL_RATE = 0.05 * CAPACITY_RATE
DEADLINE_S = 4.0
MAX_QUEUE_S = 1.0
DURATION_S = 90.0
SEEDS = range(5)
LARGE, SMALL = CustomerId("large"), CustomerId("small")


class _Trial:
    """One run; requests pass through admission if ``is_fair``, otherwise directly to the engine."""

    def __init__(self, load: float, seed: int, is_fair: bool) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.engine = GroupModel(self.clock, CAPACITY)
        self.admission = AdmissionController(round(CAPACITY * 1.5), max_queued=2000)
        self.is_fair = is_fair
        self.jobs: dict[RequestId, Job] = {}
        self._submit_request(LARGE, load * CAPACITY_RATE - SMALL_RATE)
        self._submit_request(SMALL, SMALL_RATE)
        self.clock.run(DURATION_S)

    def _submit_request(self, customer: CustomerId, rate: float) -> None:
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
            arrival = AdmissionRequest(name, customer, 1.0, cost, job.deadline_s, 10**6, start_by_s)
            self._submit_admitted([self.admission.submit(arrival, now_s)])
        else:
            self.engine.submit(job)
        self.clock.schedule(
            self.rng.expovariate(rate), lambda: self._submit_request(customer, rate)
        )

    def _on_end(self, job: Job) -> None:
        self._submit_admitted(self.admission.release(RequestId(job.name), self.clock.now_s))

    def _submit_admitted(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Admitted):
                self.engine.submit(self.jobs[decision.request_id])

    def goodput(self) -> float:
        """Return the answers within the deadline as a fraction of the engines' capacity."""
        return sum(map(_is_in_time, self.jobs.values())) / (CAPACITY_RATE * DURATION_S)

    def large_first_token_p95(self) -> float:
        """Return the 95th percentile of first-token time of the large customer, once admitted."""
        jobs = [job for job in self.jobs.values() if job.customer == LARGE]
        waits = [j.first_token_s - j.arrived_s for j in jobs if j.first_token_s is not None]
        return percentile(waits, 0.95)

    def small_customer_results(self) -> tuple[float, float]:
        """Return the small customer's 95th percentile of first-token time and fraction in time."""
        jobs = [j for j in self.jobs.values() if j.customer == SMALL and j.deadline_s < DURATION_S]
        waits = [(job.first_token_s or float("inf")) - job.arrived_s for job in jobs]
        return percentile(waits, 0.95), sum(map(_is_in_time, jobs)) / len(jobs)


def _is_in_time(job: Job) -> bool:
    return job.ended_s is not None and job.ended_s <= job.deadline_s


def main() -> None:
    """Print the results as a table."""
    print("| load | admission | goodput | large p95, s | small p95, s | small in time |")
    print("|---|---|---|---|---|---|")
    for load in (1.0, 1.5, 2.0, 3.0):
        for is_fair in (True, False):
            trials = [_Trial(load, seed, is_fair) for seed in SEEDS]
            small = [trial.small_customer_results() for trial in trials]
            cells = [
                format_spread([trial.goodput() for trial in trials]),
                format_spread([trial.large_first_token_p95() for trial in trials]),
                format_spread([p95 for p95, _ in small]),
                format_spread([fraction for _, fraction in small]),
            ]
            name = "fair queueing" if is_fair else "none"
            print(f"| {load:g} | {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
