"""Measure the resident memory after each stage of imports, and of node state at two sizes."""

import importlib
import re

_STAGES = {
    "interpreter": [],
    "serving libraries": [
        "trio", "structlog", "prometheus_client", "hypercorn.trio", "httpcore",
        "starlette.applications", "xxhash", "result",
    ],
    "the serving path": ["yewloom.callers", "yewloom.endpoints", "yewloom.settings"],
    "the whole daemon": ["yewloom.daemon"],
}  # fmt: skip
NODE_COUNT = 10


def _memory_mb() -> float:
    with open("/proc/self/status", encoding="ascii") as file:
        found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
    return int(found.group(1)) / 1024 if found else 0.0


def main() -> None:
    """Print the results as a table."""
    print("| stage | memory, MB |")
    print("|---|---|")
    for stage, modules in _STAGES.items():
        for name in modules:
            importlib.import_module(name)
        print(f"| {stage} | {_memory_mb():.1f} |")
    core = importlib.import_module("measure_core")
    for members, groups, rows in ((12, 4, 100), (48, 17, 1000)):
        before = _memory_mb()
        nodes = [core._node(members, groups, rows) for _ in range(NODE_COUNT)]
        memory_mb = (_memory_mb() - before) / len(nodes)
        print(f"| state: {members} members, {groups} groups of 32, {rows} rows | {memory_mb:.1f} |")


if __name__ == "__main__":
    main()
