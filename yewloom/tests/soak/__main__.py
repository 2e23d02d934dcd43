"""Run soaks by hand: ``python -m yewloom.tests.soak --first-seed 1 --seeds 50``."""

from typing import Annotated

import typer

from yewloom.tests.soak.faults import FaultMix
from yewloom.tests.soak.run import SoakPlan, soak


def main(
    first_seed: Annotated[int, typer.Option(help="Seed of the first soak.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of soaks, run one after the other.")] = 1,
    duration_s: Annotated[
        float, typer.Option(help="Time in seconds during which each soak injects faults.")
    ] = 20.0,
    entries: Annotated[int, typer.Option(help="Number of entry hosts.")] = 4,
    engines: Annotated[int, typer.Option(help="Number of engines.")] = 6,
    mix: Annotated[FaultMix, typer.Option(help="Kinds of faults to inject.")] = FaultMix.BOTH,
) -> None:
    """Run soaks; exit with code 1 if a guarantee was violated."""
    failed: list[int] = []
    for seed in range(first_seed, first_seed + seeds):
        result = soak(SoakPlan(seed, duration_s, entries, engines, mix))
        print(f"seed {seed}: {len(result.violations)} violations; {result.text()}", flush=True)
        if result.violations:
            failed.append(seed)
    print(f"{seeds - len(failed)} passed, {len(failed)} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
