"""Behaviour of grouped engines as documented by the platform, for tests that simulate engines."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from yewloom.directory import GroupKey, MemberState
from yewloom.ids import HostId, ModelName

STALL_S = 5.0
"""Time after which an open group that lacks a member breaks, from the platform's documentation."""


@dataclass
class SimulatedEngine:
    """The actual state of a simulated engine, which a listing may not reflect."""

    name: HostId
    is_alive: bool = True
    is_listed: bool = True
    order_count: int = 0
    staged: ModelName | None = None
    key: GroupKey | None = None
    members: tuple[HostId, ...] = ()
    model: ModelName | None = None
    state: MemberState = MemberState.JOINING
    incomplete_since_s: float | None = None


E = TypeVar("E", bound=SimulatedEngine)


def is_complete(engine: SimulatedEngine, engines: Mapping[HostId, E]) -> bool:
    """Return whether all members of an engine's group are alive and belong to it."""
    members = [engines[name] for name in engine.members]
    return all(member.is_alive and member.key == engine.key for member in members)


def break_if_stalled(engine: SimulatedEngine, engines: Mapping[HostId, E], now_s: float) -> None:
    """Mark the leader of an open group that has lacked a member for ``STALL_S`` as broken."""
    if is_complete(engine, engines):
        engine.incomplete_since_s = None
    elif engine.incomplete_since_s is None:
        engine.incomplete_since_s = now_s
    elif now_s - engine.incomplete_since_s >= STALL_S and engine.state is MemberState.OPEN:
        engine.state = MemberState.BROKEN


def is_in_serving_group(engine: SimulatedEngine, engines: Mapping[HostId, E]) -> bool:
    """Return whether an engine belongs to a group whose leader serves, so it must not be moved."""
    if engine.key is None:
        return False
    leader = engines[engine.members[0]]
    is_serving = leader.state in (MemberState.OPEN, MemberState.CLOSING)
    return leader.is_alive and leader.key == engine.key and is_serving
