"""Life cycle of recorded groups: opening them, and abandoning those that lost a member.

A group must have ended before its hosts are used again: either its leader confirms that it no
longer serves, or each of the other hosts confirms that it has left.

An unanswered query proves neither. A leader that is unlisted and does not answer this host may be
partitioned from the store and from this host only, and still serve callers. A leader that lacks a
member makes no progress, so the departures of the other members end its group even if the leader is
unreachable. A host whose leader died serves in another group about 2 s later; this took 5.8 s when
the leader's store entry had to expire first (``tools/measure_replacement.py``, on the mock clock).
"""

from collections.abc import Container, Sequence

from yewloom.configuration import EngineProfile
from yewloom.directory import Endpoint, EndpointDirectory, GroupKey, GroupMembership, MemberState
from yewloom.ids import HostId, ModelName
from yewloom.plan_state import EndedGroup, EndEvidence, PlannedOrder, PlanState, group_key
from yewloom.process_starts import may_be_same_process
from yewloom.replica_orders import CloseGroup, EngineOrder, JoinGroup, LeaveGroup, OpenGroup
from yewloom.schema.records_pb2 import Group, GroupMember
from yewloom.states import GroupIntent

FORM_MARGIN_S = 3.0
"""Time beyond the warm-up, or beyond the load if a member lacks the weights, after which a group
that is not ready is replaced."""

CLOSE_TIMEOUT_S = 10.0
"""Longest time for a closing group to finish; engines do not hold a leaving member longer."""

UNLISTED_GRACE_S = 1.6
"""Time without an answer after which a member that the store no longer lists counts as lost; it
spans two queries."""

STALL_REPORT_VALID_S = 3.0
"""Time for which a report that a group is stalled takes precedence over an answer from the address
of a member that the store no longer lists, as another endpoint may use that address now."""

LEAVING_SERVICE_S = 4.0
"""Time for which a group continues to serve with a leaving member other than its leader. Leaving
members serve for at least 2 s, and for up to 10 s while their group has work."""


