"""Tests of engines that restart under the same name, with an entry host in its own process."""

import unittest

import trio

from yewloom.tests.soak.fleet import EntryProcess, SoakEngine
from yewloom.tests.test_entry_process import ProcessFleet, run

CLOCK_STEPS_MS = (5000, -9000)
"""Offsets of an engine's clock after a restart; a clock may be set back."""

POLL_INTERVAL_S = 0.1
"""Pause between two checks whether the group has been formed again."""


class TestEngineRestart(unittest.TestCase):
    """Groups do not rely on state of an earlier process, and requests are served again."""

    def test_group_is_formed_again_after_the_leader_or_another_member_restarts(self) -> None:
        async def test(fleet: ProcessFleet) -> None:
            [entry] = fleet.fleet.entries
            for clock_step_ms in CLOCK_STEPS_MS:
                for rank in (0, 1):
                    await self._restart(fleet, entry, rank, clock_step_ms)
            self.assertEqual(fleet.fleet.ledger.check(), [])

        run(test)

    async def _restart(
        self, fleet: ProcessFleet, entry: EntryProcess, rank: int, clock_step_ms: int
    ) -> None:
        """Restart a member of an open group, and wait until it is in an open group again."""
        chosen = next(e for e in fleet.fleet.engines if self._rank(e) == rank)
        for leader in fleet.fleet.engines:
            if leader.engine.name in chosen.engine.members[:1] and leader is not chosen:
                # The leader stalls without its member.
                leader.engine.progress_enabled = trio.Event()
        chosen.engine.restart(clock_step_ms)
        while not self._is_in_open_group(fleet, chosen):  # noqa: ASYNC110 - other processes
            await trio.sleep(POLL_INTERVAL_S)
        await fleet.wait_until_served(entry)

    def _rank(self, engine: SoakEngine) -> int | None:
        group = engine.engine.group
        return group["rank"] if group is not None else None

    def _is_in_open_group(self, fleet: ProcessFleet, member: SoakEngine) -> bool:
        by_name = {engine.engine.name: engine.engine for engine in fleet.fleet.engines}
        leaders = [by_name[name] for name in member.engine.members[:1]]
        return any(
            leader.group is not None and leader.group["state"] == "open" for leader in leaders
        )
