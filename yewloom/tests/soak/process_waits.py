"""Sample how long each soak process ran, and how long it waited for a CPU.

The samples show whether other work on the machine disturbed a soak, and which of its processes.
"""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import trio

SAMPLE_PERIOD_S = 0.5
"""Interval between two samples of a process."""

SECONDS_PER_NS = 1e-9
"""Converts the nanoseconds of ``/proc/PID/schedstat`` to seconds."""

SOAK_PROCESS = "soak"
"""Name under which the soak's own process is listed; it runs store, endpoints and callers."""


@dataclass(frozen=True)
class CpuSample:
    """CPU time and run-queue waiting time of one process between two times of the soak's clock."""

    process_name: str
    from_s: float
    to_s: float
    ran_s: float
    waited_s: float


@dataclass(frozen=True)
class _CpuCounters:
    at_s: float
    ran_s: float
    waited_s: float


class CpuSampler:
    """Samples the running processes periodically; ``pids`` returns their ids by process name."""

    def __init__(self, pids: Callable[[], Mapping[str, int]]) -> None:
        self._pids = pids
        self._last: dict[str, _CpuCounters] = {}
        self.samples: list[CpuSample] = []

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            for process_name, pid in {SOAK_PROCESS: os.getpid(), **self._pids()}.items():
                self._sample(process_name, pid)
            await trio.sleep(SAMPLE_PERIOD_S)

    def _sample(self, process_name: str, pid: int) -> None:
        try:
            text = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii")
        except OSError:
            return  # The process has ended, or the system has no scheduler statistics.
        ran_ns, waited_ns, _ = (int(number) for number in text.split())
        now = _CpuCounters(trio.current_time(), ran_ns * SECONDS_PER_NS, waited_ns * SECONDS_PER_NS)
        last = self._last.get(process_name)
        self._last[process_name] = now
        if last is not None:
            deltas = now.ran_s - last.ran_s, now.waited_s - last.waited_s
            self.samples.append(CpuSample(process_name, last.at_s, now.at_s, *deltas))
