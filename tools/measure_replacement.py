"""Measure how long a host is out of service after the leader of its group is lost, by cause.

Prints a table with the time on the mock clock, in seconds, from the loss until the host serves in
another group. The coordinator is the real one; engines, store and listing are simulated. Entries
expire after three heartbeats, and entry hosts report a stalled group for as long as it is stalled.
"""

import math
from collections.abc import Callable, Sequence

import structlog
import trio

from yewloom.ids import HostId
from yewloom.stall_timeouts import DEFAULT_STALL_TIMEOUT_S
from yewloom.tests.engine_world import (
    CoordinatorSimulation,
    SimulatedEngines,
    SimulatedListedEngine,
    run_simulation,
)

LEASE_ACQUIRED_S = 4.0
"""Time until the coordinator has acquired its lease."""

EXPIRY_S = 3.6
"""Time without writes after which an endpoint's entry expires: three heartbeats of 1.2 s."""

REPORT_PAUSE_S = 0.5
"""Pause between two reports by entry hosts that a group is stalled."""

TIMEOUT_S = 60.0
"""Time after which a host is considered not replaced."""

LEADER, MEMBER = HostId("a"), HostId("b")


def _crash(leader: SimulatedListedEngine, now_s: float) -> None:
    leader.is_alive = False
    leader.unlisted_from_s = now_s + EXPIRY_S


def _disconnect_from_all(leader: SimulatedListedEngine, now_s: float) -> None:
    leader.is_reachable = False
    leader.unlisted_from_s = now_s + EXPIRY_S


def _disconnect_from_coordinator(leader: SimulatedListedEngine, now_s: float) -> None:
    leader.is_reachable = False


def _disconnect_from_store(leader: SimulatedListedEngine, now_s: float) -> None:
    leader.unlisted_from_s = now_s + EXPIRY_S


CAUSES: Sequence[tuple[str, Callable[[SimulatedListedEngine, float], None], bool]] = (
    ("crashed", _crash, True),
    ("unreachable from the coordinator and the store", _disconnect_from_all, True),
    ("unreachable from the coordinator alone", _disconnect_from_coordinator, True),
    ("missing from the listing alone", _disconnect_from_store, False),
)
"""Name, the fault of the leader, and whether entry hosts detect that its group is stalled."""


def measure(
    inject_fault: Callable[[SimulatedListedEngine, float], None], is_stalled: bool
) -> tuple[float, int]:
    """Return the seconds until the member serves again, and how often a host was in two groups."""
    world = SimulatedEngines()
    world.add_serving_group("old", ["a", "b"])
    world.add_free_engines("c")
    took_s = math.inf

    async def test(simulation: CoordinatorSimulation) -> None:
        nonlocal took_s
        await trio.sleep(LEASE_ACQUIRED_S)
        fault_s = trio.current_time()
        inject_fault(world.engines[LEADER], fault_s)
        with trio.move_on_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                if is_stalled:
                    nursery.start_soon(_report_stalls, simulation)
                while not _serves_elsewhere(world):  # noqa: ASYNC110 - engines are simulated
                    await trio.sleep(0.02)
                took_s = trio.current_time() - fault_s
                nursery.cancel_scope.cancel()

    run_simulation(world, test)
    return took_s, len(world.unsafe_joins)


async def _report_stalls(simulation: CoordinatorSimulation) -> None:
    await trio.sleep(DEFAULT_STALL_TIMEOUT_S)
    while True:
        simulation.stalls.report_stalled(LEADER, trio.current_time())
        await trio.sleep(REPORT_PAUSE_S)


def _serves_elsewhere(world: SimulatedEngines) -> bool:
    return any(MEMBER in members and LEADER not in members for members in world.open_groups())


def main() -> None:
    """Measure each cause and print a table."""
    structlog.configure(processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])
    print("| leader | s until its host serves again | joined while the old group was open |")
    print("|---|---|---|")
    for name, inject_fault, is_stalled in CAUSES:
        took_s, taken = measure(inject_fault, is_stalled)
        print(f"| {name} | {took_s:.1f} | {taken} |")


if __name__ == "__main__":
    main()
