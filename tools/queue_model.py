"""A small queue model of engines for measurements of decisions, in virtual time.

Each group runs ``capacity`` requests at once and queues the rest. The first token comes after the
prompt blocks that are not cached were prefilled. Entry hosts see load and cache events late.
"""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

PREFILL_S_A_BLOCK = 0.02
TOKEN_S = 0.02
CACHED_BLOCKS = 600


class Clock:
    """Events in order of virtual time, in seconds."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event later."""
        self._count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._count, event))

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()


@dataclass
class Job:
    """One request: its prompt's blocks, the tokens wanted, and what became of it."""

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
    """One group's engine."""

    def __init__(self, clock: Clock, capacity: int) -> None:
        self.clock = clock
        self.capacity = capacity
        self.running = 0
        self.waiting: deque[Job] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.added: list[int] = []
        self.removed: list[int] = []

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.waiting)

    def submit(self, job: Job) -> None:
        """Take a request."""
        self.waiting.append(job)
        self._start_next()

    def _start_next(self) -> None:
        while self.waiting and self.running < self.capacity:
            job = self.waiting.popleft()
            self.running += 1
            missing = self._cache(job)
            first_s = missing * PREFILL_S_A_BLOCK + TOKEN_S
            self.clock.after(first_s, partial(self._first, job))

    def _first(self, job: Job) -> None:
        job.first_token_s = self.clock.now_s
        self.clock.after(job.tokens * TOKEN_S, partial(self._end, job))

    def _end(self, job: Job) -> None:
        job.ended_s = self.clock.now_s
        self.running -= 1
        job.on_end(job)
        self._start_next()

    def _cache(self, job: Job) -> int:
        known = 0
        while known < len(job.blocks) and job.blocks[known] in self.cache:
            known += 1
        job.hits = known
        for block in job.blocks:
            self.cache.pop(block, None)
            self.cache[block] = None
        self.added += job.blocks[known:]
        while len(self.cache) > CACHED_BLOCKS:
            block, _ = self.cache.popitem(last=False)
            self.removed.append(block)
        return len(job.blocks) - known


def percentile(values: list[float], share: float) -> float:
    """Return a percentile; infinity stands for answers that never came."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def spread(values: list[float]) -> str:
    """Return the median with the lowest and highest, over seeds."""
    ordered = sorted(values)
    return f"{ordered[len(ordered) // 2]:.2f} ({ordered[0]:.2f}-{ordered[-1]:.2f})"


def draw_blocks(rng: random.Random, families: int) -> list[int]:
    """Return a prompt: a shared beginning of one of some families, then blocks of its own."""
    family = min(int(rng.expovariate(4 / families)), families - 1)
    shared = [family * 1000 + i for i in range(20)]
    return shared + [rng.getrandbits(40) for _ in range(3)]
