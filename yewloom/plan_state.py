"""State that a coordinator keeps between plans, and the types that make up a plan."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from yewloom.directory import GroupKey
from yewloom.ids import GroupId, HostId, ModelName
from yewloom.replica_orders import EngineOrder, StageModel
from yewloom.schema.records_pb2 import Group, Placement
from yewloom.values import value_class

ORDER_RETRY_S = 1.5
"""Pause before an order is sent again if listings do not show its effect. Normally a listing shows
the effect within a few hundred milliseconds."""

REFUSED_PAUSE_S = 0.2
"""Pause before a refused order is sent again; it doubles with each refusal up to
``ORDER_REPEAT_S``."""

BUSY_PAUSE_S = 2.0
"""Time for which an engine that is executing another coordinator's order is not asked to load
weights. A load takes longer than this pause."""


@value_class
class PlannedOrder:
    """An order to the engine process that started at ``started_unix_ms`` (0 for any process)."""

    engine: HostId
    address: str
    order: EngineOrder
    started_unix_ms: int = 0


@value_class
class OrderId:
    """Identifies an order by its engine, kind and group."""

    engine: HostId
    kind: str
    key: GroupKey | None


@value_class
class Departure:
    """One engine's departure from one generation of a group."""

    engine: HostId
    key: GroupKey


@value_class
class LoadInProgress:
    """A model whose weights are being loaded onto a host, and since when."""

    model: ModelName
    since_s: float


class EndEvidence(Enum):
    """Evidence that a draining or abandoned group has ended."""

    LEADER_LEFT = "leader answered that it left"
    LEADER_BROKEN = "leader listed as broken"
    LEADER_LISTED_OUTSIDE = "leader listed outside of the group"
    ALL_MEMBERS_LEFT = "leader unlisted, every other listed member answered that it left"


@value_class
class EndedGroup:
    """A group that a plan considers ended, with the evidence."""

    key: GroupKey
    evidence: EndEvidence


@dataclass
class ReplicaPlan:
    """The next record (None if unchanged), the orders to send, and the groups that have ended."""

    record: Placement | None
    orders: list[PlannedOrder]
    ended: list[EndedGroup]


