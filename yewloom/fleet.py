"""One entry host's view of the whole fleet: placements, endpoints and groups.

Merges the results of this host's own probes with reports from peers. Times are seconds of the local
monotonic clock. The age in a peer's report is counted from before the peer was queried, so it is
never understated.
"""

from collections.abc import Iterable, Iterator

from yewloom.drafts import check_placement
from yewloom.groups import (
    GroupObservation,
    HostObservation,
    is_open,
    merge_observations,
    observe_group,
)
from yewloom.ids import DataCentreId, GroupId, HostId
from yewloom.schema.peer_pb2 import GroupReport, PlacementVersion, ServiceReport
from yewloom.schema.records_pb2 import Group, HostReport, Placement, ServiceEndpoint


class Fleet:
    """Placements of all data centres and the latest observations of their endpoints."""

    def __init__(self, freshness_s: float, missing_after_s: float) -> None:
        self._freshness_s = freshness_s
        self._missing_after_s = missing_after_s
        self._placements: dict[DataCentreId, Placement] = {}
        self._hosts: dict[HostId, HostObservation] = {}
        self._groups: dict[GroupId, GroupObservation] = {}
        self._services: dict[HostId, HostObservation] = {}
        self._call_failed_s: dict[GroupId, float] = {}
        self._placed_groups: dict[GroupId, tuple[DataCentreId, Group]] = {}

    @property
    def hosts(self) -> dict[HostId, HostObservation]:
        """Observations of model engines from this host's own probes."""
        return self._hosts

    @property
    def group_observations(self) -> dict[GroupId, GroupObservation]:
        """The latest observation of each group."""
        return self._groups

    def apply_placement(self, placement: Placement) -> bool:
        """Apply a placement if it is newer; return whether it was.

        Raises PlacementError if the placement violates an invariant.
        """
        data_centre = DataCentreId(placement.data_centre)
        current = self._placements.get(data_centre)
        if current is not None and current.generation >= placement.generation:
            return False
        check_placement(placement)
        self._placements[data_centre] = placement
        self._index_groups()
        return True

    def placement(self, data_centre: DataCentreId) -> Placement:
        """Return the placement of a data centre, or an empty one if none is known."""
        return self._placements.get(data_centre, Placement(data_centre=data_centre))

    def placement_versions(self) -> list[PlacementVersion]:
        """Return the known placement generation of each data centre."""
        return [
            PlacementVersion(data_centre=name, generation=placement.generation)
            for name, placement in self._placements.items()
        ]

    def newer_placements(self, known: Iterable[PlacementVersion]) -> list[Placement]:
        """Return the placements that are newer than the ``known`` generations."""
        generations = {entry.data_centre: entry.generation for entry in known}
        return [
            placement
            for name, placement in self._placements.items()
            if placement.generation > generations.get(name, 0)
        ]

    def groups(self) -> Iterator[tuple[DataCentreId, Group]]:
        """Yield all groups that have members, each with its data centre."""
        yield from self._placed_groups.values()

    def group_ids(self) -> set[GroupId]:
        """Return the ids of all groups that have members."""
        return set(self._placed_groups)

    def group(self, group_id: GroupId) -> Group | None:
        """Return a group by its id, or None if it is not placed or has no members."""
        placed = self._placed_groups.get(group_id)
        return placed[1] if placed is not None else None

    def is_open(self, group: Group, now_s: float) -> bool:
        """Return whether a group accepts new work."""
        observation = self._groups.get(GroupId(group.id))
        if not is_open(group, observation, now_s, self._freshness_s):
            return False
        call_failed_s = self._call_failed_s.get(GroupId(group.id))
        return call_failed_s is None or self._groups[GroupId(group.id)].observed_s > call_failed_s

    def open_groups(self, now_s: float) -> list[tuple[DataCentreId, Group, GroupObservation]]:
        """Return the groups that accept new work, with their observations."""
        return [
            (data_centre, group, self._groups[GroupId(group.id)])
            for data_centre, group in self.groups()
            if self.is_open(group, now_s)
        ]

    def has_open_endpoints(self, now_s: float) -> bool:
        """Return whether a group or a plain service's endpoint accepts new work.

        Peers may have observed it.
        """
        if any(self.is_open(group, now_s) for _, group in self.groups()):
            return True
        endpoints = (e for placement in self._placements.values() for e in placement.services)
        return any(self._is_service_open(endpoint, now_s) for endpoint in endpoints)

    def open_services(
        self, service: str, now_s: float
    ) -> list[tuple[DataCentreId, ServiceEndpoint]]:
        """Return the endpoints of a plain service that accept new work."""
        return [
            (data_centre, endpoint)
            for data_centre, placement in self._placements.items()
            for endpoint in placement.services
            if endpoint.service == service and self._is_service_open(endpoint, now_s)
        ]

    def on_host_answered(self, host_id: HostId, report: HostReport, requested_s: float) -> None:
        """Record a model engine's answer to a probe by this host."""
        known = self._hosts.get(host_id, HostObservation())
        if requested_s >= known.requested_s:
            self._hosts[host_id] = known.answered(report, requested_s)

    def on_host_failed(self, host_id: HostId, requested_s: float) -> None:
        """Record that a probe of a model engine by this host failed."""
        known = self._hosts.get(host_id, HostObservation())
        self._hosts[host_id] = known.failed(requested_s, self._missing_after_s)

    def on_service_answered(self, host_id: HostId, report: HostReport, requested_s: float) -> None:
        """Record a plain service's answer to a probe by this host."""
        known = self._services.get(host_id, HostObservation())
        if requested_s >= known.requested_s:
            self._services[host_id] = known.answered(report, requested_s)

    def on_service_failed(self, host_id: HostId, requested_s: float) -> None:
        """Record that a probe of a plain service by this host failed."""
        known = self._services.get(host_id, HostObservation())
        self._services[host_id] = known.failed(requested_s, self._missing_after_s)

    def aggregate_probes(self, group: Group, now_s: float) -> None:
        """Aggregate this host's own probes of a group's members into an observation."""
        self._merge(observe_group(group, self._hosts, now_s, self._missing_after_s), now_s)

    def on_call_failed(self, group_id: GroupId, now_s: float) -> None:
        """Close a group after a failed call until all members have answered a later probe."""
        self._call_failed_s[group_id] = now_s

    def merge_groups(self, reports: Iterable[GroupReport], requested_s: float) -> None:
        """Merge a peer's group reports; ``requested_s`` is the time before the peer was queried."""
        for report in reports:
            if report.group_id in self._placed_groups:
                self._merge(_observation_from(report, requested_s), requested_s)

    def merge_services(self, reports: Iterable[ServiceReport], requested_s: float) -> None:
        """Merge a peer's reports of plain services."""
        for report in reports:
            seen = HostReport(host_id=report.host_id, leaving=report.leaving)
            self.on_service_answered(
                HostId(report.host_id), seen, requested_s - report.age_ms / 1000
            )

    def group_reports(self, now_s: float) -> list[GroupReport]:
        """Return the group reports for peers, with ages instead of times."""
        return [
            _report_from(observation, now_s)
            for observation in self._groups.values()
            if observation.observed_s > float("-inf") or observation.failed
        ]

    def service_reports(self, now_s: float) -> list[ServiceReport]:
        """Return the reports of plain services for peers."""
        return [
            ServiceReport(
                host_id=host_id,
                age_ms=_age_ms(known.requested_s, now_s),
                leaving=_is_leaving(known),
            )
            for host_id, known in self._services.items()
            if known.report is not None
        ]

    def _is_service_open(self, endpoint: ServiceEndpoint, now_s: float) -> bool:
        known = self._services.get(HostId(endpoint.host_id))
        if endpoint.leaving or known is None or _is_leaving(known):
            return False
        return known.is_fresh(now_s, self._freshness_s)

    def _merge(self, observation: GroupObservation, now_s: float) -> None:
        current = self._groups.get(observation.group_id)
        if current is not None:
            observation = merge_observations(observation, current, now_s, self._missing_after_s)
        self._groups[observation.group_id] = observation

    def _index_groups(self) -> None:
        """Rebuild the index of all placements' groups, and drop the state of removed groups."""
        self._placed_groups = {
            GroupId(group.id): (data_centre, group)
            for data_centre, placement in self._placements.items()
            for group in placement.groups
            if group.members
        }
        for known in (self._groups, self._call_failed_s):
            for group_id in known.keys() - self._placed_groups.keys():
                del known[group_id]


