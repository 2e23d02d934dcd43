"""Calls to model engines and plain services.

``Endpoints`` is the interface for the rest of the system; ``HttpEndpoints`` implements it with the
HTTP protocol of docs/endpoint-api.md.
"""

import json
import math
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any, Protocol

import trio
from google.protobuf import json_format
from result import Err, Ok, Result

from yewloom.endpoint_announcements import NO_PAUSE, RequestedPause, decode_pause
from yewloom.endpoint_calls import MAX_BUFFERED_RESPONSE_BYTES, PIECES_PER_TURN
from yewloom.event_stream import EventSplitter, EventStreamError, StreamEvent
from yewloom.http_calls import HttpCallError, HttpClient, HttpFailure, HttpResponse, HttpStream
from yewloom.ids import RequestId
from yewloom.retries import CallFailure
from yewloom.schema.records_pb2 import HostReport, Order
from yewloom.streams import StreamChunk
from yewloom.values import value_class
from yewloom.writes import to_json

REFUSAL_STATUSES = {409, 429, 503}
"""Statuses with which an endpoint reports that it did not run a call."""

MAX_REPORT_BYTES = 4 << 20
"""Maximum length of an endpoint's report: far more than its load and its latest cache events take.
"""

_READ_END_TIMEOUT_S = 0.1
_EVENT_DATA = b"data:"
_OUTCOME_HEADER = "x-outcome"
_NOT_RUN = "not_run"
_RETRY_AFTER_HEADER = "retry-after"


class EndpointError(Exception):
    """A call to an endpoint failed; ``failure`` classifies the failure.

    ``pause`` is what the endpoint asks this host for in its response, if there is one.
    """

    def __init__(self, failure: CallFailure, detail: str, pause: RequestedPause = NO_PAUSE) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.pause = pause


@value_class
class GenerateCall:
    """A request for tokens.

    ``offset`` is the position of the first token wanted. ``resume_only`` tells an engine to
    continue a request that it is already running, and never to start it. ``delivered_tokens`` holds
    the tokens before ``offset``, from which another replica continues.
    """

    request_id: RequestId
    group_id: str
    generation: int
    prompt: str
    max_tokens: int
    priority: int
    offset: int = 0
    resume_only: bool = False
    delivered_tokens: tuple[str, ...] = ()


@value_class
class ServiceCall:
    """A call to a plain service, forwarded unchanged."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Endpoints(Protocol):
    """The calls that an entry host makes to endpoints."""

    async def probe(self, address: str) -> Result[HostReport, EndpointError]:
        """Request an endpoint's report."""
        ...

    async def send_order(self, address: str, order: Order, timeout_s: float) -> Result[None, str]:
        """Send an order to a model engine."""
        ...

    def generate(
        self, address: str, call: GenerateCall, stall_timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[StreamChunk]]:
        """Open a stream of chunks; raises EndpointError when opened or while it is read.

        Receiving nothing for longer than ``stall_timeout_s`` is an error too.
        """
        ...

    async def cancel(self, address: str, request_id: RequestId) -> None:
        """Tell an engine that a request is no longer needed; failures are ignored."""
        ...

    async def call_service(
        self, address: str, call: ServiceCall, timeout_s: float, is_unsafe: bool
    ) -> HttpResponse:
        """Call a plain service; raises EndpointError."""
        ...


class HttpEndpoints:
    """Endpoints over HTTP."""

    def __init__(self, client: HttpClient, probe_timeout_s: float) -> None:
        self._client = client
        self._probe_timeout_s = probe_timeout_s

    async def probe(self, address: str) -> Result[HostReport, EndpointError]:
        """Request an endpoint's report."""
        try:
            response = await self._client.call(
                "GET",
                f"http://{address}/report",
                self._probe_timeout_s,
                max_bytes=MAX_REPORT_BYTES,
            )
            if response.status != 200:
                return Err(EndpointError(CallFailure.ENDPOINT_ERROR, f"status {response.status}"))
            return Ok(json_format.Parse(response.body, HostReport(), ignore_unknown_fields=True))
        except HttpCallError as error:
            return Err(_endpoint_error(error))
        except json_format.ParseError as error:
            return Err(EndpointError(CallFailure.ENDPOINT_ERROR, f"invalid report: {error}"))

    async def send_order(self, address: str, order: Order, timeout_s: float) -> Result[None, str]:
        """Send an order to a model engine."""
        url = f"http://{address}/order"
        try:
            response = await self._client.call(
                "POST", url, timeout_s, to_json(order).encode(), max_bytes=MAX_REPORT_BYTES
            )
        except HttpCallError as error:
            return Err(str(error))
        if response.status != 200:
            return Err(f"status {response.status}: {response.body[:200].decode(errors='replace')}")
        return Ok(None)

    @asynccontextmanager
    async def generate(
        self, address: str, call: GenerateCall, stall_timeout_s: float
    ) -> AsyncIterator[AsyncIterator[StreamChunk]]:
        """Open a stream of chunks; raises EndpointError when opened or while it is read."""
        body = json.dumps(_generate_fields(call)).encode()
        try:
            url = f"http://{address}/generate"
            async with self._client.stream("POST", url, body, stall_timeout_s) as stream:
                if stream.status != 200:
                    raise _status_error(stream.status, stream.headers)
                yield _parse_chunks(stream, stall_timeout_s)
                await _read_end(stream)
        except HttpCallError as error:
            raise _endpoint_error(error) from error

    async def cancel(self, address: str, request_id: RequestId) -> None:
        """Tell an engine that a request is no longer needed; failures are ignored."""
        body = json.dumps({"request_id": request_id}).encode()
        try:
            url = f"http://{address}/cancel"
            await self._client.call(
                "POST", url, self._probe_timeout_s, body, max_bytes=MAX_REPORT_BYTES
            )
        except HttpCallError:
            return

    async def call_service(
        self, address: str, call: ServiceCall, timeout_s: float, is_unsafe: bool
    ) -> HttpResponse:
        """Call a plain service; raises EndpointError."""
        url = f"http://{address}{call.path}"
        try:
            response = await self._client.call(
                call.method,
                url,
                timeout_s,
                call.body,
                call.headers,
                new_connection=is_unsafe,
                max_bytes=MAX_BUFFERED_RESPONSE_BYTES,
            )
        except HttpCallError as error:
            if error.head is None or not _is_refusal(error.head):
                raise _endpoint_error(error) from error
            response = error.head  # That of a refusal says all.
        if _is_refusal(response):
            raise _status_error(response.status, response.headers)
        return response


