"""Drafts of a data centre's next placement: the possible changes, and the invariants."""

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import Enum

from yewloom.ids import AttemptId, EntryHostId, GroupId, HostId, PolicyName
from yewloom.schema.records_pb2 import Group, GroupMember, Host, Placement, ServiceEndpoint
from yewloom.schema.table_pb2 import PolicyRow
from yewloom.states import GroupIntent
from yewloom.values import value_class


class PlacementChange(Enum):
    """Kind of change to a placement."""

    FORM = "form"
    DRAIN = "drain"
    DISSOLVE = "dissolve"
    LOSE = "lose"
    FORGET = "forget"
    SERVICES = "services"


@value_class
class PlacementDecision:
    """A change to a placement with its reason, for the log."""

    change: PlacementChange
    group_id: GroupId
    generation: int
    reason: str
    hosts: tuple[HostId, ...] = ()


@value_class
class PlacementPlan:
    """A proposed placement and its decisions; ``placement`` is None if nothing changes."""

    placement: Placement | None
    decisions: tuple[PlacementDecision, ...] = ()


class PlacementError(Exception):
    """A placement record violates an invariant."""


def check_placement(placement: Placement) -> None:
    """Raise PlacementError if an invariant is violated.

    A host is in at most one group, group ids are unique, and no group's generation exceeds that of
    the record.
    """
    hosts = Counter(member.host_id for group in placement.groups for member in group.members)
    duplicates = [host for host, count in hosts.items() if count > 1]
    if duplicates:
        raise PlacementError(f"hosts in more than one group: {', '.join(sorted(duplicates))}")
    ids = Counter(group.id for group in placement.groups)
    if any(count > 1 for count in ids.values()):
        raise PlacementError("duplicate group id")
    if any(group.generation > placement.generation for group in placement.groups):
        raise PlacementError("a group's generation exceeds the record's generation")


class Draft:
    """A copy of the current placement to which changes are applied, with the reasons for them."""

    def __init__(self, current: Placement, writer: EntryHostId, attempt: AttemptId) -> None:
        self._current = current
        self._next = Placement()
        self._next.CopyFrom(current)
        self._next.generation = current.generation + 1
        self._next.writer = writer
        self._next.attempt_id = attempt
        self._decisions: list[PlacementDecision] = []
        self._formed_count = 0

    @property
    def groups(self) -> Sequence[Group]:
        """All groups, including placeholders of lost groups that await a replacement."""
        return self._next.groups

    def formed_groups(
        self, intent: GroupIntent | None = None, policy: PolicyName | None = None
    ) -> list[Group]:
        """Return the groups that have members, filtered by intent and policy if given."""
        return [
            group
            for group in self._next.groups
            if group.members
            and (intent is None or group.intent == intent.value)
            and (policy is None or group.policy == policy)
        ]

    def placeholders(self, policy: PolicyName | None = None) -> list[Group]:
        """Return the placeholders of lost groups that await a replacement."""
        return [
            group
            for group in self._next.groups
            if group.intent == GroupIntent.REPLACING.value
            and (policy is None or group.policy == policy)
        ]

    def assigned_hosts(self) -> set[HostId]:
        """Return the hosts that are members of a group."""
        return {HostId(m.host_id) for group in self._next.groups for m in group.members}

    def form(self, policy_name: PolicyName, policy: PolicyRow, hosts: Sequence[Host]) -> None:
        """Form a group; it replaces a lost group of the same policy, if there is one."""
        placeholders = self.placeholders(policy_name)
        if placeholders:
            self._next.groups.remove(placeholders[0])
        self._formed_count += 1
        generation = self._next.generation
        group_id = f"{policy_name}-{self._next.data_centre}-{generation}-{self._formed_count}"
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
        reason = "replaces a lost group" if placeholders else "free hosts"
        self._record_decision(PlacementChange.FORM, group, reason)

    def drain(self, group: Group, reason: str, replace: bool) -> None:
        """Stop routing new work to a group; its replacement may be formed immediately."""
        group.intent = GroupIntent.DRAINING.value
        self._record_decision(PlacementChange.DRAIN, group, reason)
        if replace:
            self._add_placeholder(group)

    def remove_lost(self, group: Group, reason: str) -> None:
        """Remove a lost group; one that was active awaits a replacement."""
        self._record_decision(PlacementChange.LOSE, group, reason)
        if group.intent == GroupIntent.ACTIVE.value:
            self._add_placeholder(group)
        self._next.groups.remove(group)

    def remove_drained(self, group: Group, reason: str) -> None:
        """Remove a drained group."""
        self._record_decision(PlacementChange.DISSOLVE, group, reason)
        self._next.groups.remove(group)

    def remove_placeholder(self, group: Group) -> None:
        """Remove the placeholder of a lost group whose policy was deleted."""
        self._record_decision(PlacementChange.FORGET, group, "its policy was deleted")
        self._next.groups.remove(group)

    def set_services(self, services: Iterable[ServiceEndpoint]) -> None:
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

    def finish(self) -> PlacementPlan:
        """Validate the draft and return it as a plan."""
        if not self._decisions:
            return PlacementPlan(None)
        check_placement(self._next)
        return PlacementPlan(self._next, tuple(self._decisions))

    def _add_placeholder(self, group: Group) -> None:
        self._next.groups.append(
            Group(
                id=f"{group.id}-lost",
                policy=group.policy,
                model=group.model,
                generation=group.generation,
                intent=GroupIntent.REPLACING.value,
            )
        )

    def _record_decision(self, change: PlacementChange, group: Group, reason: str) -> None:
        hosts = tuple(HostId(member.host_id) for member in group.members)
        self._decisions.append(
            PlacementDecision(change, GroupId(group.id), group.generation, reason, hosts)
        )
