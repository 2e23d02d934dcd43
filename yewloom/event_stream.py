"""Forward server-sent events from endpoints to a caller: complete, in order and exactly once.

Only complete events are forwarded, so that a stream that breaks off inside an event can be resumed
at another endpoint after the last complete one.
"""

import re

from yewloom.values import value_class

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?:\n|$)")

MAX_EVENT_BYTES = 1 << 20
"""Maximum length of an event that is buffered. Endpoints' events have a few hundred bytes."""


class EventStreamError(Exception):
    """An event of a stream is missing or too long."""


@value_class
class StreamEvent:
    """One complete event as sent, including its blank line; ``event_id`` is None if it has none."""

    event_id: int | None
    data: bytes


class EventSplitter:
    """Splits the body of one endpoint's response into events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds the start of an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes, and return the events that are complete now."""
        self._buffer += data
        events = []
        while (end := _BLANK_LINE.search(self._buffer)) is not None:
            event, self._buffer = self._buffer[: end.end()], self._buffer[end.end() :]
            id_match = _ID_LINE.search(event)
            events.append(StreamEvent(int(id_match.group(1)) if id_match else None, event))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events


class StreamCursor:
    """Tracks the position in one stream that several endpoints deliver in turn.

    Each event is forwarded once and in order.
    """

    def __init__(self, last_event_id: int) -> None:
        self.last_event_id = last_event_id
        self.has_events = False

    def accept(self, event: StreamEvent) -> bool:
        """Return whether an event is the next one; False if it was forwarded before.

        Raises EventStreamError if events are missing before it.
        """
        if event.event_id is not None:
            if event.event_id <= self.last_event_id:
                return False
            if event.event_id != self.last_event_id + 1:
                raise EventStreamError(f"event {event.event_id} follows {self.last_event_id}")
            self.last_event_id = event.event_id
        self.has_events = True
        return True