def _is_leaving(known: HostObservation) -> bool:
    return known.report is not None and known.report.leaving


def _age_ms(observed_s: float, now_s: float) -> int:
    """Return an age in milliseconds, rounded up so that it is never understated."""
    return int((now_s - observed_s) * 1000) + 1


def _report_from(observation: GroupObservation, now_s: float) -> GroupReport:
    seen = observation.observed_s > float("-inf")
    return GroupReport(
        group_id=observation.group_id,
        generation=observation.generation,
        age_ms=_age_ms(observation.observed_s, now_s) if seen else -1,
        ready=observation.ready,
        failed=observation.failed,
        leaving=observation.leaving,
        running=observation.running,
        waiting=observation.waiting,
        capacity=observation.capacity,
        missing=observation.missing,
        mismatched=observation.mismatched,
        was_ready=observation.was_ready,
    )


def _observation_from(report: GroupReport, requested_s: float) -> GroupObservation:
    return GroupObservation(
        group_id=GroupId(report.group_id),
        generation=report.generation,
        observed_s=requested_s - report.age_ms / 1000 if report.age_ms >= 0 else float("-inf"),
        ready=report.ready,
        failed=report.failed,
        leaving=report.leaving,
        running=report.running,
        waiting=report.waiting,
        capacity=report.capacity,
        missing=tuple(HostId(host) for host in report.missing),
        mismatched=tuple(HostId(host) for host in report.mismatched),
        was_ready=report.was_ready,
    )
