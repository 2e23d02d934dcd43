"""Decoding of the platform's objects to the types of the product."""

import json
from typing import Any

from yewloom.addresses import check_address
from yewloom.configuration import (
    CallerLimits,
    Configuration,
    EngineProfile,
    ReplicaModel,
    Service,
)
from yewloom.directory import Endpoint, GroupKey, GroupMembership, MemberState
from yewloom.engine_pace import EnginePace
from yewloom.ids import CustomerId, DataCentreId, GroupId, HostId, ModelName, RouteName, ServiceName
from yewloom.platform.bodies import REPLACEMENT_CHARACTER
from yewloom.platforms import StoredObject
from yewloom.routes import Route, RouteKind, RouteTable, ServiceWeight
from yewloom.writes import RecordError

_ROUTE_KINDS = {
    "idempotent": RouteKind.RETRYABLE,
    "non_idempotent": RouteKind.UNSAFE,
    "stream": RouteKind.STREAM,
}

DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)
"""Exceptions raised when an object whose fields have unexpected types or values is decoded."""

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
"""Whether an endpoint is leaving, by its state; an endpoint with any other state is invalid."""

_MAX_UNIX_MS = 2**53
"""Greatest accepted time, about 285,000 years from now."""

_MAX_NUMBER = 2**31 - 1
"""Greatest generation of a group or rank of a member that messages to peers can carry."""


