"""Case 1: a request that must not be repeated is relayed, its answer is lost, and it runs again."""

import asyncio
import random
import re
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from engines import EngineWorker  # noqa: E402 - the folder of the stand-ins is added first
from stand_ins import (  # noqa: E402 - the folder of the stand-ins is added first
    Answer,
    Caller,
    EntryHost,
    NetworkPath,
    Record,
    Store,
    StoreDoor,
    free_port,
    run_case,
)

KEY = "key-of-lime"
PATH = "/lohu930/2f"
LARGE, SMALL = "m0", "m1"
"""Models: one group of four workers, and one of two."""

WORKERS = 6
CALLERS = 12

CUT_AFTER_S = 2.0
CUT_FOR_S = 10.0
"""``srv_cut`` of the site file: for_s = 10.0. One of six workers (share 0.17) loses the path to one
of four hosts (x = 0.25)."""

LOST_BEFORE_END_S = 1.5
LOST_FOR_S = 4.0
LOST_SHARE = 0.4
"""``answer_lost`` of the site file: x = 0.4, for_s = 4.0; here at one of six workers."""

LOST_AFTER = (0, 20)
"""Events of 30 that arrive of a lost answer: none, or two thirds."""

PLAY_S = 22.0
SEED = 1


@dataclass
class Seen:
    """What callers and workers saw."""

    answers: list[Answer] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)


def configuration() -> dict[str, Any]:
    """Return a configuration with a stream route that may not be resumed."""
    route = {"name": "guest-reply", "host": "ficu95.example", "pathPrefix": "/lohu930/"}
    route |= {"service": "redactor", "type": "stream", "attempts": 2, "timeoutMs": 8000}
    route |= {"sloMs": 500, "priority": 1, "gapSloMs": 300}
    models = [
        {"name": LARGE, "size": 4, "share": 0.67, "pace": 1.0, "loadS": 1.0, "warmupS": 0.2},
        {"name": SMALL, "size": 2, "share": 0.33, "pace": 1.0, "loadS": 1.0, "warmupS": 0.2},
    ]
    engine = {"slots": 13, "models": models, "loadsPerS": 4.0, "formMs": 300.0}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {
        "version": 10,
        "routes": [route],
        "services": [{"name": "redactor", "engine": engine}],
        "limits": limits,
        "tenants": [{"name": "lime", "apiKeys": [KEY]}],
    }


async def play(record: Record, folder: Path, has_trouble: bool) -> Seen:
    """Play the case: host 1 of zone hall-a serves through workers of zone hall-b."""
    rng = random.Random(SEED)
    store = Store(local(), record)
    await store.start()
    store.configure(configuration())
    workers = [EngineWorker(f"i-{n}", "hall-b", local(), store, record) for n in range(WORKERS)]
    paths = {worker.address: NetworkPath(local(), worker.address) for worker in workers}
    door = StoreDoor(local(), store, {target: path.address for target, path in paths.items()})
    for server in [*workers, *paths.values(), door]:
        await server.start()
    hosts = [EntryHost(1, door.address, folder, record, "hall-a")]
    hosts += [EntryHost(n, store.address, folder, record, "hall-b") for n in (2, 3, 4)]
    seen = Seen()
    try:
        for host in hosts:
            await host.start()
        for host in hosts:
            await host.wait_until_ready()
        head = await _wait_for_head(workers)
        callers = [Caller(f"c{n}", hosts[0].frontend, record, deadline_ms=8000) for n in range(12)]
        await _wait_until_served(callers[0], seen)
        async with asyncio.TaskGroup() as tasks:
            for caller in callers:
                tasks.create_task(_send_for(caller, PLAY_S, record, seen))
            if has_trouble:
                tasks.create_task(_cut(paths[head.address], head, record))
                tasks.create_task(_lose_answers(head, rng, record))
    finally:
        for host in hosts:
            await host.end()
    seen.runs.update(run.request_id for worker in workers for run in worker.runs)
    return seen


def local() -> str:
    """Return a free address."""
    return f"127.0.0.1:{free_port()}"


async def _wait_for_head(workers: list[EngineWorker]) -> EngineWorker:
    """Return the head of the group of the large model, once it serves."""
    async with asyncio.timeout(20.0):
        while True:
            for worker in workers:
                if worker.is_serving and worker.engine.model == LARGE:
                    return worker
            await asyncio.sleep(0.1)


async def _cut(path: NetworkPath, head: EngineWorker, record: Record) -> None:
    """Cut the path from host 1 to a worker for a while."""
    await asyncio.sleep(CUT_AFTER_S)
    record.add("path cut", host=1, worker=head.worker_id)
    await path.cut()
    await asyncio.sleep(CUT_FOR_S)
    await path.start()
    record.add("path restored", host=1, worker=head.worker_id)


async def _lose_answers(head: EngineWorker, rng: random.Random, record: Record) -> None:
    """Let a worker lose a part of its answers for a while."""
    await asyncio.sleep(CUT_AFTER_S + CUT_FOR_S - LOST_BEFORE_END_S)
    record.add("answers are lost", worker=head.worker_id)
    head.plan.lost_after = lambda: rng.choice(LOST_AFTER) if rng.random() < LOST_SHARE else None
    await asyncio.sleep(LOST_FOR_S)
    head.plan.lost_after = lambda: None
    record.add("answers are lost no more", worker=head.worker_id)


async def _send(caller: Caller, seen: Seen) -> Answer:
    answer = await caller.send(PATH, KEY, headers=[("Yewloom-Model", LARGE)])
    seen.answers.append(answer)
    return answer


async def _wait_until_served(caller: Caller, seen: Seen) -> None:
    """Send requests until the host knows the group."""
    async with asyncio.timeout(20.0):
        answer = await _send(caller, seen)
        while answer.status != 200:
            await asyncio.sleep(0.2)
            answer = await _send(caller, seen)


async def _send_for(caller: Caller, for_s: float, record: Record, seen: Seen) -> None:
    until_s = record.now_s() + for_s
    while record.now_s() < until_s:
        await _send(caller, seen)
        await asyncio.sleep(0.05)
    caller.close()


def verdict(seen: Seen, record: Record, has_trouble: bool) -> bool:
    """Return whether TWICE and ORDER held: each request ran once, no answer joins two runs."""
    joined = [answer.request_id for answer in seen.answers if len(_runs_in(answer)) > 1]
    twice = {request_id: count for request_id, count in seen.runs.items() if count > 1}
    statuses = Counter(answer.status for answer in seen.answers)
    record.add(
        "judged",
        sent=len(seen.answers),
        statuses={str(status): count for status, count in sorted(statuses.items())},
        ran=len(seen.runs),
        ran_twice=len(twice),
        first_twice=sorted(twice)[:5],
        complete_answers_joined_from_two_runs=len(joined),
        first_joined=joined[:5],
    )
    if statuses[200] < CALLERS:
        raise RuntimeError("hardly any request was served")
    return not (twice or joined)


def _runs_in(answer: Answer) -> set[bytes]:
    """Return the runs that made the events of a complete answer."""
    if answer.status != 200:
        return set()
    return set(re.findall(rb"^data: (\S+)", answer.body, re.MULTILINE))


if __name__ == "__main__":
    run_case(play, verdict)
