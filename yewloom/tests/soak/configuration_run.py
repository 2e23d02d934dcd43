"""A soak of the configuration: the operator changes routes while the ways to the store fail.

``python -m yewloom.tests.soak.configuration_run --help`` runs it by hand.
"""

import random
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import trio
import typer

from yewloom.tests.soak.fault_play import play
from yewloom.tests.soak.faults import Fault, draw_store_faults
from yewloom.tests.soak.fleet import Fleet
from yewloom.tests.soak.ledger import Broken, Ledger
from yewloom.tests.soak.operator import Operator
from yewloom.tests.soak.route_checks import CONTACT_S, RouteChecks
from yewloom.tests.soak.route_probes import RouteProbes

DATA_CENTRES = ("hall-a", "hall-b", "hall-c")

ENDPOINTS = 2
"""Endpoints of each of the two plain services."""

START_S = 60.0
"""Longest time until all entry hosts take part; a busy machine needs many times the usual one."""

LOOK_S = 0.1
"""Pause between two looks whether all entry hosts take part."""

QUIET_S = CONTACT_S + 3.0
"""Time without faults at the end, in which what is late still shows."""


@dataclass(frozen=True)
class RouteSoak:
    """What a soak found; ``folder`` holds the logs."""

    broken: list[Broken]
    statuses: Counter[int | None]
    folder: Path


def soak_routes(seed: int, duration_s: float, entries: int) -> RouteSoak:
    """Run one soak with the faults of a seed."""
    faults = draw_store_faults(random.Random(seed), duration_s, entries)
    return play_routes(seed, faults, entries)


def play_routes(seed: int, faults: list[Fault], entries: int) -> RouteSoak:
    """Run one soak with given faults."""
    folder = Path(tempfile.mkdtemp(prefix=f"yewloom-routes-{seed}-"))
    return trio.run(_play, seed, faults, entries, folder)


async def _play(seed: int, faults: list[Fault], entries: int, folder: Path) -> RouteSoak:
    rng, ledger = random.Random(f"routes {seed}"), Ledger()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, ledger, rng, nursery, data_centres=DATA_CENTRES)
        try:
            await fleet.start(entries, 0, ENDPOINTS, ENDPOINTS)
            operator = Operator(fleet, rng)
            probes = RouteProbes(fleet, operator, rng)
            nursery.start_soon(probes.run)
            await _wait_for_all(fleet, probes)
            nursery.start_soon(operator.run)
            await play(faults, fleet, ledger)
            await trio.sleep(QUIET_S)
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()
    broken = RouteChecks(operator.written, probes.asked, ledger.by_host).check()
    return RouteSoak(ledger.check() + broken, Counter(a.status for a in probes.asked), folder)


async def _wait_for_all(fleet: Fleet, probes: RouteProbes) -> None:
    """Wait until every entry host has refused a route that does not exist."""
    names = {entry.name for entry in fleet.entries}
    with trio.fail_after(START_S):
        while names - {asked.host for asked in probes.asked if asked.status == 404}:  # noqa: ASYNC110
            await trio.sleep(LOOK_S)


def main(
    first_seed: Annotated[int, typer.Option(help="Seed of the first soak.")] = 1,
    seeds: Annotated[int, typer.Option(help="Soaks to run, one after the other.")] = 1,
    duration_s: Annotated[float, typer.Option(help="Time with faults of each soak.")] = 40.0,
    entries: Annotated[int, typer.Option(help="Entry hosts, in three data centres.")] = 9,
) -> None:
    """Run soaks; exit code 1 if a promise was broken."""
    failed = 0
    for seed in range(first_seed, first_seed + seeds):
        result = soak_routes(seed, duration_s, entries)
        print(f"seed {seed}: {len(result.broken)} broken; {dict(result.statuses)}", flush=True)
        for broken in result.broken:
            print(f"  {broken}", flush=True)
        if result.broken:
            failed += 1
            print(f"  logs: {result.folder}", flush=True)
    print(f"{seeds - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
