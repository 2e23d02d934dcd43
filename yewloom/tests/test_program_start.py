"""Tests of the first steps of an entry host's process."""

import subprocess
import sys
import unittest

NAME_WHAT_IS_LOADED = """
import os, runpy, sys
from yewloom.early_signals import EarlySignals

def name_loaded(self):
    print(*sorted(sys.modules), flush=True)
    os._exit(0)

EarlySignals.listen = name_loaded
runpy.run_module("yewloom.platform", run_name="__main__")
"""
"""Starts the program and prints which modules are loaded when it first takes signals."""

LATER = {"configparser", "socket", "structlog", "trio", "yewloom.early_listener"}
"""Modules that take milliseconds to load, in which a signal would end the process."""


class TestProgramStart(unittest.TestCase):
    """What a process does before its long imports."""

    def test_signals_are_taken_before_anything_that_takes_time_is_loaded(self) -> None:
        command = [sys.executable, "-c", NAME_WHAT_IS_LOADED]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertEqual(LATER & set(done.stdout.split()), set())
