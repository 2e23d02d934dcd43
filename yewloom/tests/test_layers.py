"""Tests of the layout: decisions do no I/O and read no clock."""

import ast
import contextlib
import io
import runpy
import unittest
from pathlib import Path

import yewloom

DECISIONS = (
    "admission",
    "claims",
    "drafts",
    "experiments",
    "fleet",
    "formation",
    "groups",
    "leases",
    "membership",
    "orders",
    "placement",
    "prefixes",
    "retries",
    "routing",
    "streams",
    "tables",
)
IO_MODULES = {"asyncio", "grpc", "httpcore", "hypercorn", "socket", "starlette", "time", "trio"}
MAX_LINES = 380


def _imports(path: Path) -> set[str]:
    """Return the top-level names that a module imports, followed through the package."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


class TestLayers(unittest.TestCase):
    """What modules may import."""

    def setUp(self) -> None:
        self.root = Path(yewloom.__file__).parent

    def test_decision_modules_import_nothing_that_does_io_or_reads_a_clock(self) -> None:
        seen: set[str] = set()
        todo = [f"yewloom.{name}" for name in DECISIONS]
        while todo:
            module = todo.pop()
            path = self.root / Path(*module.split(".")[1:]).with_suffix(".py")
            if module in seen or not path.exists():
                continue
            seen.add(module)
            imported = _imports(path)
            forbidden = {name.split(".")[0] for name in imported} & IO_MODULES
            self.assertFalse(forbidden, f"{module} imports {forbidden}")
            todo += [name for name in imported if name.startswith("yewloom.")]

    def test_the_example_for_embedders_runs_without_the_daemon(self) -> None:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            runpy.run_path(str(self.root.parent / "examples" / "embedding.py"), run_name="__main__")
        self.assertIn("route to archive-hall-a-1", output.getvalue())

    def test_every_module_has_a_docstring_and_stays_small(self) -> None:
        for path in self.root.glob("*.py"):
            text = path.read_text(encoding="utf-8")
            self.assertTrue(ast.get_docstring(ast.parse(text)), path.name)
            self.assertLess(len(text.splitlines()), MAX_LINES, path.name)
