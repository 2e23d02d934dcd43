"""Orders to model engines: which ones are due, within the weight store's load limit.

An order carries the group's generation as its fence. An engine that checks fences refuses an order
whose fence is below the highest it accepted. An order to an engine that does not check fences may
be sent only until the lease duration less its margin has elapsed; the caller checks this
immediately before sending.
"""

from collections.abc import Iterable, Mapping

from yewloom.groups import GroupObservation, HostObservation
from yewloom.ids import GroupId, HostId
from yewloom.schema.records_pb2 import Group, Host, Order, Placement
from yewloom.states import GroupIntent
from yewloom.values import value_class


@value_class
class DueOrder:
    """An order and the host to send it to."""

    host_id: HostId
    address: str
    order: Order
    checks_fences: bool


def due_orders(
    placement: Placement,
    observations: Mapping[GroupId, GroupObservation],
    hosts: Mapping[HostId, HostObservation],
    listed: Mapping[HostId, Host],
    max_loading: int,
) -> list[DueOrder]:
    """Return the orders for members that do not report their group yet.

    At most ``max_loading`` groups read from the weight store at once. Groups that have begun to
    load come first, then those with more members that have the weights cached, as they are ready to
    serve soonest.
    """
    active = [g for g in placement.groups if g.intent == GroupIntent.ACTIVE.value and g.members]
    loading = [g for g in active if _is_loading(g, observations.get(GroupId(g.id)))]
    loading.sort(
        key=lambda group: (-_accepted_count(group, hosts), -_cached_count(group, hosts), group.id)
    )
    due: list[DueOrder] = []
    for group in loading[:max_loading]:
        due += _orders_for(group, hosts, listed)
    return due


def _is_loading(group: Group, observation: GroupObservation | None) -> bool:
    if observation is None or observation.generation != group.generation:
        return True
    return not observation.ready


def _accepted_count(group: Group, hosts: Mapping[HostId, HostObservation]) -> int:
    """Count the members that have accepted the order, so that loads in progress finish first."""
    return sum(_has_accepted(group, hosts.get(HostId(member.host_id))) for member in group.members)


def _cached_count(group: Group, hosts: Mapping[HostId, HostObservation]) -> int:
    wanted = f"{group.model}@{group.model_version}"
    reports = (hosts.get(HostId(member.host_id)) for member in group.members)
    return sum(known is not None and _cached_model(known) == wanted for known in reports)


def _cached_model(known: HostObservation) -> str:
    return known.report.cached_model if known.report is not None else ""


def _has_accepted(group: Group, known: HostObservation | None) -> bool:
    if known is None or known.report is None:
        return False
    report = known.report
    return report.group_id == group.id and report.generation == group.generation


def _orders_for(
    group: Group, hosts: Mapping[HostId, HostObservation], listed: Mapping[HostId, Host]
) -> Iterable[DueOrder]:
    addresses = [member.address for member in group.members]
    for rank, member in enumerate(group.members):
        host_id = HostId(member.host_id)
        if _has_accepted(group, hosts.get(host_id)):
            continue
        order = Order(
            fence=group.generation,
            group_id=group.id,
            generation=group.generation,
            model=group.model,
            model_version=group.model_version,
            rank=rank,
            member_addresses=addresses,
        )
        host = listed.get(host_id)
        yield DueOrder(host_id, member.address, order, host is not None and host.checks_fences)
