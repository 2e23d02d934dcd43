"""Faults that meet many endpoints or callers at once, and the mixes of a soak that draw them."""

import random
from dataclasses import dataclass

from yewloom.tests.soak.faults import (
    ChangeConfiguration,
    Fault,
    HoldEndpoints,
    IsolateEntries,
    KillEntry,
    ReloadEntry,
    StopEntry,
)
from yewloom.tests.soak.proxy import PARTITION_FAULTS

ALL_ENDPOINTS = tuple(range(24))
"""Numbers that stand for all endpoints: they count modulo the number of endpoints."""

ALL_SHARE = 0.6
"""Share of silences in which all endpoints are silent at once; otherwise most of them are."""

TURN_AWAY_S = 0.15
"""Time for which endpoints turn requests away when they wake up."""

SILENCES_S = (0.6, 1.2, 1.6)
"""Mean durations of silences, shorter than the time after which callers give up a stream."""

KEYLESS_S = 7.0
"""Time for which no key is left: longer than a revoked key may be accepted."""


@dataclass(frozen=True)
class RevokeAllKeys(Fault):
    """Take all API keys away from all customers, and give them new ones afterwards."""


@dataclass(frozen=True)
class LoseAnswers(Fault):
    """Let the answers of all endpoints to the other entry hosts be lost."""

    entries: tuple[int, ...]


@dataclass(frozen=True)
class TurnAway(Fault):
    """Let all engines turn requests away, without asking for a pause."""


def draw_silence(rng: random.Random, duration_s: float, entries: int) -> list[Fault]:
    """Return silences of most endpoints beside new configurations, and times without keys.

    Endpoints that wake up turn requests away for a moment. Hosts are stopped in between.
    """
    faults: list[Fault] = []
    at_s = 2.0
    while at_s < duration_s:
        faults += _draw_silence(rng, at_s)
        if rng.random() < 0.3:
            companion = rng.choice([_draw_keyless, _draw_stop, _draw_reload])
            faults.append(companion(rng, at_s + rng.uniform(0.0, 1.0), entries))
        at_s += rng.uniform(2.5, 6.0)
    return faults


def _draw_silence(rng: random.Random, at_s: float) -> list[Fault]:
    for_s = rng.choice(SILENCES_S) * rng.uniform(0.8, 1.2)
    some = tuple(rng.sample(ALL_ENDPOINTS[:8], rng.randint(3, 5)))
    numbers = ALL_ENDPOINTS if rng.random() < ALL_SHARE else some
    changes = [ChangeConfiguration(at_s - 0.5 * n, 0.0) for n in range(rng.randint(1, 2))]
    awake_s = at_s + for_s
    return [*changes, HoldEndpoints(at_s, for_s, numbers), TurnAway(awake_s, TURN_AWAY_S)]


def _draw_keyless(rng: random.Random, at_s: float, entries: int) -> Fault:
    return RevokeAllKeys(at_s, KEYLESS_S * rng.uniform(1.0, 1.2))


def _draw_stop(rng: random.Random, at_s: float, entries: int) -> Fault:
    return StopEntry(at_s, rng.uniform(0.3, 2.0), rng.randrange(entries))


def _draw_reload(rng: random.Random, at_s: float, entries: int) -> Fault:
    return ReloadEntry(at_s, 0.0, rng.randrange(entries))


def draw_lost_relays(rng: random.Random, duration_s: float, entries: int) -> list[Fault]:
    """Return cuts from endpoints, at whose ends the answers to the other hosts are lost.

    A cut host relays; when its links are back, it reaches endpoints while relays of it are open.
    """
    faults: list[Fault] = []
    at_s = 2.0
    while at_s < duration_s:
        for_s = rng.uniform(3.0, 6.0)
        chosen = tuple(rng.sample(range(entries), rng.randint(1, max(1, entries // 2))))
        kind = rng.choice(PARTITION_FAULTS)
        faults.append(IsolateEntries(at_s, for_s, chosen, kind))
        before_s, after_s = rng.uniform(0.2, 3.0), rng.uniform(0.5, 4.5)
        lost_s = at_s + for_s - before_s
        faults.append(LoseAnswers(lost_s, before_s + after_s, chosen))
        if rng.random() < 0.3:
            others = [n for n in range(entries) if n not in chosen]
            faults.append(KillEntry(lost_s, rng.uniform(0.3, 1.5), rng.choice(others)))
        at_s += for_s + after_s + rng.uniform(1.0, 3.0)
    return faults