class StoreRecordDecoder:
    """Decodes the objects that operators and endpoints write."""

    configuration_kind = "config"
    endpoint_kind = "servers"

    def decode_configuration(self, stored: StoredObject) -> Configuration | None:
        """Decode a configuration; return None for another object, raise RecordError if invalid."""
        if stored.key != f"{self.configuration_kind}/main":
            return None
        try:
            return _configuration(json.loads(stored.value))
        except DECODE_ERRORS as error:
            raise RecordError(f"cannot decode {stored.key}: {error!r}") from error

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Decode an endpoint; raise RecordError if it is invalid."""
        try:
            return _endpoint(self.endpoint_id(stored.key), json.loads(stored.value))
        except DECODE_ERRORS as error:
            raise RecordError(f"cannot decode {stored.key}: {error!r}") from error

    def endpoint_id(self, key: str) -> HostId:
        """Return the id of the endpoint from the key of its object."""
        return HostId(key.partition("/")[2])


def _configuration(fields: Any) -> Configuration:
    services = [_service(item) for item in _check_list(fields["services"])]
    return Configuration(
        version=int(fields["version"]),
        routes=RouteTable([_route(item) for item in _check_list(fields["routes"])]),
        services={service.name: service for service in services},
        # The wire field "tenants" asks for keys by being there, whether or not it lists any.
        requires_keys="tenants" in fields,
        customers=_customers(_check_list(fields.get("tenants", []))),
        limits=_limits(fields.get("limits") or {}),
    )


def _customers(tenants: list[Any]) -> dict[str, CustomerId]:
    """Return the customers by API key."""
    return {
        str(key): CustomerId(tenant["name"])
        for tenant in tenants
        for key in _check_list(tenant.get("apiKeys", []))
    }


def _route(fields: Any) -> Route:
    split = fields.get("split") or [{"service": fields["service"], "weight": 1}]
    kind = _ROUTE_KINDS[fields["type"]]
    return Route(
        name=RouteName(str(fields["name"])),
        host=str(fields["host"]),
        path_prefix=str(fields["pathPrefix"]),
        kind=kind,
        services=tuple(
            ServiceWeight(ServiceName(part["service"]), float(part["weight"])) for part in split
        ),
        max_endpoints=int(fields.get("attempts") or 1),
        timeout_ms=int(fields["timeoutMs"]),
        # The wire field "sloMs": a response within this time earns its full credit.
        latency_objective_ms=int(fields.get("sloMs") or 0),
        priority=int(fields.get("priority") or 0),
        allows_anonymous=bool(fields.get("anonymous")),
        is_resumable=kind is RouteKind.STREAM and bool(fields.get("resumable")),
    )


def _service(fields: Any) -> Service:
    engine = fields.get("engine")
    return Service(ServiceName(fields["name"]), _engine(engine) if engine else None)


def _engine(fields: Any) -> EngineProfile:
    models = [
        ReplicaModel(
            name=ModelName(item["name"]),
            group_size=int(item["size"]),
            initial_host_share=float(item.get("share") or 0),
            duration_factor=float(item.get("pace") or 1),
            load_s=float(item["loadS"]),
            # The wire field "warmupS" is the time to join a group once the weights are on the host.
            join_s=float(item["warmupS"]),
        )
        for item in fields.get("models") or []
    ]
    return EngineProfile(
        slots=int(fields["slots"]),
        models={model.name: model for model in models},
        loads_per_s=float(fields.get("loadsPerS") or 1),
        pace=_engine_pace(fields) if fields.get("step_ms") else None,
    )


def _engine_pace(fields: Any) -> EnginePace:
    return EnginePace(
        step_s=float(fields["step_ms"]) / 1000,
        # The wire field "per_seq_ms" is the time that each running request adds to a step.
        request_step_s=float(fields["per_seq_ms"]) / 1000,
        read_tokens_per_s=float(fields["read_per_s"]),
        chunk_tokens=int(fields["chunk"]),
        # The wire field "stride" is the number of steps in a pass.
        steps_per_pass=int(fields.get("stride") or 1),
    )


def _limits(fields: Any) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(fields.get("maxHeaderBytes") or defaults.max_header_bytes),
        max_body_bytes=int(fields.get("maxBodyBytes") or defaults.max_body_bytes),
        header_timeout_ms=int(fields.get("headerTimeoutMs") or defaults.header_timeout_ms),
        idle_timeout_ms=int(fields.get("idleTimeoutMs") or defaults.idle_timeout_ms),
    )


def _endpoint(endpoint_id: HostId, fields: Any) -> Endpoint:
    return Endpoint(
        id=HostId(_check_text(endpoint_id)),
        service=ServiceName(_check_text(fields["service"])),
        address=check_address(_check_text(fields["address"])),
        data_centre=DataCentreId(_check_text(fields["zone"])),
        is_leaving=_IS_LEAVING_BY_STATE[fields["state"]],
        fabric_domain=_check_text(fields.get("domain") or ""),
        models=frozenset(
            ModelName(_check_text(item["name"])) for item in fields.get("models") or []
        ),
        staged=frozenset(_model_name(item) for item in fields.get("staged") or []),
        membership=decode_membership(fields),
        started_unix_ms=decode_start_unix_ms(fields),
    )


def _model_name(item: Any) -> ModelName:
    return ModelName(_check_text(item["name"] if isinstance(item, dict) else item))


def decode_membership(fields: Any) -> GroupMembership | None:
    """Decode the group membership of an endpoint, None without one; raise one of DECODE_ERRORS."""
    group = fields.get("group")
    if not group or not group.get("name"):
        return None
    key = GroupKey(GroupId(_check_text(group["name"])), _check_number(group["epoch"]))
    return GroupMembership(key, _check_number(group["rank"]), MemberState(group["state"]))


def decode_start_unix_ms(fields: Any) -> int:
    """Decode the start time of a process, 0 if not given; raise ValueError if it is invalid."""
    # The wire field "born" is the Unix time of the start, in milliseconds.
    started_unix_ms = fields.get("born")
    if started_unix_ms is None:
        return 0
    if type(started_unix_ms) is not int or not 0 < started_unix_ms <= _MAX_UNIX_MS:
        raise ValueError(f"not a Unix time in ms: {started_unix_ms!r:.40}")
    return started_unix_ms


def _check_list(value: Any) -> list[Any]:
    """Return a list; raise TypeError for anything else, such as a text or a missing value."""
    if not isinstance(value, list):
        raise TypeError(f"not a list: {value!r:.40}")
    return value


def _check_text(value: Any) -> str:
    """Return a valid text; raise TypeError or ValueError if it could not be sent to peers."""
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r:.40}")
    value.encode()  # A lone surrogate can't be encoded.
    if REPLACEMENT_CHARACTER in value:
        raise ValueError("text with invalid UTF-8")
    return value


def _check_number(value: Any) -> int:
    """Return a whole number; raise ValueError if it is out of the range of messages to peers."""
    number = int(value)
    if not 0 <= number <= _MAX_NUMBER:
        raise ValueError(f"number out of range: {value!r:.40}")
    return number
