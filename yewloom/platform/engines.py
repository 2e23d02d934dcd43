"""Orders to model engines, and their reports, in the format of the platform."""

import json
from functools import singledispatch
from typing import Any

from yewloom.departures import Departures
from yewloom.directory import GroupKey
from yewloom.http_calls import HttpCallError, HttpClient, HttpFailure
from yewloom.ids import HostId
from yewloom.platform.bodies import decode_body
from yewloom.platform.names import INSTANCE_HEADER, LEAVING_HEADER, LEAVING_VALUE
from yewloom.platform.records import DECODE_ERRORS, decode_membership, decode_start_unix_ms
from yewloom.replica_orders import (
    REPORT_TIMEOUT_S,
    CloseGroup,
    EngineOrder,
    EngineReport,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    OrderAnswer,
    StageModel,
)

ORDER_TIMEOUT_S = 0.8
"""Time-out for an engine's answer to an order: engines answer within milliseconds or not at all."""

_ANSWERS_BY_STATUS = {
    200: OrderAnswer.UNCHANGED,
    202: OrderAnswer.STARTED,
    400: OrderAnswer.REFUSED,
    409: OrderAnswer.REFUSED,
    412: OrderAnswer.REFUSED,
    421: OrderAnswer.WRONG_ENGINE,
}


class HttpEngineClient:
    """Sends orders to engines, and reads their reports, over HTTP."""

    def __init__(self, client: HttpClient, departures: Departures) -> None:
        self._client = client
        self._departures = departures

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_order_count: int | None
    ) -> OrderAnswer:
        """Send an order; an engine whose order count is not the expected one rejects it."""
        fields = order_fields(order)
        if expected_order_count is not None:
            # The wire field "expectedRev" is the number of orders that the engine has accepted.
            fields["expectedRev"] = expected_order_count
        headers = {"content-type": "application/json", "yewloom-expect-instance": engine}
        url = f"http://{address}/order"
        try:
            response = await self._client.call(
                "POST",
                url,
                ORDER_TIMEOUT_S,
                json.dumps(fields).encode(),
                headers,
                new_connection=True,
            )
        except HttpCallError as error:
            may_have_been_sent = error.failure is not HttpFailure.NOT_SENT
            return OrderAnswer.UNKNOWN if may_have_been_sent else OrderAnswer.UNREACHABLE
        if response.headers.get(LEAVING_HEADER) == LEAVING_VALUE:
            self._departures.record(HostId(response.headers.get(INSTANCE_HEADER) or engine))
        return _ANSWERS_BY_STATUS.get(response.status, OrderAnswer.UNKNOWN)

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Read the report of an engine; return None if no valid one arrives in time."""
        url = f"http://{address}/report"
        try:
            response = await self._client.call("GET", url, timeout_s, new_connection=True)
            fields = decode_body(response.body)
            membership = decode_membership(fields)
            group = membership.key if membership is not None else None
            # The wire field "utilization" says whether an order is being carried out.
            is_busy = fields.get("utilization") is True
            return EngineReport(
                int(fields["sequence"]), decode_start_unix_ms(fields), group, is_busy
            )
        except (HttpCallError, *DECODE_ERRORS):
            return None  # The calling function logs that the engine did not answer.


@singledispatch
def order_fields(order: Any) -> dict[str, Any]:
    """Return the JSON fields of an order."""
    raise TypeError(f"not an engine order: {type(order).__name__}")


@order_fields.register
def _(order: JoinGroup) -> dict[str, Any]:
    fields = _group_fields("join", order.key)
    return {**fields, "model": order.model, "members": list(order.members)}


@order_fields.register
def _(order: OpenGroup) -> dict[str, Any]:
    return _group_fields("open", order.key)


@order_fields.register
def _(order: CloseGroup) -> dict[str, Any]:
    return {**_group_fields("close", order.key), "mode": "wait"}


@order_fields.register
def _(order: LeaveGroup) -> dict[str, Any]:
    return _group_fields("leave", order.key)


@order_fields.register
def _(order: StageModel) -> dict[str, Any]:
    # The wire operation "phase" with a model loads the weights of that model onto the host.
    return {"op": "phase", "model": order.model}


def _group_fields(op: str, key: GroupKey) -> dict[str, Any]:
    return {"op": op, "group": key.group_id, "epoch": key.generation}
