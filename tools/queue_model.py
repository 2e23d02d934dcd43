"""Discrete-event queue model of engines, used to measure decisions in virtual time.

Each group runs up to ``capacity`` requests concurrently and queues the others. The first token of a
request is produced once all prompt blocks that are not in the prefix cache have been prefilled.
Entry hosts receive load and cache events with a delay.
"""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

PREFILL_S_PER_BLOCK = 0.02
TOKEN_S = 0.02
MAX_CACHED_BLOCKS = 600


class VirtualClock:
    """A virtual clock in seconds that runs scheduled events in order of time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._count, event))

    def run(self, until_s: float) -> None:
        """Run all events that are due up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()


@dataclass
class Job:
    """A request: the blocks of its prompt, the number of tokens to generate, and its outcome."""

    name: str
    customer: str
    blocks: list[int]
    tokens: int
    arrived_s: float
    deadline_s: float
    first_token_s: float | None = None
    ended_s: float | None = None
    hits: int = 0
    on_end: Callable[["Job"], None] = field(default=lambda job: None)


class GroupModel:
    """The engine of one group."""

    def __init__(self, clock: VirtualClock, capacity: int) -> None:
        self.clock = clock
        self.capacity = capacity
        self.running = 0
        self.waiting: deque[Job] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.added: list[int] = []
        self.removed: list[int] = []

    @property
    def load(self) -> int:
        """The number of running and waiting requests."""
        return self.running + len(self.waiting)

    def submit(self, job: Job) -> None:
        """Queue a request and start it as soon as the capacity allows."""
        self.waiting.append(job)
        self._start_next()

    def _start_next(self) -> None:
        while self.waiting and self.running < self.capacity:
            job = self.waiting.popleft()
            self.running += 1
            uncached_count = self._update_cache(job)
            first_s = uncached_count * PREFILL_S_PER_BLOCK + TOKEN_S
            self.clock.schedule(first_s, partial(self._on_first_token, job))

    def _on_first_token(self, job: Job) -> None:
        job.first_token_s = self.clock.now_s
        self.clock.schedule(job.tokens * TOKEN_S, partial(self._finish, job))

    def _finish(self, job: Job) -> None:
        job.ended_s = self.clock.now_s
        self.running -= 1
        job.on_end(job)
        self._start_next()

    def _update_cache(self, job: Job) -> int:
        cached_count = 0
        while cached_count < len(job.blocks) and job.blocks[cached_count] in self.cache:
            cached_count += 1
        job.hits = cached_count
        for block in job.blocks:
            self.cache.pop(block, None)
            self.cache[block] = None
        self.added += job.blocks[cached_count:]
        while len(self.cache) > MAX_CACHED_BLOCKS:
            block, _ = self.cache.popitem(last=False)
            self.removed.append(block)
        return len(job.blocks) - cached_count


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile; requests that were never answered count as infinity."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


def format_spread(values: list[float]) -> str:
    """Format the median, lowest and highest of the values."""
    ordered = sorted(values)
    return f"{ordered[len(ordered) // 2]:.2f} ({ordered[0]:.2f}-{ordered[-1]:.2f})"


def random_prompt_blocks(rng: random.Random, families: int) -> list[int]:
    """Return the blocks of a prompt: the shared prefix of a random family, then unique blocks."""
    family = min(int(rng.expovariate(4 / families)), families - 1)
    shared = [family * 1000 + i for i in range(20)]
    return shared + [rng.getrandbits(40) for _ in range(3)]
