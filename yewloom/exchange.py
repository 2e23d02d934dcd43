"""Exchange of state between entry hosts: builds requests and responses, and applies responses.

State is exchanged only by request and response. The requesting host counts the age of a response
from before it sent the request, so a slow or paused peer can only make data look older than it is,
never more recent.
"""

from collections.abc import Iterable

import structlog

from yewloom.drafts import PlacementError
from yewloom.ids import DataCentreId
from yewloom.node import Node
from yewloom.schema.peer_pb2 import (
    ExchangeRequest,
    ExchangeResponse,
    FetchRowsRequest,
    FetchRowsResponse,
)
from yewloom.schema.records_pb2 import Placement
from yewloom.schema.table_pb2 import VersionedRow
from yewloom.tables import BUCKET_COUNT

logger = structlog.get_logger(__name__)


def build_request(node: Node, now_s: float, wants_members: bool = True) -> ExchangeRequest:
    """Return the request for a peer.

    ``wants_members`` asks for the list of entry hosts, which is the largest part of a response.
    """
    return ExchangeRequest(
        sender=node.membership.own_member,
        table_digest=node.table.digest,
        placements=node.fleet.placement_versions(),
        share_state=node.share_state(now_s),
        shares_generation=node.shares.record.generation,
        wants_members=wants_members,
    )


def build_response(node: Node, request: ExchangeRequest, now_s: float) -> ExchangeResponse:
    """Return the response to a peer's request."""
    node.membership.merge([request.sender], now_s)
    response = ExchangeResponse(
        responder=node.membership.own_member,
        members=node.membership.alive(now_s) if request.wants_members else [],
        table_digest=node.table.digest,
        placements=node.fleet.newer_placements(request.placements),
        groups=node.fleet.group_reports(now_s),
        services=node.fleet.service_reports(now_s),
        crash_reports=node.crashes.reports(now_s),
    )
    if request.sender.data_centre == node.data_centre:
        _add_shares(node, request, response, now_s)
    return response


def _add_shares(
    node: Node, request: ExchangeRequest, response: ExchangeResponse, now_s: float
) -> None:
    """Add the shares to the response to a peer in the same data centre, and loans to it."""
    node.applied_share_generations[request.share_state.instance] = (
        request.share_state.obeyed_generation
    )
    response.share_state.CopyFrom(node.share_state(now_s))
    if node.shares.record.generation > request.shares_generation:
        response.shares.CopyFrom(node.shares.record)
    in_flight = node.admission.in_flight_by_customer()
    response.loans.extend(node.shares.create_loans(request.share_state, in_flight, now_s))


def apply_response(
    node: Node, response: ExchangeResponse, requested_s: float, now_s: float
) -> bool:
    """Apply a peer's response; return whether its table differs from this host's."""
    node.membership.merge([*response.members, response.responder], now_s)
    node.shares.instance = node.instance
    apply_placements(node, response.placements)
    node.fleet.merge_groups(response.groups, requested_s)
    node.fleet.merge_services(response.services, requested_s)
    node.crashes.apply(response.crash_reports, requested_s, now_s)
    if response.responder.data_centre == node.data_centre:
        node.applied_share_generations[response.share_state.instance] = (
            response.share_state.obeyed_generation
        )
        node.shares.apply(response.shares)
        node.shares.add_loans(response.loans, requested_s)
    return response.table_digest != node.table.digest


def build_rows_request(node: Node) -> FetchRowsRequest:
    """Return the request for the rows that differ at a peer."""
    return FetchRowsRequest(bucket_digests=node.table.bucket_digests)


def build_rows_response(node: Node, request: FetchRowsRequest) -> FetchRowsResponse:
    """Return the rows that a peer may lack; none if the request is malformed."""
    if len(request.bucket_digests) != BUCKET_COUNT:
        return FetchRowsResponse()
    return FetchRowsResponse(rows=node.table.rows_in_differing_buckets(request.bucket_digests))


def apply_rows(node: Node, rows: Iterable[VersionedRow], source: str) -> None:
    """Apply newer rows; ignore older ones."""
    for row in rows:
        if node.table.apply(row):
            node.is_table_loaded = True
            logger.info("row applied", row=row.name, version=row.version, source=source)


def apply_placements(node: Node, placements: Iterable[Placement]) -> None:
    """Apply newer placements; ignore older ones."""
    for placement in placements:
        try:
            is_newer = node.fleet.apply_placement(placement)
        except PlacementError as error:
            logger.error("invalid placement", reason=str(error), data_centre=placement.data_centre)
            continue
        if is_newer:
            logger.info(
                "placement applied",
                data_centre=DataCentreId(placement.data_centre),
                generation=placement.generation,
                groups=len(placement.groups),
            )
    node.prefixes.retain_groups(node.fleet.group_ids())
