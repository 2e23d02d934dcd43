"""One soak: start the fleet, let callers send while faults happen, and check the promises."""

import random
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import httpcore
import trio

from yewloom.tests.soak.callers import DEADLINE_S, Caller
from yewloom.tests.soak.fault_play import play
from yewloom.tests.soak.faults import draw_faults
from yewloom.tests.soak.fleet import Fleet
from yewloom.tests.soak.ledger import Broken, Kind, Ledger

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


@dataclass(frozen=True)
class SoakResult:
    """What a soak found; ``folder`` holds the logs if a promise was broken."""

    broken: list[Broken]
    outcomes: Counter[str]
    folder: Path


def soak(plan: SoakPlan) -> SoakResult:
    """Run one soak."""
    folder = Path(tempfile.mkdtemp(prefix=f"yewloom-soak-{plan.seed}-"))
    ledger = Ledger()
    trio.run(_soak, plan, folder, ledger)
    broken = ledger.check()
    if not broken:
        shutil.rmtree(folder)
    return SoakResult(broken, ledger.outcomes(), folder)


async def _soak(plan: SoakPlan, folder: Path, ledger: Ledger) -> None:
    rng = random.Random(plan.seed)
    faults = draw_faults(rng, plan.duration_s, plan.entries)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, ledger, rng, nursery)
        try:
            await fleet.start(plan.entries, plan.engines, PLAIN_ENDPOINTS)
            await _wait_until_served(fleet, ledger, START_S, START_CALLER)
            async with trio.open_nursery() as callers:
                _start_callers(callers, fleet, ledger, plan.seed)
                await play(faults, fleet, ledger)
                await _wait_until_served(fleet, ledger, RECOVERY_S, RECOVERY_CALLER)
                callers.cancel_scope.cancel()
            await trio.sleep(DEADLINE_S)  # Late work may begin until then.
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()


def _start_callers(nursery: trio.Nursery, fleet: Fleet, ledger: Ledger, seed: int) -> None:
    for place, entry in enumerate(fleet.entries):
        for number in range(CALLERS_PER_ENTRY):
            caller = Caller(entry, fleet, ledger, (seed * 100 + place) * 100 + number)
            nursery.start_soon(caller.run)


async def _wait_until_served(fleet: Fleet, ledger: Ledger, limit_s: float, seed: int) -> None:
    """Wait until every entry host serves a stream and a read; note it if one does not in time."""
    for entry in fleet.entries:
        caller = Caller(entry, fleet, ledger, seed)
        with trio.move_on_after(limit_s) as timer:
            for kind in (Kind.STREAM, Kind.SAFE):
                while not await _is_served(caller, kind):  # noqa: ASYNC110 - asks a process
                    await trio.sleep(ASK_AGAIN_S)
        if timer.cancelled_caught:
            ledger.note_broken("serves", "", f"{entry.life} not within {limit_s} s")


async def _is_served(caller: Caller, kind: Kind) -> bool:
    async with httpcore.AsyncConnectionPool() as pool:
        sent = await caller.send(pool, kind)
    return sent.status == 200 and sent.is_whole
