"""Tests that the removals of the mutation and ablation tools match the source."""

import importlib
import sys
import unittest
from pathlib import Path

import yewloom

PACKAGE = Path(yewloom.__file__).parent
TOOLS = PACKAGE.parent / "tools"


class TestRemovals(unittest.TestCase):
    """Without these tests, an outdated removal would be noticed only when it is next run."""

    def setUp(self) -> None:
        sys.path.insert(0, str(TOOLS))
        self.addCleanup(sys.path.remove, str(TOOLS))

    def test_each_removal_text_occurs_as_often_as_stated(self) -> None:
        removals = [
            *importlib.import_module("ablation").REMOVALS,
            *importlib.import_module("mutations").MUTATIONS,
        ]
        for removal in removals:
            with self.subTest(removal.mechanism):
                text = (PACKAGE / f"{removal.module}.py").read_text(encoding="utf-8")
                self.assertEqual(text.count(removal.text), getattr(removal, "times", 1))
