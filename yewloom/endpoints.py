"""Calls to model engines and plain services.

``Endpoints`` is what the rest of the system sees; ``HttpEndpoints`` speaks the HTTP form described
in docs/endpoint-api.md.
"""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any, Protocol

import trio
from google.protobuf import json_format
from result import Err, Ok, Result

from yewloom.http_calls import HttpAnswer, HttpCaller, HttpCallError, HttpFailure, HttpStream
from yewloom.ids import RequestId
from yewloom.retries import CallFailure
from yewloom.schema.records_pb2 import HostReport, Order
from yewloom.streams import StreamPiece
from yewloom.values import value_class
from yewloom.writes import to_json

REFUSAL_STATUSES = {409, 429, 503}
"""Statuses by which an endpoint says that it did not run a call."""

_END_TIMEOUT_S = 0.1
_EVENT_END = b"\n\n"
_EVENT_DATA = b"data:"
_OUTCOME_HEADER = "x-outcome"
_NOT_RUN = "not_run"


class EndpointError(Exception):
    """A call to an endpoint failed; ``failure`` says what is known of it."""

    def __init__(self, failure: CallFailure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


@value_class
class GenerateCall:
    """A request for tokens.

    ``offset`` is the first token wanted. ``resume_only`` asks an engine that already runs the
    request to go on, and never to start it. ``delivered`` holds the tokens before ``offset``, from
    which another replica goes on.
    """

    request_id: RequestId
    group_id: str
    generation: int
    prompt: str
    max_tokens: int
    priority: int
    offset: int = 0
    resume_only: bool = False
    delivered: tuple[str, ...] = ()


@value_class
class ServiceCall:
    """A call of a plain service, passed on as it came."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Endpoints(Protocol):
    """The calls that the system makes to endpoints."""

    async def probe(self, address: str) -> Result[HostReport, EndpointError]:
        """Ask an endpoint for its report."""
        ...

    async def order(self, address: str, order: Order, timeout_s: float) -> Result[None, str]:
        """Give an order to a model engine."""
        ...

    def generate(
        self, address: str, call: GenerateCall, stall_timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[StreamPiece]]:
        """Open a stream of pieces; raises EndpointError at the start or while it is read.

        A silence longer than ``stall_timeout_s`` is an error too.
        """
        ...

    async def cancel(self, address: str, request_id: RequestId) -> None:
        """Tell an engine that nobody waits for a request any more; failures are ignored."""
        ...

    async def call_service(
        self, address: str, call: ServiceCall, timeout_s: float, is_unsafe: bool
    ) -> HttpAnswer:
        """Call a plain service; raises EndpointError."""
        ...


class HttpEndpoints:
    """Endpoints over HTTP."""

    def __init__(self, caller: HttpCaller, probe_timeout_s: float) -> None:
        self._caller = caller
        self._probe_timeout_s = probe_timeout_s

    async def probe(self, address: str) -> Result[HostReport, EndpointError]:
        """Ask an endpoint for its report."""
        try:
            answer = await self._caller.call(
                "GET", f"http://{address}/report", self._probe_timeout_s
            )
            if answer.status != 200:
                return Err(EndpointError(CallFailure.ENDPOINT_ERROR, f"status {answer.status}"))
            return Ok(json_format.Parse(answer.body, HostReport(), ignore_unknown_fields=True))
        except HttpCallError as error:
            return Err(_endpoint_error(error))
        except json_format.ParseError as error:
            return Err(EndpointError(CallFailure.ENDPOINT_ERROR, f"unreadable report: {error}"))

    async def order(self, address: str, order: Order, timeout_s: float) -> Result[None, str]:
        """Give an order to a model engine."""
        url = f"http://{address}/order"
        try:
            answer = await self._caller.call("POST", url, timeout_s, to_json(order).encode())
        except HttpCallError as error:
            return Err(str(error))
        if answer.status != 200:
            return Err(f"status {answer.status}: {answer.body[:200].decode(errors='replace')}")
        return Ok(None)

    @asynccontextmanager
    async def generate(
        self, address: str, call: GenerateCall, stall_timeout_s: float
    ) -> AsyncIterator[AsyncIterator[StreamPiece]]:
        """Open a stream of pieces; raises EndpointError at the start or while it is read."""
        body = json.dumps(_generate_fields(call)).encode()
        try:
            url = f"http://{address}/generate"
            async with self._caller.stream("POST", url, body, stall_timeout_s) as stream:
                if stream.status != 200:
                    raise _refusal(stream.status)
                yield _pieces(stream)
                await _read_end(stream)
        except HttpCallError as error:
            raise _endpoint_error(error) from error

    async def cancel(self, address: str, request_id: RequestId) -> None:
        """Tell an engine that nobody waits for a request any more; failures are ignored."""
        body = json.dumps({"request_id": request_id}).encode()
        try:
            url = f"http://{address}/cancel"
            await self._caller.call("POST", url, self._probe_timeout_s, body)
        except HttpCallError:
            return

    async def call_service(
        self, address: str, call: ServiceCall, timeout_s: float, is_unsafe: bool
    ) -> HttpAnswer:
        """Call a plain service; raises EndpointError."""
        url = f"http://{address}{call.path}"
        try:
            answer = await self._caller.call(
                call.method, url, timeout_s, call.body, call.headers, fresh=is_unsafe
            )
        except HttpCallError as error:
            raise _endpoint_error(error) from error
        if answer.status in REFUSAL_STATUSES and answer.headers.get(_OUTCOME_HEADER) == _NOT_RUN:
            raise _refusal(answer.status)
        return answer


async def _read_end(stream: HttpStream) -> None:
    """Read the end of the body, without which the connection can't be used again."""
    with trio.move_on_after(_END_TIMEOUT_S):
        async for _ in stream.chunks:
            continue


async def _pieces(stream: HttpStream) -> AsyncIterator[StreamPiece]:
    """Cut the body into events of one ``data`` line and decode each."""
    rest = b""
    async for chunk in stream.chunks:
        *events, rest = (rest + chunk).split(_EVENT_END)
        for event in events:
            if event.startswith(_EVENT_DATA):
                yield _piece(event.removeprefix(_EVENT_DATA))


def _piece(data: bytes) -> StreamPiece:
    try:
        fields: dict[str, Any] = json.loads(data)
        return StreamPiece(
            request_id=RequestId(fields["request_id"]),
            generation=int(fields["generation"]),
            offset=int(fields["offset"]),
            tokens=tuple(fields["tokens"]),
            is_last=bool(fields.get("last", False)),
            finish_reason=str(fields.get("finish_reason", "")),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise EndpointError(CallFailure.BROKEN, f"unreadable piece: {error}") from error


def _generate_fields(call: GenerateCall) -> dict[str, Any]:
    return {
        "request_id": call.request_id,
        "group_id": call.group_id,
        "generation": call.generation,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "priority": call.priority,
        "offset": call.offset,
        "resume_only": call.resume_only,
        "delivered": list(call.delivered),
    }


def _refusal(status: int) -> EndpointError:
    refused = status in REFUSAL_STATUSES
    failure = CallFailure.REFUSED if refused else CallFailure.ENDPOINT_ERROR
    return EndpointError(failure, f"status {status}")


def _endpoint_error(error: HttpCallError) -> EndpointError:
    kinds = {
        HttpFailure.NOT_SENT: CallFailure.CONNECT,
        HttpFailure.MAYBE_SENT: CallFailure.BROKEN,
        HttpFailure.TIMED_OUT: CallFailure.STALLED,
    }
    return EndpointError(kinds[error.failure], str(error))
