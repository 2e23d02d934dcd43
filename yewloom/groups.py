"""Groups of hosts that hold one replica: what was observed of them, and when they may serve.

The placement record is the intent; the members' own reports are the truth. A group takes new work
only while every member was seen within the freshness bound and reports this group in this
generation. Times are seconds of the caller's monotonic clock.
"""

from collections.abc import Mapping
from dataclasses import replace

from yewloom.ids import GroupId, HostId
from yewloom.schema.records_pb2 import Group, HostReport
from yewloom.states import EngineState, GroupIntent, GroupState
from yewloom.values import value_class

NEVER_S = float("-inf")

PROBED_SHARE = 0.5
"""Part of the bound for giving up within which failed probes were sent: a prober that stood still
itself finds all its probes failed, which were sent within one probe's limit."""


@value_class
class HostObservation:
    """What one entry host knows of an endpoint from its own probes.

    ``asked_s`` is the time before the last answered probe was sent, so the age of the report is
    never understated. ``failing_since_s`` is the first of the failed probes since then, and
    ``failed_s`` the last; a pause in probing begins the count anew.
    """

    report: HostReport | None = None
    asked_s: float = NEVER_S
    failing_since_s: float | None = None
    failed_s: float = NEVER_S

    def answered(self, report: HostReport, asked_s: float) -> "HostObservation":
        """Return the observation after an answered probe."""
        return HostObservation(report, asked_s)

    def failed(self, asked_s: float, longest_pause_s: float) -> "HostObservation":
        """Return the observation after a failed probe."""
        since = self.failing_since_s
        if since is None or asked_s - self.failed_s > longest_pause_s:
            since = asked_s
        return replace(self, failing_since_s=since, failed_s=max(asked_s, self.failed_s))

    def is_fresh(self, now_s: float, freshness_s: float) -> bool:
        """Tell whether the endpoint was seen within the freshness bound."""
        return now_s - self.asked_s <= freshness_s


@value_class
class GroupObservation:
    """One observer's view of all members of a group in one generation.

    ``observed_s`` is the time of the member seen longest ago. ``missing`` members have failed
    their probes for longer than the bound for giving up; ``mismatched`` ones answer, but report
    another group or generation, or none. ``was_ready`` says that all members were ready once in
    this generation, so that a mismatch now means a restart.
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
    group: Group, hosts: Mapping[HostId, HostObservation], now_s: float, give_up_s: float
) -> GroupObservation:
    """Sum up the observations of a group's members."""
    seen = {
        HostId(m.host_id): hosts.get(HostId(m.host_id), HostObservation()) for m in group.members
    }
    reports = {host: known.report for host, known in seen.items() if known.report is not None}
    placed = {host: report for host, report in reports.items() if _is_placed(group, report)}
    leader = reports.get(HostId(group.members[0].host_id)) if group.members else None
    ready = len(placed) == len(seen) > 0 and all(_in(r, EngineState.READY) for r in placed.values())
    return GroupObservation(
        group_id=GroupId(group.id),
        generation=group.generation,
        observed_s=min((known.asked_s for known in seen.values()), default=NEVER_S),
        ready=ready,
        was_ready=ready,
        failed=any(_in(report, EngineState.FAILED) for report in placed.values()),
        leaving=any(report.leaving for report in reports.values()),
        running=leader.running if leader is not None else 0,
        waiting=leader.waiting if leader is not None else 0,
        capacity=leader.capacity if leader is not None else 0,
        missing=tuple(h for h, known in seen.items() if _given_up(known, now_s, give_up_s)),
        mismatched=tuple(host for host in reports if host not in placed),
    )


def merge_observations(
    first: GroupObservation, second: GroupObservation, now_s: float, give_up_s: float
) -> GroupObservation:
    """Return the better of two views of one group: higher generation, then the later one.

    What either saw once in the same generation stays: a failure, a leaving member, readiness. So
    does a missing member once nobody has seen the whole group within the bound for giving up: a
    member that is silent ends the sightings, and then the later one is no newer view.
    """
    if first.generation != second.generation:
        return first if first.generation > second.generation else second
    later, earlier = (first, second) if first.observed_s >= second.observed_s else (second, first)
    missing = later.missing
    if now_s - later.observed_s >= give_up_s:
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
    """Tell whether a group may take new work."""
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
    """Derive the state of a group for operators."""
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


def _is_placed(group: Group, report: HostReport) -> bool:
    return report.group_id == group.id and report.generation == group.generation


def _in(report: HostReport, state: EngineState) -> bool:
    return report.state == state.value


def _given_up(known: HostObservation, now_s: float, give_up_s: float) -> bool:
    """Tell whether probes failed for so long, and were sent for at least half of that time."""
    since_s = known.failing_since_s
    if since_s is None or now_s - since_s < give_up_s:
        return False
    return known.failed_s - since_s >= give_up_s * PROBED_SHARE
