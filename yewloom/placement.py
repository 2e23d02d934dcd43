"""Placement: which hosts form which groups in one data centre.

The whole placement of a data centre is one platform record, changed by conditional update, so a
host can't be in two groups whoever writes. Every write raises the record's generation, and a
group's generation is that of the write that formed it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch

from google.protobuf.message import Message

from yewloom.groups import GroupObservation, HostObservation
from yewloom.ids import AttemptId, EntryHostId, GroupId, HostId, PolicyName
from yewloom.schema.records_pb2 import Group, GroupMember, Host, Placement, ServiceEndpoint
from yewloom.schema.table_pb2 import DowntimePlacement, PolicyRow, StrandedPlacement
from yewloom.states import GroupIntent, HostState


@dataclass(frozen=True)
class PlacementTiming:
    """Durations of the group life cycle in seconds."""

    freshness_s: float
    load_timeout_s: float
    settle_s: float


class PlacementChange(Enum):
    """Kind of a placement decision."""

    FORM = "form"
    DRAIN = "drain"
    DISSOLVE = "dissolve"
    LOSE = "lose"
    FORGET = "forget"
    SERVICES = "services"


@dataclass(frozen=True)
class PlacementDecision:
    """One decision with its reason, for the log."""

    change: PlacementChange
    group_id: GroupId
    generation: int
    reason: str
    hosts: tuple[HostId, ...] = ()


@dataclass(frozen=True)
class FleetState:
    """What a placement is planned from: the platform's host list, observations and policies.

    ``listed`` is None as long as the list has not been read; ``groups`` and ``hosts`` hold what
    was observed; times in them are seconds of the planner's clock.
    """

    listed: Mapping[HostId, Host] | None
    hosts: Mapping[HostId, HostObservation]
    groups: Mapping[GroupId, GroupObservation]
    policies: Mapping[PolicyName, PolicyRow]


@dataclass(frozen=True)
class Plan:
    """A proposed placement and the decisions in it; ``placement`` is None if nothing changes."""

    placement: Placement | None
    decisions: tuple[PlacementDecision, ...] = ()


class PlacementError(Exception):
    """A placement record breaks a rule that must always hold."""


def check_placement(placement: Placement) -> None:
    """Raise PlacementError if a host is in two groups or a generation is too high."""
    hosts = Counter(member.host_id for group in placement.groups for member in group.members)
    doubled = [host for host, count in hosts.items() if count > 1]
    if doubled:
        raise PlacementError(f"hosts in two groups: {', '.join(sorted(doubled))}")
    ids = Counter(group.id for group in placement.groups)
    if any(count > 1 for count in ids.values()):
        raise PlacementError("two groups have the same id")
    if any(group.generation > placement.generation for group in placement.groups):
        raise PlacementError("a group's generation is above the record's")


@dataclass
class Planner:
    """Plans the next placement.

    Keeps only when it first saw a group loading or idle, and a host free. A host that checks no
    fence can't refuse work for its earlier group, so it stays free until every entry host's view
    of that group has run out.
    """

    writer: EntryHostId
    timing: PlacementTiming
    _loading_since_s: dict[GroupId, float] = field(default_factory=dict)
    _idle_since_s: dict[GroupId, float] = field(default_factory=dict)
    _free_since_s: dict[HostId, float] = field(default_factory=dict)

    def plan(self, current: Placement, fleet: FleetState, now_s: float, attempt: AttemptId) -> Plan:
        """Return the placement that should follow the current one."""
        if not _anyone_seen(fleet, now_s, self.timing.freshness_s):
            return Plan(None)
        draft = _Draft(current, self.writer, attempt)
        self._retire_groups(draft, fleet, now_s)
        if fleet.listed is not None:
            self._drain_superseded(draft, fleet)
            _form_groups(draft, fleet, self._free_hosts(draft, fleet, now_s))
            _list_services(draft, fleet)
        self._forget_times(draft)
        return draft.finish()

    def _retire_groups(self, draft: "_Draft", fleet: FleetState, now_s: float) -> None:
        """Dissolve lost groups and drained ones, and drain those with a leaving member."""
        for group in draft.formed_groups():
            observation = _matching(group, fleet)
            lost_reason = self._lost_reason(group, observation, now_s)
            if lost_reason:
                draft.lose(group, lost_reason)
            elif group.intent == GroupIntent.DRAINING.value:
                if self._is_drained(group, observation, now_s):
                    draft.dissolve(group, "drained")
            elif _has_leaving_member(group, observation, fleet):
                draft.drain(group, "a member is leaving", replace=True)

    def _lost_reason(self, group: Group, observation: GroupObservation | None, now_s: float) -> str:
        group_id = GroupId(group.id)
        if observation is not None and observation.missing:
            return f"member {observation.missing[0]} is gone"
        if observation is not None and observation.failed:
            return "the replica failed"
        if observation is not None and observation.was_ready and observation.mismatched:
            return f"member {observation.mismatched[0]} was restarted"
        if observation is not None and observation.ready:
            self._loading_since_s.pop(group_id, None)
            return ""
        since_s = self._loading_since_s.setdefault(group_id, now_s)
        return "loading took too long" if now_s - since_s > self.timing.load_timeout_s else ""

    def _is_drained(self, group: Group, observation: GroupObservation | None, now_s: float) -> bool:
        group_id = GroupId(group.id)
        busy = observation is None or observation.running + observation.waiting > 0
        stale = observation is None or now_s - observation.observed_s > self.timing.freshness_s
        if busy or stale:
            self._idle_since_s.pop(group_id, None)
            return False
        return now_s - self._idle_since_s.setdefault(group_id, now_s) >= self.timing.settle_s

    def _drain_superseded(self, draft: "_Draft", fleet: FleetState) -> None:
        """Drain groups whose policy is gone or wants another version, one a policy at a time."""
        draining = {g.policy for g in draft.groups if g.intent == GroupIntent.DRAINING.value}
        for group in draft.formed_groups(GroupIntent.ACTIVE):
            policy = fleet.policies.get(PolicyName(group.policy))
            if policy is None:
                draft.drain(group, "its policy is gone", replace=False)
            elif _is_superseded(group, policy) and group.policy not in draining:
                draining.add(group.policy)
                draft.drain(group, "its policy wants another version", replace=True)
        for name, policy in fleet.policies.items():
            active = draft.formed_groups(GroupIntent.ACTIVE, name)
            for group in active[policy.max_groups :]:
                draft.drain(group, "its policy wants fewer groups", replace=False)
        for group in draft.waiting_groups():
            if PolicyName(group.policy) not in fleet.policies:
                draft.forget(group)

    def _free_hosts(self, draft: "_Draft", fleet: FleetState, now_s: float) -> list[Host]:
        """Return the hosts that a group can be formed from, in order of id."""
        free = _free_hosts(draft, fleet, now_s, self.timing.freshness_s)
        known = self._free_since_s
        self._free_since_s = {HostId(h.id): known.get(HostId(h.id), now_s) for h in free}
        return [host for host in free if self._may_be_used(host, now_s)]

    def _may_be_used(self, host: Host, now_s: float) -> bool:
        waited_s = now_s - self._free_since_s[HostId(host.id)]
        return host.checks_fences or waited_s > self.timing.freshness_s

    def _forget_times(self, draft: "_Draft") -> None:
        present = {GroupId(group.id) for group in draft.groups}
        for times in (self._loading_since_s, self._idle_since_s):
            for group_id in times.keys() - present:
                del times[group_id]


class _Draft:
    """A placement while it is being changed."""

    def __init__(self, current: Placement, writer: EntryHostId, attempt: AttemptId) -> None:
        self._current = current
        self._next = Placement()
        self._next.CopyFrom(current)
        self._next.generation = current.generation + 1
        self._next.writer = writer
        self._next.attempt_id = attempt
        self._decisions: list[PlacementDecision] = []
        self._formed = 0

    @property
    def groups(self) -> Sequence[Group]:
        return self._next.groups

    @property
    def services(self) -> Sequence[ServiceEndpoint]:
        return self._next.services

    def formed_groups(
        self, intent: GroupIntent | None = None, policy: PolicyName | None = None
    ) -> list[Group]:
        """Return the groups that have members, of one intent and policy if given."""
        return [
            group
            for group in self._next.groups
            if group.members
            and (intent is None or group.intent == intent.value)
            and (policy is None or group.policy == policy)
        ]

    def waiting_groups(self, policy: PolicyName | None = None) -> list[Group]:
        """Return the lost groups that wait for a replacement."""
        return [
            group
            for group in self._next.groups
            if group.intent == GroupIntent.REPLACING.value
            and (policy is None or group.policy == policy)
        ]

    def taken_hosts(self) -> set[HostId]:
        """Return the hosts that are in a group."""
        return {HostId(m.host_id) for group in self._next.groups for m in group.members}

    def form(self, policy_name: PolicyName, policy: PolicyRow, hosts: Sequence[Host]) -> None:
        """Form a group; it takes the place of a lost one of its policy, if there is one."""
        waiting = self.waiting_groups(policy_name)
        if waiting:
            self._next.groups.remove(waiting[0])
        self._formed += 1
        generation = self._next.generation
        group_id = f"{policy_name}-{self._next.data_centre}-{generation}-{self._formed}"
        members = [GroupMember(host_id=host.id, address=host.address) for host in hosts]
        group = Group(
            id=group_id,
            policy=policy_name,
            model=policy.model,
            model_version=policy.model_version,
            generation=generation,
            intent=GroupIntent.ACTIVE.value,
            members=members,
        )
        self._next.groups.append(group)
        reason = "replaces a lost group" if waiting else "free hosts"
        self._decide(PlacementChange.FORM, group, reason)

    def drain(self, group: Group, reason: str, replace: bool) -> None:
        """Stop new work for a group; its replacement may form at once."""
        group.intent = GroupIntent.DRAINING.value
        self._decide(PlacementChange.DRAIN, group, reason)
        if replace:
            self._wait_for_replacement(group)

    def lose(self, group: Group, reason: str) -> None:
        """Give a group up; one that was not yet being replaced waits for a replacement."""
        self._decide(PlacementChange.LOSE, group, reason)
        if group.intent == GroupIntent.ACTIVE.value:
            self._wait_for_replacement(group)
        self._next.groups.remove(group)

    def dissolve(self, group: Group, reason: str) -> None:
        """Remove a drained group."""
        self._decide(PlacementChange.DISSOLVE, group, reason)
        self._next.groups.remove(group)

    def forget(self, group: Group) -> None:
        """Drop a lost group whose policy is gone."""
        self._decide(PlacementChange.FORGET, group, "its policy is gone")
        self._next.groups.remove(group)

    def list_services(self, services: Iterable[ServiceEndpoint]) -> None:
        """Replace the endpoints of plain services."""
        wanted = list(services)
        if wanted == list(self._next.services):
            return
        del self._next.services[:]
        self._next.services.extend(wanted)
        self._decisions.append(
            PlacementDecision(
                PlacementChange.SERVICES,
                GroupId(""),
                self._next.generation,
                f"{len(wanted)} service endpoints listed",
            )
        )

    def finish(self) -> Plan:
        """Check the draft and return it as a plan."""
        if not self._decisions:
            return Plan(None)
        check_placement(self._next)
        return Plan(self._next, tuple(self._decisions))

    def _wait_for_replacement(self, group: Group) -> None:
        self._next.groups.append(
            Group(
                id=f"{group.id}-lost",
                policy=group.policy,
                model=group.model,
                generation=group.generation,
                intent=GroupIntent.REPLACING.value,
            )
        )

    def _decide(self, change: PlacementChange, group: Group, reason: str) -> None:
        hosts = tuple(HostId(member.host_id) for member in group.members)
        self._decisions.append(
            PlacementDecision(change, GroupId(group.id), group.generation, reason, hosts)
        )


def _anyone_seen(fleet: FleetState, now_s: float, freshness_s: float) -> bool:
    """Tell whether any endpoint is in sight; a blind coordinator must not give hosts up."""
    hosts = any(known.is_fresh(now_s, freshness_s) for known in fleet.hosts.values())
    return hosts or any(now_s - g.observed_s <= freshness_s for g in fleet.groups.values())


def _matching(group: Group, fleet: FleetState) -> GroupObservation | None:
    observation = fleet.groups.get(GroupId(group.id))
    if observation is None or observation.generation != group.generation:
        return None
    return observation


def _has_leaving_member(
    group: Group, observation: GroupObservation | None, fleet: FleetState
) -> bool:
    if observation is not None and observation.leaving:
        return True
    listed = fleet.listed or {}
    states = (listed.get(HostId(member.host_id)) for member in group.members)
    return any(host is not None and host.state == HostState.LEAVING.value for host in states)


def _is_superseded(group: Group, policy: PolicyRow) -> bool:
    wanted = (policy.model, policy.model_version, policy.group_size)
    return (group.model, group.model_version, len(group.members)) != wanted


def _list_services(draft: _Draft, fleet: FleetState) -> None:
    hosts = [host for _, host in sorted((fleet.listed or {}).items()) if host.service]
    draft.list_services(
        ServiceEndpoint(
            service=host.service,
            host_id=host.id,
            address=host.address,
            leaving=host.state == HostState.LEAVING.value,
        )
        for host in hosts
    )


def _form_groups(draft: _Draft, fleet: FleetState, free: list[Host]) -> None:
    """Form groups from free hosts, the policy that is furthest behind first."""
    stuck: set[PolicyName] = set()
    while len(stuck) < len(fleet.policies):
        name = _next_policy(draft, fleet.policies, stuck)
        policy = fleet.policies[name]
        chosen = _choose_for(draft, name, policy, free, fleet)
        if not chosen:
            stuck.add(name)
            continue
        draft.form(name, policy, chosen)
        taken = {host.id for host in chosen}
        free = [host for host in free if host.id not in taken]


def _free_hosts(draft: _Draft, fleet: FleetState, now_s: float, freshness_s: float) -> list[Host]:
    """Return listed, live engines that were seen lately and are in no group, in order of id."""
    taken = draft.taken_hosts()
    free = []
    for host_id, host in sorted((fleet.listed or {}).items()):
        known = fleet.hosts.get(host_id)
        if host.service or host_id in taken or host.state != HostState.LIVE.value:
            continue
        if known is None or known.report is None or not known.is_fresh(now_s, freshness_s):
            continue
        if not known.report.leaving:
            free.append(host)
    return free


def _next_policy(
    draft: _Draft, policies: Mapping[PolicyName, PolicyRow], stuck: set[PolicyName]
) -> PolicyName:
    """Return the policy below its least number of groups, or lowest for its weight."""

    def urgency(name: PolicyName) -> tuple[bool, float, str]:
        count = len(draft.formed_groups(GroupIntent.ACTIVE, name))
        return count >= policies[name].min_groups, count / policies[name].weight, name

    return min((name for name in policies if name not in stuck), key=urgency)


def _choose_for(
    draft: _Draft,
    name: PolicyName,
    policy: PolicyRow,
    free: Sequence[Host],
    fleet: FleetState,
) -> list[Host]:
    active = len(draft.formed_groups(GroupIntent.ACTIVE, name))
    if active >= policy.max_groups:
        return []
    cached = _hosts_with_weights(policy, fleet.hosts)
    preferred = sorted(free, key=lambda host: (HostId(host.id) not in cached, host.id))
    needed = bool(draft.waiting_groups(name)) or active < policy.min_groups
    kind = policy.WhichOneof("placement")
    placement: Message = getattr(policy, kind) if kind else StrandedPlacement()
    return choose_members(placement, preferred, policy.group_size, needed)


def _hosts_with_weights(policy: PolicyRow, hosts: Mapping[HostId, HostObservation]) -> set[HostId]:
    wanted = f"{policy.model}@{policy.model_version}"
    return {
        host
        for host, known in hosts.items()
        if known.report is not None and known.report.cached_model == wanted
    }


@singledispatch
def choose_members(placement: Message, free: Sequence[Host], size: int, needed: bool) -> list[Host]:
    """Choose the hosts of the next group, or none.

    ``free`` is in order of preference; ``needed`` says that the group replaces a lost one or
    that the policy is below its least number of groups.
    """
    raise TypeError(f"no placement for {type(placement).__name__}")


@choose_members.register
def _(placement: DowntimePlacement, free: Sequence[Host], size: int, needed: bool) -> list[Host]:
    """Form within one fabric domain; leave spares there unless the group is needed."""
    spare = 0 if needed else placement.spare_hosts
    domains = [hosts for hosts in _by_domain(free) if len(hosts) >= size + spare]
    return max(domains, key=len)[:size] if domains else []


@choose_members.register
def _(placement: StrandedPlacement, free: Sequence[Host], size: int, needed: bool) -> list[Host]:
    """Fill the domains with the least left over first, then join leftovers if allowed."""
    domains = _by_domain(free)
    whole = [hosts for hosts in domains if len(hosts) >= size]
    if whole:
        return min(whole, key=len)[:size]
    if not placement.cross_domain or len(free) < size:
        return []
    joined = [host for hosts in sorted(domains, key=len, reverse=True) for host in hosts]
    return joined[:size]


def _by_domain(free: Sequence[Host]) -> list[list[Host]]:
    domains: defaultdict[str, list[Host]] = defaultdict(list)
    for host in free:
        domains[host.fabric_domain].append(host)
    return [domains[name] for name in sorted(domains)]
