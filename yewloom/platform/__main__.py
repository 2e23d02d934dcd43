"""Starts an entry host on the users' platform: ``python3 -m yewloom.platform``.

The program's long imports come after SIGHUP is passed over: by its default action it would end a
process that does not listen for it yet. They also come after callers may connect.
"""

import os
import signal
from pathlib import Path

from yewloom.early_listener import open_early

SETTINGS_VARIABLE = "YEWLOOM_BOOT"
"""Environment variable that names the settings file; set by the platform."""


def run() -> int:
    """Let callers connect, then import the program and run it; return the exit code."""
    settings = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    listener = open_early(settings)
    from yewloom.platform.program import main

    return main(settings, listener, end)


def end(code: int) -> None:
    """End the process at once: Python's own end takes some 100 ms and nothing is open any more."""
    os._exit(code)


if __name__ == "__main__":
    # Until the program listens. The settings are read later, so nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    end(run())
