"""Orders to model engines in the platform's form."""

import json
from functools import singledispatch
from typing import Any

from yewloom.directory import GroupKey
from yewloom.http_calls import HttpCaller, HttpCallError, HttpFailure
from yewloom.ids import HostId
from yewloom.platform.bodies import read_body
from yewloom.platform.records import DECODE_ERRORS, membership_of, start_of_process
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
"""Longest wait for an engine's answer: it answers in some milliseconds, or not at all."""

_ANSWERS = {
    200: OrderAnswer.HOLDS,
    202: OrderAnswer.BEGUN,
    400: OrderAnswer.OUT_OF_DATE,
    409: OrderAnswer.OUT_OF_DATE,
    412: OrderAnswer.OUT_OF_DATE,
    421: OrderAnswer.OTHER_ENGINE,
}


class HttpEngineOrders:
    """Sends orders over HTTP."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def send(
        self, engine: HostId, address: str, order: EngineOrder, expected_sequence: int | None
    ) -> OrderAnswer:
        """Give one order; it counts only if the engine has taken ``expected_sequence`` so far."""
        fields = order_fields(order)
        if expected_sequence is not None:
            # The wire's "expectedRev" is the count of orders that the engine has taken.
            fields["expectedRev"] = expected_sequence
        headers = {"content-type": "application/json", "yewloom-expect-instance": engine}
        url = f"http://{address}/order"
        try:
            answer = await self._caller.call(
                "POST", url, ORDER_TIMEOUT_S, json.dumps(fields).encode(), headers, fresh=True
            )
        except HttpCallError as error:
            is_sent = error.failure is not HttpFailure.NOT_SENT
            return OrderAnswer.UNKNOWN if is_sent else OrderAnswer.UNREACHABLE
        return _ANSWERS.get(answer.status, OrderAnswer.UNKNOWN)

    async def read_report(
        self, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> EngineReport | None:
        """Ask an engine of itself; None if it does not answer in time."""
        url = f"http://{address}/report"
        try:
            answer = await self._caller.call("GET", url, timeout_s, fresh=True)
            fields = read_body(answer.body)
            member = membership_of(fields)
            group = member.key if member is not None else None
            # The wire's "utilization" says that an order is under way.
            is_busy = fields.get("utilization") is True
            return EngineReport(int(fields["sequence"]), start_of_process(fields), group, is_busy)
        except (HttpCallError, *DECODE_ERRORS):
            return None  # The caller logs that the engine is silent.


@singledispatch
def order_fields(order: Any) -> dict[str, Any]:
    """Return the body of an order."""
    raise TypeError(f"no order {type(order).__name__}")


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
    # The wire's "phase" with a model loads that model onto the host.
    return {"op": "phase", "model": order.model}


def _group_fields(op: str, key: GroupKey) -> dict[str, Any]:
    return {"op": op, "group": key.group_id, "epoch": key.generation}
