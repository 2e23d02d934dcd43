"""Faults of a soak, carried out on the fleet and undone."""

import signal
from collections.abc import Sequence
from functools import singledispatch
from typing import Any

import trio

from yewloom.tests.soak.faults import (
    ChangeConfiguration,
    CutWays,
    DisturbEndpoint,
    DisturbPeers,
    DisturbStore,
    FailStore,
    Fault,
    HideEngines,
    KillEntry,
    LapseEntries,
    LoseEngine,
    PauseEntry,
    PauseStartingEntry,
    ReloadEntry,
    SilenceStore,
    SpoilEntries,
    StopEntry,
    StopStartingEntry,
    StoreFault,
)
from yewloom.tests.soak.fleet import EntryProcess, Fleet, SoakEngine
from yewloom.tests.soak.ledger import GRACE_S, Disturbance, Ledger
from yewloom.tests.soak.proxy import DatagramFault, LinkFault

QUIET_AFTER_S = 4.0
"""Time after a fault for which its effects may last."""


PAUSE_SLACK_S = 0.5
"""Time until a process that stood still is at work again."""

SPOILT_ENTRIES: dict[str, Any] = {
    "spoilt-empty": {},
    "spoilt-text": "no entry",
    "spoilt-types": {"service": 7, "address": None, "zone": [], "state": {"a": 1}, "group": 3},
    "spoilt-unknown": {"service": "nobody's", "address": "x", "zone": "y", "state": "asleep"},
}
"""Entries that name no endpoint."""

PLANNED = (StopEntry, StopStartingEntry, ReloadEntry, ChangeConfiguration)
"""Faults that are planned work and disturb nothing."""


async def play(faults: Sequence[Fault], fleet: Fleet, ledger: Ledger) -> None:
    """Let all faults happen, and return when the last one is undone."""
    began_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in faults:
            nursery.start_soon(_play_one, fault, fleet, ledger, began_s)


async def _play_one(fault: Fault, fleet: Fleet, ledger: Ledger, began_s: float) -> None:
    await trio.sleep_until(began_s + fault.at_s)
    if not isinstance(fault, PLANNED):
        now_s = trio.current_time()
        ends_s = now_s + fault.for_s + QUIET_AFTER_S
        ledger.disturbances.append(Disturbance(now_s, ends_s))
    await happen(fault, fleet, ledger)


@singledispatch
async def happen(fault: Fault, fleet: Fleet, ledger: Ledger) -> None:
    """Let a fault happen and undo it."""
    raise TypeError(f"no such fault: {fault}")


@happen.register
async def _(fault: KillEntry, fleet: Fleet, ledger: Ledger) -> None:
    entry = fleet.entries[fault.entry]
    entry.signal(signal.SIGKILL)
    with ledger.disturbing([entry.name]):
        await _start_again(entry, fault.for_s)


@happen.register
async def _(fault: StopEntry, fleet: Fleet, ledger: Ledger) -> None:
    entry = fleet.entries[fault.entry]
    await _stop(entry, ledger)
    await _start_again(entry, fault.for_s)


@happen.register
async def _(fault: StopStartingEntry, fleet: Fleet, ledger: Ledger) -> None:
    entry = fleet.entries[fault.entry]
    await _stop(entry, ledger)
    await _start_again(entry, fault.for_s)
    await trio.sleep(fault.start_s)
    await _stop(entry, ledger)
    await _start_again(entry, fault.for_s)


async def _stop(entry: EntryProcess, ledger: Ledger) -> None:
    """Ask a process to stop, perhaps once more, and kill it at the end of its grace."""
    if not entry.is_running:
        return
    life, now_s = entry.life, trio.current_time()
    stopped_s = ledger.planned_stops.setdefault(life, now_s)
    entry.signal(signal.SIGTERM)
    with trio.move_on_at(stopped_s + GRACE_S):
        await entry.wait_ended()
    if entry.life == life and entry.is_running:
        ledger.note_overdue(life)
        entry.signal(signal.SIGKILL)


async def _start_again(entry: EntryProcess, after_s: float) -> None:
    """Start an ended process, unless another fault has done so."""
    life = entry.life
    await entry.wait_ended()
    await trio.sleep(after_s)
    if entry.life == life and not entry.is_running:
        entry.start()


@happen.register
async def _(fault: PauseEntry, fleet: Fleet, ledger: Ledger) -> None:
    await _pause(fleet.entries[fault.entry], fault.for_s, ledger)


@happen.register
async def _(fault: PauseStartingEntry, fleet: Fleet, ledger: Ledger) -> None:
    entry = fleet.entries[fault.entry]
    entry.signal(signal.SIGKILL)
    with ledger.disturbing([entry.name]):
        await _start_again(entry, 0.0)
        await trio.sleep(fault.start_s)
        await _pause(entry, fault.for_s, ledger)


async def _pause(entry: EntryProcess, for_s: float, ledger: Ledger) -> None:
    """Let a process stand still for a time."""
    life, begin_s = entry.life, trio.current_time()
    entry.signal(signal.SIGSTOP)
    ledger.pauses[life].append(Disturbance(begin_s, begin_s + for_s + PAUSE_SLACK_S))
    with ledger.disturbing([entry.name]):
        await trio.sleep(for_s)
        entry.signal(signal.SIGCONT)


