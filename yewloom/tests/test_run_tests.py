"""Tests of the division of test modules into lanes, and of the parsing of their outcomes."""

import importlib.util
import sys
import unittest
from pathlib import Path
from types import ModuleType

TOOL = Path(__file__).parent.parent.parent / "tools" / "run_tests.py"


def _load() -> ModuleType:
    spec = importlib.util.spec_from_file_location("run_tests", TOOL)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


class TestLanes(unittest.TestCase):
    """Each module runs exactly once, and every failure is counted."""

    def setUp(self) -> None:
        self.tool = _load()

    def test_each_module_is_in_exactly_one_lane(self) -> None:
        modules = [path.stem for path in Path(__file__).parent.glob("test_*.py")]
        divided = [name for lane in self.tool.lanes_of(modules) for name in lane]
        self.assertEqual(sorted(divided), sorted(modules))
        named = [name for lane in self.tool.LANES for name in lane]
        self.assertLessEqual(set(named), set(modules))

    def test_failures_and_errors_are_counted_except_expected_ones(self) -> None:
        passed = "Ran 12 tests in 3.1s\n\nOK (expected failures=2)\n"
        self.assertEqual(self.tool.read_outcome(passed, 0), self.tool.Outcome(12, 0))
        failed = "Ran 12 tests in 3.1s\n\nFAILED (failures=1, errors=2, expected failures=1)\n"
        self.assertEqual(self.tool.read_outcome(failed, 1), self.tool.Outcome(12, 3))

    def test_non_zero_exit_without_failures_counts_as_failure(self) -> None:
        for text in ("", "Traceback", "Ran 3 tests in 1s\n\nOK\n"):
            self.assertEqual(self.tool.read_outcome(text, 1).failed, 1)
