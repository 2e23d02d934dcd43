"""Placement: which hosts form which groups in one data centre.

The placement of a data centre is a single platform record that is changed by conditional update, so
a host cannot be in two groups, whichever host writes. Every write increments the record's
generation, and a group's generation is that of the write that formed it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from yewloom.drafts import Draft, PlacementPlan
from yewloom.formation import form_groups
from yewloom.groups import GroupObservation, HostObservation
from yewloom.ids import AttemptId, EntryHostId, GroupId, HostId, PolicyName
from yewloom.schema.records_pb2 import Group, Host, Placement, ServiceEndpoint
from yewloom.schema.table_pb2 import PolicyRow
from yewloom.states import GroupIntent, HostState
from yewloom.values import value_class


@value_class
class PlacementTiming:
    """Durations of the group life cycle.

    An observation is fresh for ``freshness_s``. A group that is not ready after ``load_timeout_s``
    counts as lost, and a draining group is removed after it was idle for ``settle_s``.
    """

    freshness_s: float
    load_timeout_s: float
    settle_s: float


@value_class
class FleetState:
    """Input of the planner: the platform's host list, observations and policies.

    ``listed`` is None until the host list has been read. ``groups`` and ``hosts`` hold
    observations, whose times are seconds of the planner's clock.
    """

    listed: Mapping[HostId, Host] | None
    hosts: Mapping[HostId, HostObservation]
    groups: Mapping[GroupId, GroupObservation]
    policies: Mapping[PolicyName, PolicyRow]


@dataclass
class PlacementPlanner:
    """Plans the next placement.

    Its only state is the times when groups were first seen loading or idle, and hosts free. A host
    that does not check fences cannot refuse work for its previous group, so it is not used again
    until every entry host's view of that group has expired.
    """

    writer: EntryHostId
    timing: PlacementTiming
    _loading_since_s: dict[GroupId, float] = field(default_factory=dict)
    _idle_since_s: dict[GroupId, float] = field(default_factory=dict)
    _free_since_s: dict[HostId, float] = field(default_factory=dict)

    def plan(
        self, current: Placement, fleet: FleetState, now_s: float, attempt: AttemptId
    ) -> PlacementPlan:
        """Return the placement that should follow the current one."""
        if not _has_fresh_observation(fleet, now_s, self.timing.freshness_s):
            return PlacementPlan(None)
        draft = Draft(current, self.writer, attempt)
        self._retire_groups(draft, fleet, now_s)
        if fleet.listed is not None:
            self._drain_superseded(draft, fleet)
            free = self._free_hosts(draft, fleet, now_s)
            form_groups(draft, fleet.policies, fleet.hosts, free)
            _set_services(draft, fleet)
        self._drop_stale_times(draft)
        return draft.finish()

    def _retire_groups(self, draft: Draft, fleet: FleetState, now_s: float) -> None:
        """Remove lost and drained groups, and drain groups that have a leaving member."""
        for group in draft.formed_groups():
            observation = _current_observation(group, fleet)
            lost_reason = self._loss_reason(group, observation, now_s)
            if lost_reason:
                draft.remove_lost(group, lost_reason)
            elif group.intent == GroupIntent.DRAINING.value:
                if self._is_drained(group, observation, now_s):
                    draft.remove_drained(group, "drained")
            elif _has_leaving_member(group, observation, fleet):
                draft.drain(group, "a member is leaving", replace=True)

    def _loss_reason(self, group: Group, observation: GroupObservation | None, now_s: float) -> str:
        group_id = GroupId(group.id)
        if observation is not None and observation.missing:
            return f"member {observation.missing[0]} is missing"
        if observation is not None and observation.failed:
            return "a member reported a failure"
        if observation is not None and observation.was_ready and observation.mismatched:
            return f"member {observation.mismatched[0]} was restarted"
        if observation is not None and observation.ready:
            self._loading_since_s.pop(group_id, None)
            return ""
        since_s = self._loading_since_s.setdefault(group_id, now_s)
        return "loading timed out" if now_s - since_s > self.timing.load_timeout_s else ""

    def _is_drained(self, group: Group, observation: GroupObservation | None, now_s: float) -> bool:
        group_id = GroupId(group.id)
        busy = observation is None or observation.running + observation.waiting > 0
        stale = observation is None or now_s - observation.observed_s > self.timing.freshness_s
        if busy or stale:
            self._idle_since_s.pop(group_id, None)
            return False
        return now_s - self._idle_since_s.setdefault(group_id, now_s) >= self.timing.settle_s

    def _drain_superseded(self, draft: Draft, fleet: FleetState) -> None:
        """Drain groups that no longer match their policy.

        For a changed model, version or group size, one group per policy is drained at a time.
        """
        draining = {g.policy for g in draft.groups if g.intent == GroupIntent.DRAINING.value}
        for group in draft.formed_groups(GroupIntent.ACTIVE):
            policy = fleet.policies.get(PolicyName(group.policy))
            if policy is None:
                draft.drain(group, "its policy was deleted", replace=False)
            elif _is_superseded(group, policy) and group.policy not in draining:
                draining.add(group.policy)
                draft.drain(
                    group, "its policy specifies another model, version or size", replace=True
                )
        for name, policy in fleet.policies.items():
            active = draft.formed_groups(GroupIntent.ACTIVE, name)
            for group in active[policy.max_groups :]:
                draft.drain(group, "its policy allows fewer groups", replace=False)
        for group in draft.placeholders():
            if PolicyName(group.policy) not in fleet.policies:
                draft.remove_placeholder(group)

    def _free_hosts(self, draft: Draft, fleet: FleetState, now_s: float) -> list[Host]:
        """Return the hosts from which groups can be formed, in order of id."""
        free = _free_hosts(draft, fleet, now_s, self.timing.freshness_s)
        known = self._free_since_s
        self._free_since_s = {HostId(h.id): known.get(HostId(h.id), now_s) for h in free}
        return [host for host in free if self._is_usable(host, now_s)]

    def _is_usable(self, host: Host, now_s: float) -> bool:
        waited_s = now_s - self._free_since_s[HostId(host.id)]
        return host.checks_fences or waited_s > self.timing.freshness_s

    def _drop_stale_times(self, draft: Draft) -> None:
        present = {GroupId(group.id) for group in draft.groups}
        for times in (self._loading_since_s, self._idle_since_s):
            for group_id in times.keys() - present:
                del times[group_id]


def _has_fresh_observation(fleet: FleetState, now_s: float, freshness_s: float) -> bool:
    """Return whether any endpoint was seen recently.

    A coordinator that sees none may be partitioned itself and must not abandon any group.
    """
    hosts = any(known.is_fresh(now_s, freshness_s) for known in fleet.hosts.values())
    return hosts or any(now_s - g.observed_s <= freshness_s for g in fleet.groups.values())


def _current_observation(group: Group, fleet: FleetState) -> GroupObservation | None:
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


def _set_services(draft: Draft, fleet: FleetState) -> None:
    hosts = [host for _, host in sorted((fleet.listed or {}).items()) if host.service]
    draft.set_services(
        ServiceEndpoint(
            service=host.service,
            host_id=host.id,
            address=host.address,
            leaving=host.state == HostState.LEAVING.value,
        )
        for host in hosts
    )


def _free_hosts(draft: Draft, fleet: FleetState, now_s: float, freshness_s: float) -> list[Host]:
    """Return listed, live engines that were seen recently and are in no group, in order of id."""
    assigned = draft.assigned_hosts()
    free = []
    for host_id, host in sorted((fleet.listed or {}).items()):
        known = fleet.hosts.get(host_id)
        if (
            host.service
            or host.is_entry_host
            or host_id in assigned
            or host.state != HostState.LIVE.value
        ):
            continue
        if known is None or known.report is None or not known.is_fresh(now_s, freshness_s):
            continue
        if not known.report.leaving:
            free.append(host)
    return free
