"""Hosts of engines that belong to no group."""

from collections import defaultdict
from collections.abc import Iterable

from yewloom.directory import Endpoint, EndpointDirectory, MemberState
from yewloom.ids import DataCentreId, ServiceName
from yewloom.plan_state import PlannedOrder, PlanState
from yewloom.replica_orders import LeaveGroup
from yewloom.schema.records_pb2 import Group


class FreeHosts:
    """Finds the free hosts of one data centre; ``orders`` gathers what is to be ordered."""

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
        """Return the hosts that belong to no group, by fabric domain."""
        taken = {member.host_id for group in groups for member in group.members}
        free: defaultdict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in sorted(self._directory.of_service(self._service), key=lambda e: e.id):
            if endpoint.data_centre != self._data_centre or endpoint.is_leaving:
                continue
            if endpoint.id in taken or endpoint.id in self._state.suspects:
                continue
            if not self._is_held(endpoint, now_s):
                free[endpoint.fabric_domain].append(endpoint)
        return free

    def _is_held(self, endpoint: Endpoint, now_s: float) -> bool:
        """Tell whether the leader of a group that is in no record still holds a host.

        Such a group comes back with a leader that was cut off; it is told to end.
        """
        member = endpoint.membership
        if member is None or member.key in self._state.left:
            return False
        head = self._directory.members(member.key).get(0)
        if head is None or head.membership is None:
            return False
        if head.membership.state not in (MemberState.OPEN, MemberState.CLOSING):
            return False
        planned = PlannedOrder(head.id, head.address, LeaveGroup(member.key))
        if self._state.may_order(planned, now_s):
            self.orders.append(planned)
        return True