@happen.register
async def _(fault: ReloadEntry, fleet: Fleet, ledger: Ledger) -> None:
    entry = fleet.entries[fault.entry]
    # In the interpreter's own start, some 60 ms, the default action would end the process; the
    # program cannot do anything about that.
    await entry.wait_until_taken(signal.SIGHUP)
    entry.signal(signal.SIGHUP)


@happen.register
async def _(fault: DisturbStore, fleet: Fleet, ledger: Ledger) -> None:
    entries = [fleet.entries[number] for number in fault.entries]
    for entry in entries:
        entry.store_link.fault = fault.how
    with ledger.disturbing([entry.name for entry in entries]):
        await trio.sleep(fault.for_s)
    for entry in entries:
        entry.store_link.fault = LinkFault.NONE


@happen.register
async def _(fault: SilenceStore, fleet: Fleet, ledger: Ledger) -> None:
    entries = [fleet.entries[number] for number in fault.entries]
    with ledger.disturbing([entry.name for entry in entries]):
        for entry in entries:
            entry.store_link.silence_open()


@happen.register
async def _(fault: SpoilEntries, fleet: Fleet, ledger: Ledger) -> None:
    for name, spec in SPOILT_ENTRIES.items():
        fleet.store.put("servers", name, spec)
    await trio.sleep(fault.for_s)
    for name in SPOILT_ENTRIES:
        fleet.store.remove("servers", name)


@happen.register
async def _(fault: DisturbPeers, fleet: Fleet, ledger: Ledger) -> None:
    # That excuses no host: one that hears nothing recent asks the store itself.
    links = [fleet.entries[number].peer_link for number in fault.entries]
    for link in links:
        link.fault, link.delay_s = fault.how, fault.delay_s
    await trio.sleep(fault.for_s)
    for link in links:
        link.fault = DatagramFault.NONE


@happen.register
async def _(fault: DisturbEndpoint, fleet: Fleet, ledger: Ledger) -> None:
    links = [*(engine.link for engine in fleet.engines), *fleet.plain_links]
    link = links[fault.number % len(links)]
    link.fault = fault.how
    await trio.sleep(fault.for_s)
    link.fault = LinkFault.NONE


@happen.register
async def _(fault: FailStore, fleet: Fleet, ledger: Ledger) -> None:
    store = fleet.store
    if fault.how is StoreFault.FORGET:
        with ledger.disturbing([entry.name for entry in fleet.entries]):
            store.forget_history()
        return
    store.faults.status = 503 if fault.how is StoreFault.REFUSE else 0
    store.faults.loses_answers = fault.how is StoreFault.LOSE_ANSWERS
    with ledger.disturbing([entry.name for entry in fleet.entries]):
        await trio.sleep(fault.for_s)
    store.faults.status, store.faults.loses_answers = 0, False


@happen.register
async def _(fault: CutWays, fleet: Fleet, ledger: Ledger) -> None:
    ways = [e.ways[entry] for e in _engines(fleet, fault.engines) for entry in fault.entries]
    for way in ways:
        way.fault = fault.how
    await trio.sleep(fault.for_s)
    for way in ways:
        way.fault = LinkFault.NONE


@happen.register
async def _(fault: HideEngines, fleet: Fleet, ledger: Ledger) -> None:
    engines = _engines(fleet, fault.engines)
    _hide(engines, fleet)
    await trio.sleep(fault.for_s)
    _show(engines)


@happen.register
async def _(fault: LapseEntries, fleet: Fleet, ledger: Ledger) -> None:
    engines = list(fleet.engines)
    fleet.store.faults.status = 503
    with ledger.disturbing([entry.name for entry in fleet.entries]):
        await trio.sleep(fault.for_s / 2)
        _hide(engines, fleet)
        await trio.sleep(fault.for_s / 2)
        fleet.store.faults.status = 0
        await trio.sleep(fault.back_s)
        _show(engines)


def _engines(fleet: Fleet, numbers: Sequence[int]) -> list[SoakEngine]:
    """Return engines by number; fewer are left while lost ones have not been replaced."""
    chosen = {number % len(fleet.engines) for number in numbers} if fleet.engines else set()
    return [fleet.engines[number] for number in sorted(chosen)]


def _hide(engines: Sequence[SoakEngine], fleet: Fleet) -> None:
    for engine in (soaked.engine for soaked in engines):
        engine.is_unlisted = True
        fleet.store.remove("servers", engine.name)


def _show(engines: Sequence[SoakEngine]) -> None:
    for engine in (soaked.engine for soaked in engines):
        engine.is_unlisted = False
        engine.publish()


@happen.register
async def _(fault: LoseEngine, fleet: Fleet, ledger: Ledger) -> None:
    if not fleet.engines:
        return  # All are lost already; others come.
    lost = fleet.engines.pop(fault.number % len(fleet.engines))
    lost.engine.is_lost = True
    lost.link.fault = LinkFault.SILENT
    _stop_group_of(lost, fleet)
    await trio.sleep(fault.for_s / 2)
    fleet.store.remove("servers", lost.engine.name)
    await trio.sleep(fault.for_s / 2)
    await fleet.add_engine()


def _stop_group_of(lost: SoakEngine, fleet: Fleet) -> None:
    """Let the group stand still that a lost engine was a member of."""
    for engine in (other.engine for other in fleet.engines):
        if lost.engine.name in engine.members and engine.members[0] == engine.name:
            engine.moves = trio.Event()


@happen.register
async def _(fault: ChangeConfiguration, fleet: Fleet, ledger: Ledger) -> None:
    fleet.change_configuration()
