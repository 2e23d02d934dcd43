"""Tests of engines that start again under their names, beside an entry host as a process."""

import unittest

import trio

from yewloom.tests.soak.fleet import EntryProcess, SoakEngine
from yewloom.tests.test_entry_process import World, run

CLOCK_STEPS_MS = (5000, -9000)
"""What an engine's clock says after its restart, beside what it said before: it may be set back."""

SETTLE_S = 0.1
"""Pause between two looks whether the groups are formed anew."""


class TestEngineRestart(unittest.TestCase):
    """No group counts on what an earlier process held, and requests are served again."""

    def test_a_group_is_formed_anew_when_its_leader_or_another_member_starts_again(self) -> None:
        async def test(world: World) -> None:
            [entry] = world.fleet.entries
            for clock_step_ms in CLOCK_STEPS_MS:
                for rank in (0, 1):
                    await self._restart(world, entry, rank, clock_step_ms)
            self.assertEqual(world.fleet.ledger.check(), [])

        run(test)

    async def _restart(
        self, world: World, entry: EntryProcess, rank: int, clock_step_ms: int
    ) -> None:
        """Let a member of an open group start again; wait until it is in an open group anew."""
        chosen = next(e for e in world.fleet.engines if self._rank(e) == rank)
        for head in world.fleet.engines:
            if head.engine.name in chosen.engine.members[:1] and head is not chosen:
                head.engine.moves = trio.Event()  # It stands still without its member.
        chosen.engine.start_again(clock_step_ms)
        while not self._is_in_open_group(world, chosen):  # noqa: ASYNC110 - other processes
            await trio.sleep(SETTLE_S)
        await world.wait_until_served(entry)

    def _rank(self, engine: SoakEngine) -> int | None:
        group = engine.engine.group
        return group["rank"] if group is not None else None

    def _is_in_open_group(self, world: World, member: SoakEngine) -> bool:
        by_name = {engine.engine.name: engine.engine for engine in world.fleet.engines}
        heads = [by_name[name] for name in member.engine.members[:1]]
        return any(head.group is not None and head.group["state"] == "open" for head in heads)
