"""Measure how long a change takes to take effect after connections to the store stop responding.

Runs entry hosts as processes with a simulated store. In each round, stops all traffic on their open
connections to the store, writes a change shortly afterwards, and prints for each host the time from
the loss of the connections until it serves a route that the change adds.
"""

import random
import tempfile
from pathlib import Path
from typing import Annotated

import httpcore
import trio
import typer

from yewloom.tests.soak.fleet import (
    PLAIN_SERVICE,
    ROUTE_HOST,
    EntryProcess,
    Fleet,
    api_key,
    configuration,
)
from yewloom.tests.soak.ledger import Ledger

DATA_CENTRES = ("hall-a", "hall-b", "hall-c")

FIRST_ROUTE = "idempotent"
"""A route that is present in all versions."""

SERVED_STATUSES = (200, 500)
"""Statuses that show that an endpoint answered the request."""

POLL_INTERVAL_S = 0.02
"""Pause between two requests to a host, which limits the accuracy of the measured times."""

TIMEOUT_S = 20.0
"""Longest wait for a change to take effect."""


def _write_configuration(fleet: Fleet, version: int, route: str) -> None:
    """Write a version with one route in addition to the initial ones."""
    fields = configuration(1)
    plain = next(known for known in fields["routes"] if known["name"] == FIRST_ROUTE)
    fields["routes"].append(
        {**plain, "name": route, "pathPrefix": f"/{route}/", "service": PLAIN_SERVICE}
    )
    fleet.store.put("config", "main", fields | {"version": version})


async def _request_status(entry: EntryProcess, route: str) -> int | None:
    """Send a request by a route; return the status of the answer, or None if there is none."""
    headers: dict[bytes | str, bytes | str] = {
        "host": ROUTE_HOST,
        "yewloom-request-id": f"{entry.name}-{route}",
        "yewloom-deadline-ms": "900",
        "authorization": f"Token {api_key(1)}",
    }
    with trio.move_on_after(1.0):
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{entry.caller_address}/{route}/x"
                return (await pool.request("GET", url, headers=headers)).status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None
    return None


async def _time_until_served(entry: EntryProcess, route: str, times_s: dict[str, float]) -> None:
    """Record when the first request was sent that a host served by a route."""
    while True:
        sent_s = trio.current_time()
        if await _request_status(entry, route) in SERVED_STATUSES:
            times_s[entry.name] = sent_s
            return
        await trio.sleep(POLL_INTERVAL_S)


async def _round(fleet: Fleet, version: int, delay_s: float) -> str:
    """Run one round and return its output line."""
    silenced_s = trio.current_time()
    for entry in fleet.entries:
        entry.store_link.silence_open()
    await trio.sleep(delay_s)
    _write_configuration(fleet, version, f"added-{version}")
    times_s: dict[str, float] = {}
    with trio.move_on_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for entry in fleet.entries:
                nursery.start_soon(_time_until_served, entry, f"added-{version}", times_s)
    took_s = [times_s[name] - silenced_s for name in sorted(times_s)]
    return f"written after {delay_s:.2f} s, in effect after " + " ".join(f"{t:.2f}" for t in took_s)


async def _measure(folder: Path, hosts: int, places: int, rounds: int, seed: int) -> None:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, Ledger(), rng, nursery, data_centres=DATA_CENTRES[:places])
        try:
            await fleet.start(hosts, 0, 2)
            for entry in fleet.entries:
                await _time_until_served(entry, FIRST_ROUTE, {})
            for version in range(2, rounds + 2):
                await trio.sleep(rng.uniform(3.0, 6.0))
                print(await _round(fleet, version, rng.uniform(0.0, 0.6)), flush=True)
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()


def main(
    hosts: Annotated[int, typer.Option(help="Number of entry hosts.")] = 3,
    places: Annotated[int, typer.Option(help="Number of data centres, up to 3.")] = 1,
    rounds: Annotated[int, typer.Option(help="Number of rounds.")] = 10,
    seed: Annotated[int, typer.Option(help="Seed of the random delays.")] = 1,
) -> None:
    """Print a line for each round of the measurement."""
    with tempfile.TemporaryDirectory() as folder:
        trio.run(_measure, Path(folder), hosts, places, rounds, seed)


if __name__ == "__main__":
    typer.run(main)
