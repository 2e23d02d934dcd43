"""Routing: choice of the open group that a model request is sent to.

A reported load is out of date, so the requests that this entry host has sent since the report are
added to it. Only a few random candidates are compared, so that entry hosts with the same stale
reports do not all choose the same group. The group with the longest cached prefix is always among
them.
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

CHARACTERS_PER_TOKEN = 4
FULL_LOAD_PENALTY_S = 0.03
"""Penalty in seconds for a fully used group, so that load spreads before requests queue.

It is lower than ``REMOTE_PENALTY_S``, so that requests are sent to another data centre only if they
would queue in the local one.
"""

REMOTE_PENALTY_S = 0.05
"""Penalty in seconds for a group in another data centre; ``distance_weight`` multiplies it."""


@value_class
class RouteRequest:
    """The properties of a request that routing depends on.

    ``failed_groups`` are groups on which the request has failed. ``entry_hosts`` is the number of
    entry hosts that receive the same reports and send to the same groups.
    """

    model: ModelName
    data_centre: DataCentreId
    prompt_characters: int
    failed_groups: frozenset[GroupId] = frozenset()
    entry_hosts: int = 1


@value_class
class Candidate:
    """An open group as seen by one entry host.

    ``reported_load`` is the number of running and waiting requests in the engine's last report, and
    ``sent_since_report`` the number that this entry host has sent since. ``matched_blocks`` is the
    number of leading blocks of the prompt that the engine has cached.
    """

    group_id: GroupId
    data_centre: DataCentreId
    reported_load: int
    capacity: int
    sent_since_report: int
    matched_blocks: int

    def load(self, entry_hosts: int) -> int:
        """Estimate the requests in the group.

        Assumes that every other entry host has sent as many unreported requests as this one.
        """
        return self.reported_load + self.sent_since_report * entry_hosts


@value_class
class Route:
    """The chosen group; ``reason`` says for the log why it was chosen."""

    group_id: GroupId
    reason: str


def default_routing() -> ScoreRouting:
    """Return the routing of policies that do not specify one."""
    routing = ScoreRouting()
    apply_defaults(routing)
    return routing


class RoundRobinCounter:
    """The counter of round-robin routing."""

    def __init__(self) -> None:
        self._turn = 0

    def next_turn(self) -> int:
        """Increment the counter and return it."""
        self._turn += 1
        return self._turn


def choose_group(
    policy: Message,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: RoundRobinCounter,
) -> Route | None:
    """Choose a group for a request; return None if there are no candidates.

    Groups on which the request has failed are chosen only if there is no other.
    """
    not_failed = [c for c in candidates if c.group_id not in request.failed_groups]
    usable = sorted(not_failed or candidates, key=lambda candidate: candidate.group_id)
    return _choose(policy, request, usable, rng, turns) if usable else None


@singledispatch
def _choose(
    policy: Message,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: RoundRobinCounter,
) -> Route:
    raise TypeError(f"no routing for {type(policy).__name__}")


@_choose.register
def _(
    policy: RoundRobinRouting,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: RoundRobinCounter,
) -> Route:
    chosen = candidates[turns.next_turn() % len(candidates)]
    return Route(chosen.group_id, "round robin")


@_choose.register
def _(
    policy: LeastLoadRouting,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: RoundRobinCounter,
) -> Route:
    chosen = min(candidates, key=lambda c: (c.reported_load / max(c.capacity, 1), c.group_id))
    return Route(chosen.group_id, f"least reported load {chosen.reported_load}/{chosen.capacity}")


@_choose.register
def _(
    policy: ScoreRouting,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    rng: random.Random,
    turns: RoundRobinCounter,
) -> Route:
    compared = _sample(policy, candidates, request.data_centre, rng)
    scored = [(estimate_first_token_s(policy, request, c), c.group_id, c) for c in compared]
    cost_s, _, chosen = min(scored)
    load = chosen.load(request.entry_hosts)
    return Route(
        chosen.group_id,
        f"estimated {cost_s * 1000:.0f} ms, best of {len(compared)} compared, "
        f"load {load}/{chosen.capacity}, {chosen.matched_blocks} blocks cached",
    )


def estimate_first_token_s(
    policy: ScoreRouting, request: RouteRequest, candidate: Candidate
) -> float:
    """Estimate the time to the first token, plus penalties for load and distance.

    The estimate consists of the wait in the engine's queue and the prefill of uncached tokens.
    """
    capacity = max(candidate.capacity, 1)
    load = candidate.load(request.entry_hosts)
    queued = max(0, load + 1 - capacity)
    utilization = min(load / capacity, 1.0)
    prompt_tokens = request.prompt_characters / CHARACTERS_PER_TOKEN
    cached_tokens = candidate.matched_blocks * BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN
    uncached_tokens = prompt_tokens - policy.prefix_weight * cached_tokens
    prefill_s = uncached_tokens * policy.prefill_us_a_token / 1_000_000
    remote = candidate.data_centre != request.data_centre
    distance_s = policy.distance_weight * REMOTE_PENALTY_S if remote else 0.0
    queue_s = queued / capacity * policy.service_time_ms / 1000
    return queue_s + prefill_s + utilization * FULL_LOAD_PENALTY_S + distance_s


def _sample(
    policy: ScoreRouting,
    candidates: Sequence[Candidate],
    data_centre: DataCentreId,
    rng: random.Random,
) -> list[Candidate]:
    """Return random local groups, a random remote one, and the one with the longest prefix."""
    local = [c for c in candidates if c.data_centre == data_centre]
    remote = [c for c in candidates if c.data_centre != data_centre]
    compared = rng.sample(local, min(max(policy.choices, 1), len(local))) + rng.sample(
        remote, min(1, len(remote))
    )
    longest_match = max(candidates, key=lambda candidate: candidate.matched_blocks)
    if longest_match.matched_blocks and longest_match not in compared:
        compared.append(longest_match)
    return compared