class GroupLifecycle:
    """Plans the next step of each recorded group.

    ``orders`` collects the orders to send, and ``ended`` the groups that are considered ended.
    """

    def __init__(
        self, profile: EngineProfile, directory: EndpointDirectory, state: PlanState
    ) -> None:
        self._profile = profile
        self._directory = directory
        self._state = state
        self.orders: list[PlannedOrder] = []
        self.ended: list[EndedGroup] = []

    def join_orders(self, group: Group) -> list[PlannedOrder]:
        """Return the orders that form a recorded group."""
        members = [HostId(member.host_id) for member in group.members]
        order = JoinGroup(group_key(group), ModelName(group.model), members)
        return [
            PlannedOrder(endpoint.id, endpoint.address, order, member.started_unix_ms)
            for member in group.members
            if (endpoint := self._directory.by_id.get(HostId(member.host_id))) is not None
        ]

    def has_ended(self, group: Group, now_s: float) -> bool:
        """Return whether a draining or abandoned group has ended, so that its hosts are free.

        Members that have already left are removed from the group.
        """
        if group.intent == GroupIntent.ACTIVE.value:
            return False
        if group.intent == GroupIntent.DRAINING.value and not self._is_drained(group, now_s):
            return False
        evidence = self._evidence_of_end(group)
        if evidence is None:
            self._order_to_leave(group.members[0], group_key(group), now_s)
            evidence = self._release_members(group, now_s)
        if evidence is None:
            return False
        self._state.ended_groups.add(group_key(group))
        self.ended.append(EndedGroup(group_key(group), evidence))
        return True

    def _evidence_of_end(self, group: Group) -> EndEvidence | None:
        """Return evidence from the leader that a group has ended, or None."""
        key = group_key(group)
        leader = HostId(group.members[0].host_id)
        if self._state.has_left(leader, key):
            return EndEvidence.LEADER_LEFT
        listed = self._directory.by_id.get(leader)
        if listed is None:
            return None
        if self._is_listed_elsewhere(listed, key):
            return EndEvidence.LEADER_LISTED_OUTSIDE
        if listed.membership == GroupMembership(key, 0, MemberState.BROKEN):
            return EndEvidence.LEADER_BROKEN  # A final state, even if the listing is outdated.
        return None

    def _release_members(self, group: Group, now_s: float) -> EndEvidence | None:
        """Order the other members to leave a group whose leader does not answer.

        Members that confirmed it, or are not listed, are removed from the group; an unlisted one
        that reappears in the group has to leave it before it is used. The group has ended for this
        data centre once only its unlisted leader would remain.
        """
        leader, *others = group.members
        if not self._state.is_unresponsive(HostId(leader.host_id)):
            return None
        key = group_key(group)
        remaining = [m for m in others if self._is_still_in(HostId(m.host_id), key)]
        for member in remaining:
            self._order_to_leave(member, key, now_s)
        if not remaining and HostId(leader.host_id) not in self._directory.by_id:
            return EndEvidence.ALL_MEMBERS_LEFT
        del group.members[1:]
        group.members.extend(remaining)
        return None

    def _is_still_in(self, host: HostId, key: GroupKey) -> bool:
        """Return whether a host is listed and has not confirmed that it left a group."""
        return host in self._directory.by_id and not self._state.has_left(host, key)

    def _order_to_leave(self, member: GroupMember, key: GroupKey, now_s: float) -> None:
        self._order_once(HostId(member.host_id), member.address, LeaveGroup(key), now_s)

    def _is_drained(self, group: Group, now_s: float) -> bool:
        """Return whether a draining group has finished its requests or exceeded its time limit."""
        key = group_key(group)
        leader = HostId(group.members[0].host_id)
        listed = self._directory.by_id.get(leader)
        if listed is None or self._is_listed_elsewhere(listed, key):
            return True
        state = listed.membership.state if listed.membership is not None else None
        if state in (MemberState.READY, MemberState.BROKEN):
            return True
        transition_began_s = self._state.transition_since_s.setdefault(key, now_s)
        if now_s - transition_began_s > CLOSE_TIMEOUT_S:
            return True
        if state is MemberState.OPEN:
            self._order_once(leader, listed.address, CloseGroup(key), now_s)
        return False

    def _is_listed_elsewhere(self, leader: Endpoint, key: GroupKey) -> bool:
        """Return whether the listing shows that a leader is no longer in a group.

        This requires that the listing showed the leader in the group before, since a listing that
        is older than the group shows it outside as well. Otherwise the leader's own answer to an
        order decides.
        """
        is_elsewhere = leader.membership is None or leader.membership.key != key
        return is_elsewhere and key in self._state.leader_seen_joined

    def record_joined(self, group: Group) -> None:
        """Record a group whose leader is listed as its member."""
        key = group_key(group)
        leader = self._directory.by_id.get(HostId(group.members[0].host_id))
        if leader is not None and leader.membership is not None and leader.membership.key == key:
            self._state.leader_seen_joined.add(key)

    def reconcile(self, group: Group, now_s: float) -> None:
        """Open an active group that is ready, and abandon one that lost a member."""
        if group.intent != GroupIntent.ACTIVE.value:
            return
        key = group_key(group)
        members = [self._directory.by_id.get(HostId(m.host_id)) for m in group.members]
        transition_began_s = self._state.transition_since_s.setdefault(key, now_s)
        present = [member for member in members if member is not None]
        if _has_restarted(group, members) or any(self._has_failed(m, key) for m in present):
            self.retire(group, key, GroupIntent.REPLACING)
            return
        if len(present) < len(members):
            if not self._can_serve_with_unlisted(group, members[0], now_s):
                self.retire(group, key, GroupIntent.REPLACING)
            return
        in_group = [m for m in present if m.membership is not None and m.membership.key == key]
        if len(in_group) < len(members):
            self._order_to_join(group, {member.id for member in in_group}, now_s)
        states = {m.membership.state for m in in_group if m.membership is not None}
        is_complete = len(in_group) == len(members)
        if is_complete and MemberState.OPEN in states:
            # Reset the timer. Otherwise the time to form would already have been exceeded when an
            # outdated listing briefly shows the group as forming.
            self._state.transition_since_s.pop(key, None)
            if self._must_drain(present, key, now_s):
                self.retire(group, key, GroupIntent.DRAINING)
        elif is_complete and states == {MemberState.READY}:
            self._order_once(present[0].id, present[0].address, OpenGroup(key), now_s)
        else:
            self._check_formation_time(group, key, now_s - transition_began_s)

    def _can_serve_with_unlisted(self, group: Group, leader: Endpoint | None, now_s: float) -> bool:
        """Return whether a group can continue to serve although some members are not listed.

        A member that is partitioned from the store only still works and answers queries. The leader
        must be listed, since requests are routed to it.
        """
        key = group_key(group)
        if leader is None or leader.is_leaving or leader.membership is None:
            return False
        if leader.membership.key != key or leader.membership.state is not MemberState.OPEN:
            return False
        if now_s - self._state.stalled_s.get(key, float("-inf")) < STALL_REPORT_VALID_S:
            return False
        hosts = [HostId(member.host_id) for member in group.members[1:]]
        unlisted = [host for host in hosts if host not in self._directory.by_id]
        return all(self._answered_recently(host, now_s) for host in unlisted)

    def _answered_recently(self, host: HostId, now_s: float) -> bool:
        since_s = self._state.unlisted_since_s.setdefault(host, now_s)
        last_s = max(since_s, self._state.last_answer_s.get(host, float("-inf")))
        return now_s - last_s <= UNLISTED_GRACE_S

    def _order_to_join(self, group: Group, joined: Container[HostId], now_s: float) -> None:
        """Order the members that have not joined to join."""
        for planned in self.join_orders(group):
            if planned.engine not in joined:
                self._schedule(planned, now_s)

    def _must_drain(self, members: list[Endpoint], key: GroupKey, now_s: float) -> bool:
        """Return whether a serving group must drain because a member is leaving.

        A leaving leader accepts no new requests from the start. Any other member stays while the
        group has work, so the group continues to serve for a while, in which hosts for its
        replacement may become available.
        """
        if members[0].is_leaving:
            return True
        if not any(member.is_leaving for member in members):
            self._state.leaving_since_s.pop(key, None)
            return False
        since_s = self._state.leaving_since_s.setdefault(key, now_s)
        return now_s - since_s >= LEAVING_SERVICE_S

    def _has_failed(self, member: Endpoint, key: GroupKey) -> bool:
        if member.id in self._state.suspects:
            return True
        if member.membership is None or member.membership.key != key:
            return False
        return member.membership.state is MemberState.BROKEN

    def _check_formation_time(self, group: Group, key: GroupKey, age_s: float) -> None:
        """Abandon a group that takes too long to form."""
        model = self._profile.models.get(ModelName(group.model))
        limit_s = (model.load_s if model is not None else 0.0) + FORM_MARGIN_S
        members = [HostId(member.host_id) for member in group.members]
        if all(self._has_weights(member, group.model) for member in members):
            limit_s = (model.join_s if model is not None else 0.0) + FORM_MARGIN_S
        if age_s > limit_s:
            self.retire(group, key, GroupIntent.REPLACING)

    def _has_weights(self, member: HostId, model: str) -> bool:
        listed = self._directory.by_id.get(member)
        return listed is not None and ModelName(model) in listed.staged

    def retire(self, group: Group, key: GroupKey, intent: GroupIntent) -> None:
        """Set the intent of a group that is to be abandoned or drained."""
        group.intent = intent.value
        self._state.transition_since_s.pop(key, None)

    def _order_once(self, engine: HostId, address: str, order: EngineOrder, now_s: float) -> None:
        """Schedule an order to any process of an engine, unless it was sent recently."""
        self._schedule(PlannedOrder(engine, address, order), now_s)

    def _schedule(self, planned: PlannedOrder, now_s: float) -> None:
        if self._state.mark_sent_if_due(planned, now_s):
            self.orders.append(planned)


def _has_restarted(group: Group, listed: Sequence[Endpoint | None]) -> bool:
    """Return whether a member's process was replaced by another one with the same id.

    The new process has no state of the group, and the leader does not notice: it accepts requests
    but makes no progress. Letting the new process join the same group does not repair it.
    """
    pairs = zip(group.members, listed, strict=True)
    return any(known is not None and _is_replaced(member, known) for member, known in pairs)


def _is_replaced(member: GroupMember, listed: Endpoint) -> bool:
    """Return whether a process other than the one recorded as a member is listed."""
    return not may_be_same_process(member.started_unix_ms, listed.started_unix_ms)
