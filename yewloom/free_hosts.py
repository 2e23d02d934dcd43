"""Engine hosts that belong to no group."""

from collections import defaultdict
from collections.abc import Iterable

from yewloom.directory import Endpoint, EndpointDirectory, GroupKey, MemberState
from yewloom.ids import DataCentreId, ServiceName
from yewloom.plan_state import PlannedOrder, PlanState
from yewloom.replica_orders import LeaveGroup
from yewloom.schema.records_pb2 import Group

_SERVING = (MemberState.OPEN, MemberState.CLOSING)


class FreeHosts:
    """Finds the free hosts of one data centre; ``orders`` collects the orders to send."""

    def __init__(
        self,
        data_centre: DataCentreId,
        service: ServiceName,
        directory: EndpointDirectory,
        state: PlanState,
    ) -> None:
        self._data_centre = data_centre
        self._service = service
        self._directory = directory
        self._state = state
        self.orders: list[PlannedOrder] = []

    def by_domain(self, groups: Iterable[Group], now_s: float) -> dict[str, list[Endpoint]]:
        """Return the responsive hosts that belong to no group, by fabric domain."""
        assigned = {member.host_id for group in groups for member in group.members}
        free: defaultdict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in sorted(self._directory.endpoints_of(self._service), key=lambda e: e.id):
            if endpoint.data_centre != self._data_centre or endpoint.is_leaving:
                continue
            if endpoint.id in assigned or endpoint.id in self._state.suspects:
                continue
            if not self._is_still_in_group(endpoint, now_s):
                free[endpoint.fabric_domain].append(endpoint)
        return free

    def _is_still_in_group(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether a host still belongs to a group that is missing from the record.

        Such a group appears when partitioned hosts reconnect. They are ordered to leave it, the
        leader first. A leader that does not answer may still serve, so each of its hosts must
        confirm its own departure.
        """
        member = endpoint.membership
        if member is None or member.key in self._state.ended_groups:
            return False
        if self._state.has_left(endpoint.id, member.key):
            return False
        leader = self._directory.members_of(member.key).get(0)
        if leader is None or self._state.is_unresponsive(leader.id):
            self._order_to_leave(endpoint, member.key, now_s)
            return True
        if self._state.has_left(leader.id, member.key):
            return False
        if leader.membership is None or leader.membership.state not in _SERVING:
            return False
        self._order_to_leave(leader, member.key, now_s)
        return True

    def _order_to_leave(self, endpoint: Endpoint, key: GroupKey, now_s: float) -> None:
        planned = PlannedOrder(endpoint.id, endpoint.address, LeaveGroup(key))
        if self._state.mark_sent_if_due(planned, now_s):
            self.orders.append(planned)
