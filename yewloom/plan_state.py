"""What a coordinator remembers between two plans, and the orders that a plan gives."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from yewloom.directory import GroupKey
from yewloom.ids import GroupId, HostId, ModelName
from yewloom.replica_orders import EngineOrder, StageModel
from yewloom.schema.records_pb2 import Group, Placement
from yewloom.values import value_class

ORDER_REPEAT_S = 1.5
"""Pause before an order whose effect has not shown is given again: a listing shows an effect
within some hundred milliseconds."""

REFUSED_PAUSE_S = 0.2
"""Pause before an order that was refused is given again; it doubles with each refusal, up to that
of an order whose effect has not shown."""

BUSY_PAUSE_S = 2.0
"""Pause before an engine that carries out an order of somebody else is to load weights, which takes
longer."""


@value_class
class PlannedOrder:
    """An order to one engine, to the process of it that was started then (0: any)."""

    engine: HostId
    address: str
    order: EngineOrder
    started_unix_ms: int = 0


@value_class
class OrderName:
    """An order as it is remembered: to whom, of which kind, for which group."""

    engine: HostId
    kind: str
    key: GroupKey | None


@value_class
class Departure:
    """One engine's departure from one formation of a group."""

    engine: HostId
    key: GroupKey


@value_class
class Staging:
    """A model that is being loaded onto a host, and since when."""

    model: ModelName
    since_s: float


class EndEvidence(Enum):
    """What shows that a group which was given up has ended."""

    LEADER_LEFT = "leader answered that it left"
    LEADER_BROKEN = "leader listed as broken"
    LEADER_ELSEWHERE = "leader listed outside of it"
    NOBODY_IN_IT = "leader unlisted, every other listed member answered that it left"


@value_class
class EndedGroup:
    """A group that a plan takes as ended, and by which evidence."""

    key: GroupKey
    evidence: EndEvidence


@dataclass
class ReplicaPlan:
    """The next record, None if nothing changes in it, the orders to give, and what has ended."""

    record: Placement | None
    orders: list[PlannedOrder]
    ended: list[EndedGroup]


@dataclass
class PlanState:
    """What is remembered between two plans; all of it may be lost at any time.

    ``unsettled_since_s`` tells since when a group forms, or drains, and ``given_up_s`` since when
    one that was given up is seen so; ``due_s`` tells when an order that was given may be given
    again, and ``refusals`` how often it was refused; ``busy_until_s`` tells until when engines are
    taken to carry out an order of somebody else; ``left`` are the departures that engines
    confirmed, ``ended`` the groups that counted as ended, and ``seen_joined`` those whose leader a
    listing showed in them; ``unanswered`` are hosts whose latest order had no answer, and
    ``suspects`` hosts that did not answer although they are listed; ``answered_s`` tells when hosts
    that are not listed answered; ``stood_still_s`` tells when groups were reported to; ``gathered``
    are hosts that were free before; ``started_unix_ms`` tells the processes of engines that were
    listed last.
    """

    unsettled_since_s: dict[GroupKey, float] = field(default_factory=dict)
    given_up_s: dict[GroupKey, float] = field(default_factory=dict)
    due_s: dict[OrderName, float] = field(default_factory=dict)
    refusals: Counter[OrderName] = field(default_factory=Counter)
    busy_until_s: dict[HostId, float] = field(default_factory=dict)
    leaving_since_s: dict[GroupKey, float] = field(default_factory=dict)
    left: set[Departure] = field(default_factory=set)
    ended: set[GroupKey] = field(default_factory=set)
    seen_joined: set[GroupKey] = field(default_factory=set)
    unanswered: set[HostId] = field(default_factory=set)
    staging: dict[HostId, Staging] = field(default_factory=dict)
    unlisted_since_s: dict[HostId, float] = field(default_factory=dict)
    answered_s: dict[HostId, float] = field(default_factory=dict)
    stood_still_s: dict[GroupKey, float] = field(default_factory=dict)
    suspects: set[HostId] = field(default_factory=set)
    load_times_s: list[float] = field(default_factory=list)
    gathered: set[HostId] = field(default_factory=set)
    gathered_s: float = 0.0
    started_unix_ms: dict[HostId, int] = field(default_factory=dict)

    def note_process(self, host: HostId, started_unix_ms: int) -> None:
        """Take in which process of an engine is listed; a new one has nothing of an earlier one."""
        if self.started_unix_ms.setdefault(host, started_unix_ms) == started_unix_ms:
            return
        self.started_unix_ms[host] = started_unix_ms
        self.suspects.discard(host)
        self.unanswered.discard(host)
        for known in (self.staging, self.busy_until_s, self.unlisted_since_s, self.answered_s):
            known.pop(host, None)

    def forget_evidence(self) -> None:
        """Drop what was seen of engines and groups, which others may have changed since."""
        for seen in (
            self.unsettled_since_s,
            self.given_up_s,
            self.due_s,
            self.refusals,
            self.busy_until_s,
            self.leaving_since_s,
            self.left,
            self.ended,
            self.seen_joined,
            self.unanswered,
            self.unlisted_since_s,
            self.answered_s,
            self.stood_still_s,
            self.suspects,
        ):
            seen.clear()

    def has_left(self, host: HostId, key: GroupKey) -> bool:
        """Tell whether an engine confirmed that it left a group."""
        return Departure(host, key) in self.left

    def is_silent(self, host: HostId) -> bool:
        """Tell whether an engine gave no answer lately: a reason to ask others, and no proof."""
        return host in self.suspects or host in self.unanswered

    def may_order(self, planned: PlannedOrder, now_s: float) -> bool:
        """Tell whether an order is due, and remember it as given if it is."""
        name = order_name(planned)
        if now_s < self.due_s.get(name, float("-inf")):
            return False
        self.due_s[name] = now_s + ORDER_REPEAT_S
        return True

    def plan_again(self, planned: PlannedOrder, due_s: float = float("-inf")) -> None:
        """Take in that an order had no effect, so that it may be given again from ``due_s`` on."""
        self.due_s[order_name(planned)] = due_s
        if isinstance(planned.order, StageModel):
            staging = self.staging.pop(planned.engine, None)
            if staging is not None and staging.since_s in self.load_times_s:
                self.load_times_s.remove(staging.since_s)

    def note_refused(self, planned: PlannedOrder, now_s: float) -> None:
        """Take in that an engine refused an order, which is planned again behind a pause."""
        name = order_name(planned)
        pause_s = min(REFUSED_PAUSE_S * 2 ** self.refusals[name], ORDER_REPEAT_S)
        self.refusals[name] += 1
        self.plan_again(planned, now_s + pause_s)
        if isinstance(planned.order, StageModel):
            self.note_busy(planned.engine, now_s)

    def note_taken(self, planned: PlannedOrder) -> None:
        """Take in that an engine took an order."""
        self.refusals.pop(order_name(planned), None)

    def note_busy(self, engine: HostId, now_s: float) -> None:
        """Take in that an engine carries out another order, so that it can't load weights."""
        self.busy_until_s[engine] = now_s + BUSY_PAUSE_S

    def is_busy(self, engine: HostId, now_s: float) -> bool:
        """Tell whether an engine was found at work on another order a short while ago."""
        return now_s < self.busy_until_s.get(engine, float("-inf"))


def key_of(group: Group) -> GroupKey:
    """Return the name of one formation of a recorded group."""
    return GroupKey(GroupId(group.id), group.generation)


def order_name(planned: PlannedOrder) -> OrderName:
    """Return the name under which an order is remembered."""
    order = planned.order
    return OrderName(planned.engine, type(order).__name__, getattr(order, "key", None))
