"""Forwards the events of a stream to the caller as they arrive."""

from collections.abc import Awaitable, Callable, Sequence

import trio

from yewloom.endpoint_calls import ExchangeError, ExchangeFailure, Header
from yewloom.event_stream import (
    EventSplitter,
    EventStreamError,
    ResponseProgress,
    StreamEvent,
)
from yewloom.forward_request import ForwardRequest
from yewloom.values import value_class


@value_class
class StreamHead:
    """Status and headers with which the caller's response starts, without framing headers."""

    status: int
    headers: Sequence[Header]


async def forward_events(
    request: ForwardRequest,
    head: StreamHead,
    read_chunk: Callable[[], Awaitable[bytes | None]],
    on_chunk: Callable[[bool], None] = lambda has_new_event: None,
    claim: Callable[[], None] = lambda: None,
    is_framed: bool = True,
) -> None:
    """Forward events until the stream ends; the caller's response starts with the first event.

    Events that the caller already has are left out. Raises ExchangeError if the stream ends inside
    an event or without any; ``on_chunk`` is called after each chunk that was read, with whether it
    brought an event that is new in this response, and ``claim`` before events are forwarded. A
    response that is not framed ends with its connection, so one without any event has ended too
    early even if it continues a stream.
    """
    splitter, progress, has_events = EventSplitter(), ResponseProgress(), False
    while (chunk := await read_chunk()) is not None:
        events = splitter.feed(chunk)
        on_chunk(progress.advance(events))
        has_events = has_events or any(not e.is_keep_alive for e in events)
        data, error = _accept(request, events)
        if data:
            claim()
            await _forward_data(request, head, data)
        if error is not None:
            raise error
    is_cut = splitter.has_partial_event or not (is_framed or has_events)
    if is_cut or not request.response_writer.is_started:
        raise ExchangeError(
            ExchangeFailure.CONNECTION_LOST, True, "the stream ended inside an event"
        )


def _accept(
    request: ForwardRequest, events: Sequence[StreamEvent]
) -> tuple[bytes, EventStreamError | None]:
    """Return what is sent to the caller, and why the events after it are not."""
    data = bytearray()
    try:
        for event in events:
            if _is_for_caller(request, event):
                data += event.data
    except EventStreamError as error:
        return bytes(data), error
    return bytes(data), None


def _is_for_caller(request: ForwardRequest, event: StreamEvent) -> bool:
    """Return whether an event is sent to the caller.

    What only keeps a connection alive starts no response, and decides nothing between attempts.
    """
    if event.is_keep_alive:
        return request.response_writer.is_started and len(request.running) <= 1
    return request.cursor.accept(event)


async def _forward_data(request: ForwardRequest, head: StreamHead, data: bytes) -> None:
    if request.response_writer.is_started:
        await request.response_writer.send(data)
        return
    request.first_event_s = trio.current_time()
    await request.response_writer.start(head.status, head.headers, data)
