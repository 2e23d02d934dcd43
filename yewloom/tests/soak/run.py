"""One soak: start the fleet, let callers send while faults happen, and check the promises."""

import random
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

from yewloom.tests.soak.balancer import Balancer
from yewloom.tests.soak.callers import STREAM_DEADLINE_S, Caller
from yewloom.tests.soak.fault_play import play
from yewloom.tests.soak.faults import (
    Fault,
    FaultMix,
    draw_faults,
    draw_pauses,
    draw_signals,
    draw_way_faults,
)
from yewloom.tests.soak.fleet import Fleet
from yewloom.tests.soak.ledger import Broken, Kind, Ledger
from yewloom.tests.soak.loop_lag import LoopLag
from yewloom.tests.soak.process_waits import ProcessWaits
from yewloom.tests.soak.report import SoakTimes, describe

START_S = 60.0
"""Longest time until all entry hosts serve; a busy machine needs many times the usual second."""

RECOVERY_S = 30.0
"""Longest time until all serve again once every fault is undone."""

ASK_AGAIN_S = 0.2
"""Pause before an entry host that does not serve yet is asked again."""

START_CALLER, RECOVERY_CALLER = -1, -2
"""Seeds of the callers that ask whether all serve; they keep the names of requests apart."""

CALLERS_PER_ENTRY = 3
"""Callers of each entry host, each with up to two connections."""

PLAIN_ENDPOINTS = 2
"""Endpoints of the plain service: a second one for what the first rejects."""


@dataclass(frozen=True)
class SoakPlan:
    """What a soak is to do; ``duration_s`` is its time with faults."""

    seed: int
    duration_s: float
    entries: int
    engines: int
    mix: FaultMix = FaultMix.BOTH

    def draw(self, rng: random.Random) -> list[Fault]:
        """Return what is to happen; the faults of a seed are the same with signals and without."""
        if self.mix is FaultMix.WAYS:
            return draw_way_faults(rng, self.duration_s, self.entries, self.engines)
        if self.mix is FaultMix.PAUSES:
            return draw_pauses(rng, self.duration_s, self.entries)
        faults = draw_faults(rng, self.duration_s, self.entries)
        if self.mix is FaultMix.FAULTS:
            return faults
        signals = draw_signals(random.Random(f"signals {self.seed}"), self.duration_s, self.entries)
        return signals if self.mix is FaultMix.SIGNALS else faults + signals


@dataclass(frozen=True)
class SoakResult:
    """What a soak found; ``folder`` holds the logs if a promise was broken.

    ``lag_s`` is how late the soak's own loop ran, which plays the store and the endpoints;
    ``details`` tell of each broken promise what is known.
    """

    broken: list[Broken]
    outcomes: Counter[str]
    folder: Path
    lag_s: float
    details: list[str]

    def text(self) -> str:
        """Return all that the soak found, for whom it fails."""
        outcomes = ", ".join(f"{name} {n}" for name, n in sorted(self.outcomes.items()))
        ran = f"{outcomes}; lag {self.lag_s:.2f} s"
        return "\n".join([ran, *self.details, f"logs: {self.folder}"])


def soak(plan: SoakPlan) -> SoakResult:
    """Run one soak."""
    folder = Path(tempfile.mkdtemp(prefix=f"yewloom-soak-{plan.seed}-"))
    ledger, lag = Ledger(), LoopLag()
    times = trio.run(_soak, plan, folder, ledger, lag)
    broken = ledger.check()
    if not broken:
        shutil.rmtree(folder)
    details = [describe(one, ledger.sent.get(one.request_id), times) for one in broken]
    return SoakResult(broken, ledger.outcomes(), folder, lag.greatest_s, details)


async def _soak(plan: SoakPlan, folder: Path, ledger: Ledger, lag: LoopLag) -> SoakTimes:
    rng = random.Random(plan.seed)
    faults = plan.draw(rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lag.run)
        fleet = Fleet(folder, ledger, rng, nursery)
        waits = ProcessWaits(fleet.pids)
        nursery.start_soon(waits.run)
        async with open_fleet(fleet, plan.entries, plan.engines) as balancer:
            async with trio.open_nursery() as callers:
                _start_callers(callers, fleet, balancer, ledger, plan.seed)
                await play(faults, fleet, ledger)
                await _wait_until_served(fleet, balancer, RECOVERY_S, RECOVERY_CALLER)
                callers.cancel_scope.cancel()
            await trio.sleep(STREAM_DEADLINE_S)  # Late work may begin until then.
        nursery.cancel_scope.cancel()
    return SoakTimes(lag.held_up, waits.seen, time.time() - trio.current_time())


@asynccontextmanager
async def open_fleet(fleet: Fleet, entries: int, engines: int) -> AsyncIterator[Balancer]:
    """Start a fleet, yield its balancer once all serve, and end its processes."""
    try:
        await fleet.start(entries, engines, PLAIN_ENDPOINTS)
        balancer = Balancer(fleet.entries)
        fleet.nursery.start_soon(balancer.run)
        await _wait_until_served(fleet, balancer, START_S, START_CALLER)
        yield balancer
    finally:
        fleet.stop()


def _start_callers(
    nursery: trio.Nursery, fleet: Fleet, balancer: Balancer, ledger: Ledger, seed: int
) -> None:
    for place, entry in enumerate(fleet.entries):
        for number in range(CALLERS_PER_ENTRY):
            caller = Caller(entry, fleet, balancer, ledger, (seed * 100 + place) * 100 + number)
            nursery.start_soon(caller.run)


async def _wait_until_served(fleet: Fleet, balancer: Balancer, limit_s: float, seed: int) -> None:
    """Wait until every entry host serves a stream and a read; note it if one does not in time."""
    for entry in fleet.entries:
        caller = Caller(entry, fleet, balancer, fleet.ledger, seed)
        with trio.move_on_after(limit_s) as timer:
            for kind in (Kind.STREAM, Kind.SAFE):
                while not await _is_served(caller, kind):  # noqa: ASYNC110 - asks a process
                    await trio.sleep(ASK_AGAIN_S)
        if timer.cancelled_caught:
            detail = f"{entry.life} not within {limit_s} s; exit code {entry.exit_code}"
            fleet.ledger.note_broken("serves", "", detail)


async def _is_served(caller: Caller, kind: Kind) -> bool:
    async with caller.open_pool() as pool:
        sent = await caller.send(pool, kind)
    return sent.status == 200 and sent.is_whole
