"""Tests of the quarantine that outlasts all entry hosts at once."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from yewloom.ids import EntryHostId, Fingerprint
from yewloom.platforms import StoredObject
from yewloom.quarantine import FIRST_HOLD_S, Quarantine
from yewloom.quarantine_store import KEPT_S, KEY, LOOK_S, WRITERS, QuarantineStore
from yewloom.tests.support import FakePlatform, Fault, run_on_mock_clock

F, OTHER = Fingerprint(2**64 - 1), Fingerprint(7)
HOSTS = [EntryHostId(f"h{number}") for number in range(9)]
SETTLED_S = (WRITERS + 3) * LOOK_S
UNIX_S = 1_800_000_000.0


class World:
    """Hosts that come and go before one store; ``ahead_s`` is by how much their clocks are off."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.platform = FakePlatform()
        self._nursery = nursery
        self._began_s = trio.current_time()
        self.ahead_s = 0.0

    def start(self, host: EntryHostId) -> Quarantine:
        """Start a host; return what it knows."""
        quarantine = Quarantine(host, lambda: HOSTS)
        store = QuarantineStore(
            host, lambda: HOSTS, quarantine, self.platform, self.platform, self._unix_s
        )
        self._nursery.start_soon(store.run)
        return quarantine

    def start_all(self) -> list[Quarantine]:
        """Start all hosts; return what each knows."""
        return [self.start(host) for host in HOSTS]

    async def start_anew(self) -> Quarantine:
        """Start a host again; return what it knows once it has read the store."""
        quarantine = self.start(HOSTS[0])
        await trio.sleep(0.1)
        return quarantine

    def _unix_s(self) -> float:
        return UNIX_S + trio.current_time() - self._began_s + self.ahead_s


def play(test: Callable[[World], Awaitable[None]]) -> None:
    """Run a test on the mock clock."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await test(World(nursery))
            nursery.cancel_scope.cancel()

    run_on_mock_clock(main)


class TestQuarantineStore(unittest.TestCase):
    """What is kept, by whom, and what a host that starts makes of it."""

    def test_hosts_that_start_anew_hold_what_was_held_before(self) -> None:
        """Guards against a request that ends as many endpoints again after a restart of all."""

        async def test(world: World) -> None:
            for quarantine in world.start_all():
                quarantine.add(F, trio.current_time())
            await trio.sleep(SETTLED_S)
            quarantine = await world.start_anew()
            self.assertAlmostEqual(
                quarantine.wait_s(F, trio.current_time()), FIRST_HOLD_S - SETTLED_S, delta=0.2
            )

        play(test)

    def test_one_host_writes_and_the_others_look_at_most(self) -> None:
        """Guards against as many writes as there are hosts."""

        async def test(world: World) -> None:
            for quarantine in world.start_all():
                quarantine.add(F, trio.current_time())
            await trio.sleep(SETTLED_S)
            self.assertEqual(world.platform.calls["update"], 1)
            self.assertEqual(world.platform.calls["get"], len(HOSTS) + WRITERS)
            await trio.sleep(100.0)
            self.assertEqual(world.platform.calls["get"], len(HOSTS) + WRITERS)

        play(test)

    def test_another_host_writes_if_the_first_is_gone(self) -> None:
        async def test(world: World) -> None:
            for host in HOSTS[::2]:
                world.start(host).add(F, trio.current_time())
            await trio.sleep(SETTLED_S)
            self.assertIn(KEY, world.platform.objects)

        play(test)

    def test_what_several_hosts_found_is_kept_together(self) -> None:
        async def test(world: World) -> None:
            quarantines = world.start_all()
            quarantines[0].add(F, trio.current_time())
            for quarantine in quarantines[1:]:
                quarantine.add(OTHER, trio.current_time())
            await trio.sleep(3 * SETTLED_S)
            quarantine = await world.start_anew()
            self.assertTrue(quarantine.is_held(OTHER))

        play(test)

    def test_a_store_that_is_away_is_asked_and_written_again(self) -> None:
        async def test(world: World) -> None:
            world.platform.is_refusing = True
            quarantines = world.start_all()
            await trio.sleep(5.0)
            for quarantine in quarantines:
                quarantine.add(F, trio.current_time())
            world.platform.is_refusing = False
            world.platform.faults = [Fault.REFUSE, Fault.LOSE_WRITE, Fault.LOSE_ANSWER]
            await trio.sleep(3 * SETTLED_S)
            quarantine = await world.start_anew()
            self.assertTrue(quarantine.is_held(F))

        play(test)

    def test_what_was_let_go_is_not_held_after_a_start(self) -> None:
        async def test(world: World) -> None:
            quarantines = world.start_all()
            for quarantine in quarantines:
                quarantine.add(F, trio.current_time())
            await trio.sleep(SETTLED_S)
            for quarantine in quarantines:
                quarantine.lift(F)
            await trio.sleep(SETTLED_S)
            quarantine = await world.start_anew()
            self.assertFalse(quarantine.is_held(F))

        play(test)

    def test_a_clock_that_was_set_back_holds_nothing_for_longer(self) -> None:
        async def test(world: World) -> None:
            for quarantine in world.start_all():
                quarantine.add(F, trio.current_time())
            await trio.sleep(SETTLED_S)
            world.ahead_s = -1000.0
            quarantine = await world.start_anew()
            self.assertLessEqual(quarantine.wait_s(F, trio.current_time()), FIRST_HOLD_S)
            world.ahead_s = KEPT_S
            quarantine = await world.start_anew()
            self.assertFalse(quarantine.is_held(F))

        play(test)

    def test_an_object_that_can_not_be_read_stops_nothing(self) -> None:
        async def test(world: World) -> None:
            world.platform.objects[KEY] = StoredObject(KEY, 1, "[]")
            quarantines = world.start_all()
            await trio.sleep(0.1)
            for quarantine in quarantines:
                quarantine.add(F, trio.current_time())
            await trio.sleep(SETTLED_S)
            self.assertIn(str(F), world.platform.objects[KEY].value)

        play(test)
