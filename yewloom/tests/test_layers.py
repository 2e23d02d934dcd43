"""Tests of the module structure: decision modules do no I/O and read no clock."""

import ast
import contextlib
import io
import runpy
import unittest
from pathlib import Path

import yewloom

DECISION_MODULES = (
    "addresses",
    "admission",
    "attempts",
    "claims",
    "configuration",
    "connection_ends",
    "crash_messages",
    "crash_record",
    "crash_reports",
    "datagrams",
    "departures",
    "directory",
    "drafts",
    "ended_groups",
    "ended_messages",
    "endpoint_announcements",
    "endpoint_answers",
    "endpoint_availability",
    "endpoint_limits",
    "endpoint_pauses",
    "endpoint_rests",
    "engine_pace",
    "entry_states",
    "event_paces",
    "event_stream",
    "fingerprints",
    "experiments",
    "fleet",
    "follow_duty",
    "followed_position",
    "formation",
    "free_hosts",
    "group_exchanges",
    "groups",
    "key_trust",
    "leases",
    "limit_messages",
    "listed_endpoints",
    "load_uncertainty",
    "medians",
    "membership",
    "model_need",
    "orders",
    "outlier_evidence",
    "outliers",
    "own_state",
    "part_record",
    "peer_intake",
    "peer_reports",
    "peer_turns",
    "placement",
    "plan_state",
    "planned_stop",
    "prefixes",
    "prompt_parts",
    "quarantine",
    "quarantines",
    "reachability",
    "replica_lifecycle",
    "replica_plan",
    "replica_supply",
    "response_heads",
    "returned_entries",
    "retries",
    "retry_after",
    "retry_window",
    "route_durations",
    "routes",
    "routing",
    "selection",
    "spare_weights",
    "stall_timeouts",
    "stalls",
    "store_revisions",
    "streams",
    "tables",
    "weight_loads",
)
IO_MODULES = {"asyncio", "grpc", "httpcore", "hypercorn", "socket", "starlette", "time", "trio"}
MAX_LINES = 380
WIRE_NAMES = (
    "server-limit",
    "yewloom-deadline-ms",
    "yewloom-expect-instance",
    "yewloom-model",
    "yewloom-not-executed",
    "yewloom-request-id",
    "yewloom-server-stamp",
    "yewloom-tenant",
    "apiKeys",
    "expectedRev",
    "pathPrefix",
    "serializable",
    "sinceRev",
    "storeRevision",
    "tombstone",
    "YEWLOOM_BOOT",
)
"""Wire names of the users' platform; only its adapter may contain them."""


def _imported_modules(path: Path) -> set[str]:
    """Return the names of the modules that a module imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


class TestLayers(unittest.TestCase):
    """Imports, wire names and sizes of modules."""

    def setUp(self) -> None:
        self.root = Path(yewloom.__file__).parent

    def test_decision_modules_import_nothing_that_does_io_or_reads_a_clock(self) -> None:
        seen: set[str] = set()
        pending = [f"yewloom.{name}" for name in DECISION_MODULES]
        while pending:
            module = pending.pop()
            path = self.root / Path(*module.split(".")[1:]).with_suffix(".py")
            if module in seen or not path.exists():
                continue
            seen.add(module)
            imported = _imported_modules(path)
            forbidden = {name.split(".")[0] for name in imported} & IO_MODULES
            self.assertFalse(forbidden, f"{module} imports {forbidden}")
            pending += [name for name in imported if name.startswith("yewloom.")]

    def test_the_embedding_example_runs_without_the_daemon(self) -> None:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            runpy.run_path(str(self.root.parent / "examples" / "embedding.py"), run_name="__main__")
        self.assertIn("route to archive-hall-a-1", output.getvalue())

    def test_only_the_adapter_contains_wire_names_of_the_platform(self) -> None:
        for path in [*self.root.glob("*.py"), *self.root.glob("standins/*.py")]:
            text = path.read_text(encoding="utf-8")
            for name in WIRE_NAMES:
                self.assertNotIn(name, text, f"{path.name} contains {name}")

    def test_the_adapter_stays_small(self) -> None:
        def lines(pattern: str) -> int:
            paths = self.root.glob(pattern)
            return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths)

        self.assertLess(lines("platform/*.py") * 10, lines("**/*.py"))

    def test_every_module_has_a_docstring_and_stays_small(self) -> None:
        for path in [*self.root.glob("*.py"), *self.root.glob("platform/*.py")]:
            text = path.read_text(encoding="utf-8")
            self.assertTrue(ast.get_docstring(ast.parse(text)), path.name)
            self.assertLess(len(text.splitlines()), MAX_LINES, path.name)