async def _read_end(stream: HttpStream) -> None:
    """Read the rest of the body, so that the connection can be reused."""
    with trio.move_on_after(_READ_END_TIMEOUT_S):
        async for _ in stream.chunks:
            continue


async def _parse_chunks(
    stream: HttpStream, stall_timeout_s: float = math.inf
) -> AsyncIterator[StreamChunk]:
    """Split the body into events of one ``data`` line each, and decode them.

    Raises EndpointError if the next event takes too long; comments do not prolong the wait.
    """
    splitter, pieces = EventSplitter(), 0
    due_s = trio.current_time() + stall_timeout_s
    while (data := await _next_piece(stream, due_s)) is not None:
        for event in _split(splitter, data):
            if event.data.startswith(_EVENT_DATA):
                yield _parse_chunk(event.data.removeprefix(_EVENT_DATA))
                due_s = trio.current_time() + stall_timeout_s
        pieces += 1
        if pieces % PIECES_PER_TURN == 0:
            await trio.lowlevel.checkpoint()


async def _next_piece(stream: HttpStream, due_s: float) -> bytes | None:
    """Return the next bytes of a body, or None at its end; raise EndpointError if it is late."""
    with trio.move_on_at(due_s):
        return await anext(stream.chunks, None)
    raise EndpointError(CallFailure.STALLED, "no event in time")


def _split(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
    """Return the events that are complete now; raise EndpointError if one is unreadable."""
    try:
        return splitter.feed(data)
    except EventStreamError as error:
        raise EndpointError(CallFailure.CONNECTION_LOST, str(error)) from error


def _parse_chunk(data: bytes) -> StreamChunk:
    try:
        fields: dict[str, Any] = json.loads(data)
        return StreamChunk(
            request_id=RequestId(fields["request_id"]),
            generation=int(fields["generation"]),
            offset=int(fields["offset"]),
            tokens=tuple(fields["tokens"]),
            is_last=bool(fields.get("last", False)),
            finish_reason=str(fields.get("finish_reason", "")),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise EndpointError(
            CallFailure.CONNECTION_LOST, f"invalid stream chunk: {error}"
        ) from error


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
        "delivered": list(call.delivered_tokens),
    }


def requested_pause(status: int, headers: Mapping[str, str]) -> RequestedPause:
    """Return the pause that an endpoint asks for in a response."""
    return decode_pause(status, headers.get(_RETRY_AFTER_HEADER))


def _is_refusal(response: HttpResponse) -> bool:
    """Return whether the head of a plain service's response says that the call did not run."""
    is_not_run = response.headers.get(_OUTCOME_HEADER) == _NOT_RUN
    return is_not_run and response.status in REFUSAL_STATUSES


def _status_error(status: int, headers: Mapping[str, str]) -> EndpointError:
    is_refused = status in REFUSAL_STATUSES
    failure = CallFailure.REFUSED if is_refused else CallFailure.ENDPOINT_ERROR
    return EndpointError(failure, f"status {status}", requested_pause(status, headers))


def _endpoint_error(error: HttpCallError) -> EndpointError:
    failures = {
        HttpFailure.NOT_SENT: CallFailure.CONNECT,
        HttpFailure.MAYBE_SENT: CallFailure.CONNECTION_LOST,
        HttpFailure.TIMED_OUT: CallFailure.STALLED,
    }
    return EndpointError(failures[error.failure], str(error))
