"""Measure how the cost of decisions and messages grows, as the basis of docs/CAPACITY.md.

Each row shows the CPU time of one operation at two or more sizes (median of seven runs) and, where
there is a message or record, its size in bytes.
"""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial

from google.protobuf.message import Message

from yewloom import exchange
from yewloom.admission import AdmissionController, AdmissionRequest
from yewloom.claims import ClaimRequest, add_claims
from yewloom.groups import GroupObservation, HostObservation, observe_group
from yewloom.ids import (
    AttemptId,
    CustomerId,
    DataCentreId,
    EntryHostId,
    GroupId,
    HostId,
    IdempotencyKey,
    ModelName,
    PolicyName,
    RequestId,
)
from yewloom.limits import plan_shares
from yewloom.node import Node, build_node
from yewloom.placement import FleetState, PlacementPlanner, PlacementTiming
from yewloom.prefixes import block_hashes
from yewloom.routing import (
    Candidate,
    RoundRobinCounter,
    RouteRequest,
    choose_group,
    default_routing,
)
from yewloom.schema.peer_pb2 import FetchRowsRequest, FetchRowsResponse, Member
from yewloom.schema.records_pb2 import (
    ClaimShard,
    Group,
    GroupMember,
    Host,
    HostReport,
    Placement,
    Shares,
)
from yewloom.schema.table_pb2 import CustomerRow, PolicyRow, Row, StrandedPlacement, VersionedRow
from yewloom.settings import parse_settings
from yewloom.states import EngineState, GroupIntent, HostState
from yewloom.tables import Table
from yewloom.writes import to_json

RUNS = 7
DATA_CENTRE = DataCentreId("dc-01")
GROUP_SIZE = 32
SETTINGS = """
[host]
id = entry-0000
data_centre = dc-01
caller_port = 1
peer_port = 2
[limits]
data_centres = dc-01
[platform]
url = http://127.0.0.1:1
"""


def _time_us(operation: Callable[[], object], calls: int) -> float:
    """Return the CPU time of one call in microseconds."""
    operation()
    results = []
    for _ in range(RUNS):
        start = time.process_time()
        for _ in range(calls):
            operation()
        results.append((time.process_time() - start) / calls * 1e6)
    return statistics.median(results)


def _print_row(name: str, size: str, cost_us: float, size_bytes: int | None = None) -> None:
    text = f"{size_bytes:,}" if size_bytes is not None else ""
    print(f"| {name} | {size} | {cost_us:,.1f} | {text} |", flush=True)


def _members(count: int) -> list[Member]:
    return [
        Member(
            id=f"entry-{i:04}",
            incarnation=1_790_000_000_000,
            heartbeat=100_000 + i,
            data_centre=DATA_CENTRE,
            peer_address=f"10.0.{i // 250}.{i % 250}:7000",
        )
        for i in range(count)
    ]


def _group(number: int, size: int = GROUP_SIZE) -> Group:
    members = [
        GroupMember(host_id=f"host-{number:03}-{i:02}", address=f"10.{number}.0.{i}:8000")
        for i in range(size)
    ]
    return Group(
        id=f"large-dc-01-{number}-1",
        policy="large",
        model="model",
        model_version="1",
        generation=1,
        intent=GroupIntent.ACTIVE.value,
        members=members,
    )


def _placement(groups: int) -> Placement:
    return Placement(
        data_centre=DATA_CENTRE, generation=1, groups=[_group(number) for number in range(groups)]
    )


def _report_ready(node: Node, groups: Iterable[Group]) -> None:
    for group in groups:
        for member in group.members:
            report = HostReport(
                host_id=member.host_id,
                state=EngineState.READY.value,
                group_id=group.id,
                generation=1,
                capacity=64,
            )
            node.fleet.on_host_answered(HostId(member.host_id), report, 0.0)
        node.fleet.aggregate_probes(group, 0.0)


def _node(members: int, groups: int, rows: int = 0) -> Node:
    node = build_node(parse_settings(SETTINGS, "measure").unwrap(), random.Random(1), 1)
    node.membership.merge(_members(members), 0.0)
    placement = _placement(groups)
    node.fleet.apply_placement(placement)
    _report_ready(node, placement.groups)
    for row in _customer_rows(rows):
        node.table.apply(row)
    return node


def _customer_rows(count: int) -> list[VersionedRow]:
    digest = "0" * 64
    cells = CustomerRow(key_digest=digest, weight=1, max_in_flight=1000, priority=5)
    return [
        VersionedRow(name=f"customer/customer-{i:04}", version=1, row=Row(customer=cells))
        for i in range(count)
    ]


def measure_routing() -> None:
    """Measure routing, admission and prompt hashing, which run once per request."""
    routing, rng, turns = default_routing(), random.Random(1), RoundRobinCounter()
    request = RouteRequest(ModelName("model"), DATA_CENTRE, 8000, entry_hosts=48)
    for count in (17, 100, 375):
        candidates = [
            Candidate(GroupId(str(i)), DATA_CENTRE, i % 64, 64, 0, 0) for i in range(count)
        ]
        cost = _time_us(partial(choose_group, routing, request, candidates, rng, turns), 200)
        _print_row("choose a group", f"{count} groups", cost)
    for length in (1000, 8000):
        prompt = "x" * length
        _print_row(
            "hash a prompt", f"{length} characters", _time_us(partial(block_hashes, prompt), 200)
        )
    for count in (10, 200):
        admission = AdmissionController(100_000, 10)
        arrivals = [
            AdmissionRequest(RequestId(str(i)), CustomerId(str(i % count)), 1.0, 100.0, 1e9, 10**6)
            for i in range(1000)
        ]

        def admit(
            queue: AdmissionController = admission,
            offered_requests: list[AdmissionRequest] = arrivals,
        ) -> None:
            for arrival in offered_requests:
                queue.submit(arrival, 0.0)
            for arrival in offered_requests:
                queue.release(arrival.request_id, 1.0)

        _print_row("admit and release", f"{count} customers", _time_us(admit, 1) / 1000)


