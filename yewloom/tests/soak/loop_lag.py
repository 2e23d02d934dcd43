"""Measure delays of the soak's own event loop; the store runs in it and is slow meanwhile."""

import trio

from yewloom.tests.soak.ledger import Disturbance

SAMPLE_PERIOD_S = 0.05
"""Interval between two measurements."""

MIN_STALL_S = 0.1
"""Minimum delay of the event loop that counts as a stall, in which the store is slow. A call to the
store takes some eight passes of the loop, so it then lasts 0.8 s or more, 200 times as long as
usual."""


class LoopLag:
    """Measures delays of the event loop, and records its stalls."""

    def __init__(self) -> None:
        self.max_lag_s = 0.0
        self.stalls: list[Disturbance] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = trio.current_time() + SAMPLE_PERIOD_S
            await trio.sleep_until(due_s)
            self.record(due_s, trio.current_time())

    def record(self, due_s: float, now_s: float) -> None:
        """Record when the loop should have run, and when it did."""
        lag_s = now_s - due_s
        self.max_lag_s = max(self.max_lag_s, lag_s)
        if lag_s > MIN_STALL_S:
            self.stalls.append(Disturbance(due_s, now_s))
