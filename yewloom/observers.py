"""Probing of endpoints, divided among the entry hosts of a data centre.

Each group and each plain service endpoint is probed by a few entry hosts, chosen by rendezvous
hashing; the other hosts receive the results from their peers. The number of probes per endpoint
therefore does not grow with the number of entry hosts.
"""

from collections.abc import Callable, Iterable

import trio
from result import Err, Ok

from yewloom.endpoints import Endpoints
from yewloom.ids import GroupId, HostId
from yewloom.node import Node
from yewloom.schema.records_pb2 import Group, GroupMember, HostReport, ServiceEndpoint


class EndpointProber:
    """Probes the endpoints that are assigned to this entry host."""

    def __init__(self, node: Node, endpoints: Endpoints) -> None:
        self._node = node
        self._endpoints = endpoints

    async def run(self, after_round: Callable[[], None]) -> None:
        """Probe in rounds until cancelled, and call ``after_round`` after each."""
        interval_s = self._node.settings.groups.probe_interval_ms / 1000
        while True:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep, interval_s)
                await self.probe_round()
                after_round()

    async def probe_round(self) -> None:
        """Probe each assigned endpoint once, and aggregate the results by group."""
        groups, services = self._assigned_groups(), self._assigned_services()
        async with trio.open_nursery() as nursery:
            for group in groups:
                nursery.start_soon(self.probe_members, group.members)
            for endpoint in services:
                nursery.start_soon(self._probe_service, endpoint)
        for group in groups:
            self._node.fleet.aggregate_probes(group, trio.current_time())
            self._apply_cache_events(group)

    async def probe_members(self, members: Iterable[GroupMember]) -> None:
        """Probe model engines once, concurrently."""
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(self._probe_member, member)

    def _assigned_groups(self) -> list[Group]:
        placement = self._node.fleet.placement(self._node.data_centre)
        return [g for g in placement.groups if g.members and self._has_duty(f"group/{g.id}")]

    def _assigned_services(self) -> list[ServiceEndpoint]:
        placement = self._node.fleet.placement(self._node.data_centre)
        return [s for s in placement.services if self._has_duty(f"service/{s.host_id}")]

    def _has_duty(self, duty: str) -> bool:
        count = self._node.settings.groups.observers
        return self._node.membership.has_duty(duty, count, trio.current_time())

    async def _probe_member(self, member: GroupMember) -> None:
        requested_s = trio.current_time()
        host_id = HostId(member.host_id)
        match await self._endpoints.probe(member.address):
            case Ok(report):
                self._node.own_reach.on_answered()
                self._node.fleet.on_host_answered(host_id, report, requested_s)
            case Err():
                self._node.own_reach.on_failed(requested_s)
                self._node.fleet.on_host_failed(host_id, requested_s)

    async def _probe_service(self, endpoint: ServiceEndpoint) -> None:
        requested_s = trio.current_time()
        host_id = HostId(endpoint.host_id)
        match await self._endpoints.probe(endpoint.address):
            case Ok(report):
                self._node.own_reach.on_answered()
                self._node.fleet.on_service_answered(host_id, report, requested_s)
            case Err():
                self._node.own_reach.on_failed(requested_s)
                self._node.fleet.on_service_failed(host_id, requested_s)

    def _apply_cache_events(self, group: Group) -> None:
        known = self._node.fleet.hosts.get(HostId(group.members[0].host_id))
        report = known.report if known is not None else None
        if report is not None and _matches_group(group, report):
            self._node.prefixes.apply(
                GroupId(group.id), group.generation, report.cache_events, report.cache_sequence
            )


def _matches_group(group: Group, report: HostReport) -> bool:
    return report.group_id == group.id and report.generation == group.generation
