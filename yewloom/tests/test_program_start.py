"""Tests of the first steps of an entry host process."""

import subprocess
import sys
import unittest

PRINT_LOADED_MODULES = """
import os, runpy, sys
from yewloom.early_signals import EarlySignals

def name_loaded(self):
    print(*sorted(sys.modules), flush=True)
    os._exit(0)

EarlySignals.listen = name_loaded
runpy.run_module("yewloom.platform", run_name="__main__")
"""
"""Starts the program and prints the modules that are loaded when it installs its signal handlers.
"""

SLOW_MODULES = {"configparser", "socket", "structlog", "trio", "yewloom.early_listener"}
"""Modules that take milliseconds to load; a signal during that time would end the process."""


class TestProgramStart(unittest.TestCase):
    """What a process does before its long imports."""

    def test_signal_handlers_are_installed_before_slow_imports(self) -> None:
        command = [sys.executable, "-c", PRINT_LOADED_MODULES]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertEqual(SLOW_MODULES & set(done.stdout.split()), set())
