"""Faults of a soak, drawn from a seed: they overlap, and each is undone after its time."""

import random
from dataclasses import dataclass
from enum import Enum

from yewloom.tests.soak.proxy import DatagramFault, LinkFault


class FaultMix(Enum):
    """What a soak plays: signals alone leave times calm, in which most is promised.

    ``WAYS`` cuts engines off from some entry hosts, from the store, or from both. ``PAUSES`` lets
    hosts stand still for longer than requests have, also while they start.
    """

    FAULTS = "faults"
    SIGNALS = "signals"
    BOTH = "both"
    WAYS = "ways"
    PAUSES = "pauses"


class StoreFault(Enum):
    """What befalls the store; while it refuses, it answers every call with an error."""

    REFUSE = "refuse"
    LOSE_ANSWERS = "lose_answers"
    FORGET = "forget"


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
class StopStartingEntry(Fault):
    """An entry host is stopped, started again, and stopped ``start_s`` after that once more."""

    entry: int
    start_s: float


@dataclass(frozen=True)
class PauseEntry(Fault):
    """An entry host stands still."""

    entry: int


@dataclass(frozen=True)
class PauseStartingEntry(Fault):
    """An entry host is killed and started again, and stands still from ``start_s`` after that."""

    entry: int
    start_s: float


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
class SilenceStore(Fault):
    """Open connections of some entry hosts to the store fall silent for good; new ones work."""

    entries: tuple[int, ...]


@dataclass(frozen=True)
class SpoilEntries(Fault):
    """Another writer puts entries beside those of the endpoints that name none."""


@dataclass(frozen=True)
class DisturbPeers(Fault):
    """Datagrams to some entry hosts are lost or late; those from them are not."""

    entries: tuple[int, ...]
    how: DatagramFault
    delay_s: float


@dataclass(frozen=True)
class DisturbEndpoint(Fault):
    """The link to an endpoint is disturbed."""

    number: int
    how: LinkFault


@dataclass(frozen=True)
class CutWays(Fault):
    """The ways from some entry hosts to some engines are disturbed; others reach the engines."""

    entries: tuple[int, ...]
    engines: tuple[int, ...]
    how: LinkFault


@dataclass(frozen=True)
class HideEngines(Fault):
    """The entries of some engines lapse, though they live and serve."""

    engines: tuple[int, ...]


@dataclass(frozen=True)
class LapseEntries(Fault):
    """The store refuses all calls, and entries lapse meanwhile; they are back ``back_s`` after."""

    back_s: float


@dataclass(frozen=True)
class FailStore(Fault):
    """The store refuses all calls, loses answers or forgets its history."""

    how: StoreFault


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
    store_fault = rng.choice(list(StoreFault))
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


def draw_signals(rng: random.Random, duration_s: float, entries: int) -> list[Fault]:
    """Return series of signals around planned stops, which overlap too."""
    faults: list[Fault] = []
    at_s = 1.0
    while at_s < duration_s:
        series = rng.choice([_stop_twice, _stop_amid_reloads, _rolling_stops, _stop_starting])
        faults += series(rng, at_s, entries)
        at_s += rng.uniform(1.0, 4.0)
    return faults


def _stop_twice(rng: random.Random, at_s: float, entries: int) -> list[Fault]:
    entry, for_s = rng.randrange(entries), rng.uniform(0.3, 2.0)
    again_s = rng.choice([0.02, 0.5, 3.0]) * rng.uniform(0.5, 1.5)
    return [StopEntry(at_s, for_s, entry), StopEntry(at_s + again_s, for_s, entry)]


def _stop_amid_reloads(rng: random.Random, at_s: float, entries: int) -> list[Fault]:
    entry = rng.randrange(entries)
    reloads = [ReloadEntry(at_s + rng.uniform(-0.05, 2.5), 0.0, entry) for _ in range(2)]
    before = ReloadEntry(at_s - rng.uniform(0.001, 0.05), 0.0, entry)
    return [before, StopEntry(at_s, rng.uniform(0.3, 2.0), entry), *reloads]


def _rolling_stops(rng: random.Random, at_s: float, entries: int) -> list[Fault]:
    """Stop most hosts one after the other, before those that were stopped first are back."""
    some = rng.sample(range(entries), rng.randint(max(1, entries - 2), entries))
    pause_s = rng.uniform(0.3, 2.5)
    return [
        StopEntry(at_s + number * pause_s, rng.uniform(0.3, 2.0), entry)
        for number, entry in enumerate(some)
    ]


