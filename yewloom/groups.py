"""Groups of hosts that form one replica: observations of them, and when they may serve.

The placement record holds the intent; the members' own reports are authoritative. A group accepts
new work only while every member answered within the freshness bound and reports this group in this
generation. Times are seconds of the caller's monotonic clock.
"""

from collections.abc import Mapping
from dataclasses import replace

from yewloom.ids import GroupId, HostId
from yewloom.schema.records_pb2 import Group, HostReport
from yewloom.states import EngineState, GroupIntent, GroupState
from yewloom.values import value_class

NEVER_S = float("-inf")

MIN_PROBED_SHARE = 0.5
"""Share of ``missing_after_s`` over which the failed probes of a member must have been sent before
it counts as missing. A pause of the prober itself makes all outstanding probes fail at once, but
those were sent within the time-out of a single probe."""


@value_class
class HostObservation:
    """One entry host's observation of an endpoint from its own probes.

    ``requested_s`` is the time before the last answered probe was sent, so the age of the report is
    never understated. ``failing_since_s`` is the time of the first failed probe since then and
    ``failed_s`` that of the last; a pause in probing restarts this interval.
    """

    report: HostReport | None = None
    requested_s: float = NEVER_S
    failing_since_s: float | None = None
    failed_s: float = NEVER_S

    def answered(self, report: HostReport, requested_s: float) -> "HostObservation":
        """Return the observation after an answered probe."""
        return HostObservation(report, requested_s)

    def failed(self, requested_s: float, longest_pause_s: float) -> "HostObservation":
        """Return the observation after a failed probe."""
        since = self.failing_since_s
        if since is None or requested_s - self.failed_s > longest_pause_s:
            since = requested_s
        return replace(self, failing_since_s=since, failed_s=max(requested_s, self.failed_s))

    def is_fresh(self, now_s: float, freshness_s: float) -> bool:
        """Return whether the endpoint answered within the freshness bound."""
        return now_s - self.requested_s <= freshness_s


@value_class
class GroupObservation:
    """One observer's view of all members of a group in one generation.

    ``observed_s`` is the time of the least recently seen member. ``missing`` members have failed
    their probes for ``missing_after_s`` or longer; ``mismatched`` members answer but report another
    group or generation, or none. ``was_ready`` means that all members were ready at some time in
    this generation, so a mismatch now indicates a restart.
    """

    group_id: GroupId
    generation: int
    observed_s: float = NEVER_S
    ready: bool = False
    failed: bool = False
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    capacity: int = 0
    missing: tuple[HostId, ...] = ()
    mismatched: tuple[HostId, ...] = ()
    was_ready: bool = False


def observe_group(
    group: Group, hosts: Mapping[HostId, HostObservation], now_s: float, missing_after_s: float
) -> GroupObservation:
    """Aggregate the observations of a group's members."""
    seen = {
        HostId(m.host_id): hosts.get(HostId(m.host_id), HostObservation()) for m in group.members
    }
    reports = {host: known.report for host, known in seen.items() if known.report is not None}
    placed = {host: report for host, report in reports.items() if _matches_group(group, report)}
    leader = reports.get(HostId(group.members[0].host_id)) if group.members else None
    ready = len(placed) == len(seen) > 0 and all(
        _has_state(r, EngineState.READY) for r in placed.values()
    )
    return GroupObservation(
        group_id=GroupId(group.id),
        generation=group.generation,
        observed_s=min((known.requested_s for known in seen.values()), default=NEVER_S),
        ready=ready,
        was_ready=ready,
        failed=any(_has_state(report, EngineState.FAILED) for report in placed.values()),
        leaving=any(report.leaving for report in reports.values()),
        running=leader.running if leader is not None else 0,
        waiting=leader.waiting if leader is not None else 0,
        capacity=leader.capacity if leader is not None else 0,
        missing=tuple(h for h, known in seen.items() if _is_missing(known, now_s, missing_after_s)),
        mismatched=tuple(host for host in reports if host not in placed),
    )


def merge_observations(
    first: GroupObservation, second: GroupObservation, now_s: float, missing_after_s: float
) -> GroupObservation:
    """Merge two observations of one group, preferring the higher generation, then the later one.

    Within a generation, a failure, a leaving member and readiness are kept if either observation
    has them. A missing member is kept as well once nobody has seen the whole group for
    ``missing_after_s``: an unresponsive member stops ``observed_s`` from advancing, so the
    observation with the later ``observed_s`` is then not the more recent one.
    """
    if first.generation != second.generation:
        return first if first.generation > second.generation else second
    later, earlier = (first, second) if first.observed_s >= second.observed_s else (second, first)
    missing = later.missing
    if now_s - later.observed_s >= missing_after_s:
        missing += tuple(host for host in earlier.missing if host not in missing)
    return replace(
        later,
        missing=missing,
        failed=first.failed or second.failed,
        leaving=first.leaving or second.leaving,
        was_ready=first.was_ready or second.was_ready,
    )


def is_open(
    group: Group, observation: GroupObservation | None, now_s: float, freshness_s: float
) -> bool:
    """Return whether a group accepts new work."""
    return (
        observation is not None
        and group.intent == GroupIntent.ACTIVE.value
        and observation.generation == group.generation
        and observation.ready
        and not observation.failed
        and not observation.leaving
        and now_s - observation.observed_s <= freshness_s
    )


def group_state(
    group: Group, observation: GroupObservation | None, now_s: float, freshness_s: float
) -> GroupState:
    """Return the state of a group as shown to operators."""
    if group.intent == GroupIntent.REPLACING.value:
        return GroupState.LOST
    if group.intent == GroupIntent.DRAINING.value:
        return GroupState.DRAINING
    if observation is None or observation.generation != group.generation:
        return GroupState.FORMING
    if is_open(group, observation, now_s, freshness_s):
        return GroupState.SERVING
    if observation.failed or observation.missing:
        return GroupState.LOST
    return GroupState.DRAINING if observation.leaving else GroupState.LOADING


def _matches_group(group: Group, report: HostReport) -> bool:
    return report.group_id == group.id and report.generation == group.generation


def _has_state(report: HostReport, state: EngineState) -> bool:
    return report.state == state.value


def _is_missing(known: HostObservation, now_s: float, missing_after_s: float) -> bool:
    """Return whether probes failed for ``missing_after_s`` and span at least half of that time."""
    since_s = known.failing_since_s
    if since_s is None or now_s - since_s < missing_after_s:
        return False
    return known.failed_s - since_s >= missing_after_s * MIN_PROBED_SHARE
