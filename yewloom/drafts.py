"""Drafts of a data centre's next placement: single changes, and the rules that always hold."""

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import Enum

from yewloom.ids import AttemptId, EntryHostId, GroupId, HostId, PolicyName
from yewloom.schema.records_pb2 import Group, GroupMember, Host, Placement, ServiceEndpoint
from yewloom.schema.table_pb2 import PolicyRow
from yewloom.states import GroupIntent
from yewloom.values import value_class


class PlacementChange(Enum):
    """Kind of a placement decision."""

    FORM = "form"
    DRAIN = "drain"
    DISSOLVE = "dissolve"
    LOSE = "lose"
    FORGET = "forget"
    SERVICES = "services"


@value_class
class PlacementDecision:
    """One decision with its reason, for the log."""

    change: PlacementChange
    group_id: GroupId
    generation: int
    reason: str
    hosts: tuple[HostId, ...] = ()


@value_class
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


class Draft:
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
        """All groups, with those that wait for a replacement."""
        return self._next.groups

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
