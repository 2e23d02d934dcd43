"""Measure running daemons: CPU time and memory when idle, and the cost of requests and tokens.

Idle: 3, 12 and 24 entry hosts of one data centre, with default settings and with those for large
data centres. Probes: one entry host that probes 9 to 65 engines. Serving: one entry host forwards
streams of several lengths and rates, and calls of a plain service; the cost is its own CPU time
divided by the number of forwarded tokens or calls.
"""

import os
import re
import statistics
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from yewloom.tests.processes import MODEL, Fleet, authorized, call

IDLE_S = 20.0
DEFAULTS = """
[limits]
data_centres = a b c
[host]
id = {name}
data_centre = {place}
caller_port = {caller_port}
peer_port = {peer_port}
[platform]
url = http://127.0.0.1:{platform_port}
[peers]
seeds = {seeds}
"""
LARGE = (
    DEFAULTS.replace("[peers]", "hosts_interval_ms = 20000\n[peers]")
    + """
exchange_interval_ms = 1000
members_interval_ms = 4000
dead_after_ms = 15000
[groups]
probe_interval_ms = 2000
freshness_ms = 7000
give_up_ms = 9000
"""
)
"""Settings for data centres of about 48 entry hosts; see docs/CAPACITY.md."""

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _memory_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
    return int(found.group(1)) / 1024 if found else 0.0


def _metric(fleet: Fleet, entry: str, pattern: str) -> float:
    text = call("GET", f"{fleet.url(entry)}/metrics").body.decode()
    return sum(float(value) for value in re.findall(rf"^{pattern}\S* (\S+)$", text, re.M))


def measure_idle(count: int, name: str, settings: str) -> None:
    """Print one row for an idle data centre with the given number of entry hosts."""
    entries = {f"e{number + 1}": "a" for number in range(count)}
    fleet = Fleet(members_a=9, members_b=0, entries=entries, settings=settings)
    try:
        fleet.start()
        time.sleep(8)
        pids = [fleet.programs[name].process.pid for name in entries]
        before = [_cpu_s(pid) for pid in pids]
        bytes_before = [_metric(fleet, name, "yewloom_peer_bytes_total") for name in entries]
        calls_before = [_metric(fleet, name, "yewloom_platform_calls") for name in entries]
        time.sleep(IDLE_S)
        cpu = [(_cpu_s(pid) - b) / IDLE_S * 100 for pid, b in zip(pids, before, strict=True)]
        after = [_metric(fleet, name, "yewloom_peer_bytes_total") for name in entries]
        sent = [(a - b) / IDLE_S for a, b in zip(after, bytes_before, strict=True)]
        calls = [_metric(fleet, name, "yewloom_platform_calls") for name in entries]
        rate = sum(a - b for a, b in zip(calls, calls_before, strict=True)) / IDLE_S
        memory = [_memory_mb(pid) for pid in pids]
        print(
            f"| {count} | {name} | {statistics.median(cpu):.2f} ({min(cpu):.2f}-{max(cpu):.2f}) "
            f"| {statistics.median(memory):.0f} | {statistics.median(sent):.0f} | {rate:.1f} |",
            flush=True,
        )
    finally:
        fleet.stop()


def measure_probes(members: int) -> None:
    """Print one row for a single entry host that probes the given number of engines."""
    fleet = Fleet(members_a=members, members_b=0, entries={"e1": "a"}, settings=DEFAULTS)
    try:
        fleet.start()
        time.sleep(8)
        pid = fleet.programs["e1"].process.pid
        before_s = _cpu_s(pid)
        time.sleep(IDLE_S)
        used = (_cpu_s(pid) - before_s) / IDLE_S * 100
        print(f"| {members} | {used:.2f} | {_memory_mb(pid):.0f} |", flush=True)
    finally:
        fleet.stop()


def _run_for(work: Callable[[], int], workers: int, seconds: float) -> int:
    """Call work repeatedly in threads for a time; return the sum of its results."""
    total, end_s, lock = 0, time.monotonic() + seconds, threading.Lock()

    def run() -> None:
        nonlocal total
        while time.monotonic() < end_s:
            count = work()
            with lock:
                total += count

    with ThreadPoolExecutor(workers) as pool:
        for _ in range(workers):
            pool.submit(run)
    return total


def measure_serving(coalesce_ms: int) -> None:
    """Print the cost of requests and tokens on one entry host."""
    settings = f"{DEFAULTS}[requests]\ncoalesce_ms = {coalesce_ms}\n"
    fleet = Fleet(members_a=9, members_b=0, entries={"e1": "a"}, capacity=64, settings=settings)
    try:
        fleet.start()
        pid = fleet.programs["e1"].process.pid
        url = f"{fleet.url('e1')}/v1/chat/completions"

        def chat(tokens: int) -> int:
            body = {
                "model": MODEL,
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": "x" * 400}],
            }
            answer = call("POST", url, body, authorized())
            return tokens if answer.body.endswith(b"data: [DONE]\n\n") else 0

        for tokens, workers, token_ms in ((1, 4, 1), (100, 8, 20), (200, 8, 20), (200, 24, 20)):
            for name in [f"a{number}" for number in range(9)]:
                fleet.control(name, token_ms=token_ms)
            time.sleep(1)
            name = f"{tokens} tokens, {workers} streams, coalesced over {coalesce_ms} ms"
            _print_cost(pid, name, lambda: chat(tokens), workers)  # noqa: B023
        service = f"{fleet.url('e1')}/services/s/x"
        _print_cost(
            pid,
            "service call",
            lambda: int(call("GET", service, None, authorized()).status == 200),
            4,
        )
    finally:
        fleet.stop()


def _print_cost(pid: int, name: str, work: Callable[[], int], workers: int) -> None:
    before_s, start_s = _cpu_s(pid), time.monotonic()
    total = _run_for(work, workers, 8.0)
    used_s, took_s = _cpu_s(pid) - before_s, time.monotonic() - start_s
    print(
        f"| {name} | {total / took_s:,.0f} | {used_s / took_s * 100:.0f} "
        f"| {used_s / max(total, 1) * 1e6:,.0f} | {_memory_mb(pid):.0f} |",
        flush=True,
    )


def main() -> None:
    """Print all tables, or those named by the arguments."""
    tables = sys.argv[1:] or ["idle", "probes", "serving"]
    if "idle" in tables:
        print("| entry hosts | settings | % of a core | memory, MB | peer B/s | platform calls/s |")
        print("|---|---|---|---|---|---|")
        for count in (3, 12, 24):
            measure_idle(count, "default", DEFAULTS)
            measure_idle(count, "large", LARGE)
    if "probes" in tables:
        print("| engines probed twice a second | % of a core | memory, MB |")
        print("|---|---|---|")
        for members in (9, 33, 65):
            measure_probes(members)
    if "serving" in tables:
        print("| load | units/s | % of a core | us per unit | memory, MB |")
        print("|---|---|---|---|---|")
        for coalesce_ms in (0, 30, 60):
            measure_serving(coalesce_ms)


if __name__ == "__main__":
    main()
