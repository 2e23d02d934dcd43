"""Placement: which hosts form which groups in one data centre.

The whole placement of a data centre is one platform record, changed by conditional update, so a
host can't be in two groups whoever writes. Every write raises the record's generation, and a
group's generation is that of the write that formed it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from yewloom.drafts import Draft, Plan
from yewloom.formation import form_groups
from yewloom.groups import GroupObservation, HostObservation
from yewloom.ids import AttemptId, EntryHostId, GroupId, HostId, PolicyName
from yewloom.schema.records_pb2 import Group, Host, Placement, ServiceEndpoint
from yewloom.schema.table_pb2 import PolicyRow
from yewloom.states import GroupIntent, HostState
from yewloom.values import value_class


@value_class
class PlacementTiming:
    """Durations of the group life cycle in seconds."""

    freshness_s: float
    load_timeout_s: float
    settle_s: float


@value_class
class FleetState:
    """What a placement is planned from: the platform's host list, observations and policies.

    ``listed`` is None as long as the list has not been read; ``groups`` and ``hosts`` hold what
    was observed; times in them are seconds of the planner's clock.
    """

    listed: Mapping[HostId, Host] | None
    hosts: Mapping[HostId, HostObservation]
    groups: Mapping[GroupId, GroupObservation]
    policies: Mapping[PolicyName, PolicyRow]


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
        draft = Draft(current, self.writer, attempt)
        self._retire_groups(draft, fleet, now_s)
        if fleet.listed is not None:
            self._drain_superseded(draft, fleet)
            free = self._free_hosts(draft, fleet, now_s)
            form_groups(draft, fleet.policies, fleet.hosts, free)
            _list_services(draft, fleet)
        self._forget_times(draft)
        return draft.finish()

    def _retire_groups(self, draft: Draft, fleet: FleetState, now_s: float) -> None:
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

    def _drain_superseded(self, draft: Draft, fleet: FleetState) -> None:
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

    def _free_hosts(self, draft: Draft, fleet: FleetState, now_s: float) -> list[Host]:
        """Return the hosts that a group can be formed from, in order of id."""
        free = _free_hosts(draft, fleet, now_s, self.timing.freshness_s)
        known = self._free_since_s
        self._free_since_s = {HostId(h.id): known.get(HostId(h.id), now_s) for h in free}
        return [host for host in free if self._may_be_used(host, now_s)]

    def _may_be_used(self, host: Host, now_s: float) -> bool:
        waited_s = now_s - self._free_since_s[HostId(host.id)]
        return host.checks_fences or waited_s > self.timing.freshness_s

    def _forget_times(self, draft: Draft) -> None:
        present = {GroupId(group.id) for group in draft.groups}
        for times in (self._loading_since_s, self._idle_since_s):
            for group_id in times.keys() - present:
                del times[group_id]


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


def _list_services(draft: Draft, fleet: FleetState) -> None:
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


def _free_hosts(draft: Draft, fleet: FleetState, now_s: float, freshness_s: float) -> list[Host]:
    """Return listed, live engines that were seen lately and are in no group, in order of id."""
    taken = draft.taken_hosts()
    free = []
    for host_id, host in sorted((fleet.listed or {}).items()):
        known = fleet.hosts.get(host_id)
        if (
            host.service
            or host.is_entry_host
            or host_id in taken
            or host.state != HostState.LIVE.value
        ):
            continue
        if known is None or known.report is None or not known.is_fresh(now_s, freshness_s):
            continue
        if not known.report.leaving:
            free.append(host)
    return free
