"""A soak of the configuration: the operator changes routes while the ways to the store fail.

``python -m yewloom.tests.soak.configuration_run --help`` runs it by hand.
"""

import random
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import trio
import typer

from yewloom.tests.soak.fault_play import play
from yewloom.tests.soak.faults import Fault, draw_peer_faults, draw_store_faults
from yewloom.tests.soak.fleet import Fleet
from yewloom.tests.soak.ledger import Broken, Ledger
from yewloom.tests.soak.loop_lag import LoopLag
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

LEAST_ANSWERS = 60
"""Answers of endpoints that a soak must have had, which shows that its callers were at work; it
goes on without faults until then, since a busy machine answers less often."""

ANSWERS_S = 60.0
"""Longest time for which it does so."""


@dataclass(frozen=True)
class RouteSoak:
    """What a soak found; ``folder`` holds the logs if a promise was broken.

    ``lag_s`` is how late the soak's own loop ran, which plays the store and the endpoints.
    """

    broken: list[Broken]
    statuses: Counter[int | None]
    folder: Path
    lag_s: float


@dataclass(frozen=True)
class RoutePlan:
    """What a soak is to do; ``with_peers`` disturbs the datagrams among the entry hosts too."""

    seed: int
    duration_s: float
    entries: int = 9
    with_peers: bool = False

    def draw(self) -> list[Fault]:
        """Return what is to happen; the faults of the store are the same either way."""
        faults = draw_store_faults(random.Random(self.seed), self.duration_s, self.entries)
        if not self.with_peers:
            return faults
        rng = random.Random(f"peers {self.seed}")
        return faults + draw_peer_faults(rng, self.duration_s, self.entries)


def soak_routes(plan: RoutePlan) -> RouteSoak:
    """Run one soak."""
    folder = Path(tempfile.mkdtemp(prefix=f"yewloom-routes-{plan.seed}-"))
    result = trio.run(_soak, plan, folder)
    if not result.broken:
        shutil.rmtree(folder)
    return result


async def _soak(plan: RoutePlan, folder: Path) -> RouteSoak:
    rng, ledger, lag = random.Random(f"routes {plan.seed}"), Ledger(), LoopLag()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, ledger, rng, nursery, data_centres=DATA_CENTRES)
        nursery.start_soon(lag.run)
        try:
            await fleet.start(plan.entries, 0, ENDPOINTS, ENDPOINTS)
            if plan.with_peers:
                nursery.start_soon(fleet.interpose_peers)
            operator = Operator(fleet, rng)
            probes = RouteProbes(fleet, operator, rng)
            nursery.start_soon(probes.run)
            await _wait_for_all(fleet, probes)
            nursery.start_soon(operator.run)
            await play(plan.draw(), fleet, ledger)
            await trio.sleep(QUIET_S)
            await _wait_for_answers(probes)
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()
    # The store is in this process, so that it is slow while the process is held up.
    disturbances = {e.name: ledger.by_host[e.name] + lag.held_up for e in fleet.entries}
    broken = ledger.check() + RouteChecks(operator.written, probes.asked, disturbances).check()
    statuses = Counter(asked.status for asked in probes.asked)
    return RouteSoak(broken, statuses, folder, lag.greatest_s)


async def _wait_for_all(fleet: Fleet, probes: RouteProbes) -> None:
    """Wait until every entry host has refused a route that does not exist."""
    names = {entry.name for entry in fleet.entries}
    with trio.fail_after(START_S):
        while names - {asked.host for asked in probes.asked if asked.status == 404}:  # noqa: ASYNC110
            await trio.sleep(LOOK_S)


async def _wait_for_answers(probes: RouteProbes) -> None:
    """Wait until endpoints have answered often enough; the statuses tell if they have not."""
    with trio.move_on_after(ANSWERS_S):
        while sum(asked.status == 200 for asked in probes.asked) < LEAST_ANSWERS:  # noqa: ASYNC110
            await trio.sleep(LOOK_S)


def main(
    first_seed: Annotated[int, typer.Option(help="Seed of the first soak.")] = 1,
    seeds: Annotated[int, typer.Option(help="Soaks to run, one after the other.")] = 1,
    duration_s: Annotated[float, typer.Option(help="Time with faults of each soak.")] = 40.0,
    entries: Annotated[int, typer.Option(help="Entry hosts, in three data centres.")] = 9,
    peers: Annotated[bool, typer.Option(help="Disturb the datagrams among them too.")] = False,
) -> None:
    """Run soaks; exit code 1 if a promise was broken."""
    failed = 0
    for seed in range(first_seed, first_seed + seeds):
        result = soak_routes(RoutePlan(seed, duration_s, entries, peers))
        found = f"{len(result.broken)} broken; {dict(result.statuses)}; lag {result.lag_s:.2f} s"
        print(f"seed {seed}: {found}", flush=True)
        for broken in result.broken:
            print(f"  {broken}", flush=True)
        if result.broken:
            failed += 1
            print(f"  logs: {result.folder}", flush=True)
    print(f"{seeds - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
