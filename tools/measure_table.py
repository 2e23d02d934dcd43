"""Measure the time from the acceptance of an edit until every entry host has applied it.

Uses nine entry hosts in three data centres with default settings: first with all connections
intact, then with one data centre cut off from the platform but not from its peers, then after the
connection is restored. Prints the median and longest time of the edits, and the rate of platform
calls by kind during the edits.
"""

import statistics
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from measure_daemons import DEFAULTS

from yewloom.tests.processes import Fleet, call

EDITS = 10
DATA_CENTRES = "abc"


def _edit(fleet: Fleet, weight: int) -> tuple[int, float]:
    """Make one edit; return the accepted version and the time of acceptance."""
    platform = f"http://127.0.0.1:{fleet.platform_ports['a']}"
    command = [sys.executable, "-m", "yewloom.cli", "table", "set", "customer/c"]
    arguments = [f"weight={weight}", "--platform", platform, "--json"]
    done = subprocess.run([*command, *arguments], capture_output=True, text=True, check=True)
    version = int(done.stdout.partition('"version": ')[2].partition(",")[0])
    return version, time.monotonic()


def _wait_applied(fleet: Fleet, entry: str, version: int) -> float:
    """Wait until an entry host has applied a version; return the time."""
    while fleet.status(entry)["rows"]["customer/c"] < version:
        time.sleep(0.02)
    return time.monotonic()


def _measure(fleet: Fleet, name: str) -> None:
    before = call("GET", f"{fleet.url('platform')}/control/counts").json()
    durations_s, start_s = [], time.monotonic()
    with ThreadPoolExecutor(len(fleet.entries)) as pool:
        for number in range(EDITS):
            version, accepted_s = _edit(fleet, number + 1)
            applied_s = pool.map(lambda entry: _wait_applied(fleet, entry, version), fleet.entries)  # noqa: B023
            durations_s.append(max(0.0, max(applied_s) - accepted_s))
    took_s = time.monotonic() - start_s
    after = call("GET", f"{fleet.url('platform')}/control/counts").json()
    calls = {kind: (after[kind] - before.get(kind, 0)) / took_s for kind in after}
    text = ", ".join(f"{kind} {rate:.1f}" for kind, rate in sorted(calls.items()))
    print(
        f"| {name} | {statistics.median(durations_s):.2f} | {max(durations_s):.2f} | {text} |",
        flush=True,
    )


def main() -> None:
    """Print the results as a table."""
    entries = {f"e{i}": DATA_CENTRES[i % 3] for i in range(9)}
    fleet = Fleet(members_a=4, members_b=4, entries=entries, settings=DEFAULTS)
    print("| platform | median, s | longest, s | platform calls/s |")
    print("|---|---|---|---|")
    try:
        fleet.start()
        time.sleep(5)
        _measure(fleet, "reachable from all")
        fleet.control("platform", cut_ports=[fleet.platform_ports["c"]])
        _measure(fleet, "cut off from one data centre")
        fleet.control("platform", cut_ports=[])
        _measure(fleet, "reachable from all again")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
