"""Faults of a soak: drawn from a seed, overlapping, each undone after its time."""

import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

import trio

from yewloom.tests.soak.fleet import EntryProcess, Fleet
from yewloom.tests.soak.ledger import Disturbance, Ledger
from yewloom.tests.soak.proxy import LinkFault

QUIET_AFTER_S = 4.0
"""Time after a fault for which its effects may last."""

GRACE_S = 8.0
"""Time from the request to stop until a process is killed."""

_LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]


@dataclass(frozen=True)
class Fault:
    """Something that happens at ``at_s`` of the soak and is undone ``for_s`` later."""

    at_s: float
    for_s: float


@dataclass(frozen=True)
class KillEntry(Fault):
    """An entry host is killed and started again."""

    entry: int


@dataclass(frozen=True)
class StopEntry(Fault):
    """An entry host is stopped as planned and started again."""

    entry: int


@dataclass(frozen=True)
class PauseEntry(Fault):
    """An entry host stands still."""

    entry: int


@dataclass(frozen=True)
class ReloadEntry(Fault):
    """An entry host is told that its settings changed."""

    entry: int


@dataclass(frozen=True)
class DisturbStore(Fault):
    """The links of some entry hosts to the store are disturbed."""

    entries: tuple[int, ...]
    how: LinkFault


@dataclass(frozen=True)
class DisturbEndpoint(Fault):
    """The link to an endpoint is disturbed."""

    number: int
    how: LinkFault


@dataclass(frozen=True)
class FailStore(Fault):
    """The store refuses all calls, loses answers or forgets its history."""

    how: str


@dataclass(frozen=True)
class LoseEngine(Fault):
    """An engine is lost for good, and another one comes."""

    number: int


@dataclass(frozen=True)
class ChangeConfiguration(Fault):
    """The operator writes the next configuration."""


def draw_faults(rng: random.Random, duration_s: float, entries: int) -> list[Fault]:
    """Return the faults of a soak; they come in series and overlap."""
    faults: list[Fault] = []
    at_s = 1.0
    while at_s < duration_s:
        faults.append(_draw(rng, at_s, entries))
        at_s += rng.choice([0.1, 0.5, 1.0, 2.0, 6.0]) * rng.uniform(0.5, 1.5)
    return faults


def _draw(rng: random.Random, at_s: float, entries: int) -> Fault:
    for_s = rng.uniform(0.3, 4.0)
    entry, number = rng.randrange(entries), rng.randrange(1000)
    link_fault = rng.choice(_LINK_FAULTS)
    some = tuple(rng.sample(range(entries), rng.randint(1, entries)))
    store_fault = rng.choice(["refuse", "lose answers", "forget"])
    return rng.choice(
        [
            KillEntry(at_s, for_s, entry),
            StopEntry(at_s, for_s, entry),
            PauseEntry(at_s, for_s, entry),
            ReloadEntry(at_s, 0.0, entry),
            DisturbStore(at_s, for_s, some, link_fault),
            DisturbEndpoint(at_s, for_s, number, link_fault),
            FailStore(at_s, for_s, store_fault),
            LoseEngine(at_s, for_s, number),
            ChangeConfiguration(at_s, 0.0),
            ChangeConfiguration(at_s, 0.0),
        ]
    )


async def play(faults: Sequence[Fault], fleet: Fleet, ledger: Ledger) -> None:
    """Let all faults happen, and return when the last one is undone."""
    began_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in faults:
            nursery.start_soon(_play_one, fault, fleet, ledger, began_s)


async def _play_one(fault: Fault, fleet: Fleet, ledger: Ledger, began_s: float) -> None:
    await trio.sleep_until(began_s + fault.at_s)
    if not isinstance(fault, StopEntry | ReloadEntry | ChangeConfiguration):
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
    await _start_again(entry, fault.for_s)


@happen.register
async def _(fault: StopEntry, fleet: Fleet, ledger: Ledger) -> None:
    entry = fleet.entries[fault.entry]
    ledger.planned_stops.setdefault(entry.life, trio.current_time())
    entry.signal(signal.SIGTERM)
    with trio.move_on_after(GRACE_S):
        while entry.is_running:  # noqa: ASYNC110 - a process
            await trio.sleep(0.05)
    entry.signal(signal.SIGKILL)
    await _start_again(entry, fault.for_s)


async def _start_again(entry: EntryProcess, after_s: float) -> None:
    """Start an ended process, unless another fault has done so."""
    life = entry.life
    while entry.is_running:  # noqa: ASYNC110 - a process
        await trio.sleep(0.05)
    await trio.sleep(after_s)
    if entry.life == life and not entry.is_running:
        entry.start()


@happen.register
async def _(fault: PauseEntry, fleet: Fleet, ledger: Ledger) -> None:
    entry = fleet.entries[fault.entry]
    entry.signal(signal.SIGSTOP)
    await trio.sleep(fault.for_s)
    entry.signal(signal.SIGCONT)


@happen.register
async def _(fault: ReloadEntry, fleet: Fleet, ledger: Ledger) -> None:
    fleet.entries[fault.entry].signal(signal.SIGHUP)


@happen.register
async def _(fault: DisturbStore, fleet: Fleet, ledger: Ledger) -> None:
    links = [fleet.entries[number].store_link for number in fault.entries]
    for link in links:
        link.fault = fault.how
    await trio.sleep(fault.for_s)
    for link in links:
        link.fault = LinkFault.NONE


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
    if fault.how == "forget":
        store.forget_history()
        return
    store.faults.status = 503 if fault.how == "refuse" else 0
    store.faults.loses_answers = fault.how == "lose answers"
    await trio.sleep(fault.for_s)
    store.faults.status, store.faults.loses_answers = 0, False


@happen.register
async def _(fault: LoseEngine, fleet: Fleet, ledger: Ledger) -> None:
    lost = fleet.engines.pop(fault.number % len(fleet.engines))
    lost.engine.is_lost = True
    lost.link.fault = LinkFault.SILENT
    for other in fleet.engines:
        if (
            lost.engine.name in other.engine.members
            and other.engine.members[0] == other.engine.name
        ):
            other.engine.moves = trio.Event()  # Its group stands still.
    await trio.sleep(fault.for_s / 2)
    fleet.store.remove("servers", lost.engine.name)
    await trio.sleep(fault.for_s / 2)
    await fleet.add_engine()


@happen.register
async def _(fault: ChangeConfiguration, fleet: Fleet, ledger: Ledger) -> None:
    fleet.change_configuration()
