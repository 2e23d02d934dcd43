"""Start an entry host on the users' platform: ``python3 -m yewloom.platform``.

Signal handlers are installed and the listening socket is opened before the main program is
imported, because that import is slow: until it is complete, a signal would otherwise end the
process by its default action, and callers could not connect. Signal handlers come first because
even the imports that the socket needs take milliseconds.
"""

import gc
import os

from yewloom.early_signals import EarlySignals

SETTINGS_VARIABLE = "YEWLOOM_BOOT"
"""Environment variable with the path of the settings file; set by the platform."""


def run() -> int:
    """Install signal handlers, open the socket and run the program; return the exit code."""
    signals = EarlySignals()
    signals.listen()
    gc.disable()  # Objects created by the imports live as long as the process.
    from pathlib import Path

    from yewloom.early_listener import open_early_listener
    from yewloom.platform.names import DEADLINE_HEADER

    settings = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    listener = open_early_listener(settings, DEADLINE_HEADER, lambda: signals.requested_s)
    if listener is not None:
        listener.start()
    from yewloom.platform.program import main

    return main(settings, signals, listener, exit_process)


def exit_process(code: int) -> None:
    """Exit at once: a normal exit of Python takes about 100 ms, and nothing is left to close."""
    os._exit(code)


if __name__ == "__main__":
    exit_process(run())
