"""Place groups and route requests with the decision modules alone, without daemon, I/O or clock."""

import random

from yewloom.fleet import Fleet
from yewloom.ids import AttemptId, DataCentreId, EntryHostId, GroupId, HostId, ModelName, PolicyName
from yewloom.placement import FleetState, PlacementPlanner, PlacementTiming
from yewloom.routing import (
    Candidate,
    RoundRobinCounter,
    RouteRequest,
    choose_group,
    default_routing,
)
from yewloom.schema.records_pb2 import Host, HostReport, Placement
from yewloom.schema.table_pb2 import DowntimePlacement, PolicyRow
from yewloom.states import EngineState

DATA_CENTRE = DataCentreId("hall-a")
HOSTS = [HostId(f"host-{number}") for number in range(9)]


def place_groups(fleet: Fleet, now_s: float) -> Placement:
    """Form groups of four from nine idle hosts, keeping one spare host."""
    for host in HOSTS:
        idle = HostReport(host_id=host, state=EngineState.IDLE.value)
        fleet.on_host_answered(host, idle, now_s)
    policy = PolicyRow(
        model="m", model_version="1", group_size=4, max_groups=9, weight=1,
        downtime=DowntimePlacement(spare_hosts=1),
    )  # fmt: skip
    state = FleetState(
        listed={
            host: Host(id=host, fabric_domain="rack-1", state="live", checks_fences=True)
            for host in HOSTS
        },
        hosts=fleet.hosts,
        groups=fleet.group_observations,
        policies={PolicyName("archive"): policy},
    )
    planner = PlacementPlanner(EntryHostId("entry-1"), PlacementTiming(2.5, 300.0, 4.0))
    plan = planner.plan(Placement(data_centre=DATA_CENTRE), state, now_s, AttemptId("attempt-1"))
    assert plan.placement is not None
    for decision in plan.decisions:
        print(f"{decision.change.value} {decision.group_id}: {decision.reason}")
    return plan.placement


def report_ready(fleet: Fleet, now_s: float) -> None:
    """Report every member as ready in its group, as engines do once they have loaded the model."""
    for _, group in fleet.groups():
        for member in group.members:
            report = HostReport(
                state=EngineState.READY.value,
                group_id=group.id,
                generation=group.generation,
                capacity=8,
            )
            fleet.on_host_answered(HostId(member.host_id), report, now_s)
        fleet.aggregate_probes(group, now_s)


def route(fleet: Fleet, now_s: float) -> GroupId:
    """Choose a group for one request."""
    candidates = [
        Candidate(GroupId(group.id), data_centre, observation.running, observation.capacity, 0, 0)
        for data_centre, group, observation in fleet.open_groups(now_s)
    ]
    request = RouteRequest(ModelName("m"), DATA_CENTRE, prompt_characters=400)
    chosen = choose_group(
        default_routing(), request, candidates, random.Random(1), RoundRobinCounter()
    )
    assert chosen is not None
    print(f"route to {chosen.group_id}: {chosen.reason}")
    return chosen.group_id


def main() -> None:
    """Form groups, report them as ready, and route one request."""
    fleet = Fleet(freshness_s=2.5, missing_after_s=5.0)
    fleet.apply_placement(place_groups(fleet, now_s=0.0))
    report_ready(fleet, now_s=1.0)
    route(fleet, now_s=1.5)


if __name__ == "__main__":
    main()