def measure_observation() -> None:
    """Measure group observations and duty look-ups, which run in every probe round."""
    for size in (4, 32):
        group = _group(1, size)
        report = HostReport(state=EngineState.READY.value, group_id=group.id, generation=1)
        hosts = {HostId(m.host_id): HostObservation(report, 0.0) for m in group.members}
        cost = _time_us(partial(observe_group, group, hosts, 0.0, 5.0), 200)
        _print_row("summarise a group", f"{size} members", cost)
    for members in (12, 48, 100):
        membership = _node(members, 0).membership
        cost = _time_us(partial(membership.has_duty, "group/x", 2, 0.0), 100)
        _print_row("look up a duty", f"{members} members", cost)


def measure_exchange() -> None:
    """Measure exchanges with peers, of which there are a few per second."""
    for members, groups in ((12, 4), (48, 17), (100, 34)):
        node = _node(members, groups)
        query = exchange.build_request(node, 0.0)
        response = exchange.build_response(node, query, 0.0)
        data = response.SerializeToString()
        size = f"{members} members, {groups} groups"
        cost = _time_us(partial(exchange.build_response, node, query, 0.0), 50)
        _print_row("answer a peer", size, cost, len(data))
        cost = _time_us(partial(exchange.apply_response, node, response, 0.0, 0.0), 50)
        _print_row("apply an answer", size, cost)


def measure_table() -> None:
    """Measure the table, which is updated at each change and filled at start."""
    for count in (100, 1000):
        rows = _customer_rows(count)

        def fill(found: list[VersionedRow] = rows) -> Table:
            table = Table()
            for row in found:
                table.apply(row)
            return table

        tracemalloc.start()
        table = fill()
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        _print_row("apply a row", f"{count} rows", _time_us(fill, 3) / count, rows[0].ByteSize())
        other = fill()
        changed = VersionedRow()
        changed.CopyFrom(rows[0])
        changed.version = 2
        other.apply(changed)
        digests = other.bucket_digests
        found = table.rows_in_differing_buckets(digests)
        cost = _time_us(partial(table.rows_in_differing_buckets, digests), 50)
        query = FetchRowsRequest(bucket_digests=digests).ByteSize()
        size = query + FetchRowsResponse(rows=found).ByteSize()
        _print_row("send a changed row, with its bucket", f"{count} rows", cost, size)
        print(f"| memory of the table without its messages | {count} rows | | {memory:,} |")


def measure_coordinator() -> None:
    """Measure planning, which only the coordinator of a data centre does, in every probe round."""
    policy = PolicyRow(
        model="model",
        model_version="1",
        group_size=GROUP_SIZE,
        max_groups=9999,
        weight=1,
        stranded=StrandedPlacement(),
    )
    for groups in (17, 100, 375):
        placement = _placement(groups)
        listed = {
            HostId(m.host_id): Host(id=m.host_id, address=m.address, state=HostState.LIVE.value)
            for group in placement.groups
            for m in group.members
        }
        observations = {
            GroupId(g.id): GroupObservation(GroupId(g.id), 1, 0.0, ready=True)
            for g in placement.groups
        }
        state = FleetState(listed, {}, observations, {PolicyName("large"): policy})
        planner = PlacementPlanner(EntryHostId("e"), PlacementTiming(2.5, 300.0, 4.0))
        cost = _time_us(partial(planner.plan, placement, state, 0.0, AttemptId("a")), 3)
        _print_row("plan a placement", f"{groups * GROUP_SIZE} hosts", cost, _json_bytes(placement))
    for holders, customers in ((12, 10), (48, 50)):
        holder_names = [f"entry-{i:04}/1790000000000" for i in range(holders)]
        customer_limits = {CustomerId(f"customer-{i:04}"): 1000 for i in range(customers)}

        def plan(
            names: list[str] = holder_names, wanted: dict[CustomerId, int] = customer_limits
        ) -> Shares:
            planned = plan_shares(Shares(), wanted, names, [], {}, AttemptId("a"))
            assert planned is not None
            return planned

        size = f"{holders} holders, {customers} customers"
        _print_row("plan the shares", size, _time_us(plan, 3), _json_bytes(plan()))


def measure_claims() -> None:
    """Measure claims; one write of the record covers all waiting claims."""
    for count in (1, 50, 250):
        claims = [
            ClaimRequest(
                IdempotencyKey(f"customer/{i:032}"), AttemptId(f"{i:032}"), EntryHostId("e")
            )
            for i in range(count)
        ]

        def add(waiting: list[ClaimRequest] = claims) -> ClaimShard:
            return add_claims(ClaimShard(), waiting, [], 0, 1000)[0]

        _print_row(
            "add claims to a record", f"{count} claims", _time_us(add, 10), _json_bytes(add())
        )


def _json_bytes(message: Message) -> int:
    return len(to_json(message))


def main() -> None:
    """Print the results as a table."""
    print("| operation | size | CPU time, us | bytes |")
    print("|---|---|---|---|")
    measure_routing()
    measure_observation()
    measure_exchange()
    measure_table()
    measure_coordinator()
    measure_claims()


if __name__ == "__main__":
    main()
