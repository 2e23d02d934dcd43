"""Encoding of endpoints and their changes for messages between entry hosts."""

from collections.abc import Sequence

from yewloom.directory import Endpoint, GroupKey, GroupMembership, MemberState
from yewloom.ids import DataCentreId, GroupId, HostId, ModelName, ServiceName
from yewloom.schema.entry_pb2 import EndpointChanges, EndpointMembership, ListedEndpoint
from yewloom.values import value_class


@value_class
class ChangedEndpoints:
    """Changes of endpoints after position ``base`` of the store, up to ``position``.

    They come from a watch, which contains each endpoint that has changed in between. If
    ``unchanged_until`` is given, they are the difference of two listings, from which an endpoint is
    missing that changed and changed back. Only a host at a position from ``base`` to
    ``unchanged_until``, between which no endpoint changed, can apply these.
    """

    base: int
    position: int
    endpoints: Sequence[Endpoint]
    removed: Sequence[HostId]
    unchanged_until: int | None = None


def encode_changes(changes: ChangedEndpoints) -> EndpointChanges:
    """Return the message for changes of endpoints."""
    return EndpointChanges(
        base=changes.base,
        position=changes.position,
        endpoints=[encode_endpoint(endpoint) for endpoint in changes.endpoints],
        removed=changes.removed,
        unchanged_until=changes.unchanged_until or 0,
    )


def decode_changes(message: EndpointChanges) -> ChangedEndpoints:
    """Return the changes in a message; raise ValueError for an unknown member state."""
    endpoints = [decode_endpoint(item) for item in message.endpoints]
    removed = [HostId(name) for name in message.removed]
    unchanged_until = message.unchanged_until or None
    return ChangedEndpoints(message.base, message.position, endpoints, removed, unchanged_until)


def encode_endpoint(endpoint: Endpoint) -> ListedEndpoint:
    """Return the message for an endpoint."""
    member = endpoint.membership
    return ListedEndpoint(
        id=endpoint.id,
        service=endpoint.service,
        address=endpoint.address,
        data_centre=endpoint.data_centre,
        is_leaving=endpoint.is_leaving,
        fabric_domain=endpoint.fabric_domain,
        models=sorted(endpoint.models),
        staged=sorted(endpoint.staged),
        membership=_encode_membership(member) if member is not None else None,
        started_unix_ms=endpoint.started_unix_ms,
    )


def decode_endpoint(message: ListedEndpoint) -> Endpoint:
    """Return the endpoint in a message; raise ValueError for an unknown member state."""
    return Endpoint(
        id=HostId(message.id),
        service=ServiceName(message.service),
        address=message.address,
        data_centre=DataCentreId(message.data_centre),
        is_leaving=message.is_leaving,
        fabric_domain=message.fabric_domain,
        models=frozenset(ModelName(name) for name in message.models),
        staged=frozenset(ModelName(name) for name in message.staged),
        membership=(
            _decode_membership(message.membership) if message.HasField("membership") else None
        ),
        started_unix_ms=message.started_unix_ms,
    )


def _encode_membership(member: GroupMembership) -> EndpointMembership:
    return EndpointMembership(
        group_id=member.key.group_id,
        generation=member.key.generation,
        rank=member.rank,
        state=member.state.value,
    )


def _decode_membership(message: EndpointMembership) -> GroupMembership:
    key = GroupKey(GroupId(message.group_id), message.generation)
    return GroupMembership(key, message.rank, MemberState(message.state))
