"""Soak of configuration changes: an operator changes routes while the links to the store fail.

Run it by hand with ``python -m yewloom.tests.soak.configuration_run``.
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

from yewloom.tests.soak.fault_play import run_faults
from yewloom.tests.soak.faults import Fault, draw_peer_faults, draw_store_faults
from yewloom.tests.soak.fleet import Fleet
from yewloom.tests.soak.ledger import Ledger, Violation
from yewloom.tests.soak.loop_lag import LoopLag
from yewloom.tests.soak.operator import Operator
from yewloom.tests.soak.route_checks import SETTLE_S, RouteChecks
from yewloom.tests.soak.route_probes import RouteProbes

DATA_CENTRES = ("hall-a", "hall-b", "hall-c")

ENDPOINTS = 2
"""Number of endpoints of each of the two plain services."""

START_TIMEOUT_S = 60.0
"""Time-out until all entry hosts serve; a busy machine needs many times the usual start time."""

POLL_S = 0.1
"""Interval between two checks whether all hosts serve, or enough answers have come."""

FAULT_FREE_S = SETTLE_S + 3.0
"""Time without faults at the end, in which a configuration that is not applied in time is seen."""

MIN_ANSWERS = 60
"""Minimum number of answers from endpoints, which shows that the callers were active. The soak goes
on without faults until it is reached, since a busy machine answers less often."""

ANSWERS_TIMEOUT_S = 60.0
"""Time-out until ``MIN_ANSWERS`` is reached."""


@dataclass(frozen=True)
class RouteSoakResult:
    """Result of a soak; ``folder`` holds the logs if a guarantee was violated.

    ``lag_s`` is the greatest delay of the soak's own event loop, which runs the store and the
    endpoints.
    """

    violations: list[Violation]
    statuses: Counter[int | None]
    folder: Path
    lag_s: float


@dataclass(frozen=True)
class RoutePlan:
    """Parameters of a soak; ``with_peers`` adds faults of the datagrams between entry hosts."""

    seed: int
    duration_s: float
    entries: int = 9
    with_peers: bool = False

    def draw(self) -> list[Fault]:
        """Return the faults to inject; ``with_peers`` does not change the faults of the store."""
        faults = draw_store_faults(random.Random(self.seed), self.duration_s, self.entries)
        if not self.with_peers:
            return faults
        rng = random.Random(f"peers {self.seed}")
        return faults + draw_peer_faults(rng, self.duration_s, self.entries)


def soak_routes(plan: RoutePlan) -> RouteSoakResult:
    """Run one soak."""
    folder = Path(tempfile.mkdtemp(prefix=f"yewloom-routes-{plan.seed}-"))
    result = trio.run(_soak, plan, folder)
    if not result.violations:
        shutil.rmtree(folder)
    return result


async def _soak(plan: RoutePlan, folder: Path) -> RouteSoakResult:
    rng, ledger, lag = random.Random(f"routes {plan.seed}"), Ledger(), LoopLag()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, ledger, rng, nursery, data_centres=DATA_CENTRES)
        nursery.start_soon(lag.run)
        try:
            await fleet.start(plan.entries, 0, ENDPOINTS, ENDPOINTS)
            if plan.with_peers:
                nursery.start_soon(fleet.proxy_peers)
            operator = Operator(fleet, rng)
            probes = RouteProbes(fleet, operator, rng)
            nursery.start_soon(probes.run)
            await _wait_until_all_serve(fleet, probes)
            nursery.start_soon(operator.run)
            await run_faults(plan.draw(), fleet, ledger)
            await trio.sleep(FAULT_FREE_S)
            await _wait_for_answers(probes)
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()
    # The store runs in this process, so it is slow for all hosts while the event loop is stalled.
    disturbances = {e.name: ledger.disturbances_by_host[e.name] + lag.stalls for e in fleet.entries}
    violations = (
        ledger.check() + RouteChecks(operator.written, probes.results, disturbances).check()
    )
    statuses = Counter(result.status for result in probes.results)
    return RouteSoakResult(violations, statuses, folder, lag.max_lag_s)


async def _wait_until_all_serve(fleet: Fleet, probes: RouteProbes) -> None:
    """Wait until every entry host has answered a request for an unknown route with 404."""
    names = {entry.name for entry in fleet.entries}
    with trio.fail_after(START_TIMEOUT_S):
        while names - {result.host for result in probes.results if result.status == 404}:  # noqa: ASYNC110
            await trio.sleep(POLL_S)


async def _wait_for_answers(probes: RouteProbes) -> None:
    """Wait until endpoints have sent ``MIN_ANSWERS`` answers, or the time-out passes.

    The caller sees from the statuses of the result if there were too few.
    """
    with trio.move_on_after(ANSWERS_TIMEOUT_S):
        while sum(result.status == 200 for result in probes.results) < MIN_ANSWERS:  # noqa: ASYNC110
            await trio.sleep(POLL_S)


def main(
    first_seed: Annotated[int, typer.Option(help="Seed of the first soak.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of soaks, run one after the other.")] = 1,
    duration_s: Annotated[
        float, typer.Option(help="Time in seconds during which each soak injects faults.")
    ] = 40.0,
    entries: Annotated[int, typer.Option(help="Number of entry hosts, in three data centres.")] = 9,
    peers: Annotated[
        bool, typer.Option(help="Disturb the datagrams between entry hosts too.")
    ] = False,
) -> None:
    """Run soaks; exit with code 1 if a guarantee was violated."""
    failed = 0
    for seed in range(first_seed, first_seed + seeds):
        result = soak_routes(RoutePlan(seed, duration_s, entries, peers))
        summary = (
            f"{len(result.violations)} violations; {dict(result.statuses)}; "
            f"lag {result.lag_s:.2f} s"
        )
        print(f"seed {seed}: {summary}", flush=True)
        for violation in result.violations:
            print(f"  {violation}", flush=True)
        if result.violations:
            failed += 1
            print(f"  logs: {result.folder}", flush=True)
    print(f"{seeds - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