def _stop_starting(rng: random.Random, at_s: float, entries: int) -> list[Fault]:
    entry, start_s = rng.randrange(entries), rng.uniform(0.0, 3.0)
    return [StopStartingEntry(at_s, rng.uniform(0.3, 2.0), entry, start_s)]


def draw_store_faults(rng: random.Random, duration_s: float, entries: int) -> list[Fault]:
    """Return faults of the ways from the store to the entry hosts, often several hosts at once."""
    faults: list[Fault] = []
    at_s = 2.0
    while at_s < duration_s:
        faults += _draw_store_faults(rng, at_s, entries)
        at_s += rng.choice([0.2, 1.0, 3.0, 6.0]) * rng.uniform(0.5, 1.5)
    return faults


def _draw_store_faults(rng: random.Random, at_s: float, entries: int) -> list[Fault]:
    for_s = rng.uniform(0.5, 5.0)
    some = tuple(rng.sample(range(entries), rng.randint(1, entries)))
    few = some[:3]
    store_fault = rng.choice([StoreFault.REFUSE, StoreFault.FORGET])
    link_fault = rng.choice(_LINK_FAULTS)
    return rng.choice(
        [
            [KillEntry(at_s, for_s, entry) for entry in few],
            [PauseEntry(at_s, for_s, entry) for entry in few],
            [DisturbStore(at_s, for_s, some, link_fault)],
            [SilenceStore(at_s, 0.0, some)],
            [SilenceStore(at_s, 0.0, tuple(range(entries)))],
            [FailStore(at_s, for_s, store_fault)],
            [SpoilEntries(at_s, for_s)],
        ]
    )


def draw_peer_faults(rng: random.Random, duration_s: float, entries: int) -> list[Fault]:
    """Return faults of the datagrams among the entry hosts."""
    faults: list[Fault] = []
    at_s = 2.0
    while at_s < duration_s:
        for_s, delay_s = rng.uniform(0.5, 5.0), rng.uniform(0.1, 2.0)
        some = tuple(rng.sample(range(entries), rng.randint(1, entries)))
        how = rng.choice([DatagramFault.LOSE, DatagramFault.DELAY])
        faults.append(DisturbPeers(at_s, for_s, some, how, delay_s))
        at_s += rng.uniform(0.5, 6.0)
    return faults


def draw_way_faults(
    rng: random.Random, duration_s: float, entries: int, engines: int
) -> list[Fault]:
    """Return cuts of the ways to engines, most of them one-sided, amid the loss of coordinators."""
    faults: list[Fault] = []
    at_s = 1.0
    while at_s < duration_s:
        faults += _draw_way_faults(rng, at_s, entries, engines)
        at_s += rng.choice([0.2, 1.0, 3.0]) * rng.uniform(0.5, 1.5)
    return faults


def _draw_way_faults(rng: random.Random, at_s: float, entries: int, engines: int) -> list[Fault]:
    for_s, behind_s = rng.uniform(2.0, 8.0), rng.uniform(0.0, 4.0)
    some = tuple(rng.sample(range(entries), rng.randint(1, entries)))
    few = tuple(rng.sample(range(engines), rng.randint(1, max(1, engines // 2))))
    how = rng.choice([LinkFault.SILENT, LinkFault.CUT_BACK, LinkFault.RESET])
    cut = CutWays(at_s, for_s, some, few, how)
    return rng.choice(
        [
            [cut],
            [cut, HideEngines(at_s + behind_s, for_s, few)],
            [cut, LapseEntries(at_s + behind_s, for_s / 2, rng.uniform(0.0, 2.0))],
            [HideEngines(at_s, for_s, few)],
            [KillEntry(at_s, for_s / 2, some[0])],
            [PauseEntry(at_s, for_s / 2, some[0])],
            [LoseEngine(at_s, for_s, few[0])],
        ]
    )


def draw_pauses(rng: random.Random, duration_s: float, entries: int) -> list[Fault]:
    """Return pauses of entry hosts, most of them longer than requests have, which overlap."""
    faults: list[Fault] = []
    at_s = 1.0
    while at_s < duration_s:
        for_s, start_s = rng.uniform(1.0, 7.0), rng.uniform(0.05, 1.0)
        entry = rng.randrange(entries)
        pause, start = (
            PauseEntry(at_s, for_s, entry),
            PauseStartingEntry(at_s, for_s, entry, start_s),
        )
        faults.append(rng.choice([pause, pause, start]))
        at_s += rng.uniform(0.5, 4.0)
    return faults