@dataclass
class PlanState:
    """State kept between plans; all of it may be lost at any time.

    ``transition_since_s``: since when a group has been forming or draining.
    ``abandoned_since_s``: when an abandoned group was first seen.
    ``next_send_s``: when an order may be sent again; ``refusals``: how often it was refused.
    ``busy_until_s``: until when an engine is assumed to execute another coordinator's order.
    ``leaving_since_s``: since when a serving group has had a leaving member.
    ``departures``: departures from groups that engines confirmed.
    ``ended_groups``: groups that were considered ended.
    ``leader_seen_joined``: groups whose leader a listing has shown as their member.
    ``unresponsive``: hosts whose latest order had no answer.
    ``suspects``: listed hosts that did not answer a query.
    ``unlisted_since_s``: since when a recorded member has been missing from listings.
    ``last_answer_s``: when a host that is not listed last answered.
    ``stalled_s``: when a group was last reported as stalled.
    ``loads_in_progress``: loads that were ordered and have not finished.
    ``recent_load_starts_s``: when recent loads were started.
    ``known_hosts``: hosts listed so far; ``last_new_host_s``: when the last of them appeared.
    ``started_unix_ms``: start of the engine process that was last listed for a host.
    """

    transition_since_s: dict[GroupKey, float] = field(default_factory=dict)
    abandoned_since_s: dict[GroupKey, float] = field(default_factory=dict)
    next_send_s: dict[OrderId, float] = field(default_factory=dict)
    refusals: Counter[OrderId] = field(default_factory=Counter)
    busy_until_s: dict[HostId, float] = field(default_factory=dict)
    leaving_since_s: dict[GroupKey, float] = field(default_factory=dict)
    departures: set[Departure] = field(default_factory=set)
    ended_groups: set[GroupKey] = field(default_factory=set)
    leader_seen_joined: set[GroupKey] = field(default_factory=set)
    unresponsive: set[HostId] = field(default_factory=set)
    loads_in_progress: dict[HostId, LoadInProgress] = field(default_factory=dict)
    unlisted_since_s: dict[HostId, float] = field(default_factory=dict)
    last_answer_s: dict[HostId, float] = field(default_factory=dict)
    stalled_s: dict[GroupKey, float] = field(default_factory=dict)
    suspects: set[HostId] = field(default_factory=set)
    recent_load_starts_s: list[float] = field(default_factory=list)
    known_hosts: set[HostId] = field(default_factory=set)
    last_new_host_s: float = 0.0
    started_unix_ms: dict[HostId, int] = field(default_factory=dict)

    def record_process(self, host: HostId, started_unix_ms: int) -> None:
        """Record which process of an engine is listed; a new process inherits no state."""
        if self.started_unix_ms.setdefault(host, started_unix_ms) == started_unix_ms:
            return
        self.started_unix_ms[host] = started_unix_ms
        self.suspects.discard(host)
        self.unresponsive.discard(host)
        for known in (
            self.loads_in_progress,
            self.busy_until_s,
            self.unlisted_since_s,
            self.last_answer_s,
        ):
            known.pop(host, None)

    def clear_observations(self) -> None:
        """Discard observations that another coordinator may have made outdated."""
        for observations in (
            self.transition_since_s,
            self.abandoned_since_s,
            self.next_send_s,
            self.refusals,
            self.busy_until_s,
            self.leaving_since_s,
            self.departures,
            self.ended_groups,
            self.leader_seen_joined,
            self.unresponsive,
            self.unlisted_since_s,
            self.last_answer_s,
            self.stalled_s,
            self.suspects,
        ):
            observations.clear()

    def has_left(self, host: HostId, key: GroupKey) -> bool:
        """Return whether an engine confirmed that it left a group."""
        return Departure(host, key) in self.departures

    def is_unresponsive(self, host: HostId) -> bool:
        """Return whether an engine recently failed to answer.

        This is a reason to query other engines, but no proof that the engine has failed.
        """
        return host in self.suspects or host in self.unresponsive

    def mark_sent_if_due(self, planned: PlannedOrder, now_s: float) -> bool:
        """Return whether an order is due, and if so record it as sent."""
        identity = order_id(planned)
        if now_s < self.next_send_s.get(identity, float("-inf")):
            return False
        self.next_send_s[identity] = now_s + ORDER_RETRY_S
        return True

    def reschedule(self, planned: PlannedOrder, due_s: float = float("-inf")) -> None:
        """Record that an order had no effect; it may be sent again from ``due_s`` on."""
        self.next_send_s[order_id(planned)] = due_s
        if isinstance(planned.order, StageModel):
            load = self.loads_in_progress.pop(planned.engine, None)
            if load is not None and load.since_s in self.recent_load_starts_s:
                self.recent_load_starts_s.remove(load.since_s)

    def record_refused(self, planned: PlannedOrder, now_s: float) -> None:
        """Record that an engine refused an order, which becomes due again after a pause."""
        identity = order_id(planned)
        pause_s = min(REFUSED_PAUSE_S * 2 ** self.refusals[identity], ORDER_RETRY_S)
        self.refusals[identity] += 1
        self.reschedule(planned, now_s + pause_s)
        if isinstance(planned.order, StageModel):
            self.record_busy(planned.engine, now_s)

    def record_accepted(self, planned: PlannedOrder) -> None:
        """Record that an engine accepted an order."""
        self.refusals.pop(order_id(planned), None)

    def record_busy(self, engine: HostId, now_s: float) -> None:
        """Record that an engine is executing another order and cannot load weights."""
        self.busy_until_s[engine] = now_s + BUSY_PAUSE_S

    def is_busy(self, engine: HostId, now_s: float) -> bool:
        """Return whether an engine was recently found executing another order."""
        return now_s < self.busy_until_s.get(engine, float("-inf"))


def group_key(group: Group) -> GroupKey:
    """Return the key (id and generation) of a recorded group."""
    return GroupKey(GroupId(group.id), group.generation)


def order_id(planned: PlannedOrder) -> OrderId:
    """Return the identity under which an order is recorded."""
    order = planned.order
    return OrderId(planned.engine, type(order).__name__, getattr(order, "key", None))
