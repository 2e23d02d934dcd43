"""Starts an entry host on the users' platform: ``python3 -m yewloom.platform``.

The program's long imports come after SIGHUP is passed over: by its default action it would end a
process that does not listen for it yet.
"""

import os
import signal


def run() -> int:
    """Import the program and run it; return the exit code."""
    from yewloom.platform.program import main

    return main(end)


def end(code: int) -> None:
    """End the process at once: Python's own end takes some 100 ms and nothing is open any more."""
    os._exit(code)


if __name__ == "__main__":
    # Until the program listens. The settings are read later, so nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    end(run())
