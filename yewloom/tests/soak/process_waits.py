"""What the machine gave each process under soak: how long it ran, and how long it was let wait.

A run that is disturbed by other work on the machine shows here, and which process it disturbed.
"""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import trio

LOOK_S = 0.5
"""Pause between two looks."""

NANOSECONDS = 1e-9
"""Seconds in one of the units in which the system counts."""

SOAK = "soak"
"""Name of the process that plays the store, the endpoints and the callers."""


@dataclass(frozen=True)
class ProcessWait:
    """What one process got between two looks, in seconds of the soak's clock."""

    life: str
    from_s: float
    to_s: float
    ran_s: float
    waited_s: float


@dataclass(frozen=True)
class _Counted:
    at_s: float
    ran_s: float
    waited_s: float


class ProcessWaits:
    """Looks at the processes again and again; ``pids`` returns those that run, by life."""

    def __init__(self, pids: Callable[[], Mapping[str, int]]) -> None:
        self._pids = pids
        self._last: dict[str, _Counted] = {}
        self.seen: list[ProcessWait] = []

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            for life, pid in {SOAK: os.getpid(), **self._pids()}.items():
                self._look(life, pid)
            await trio.sleep(LOOK_S)

    def _look(self, life: str, pid: int) -> None:
        try:
            text = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii")
        except OSError:
            return  # It has ended, or the system does not count.
        ran_ns, waited_ns, _ = (int(number) for number in text.split())
        now = _Counted(trio.current_time(), ran_ns * NANOSECONDS, waited_ns * NANOSECONDS)
        last = self._last.get(life)
        self._last[life] = now
        if last is not None:
            got = now.ran_s - last.ran_s, now.waited_s - last.waited_s
            self.seen.append(ProcessWait(life, last.at_s, now.at_s, *got))
