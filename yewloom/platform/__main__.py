"""Starts an entry host on the users' platform: ``python3 -m yewloom.platform``.

Before the program's long imports it takes signals, whose default action would end the process, and
lets callers connect. The imports that this needs take milliseconds too, so signals come first.
"""

import gc
import os

from yewloom.early_signals import EarlySignals

SETTINGS_VARIABLE = "YEWLOOM_BOOT"
"""Environment variable that names the settings file; set by the platform."""


def run() -> int:
    """Take signals, let callers connect, import the program and run it; return the exit code."""
    signals = EarlySignals()
    signals.listen()
    gc.disable()  # What the imports make lives as long as the process.
    from pathlib import Path

    from yewloom.early_listener import open_early
    from yewloom.platform.names import DEADLINE_HEADER

    settings = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    listener = open_early(settings, DEADLINE_HEADER)
    if listener is not None:
        listener.start()
    from yewloom.platform.program import main

    return main(settings, signals, listener, end)


def end(code: int) -> None:
    """End the process at once: Python's own end takes some 100 ms and nothing is open any more."""
    os._exit(code)


if __name__ == "__main__":
    end(run())
