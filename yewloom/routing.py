"""Routing: which open group or service endpoint gets a request.

Reported load lags, so it is corrected by the requests that this entry host itself has in flight,
and a few random candidates are compared, so that hosts with the same stale view do not all rush to
one group. The group with the longest cached prefix is always compared too.
"""

import random
from collections.abc import Sequence
from functools import singledispatch

from google.protobuf.message import Message

from yewloom.ids import DataCentreId, GroupId, ModelName
from yewloom.prefixes import BLOCK_CHARACTERS
from yewloom.schema.table_pb2 import LeastLoadRouting, RoundRobinRouting, ScoreRouting
from yewloom.validation import apply_defaults
from yewloom.values import value_class

CHARACTERS_A_TOKEN = 4
BUSY_S = 0.03
"""Penalty in seconds for a group whose places are all taken, so that load spreads before it queues.

Below the distance to another data centre: work leaves its own only when it would queue there.
"""

REMOTE_DISTANCE_S = 0.05
"""Penalty in seconds for a group in another data centre, before its weight."""


@value_class
class RouteRequest:
    """What routing needs to know of a request.

    ``entry_hosts`` are those that see the same reports and send to the same groups.
    """

    model: ModelName
    data_centre: DataCentreId
    prompt_characters: int
    avoid: frozenset[GroupId] = frozenset()
    entry_hosts: int = 1


@value_class
class Candidate:
    """An open group as seen by one entry host.

    ``reported`` counts running and waiting requests in the engine's last report; ``own_unreported``
    those that this entry host sent since. ``matched_blocks`` is the cached part of the prompt.
    """

    group_id: GroupId
    data_centre: DataCentreId
    reported: int
    capacity: int
    own_unreported: int
    matched_blocks: int

    def load(self, entry_hosts: int) -> int:
        """Requests that the group is believed to hold, if others sent as many as this one."""
        return self.reported + self.own_unreported * entry_hosts


@value_class
class Route:
    """The chosen group and why, for the log."""

    group_id: GroupId
    reason: str


def default_routing() -> ScoreRouting:
    """Return the routing of a policy that names none."""
    routing = ScoreRouting()
    apply_defaults(routing)
    return routing


class TurnCounter:
    """Counts turns for round-robin routing."""

    def __init__(self) -> None:
        self._turn = 0

    def next_turn(self) -> int:
        """Return the number of this turn and go on to the next."""
        self._turn += 1
        return self._turn


def choose_group(
    policy: Message,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: TurnCounter,
) -> Route | None:
    """Choose a group for a request, or none if no group is open.

    Groups that the request already failed on are chosen only if there is no other.
    """
    fresh = [c for c in candidates if c.group_id not in request.avoid]
    usable = sorted(fresh or candidates, key=lambda candidate: candidate.group_id)
    return _choose(policy, request, usable, rng, turns) if usable else None


@singledispatch
def _choose(
    policy: Message,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: TurnCounter,
) -> Route:
    raise TypeError(f"no routing for {type(policy).__name__}")


@_choose.register
def _(
    policy: RoundRobinRouting,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: TurnCounter,
) -> Route:
    chosen = candidates[turns.next_turn() % len(candidates)]
    return Route(chosen.group_id, "round robin")


@_choose.register
def _(
    policy: LeastLoadRouting,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: TurnCounter,
) -> Route:
    chosen = min(candidates, key=lambda c: (c.reported / max(c.capacity, 1), c.group_id))
    return Route(chosen.group_id, f"least reported load {chosen.reported}/{chosen.capacity}")


@_choose.register
def _(
    policy: ScoreRouting,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: TurnCounter,
) -> Route:
    compared = _sample(policy, candidates, request.data_centre, rng)
    scored = [(estimate_s(policy, request, c), c.group_id, c) for c in compared]
    cost_s, _, chosen = min(scored)
    load = chosen.load(request.entry_hosts)
    return Route(
        chosen.group_id,
        f"score {cost_s * 1000:.0f} ms of {len(compared)} compared, "
        f"load {load}/{chosen.capacity}, {chosen.matched_blocks} blocks cached",
    )


def estimate_s(policy: ScoreRouting, request: RouteRequest, candidate: Candidate) -> float:
    """Estimate the time to the first token in seconds: queue, prefill left, load and distance."""
    capacity = max(candidate.capacity, 1)
    load = candidate.load(request.entry_hosts)
    queued = max(0, load + 1 - capacity)
    busy = min(load / capacity, 1.0)
    prompt_tokens = request.prompt_characters / CHARACTERS_A_TOKEN
    cached_tokens = candidate.matched_blocks * BLOCK_CHARACTERS / CHARACTERS_A_TOKEN
    left_tokens = prompt_tokens - policy.prefix_weight * cached_tokens
    prefill_s = left_tokens * policy.prefill_us_a_token / 1_000_000
    remote = candidate.data_centre != request.data_centre
    distance_s = policy.distance_weight * REMOTE_DISTANCE_S if remote else 0.0
    queue_s = queued / capacity * policy.service_time_ms / 1000
    return queue_s + prefill_s + busy * BUSY_S + distance_s


def _sample(
    policy: ScoreRouting,
    candidates: Sequence[Candidate],
    data_centre: DataCentreId,
    rng: random.Random,
) -> list[Candidate]:
    """Return some random local groups, one remote one, and the one with the longest prefix."""
    local = [c for c in candidates if c.data_centre == data_centre]
    remote = [c for c in candidates if c.data_centre != data_centre]
    compared = rng.sample(local, min(max(policy.choices, 1), len(local))) + rng.sample(
        remote, min(1, len(remote))
    )
    best = max(candidates, key=lambda candidate: candidate.matched_blocks)
    if best.matched_blocks and best not in compared:
        compared.append(best)
    return compared
