"""Forward server-sent events from endpoints to a caller: complete, in order and exactly once.

Only complete events are forwarded, so that a stream that breaks off inside an event can be resumed
at another endpoint after the last complete one.
"""

import re
from collections.abc import Iterable

from yewloom.values import value_class

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?:\n|$)")
_DATA_LINE = re.compile(rb"(?:^|\n)data[:\r\n]")

_BLANK_LINE_BYTES = 4
"""Greatest length of a blank line with the line end before it."""

MAX_EVENT_BYTES = 1 << 16
"""Maximum length of an event that is buffered. Endpoints' events have a few hundred bytes, and a
host may hold one for each of its streams."""

MAX_IDLE_BYTES = 1 << 16
"""Maximum length of comments and repeated events before a new one: as much as of an event that is
buffered. A comment a second takes hours for it."""


class EventStreamError(Exception):
    """An event of a stream is missing or too long."""


@value_class
class StreamEvent:
    """One complete event as sent, including its blank line; ``event_id`` is None if it has none."""

    event_id: int | None
    data: bytes

    @property
    def is_keep_alive(self) -> bool:
        """Return whether this is no event for its reader, like a comment by itself."""
        return self.event_id is None and _DATA_LINE.search(self.data) is None


class EventSplitter:
    """Splits the body of one endpoint's response into events."""

    def __init__(self) -> None:
        self._partial = bytearray()
        self._searched_bytes = 0  # The first bytes of it that start no blank line.

    @property
    def has_partial_event(self) -> bool:
        """Return whether the start of an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes, and return the events that are complete now.

        Raises EventStreamError if an event is too long or has an invalid id.
        """
        if self._partial:
            self._partial += data
            if _BLANK_LINE.search(self._partial, self._searched_bytes) is None:
                self._keep()
                return []
            data = bytes(self._partial)
            self._partial.clear()
        return self._split(data)

    def _split(self, data: bytes) -> list[StreamEvent]:
        """Return the complete events in a text, and keep the rest of it."""
        events, start = [], 0
        while (end := _BLANK_LINE.search(data, start)) is not None:
            event, start = data[start : end.end()], end.end()
            match = _ID_LINE.search(event)
            events.append(StreamEvent(_event_id(match[1]) if match else None, event))
            if start == len(data):
                return events
        self._partial += data[start:]
        self._keep()
        return events

    def _keep(self) -> None:
        """Keep an incomplete event, whose end may be the beginning of a blank line."""
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        self._searched_bytes = max(0, len(self._partial) - _BLANK_LINE_BYTES + 1)


def _event_id(digits: bytes) -> int:
    try:
        return int(digits)
    except ValueError as error:  # Python converts a few thousand digits at most.
        raise EventStreamError(f"an event's id has {len(digits)} digits") from error


class ResponseProgress:
    """Tells which events of one response show that its endpoint goes on with it.

    A front before an engine that hangs may still send comments, or an event again.
    """

    def __init__(self) -> None:
        self._last_id = -1
        self._idle_bytes = 0  # Since the last new event.

    def advance(self, events: Iterable[StreamEvent]) -> bool:
        """Return whether any of the next events is new in this response.

        Raises EventStreamError if the events before the next new one are too long.
        """
        has_new = False
        for event in events:
            if self._is_new(event):
                has_new, self._idle_bytes = True, 0
            else:
                self._add_idle(len(event.data))
        return has_new

    def _add_idle(self, count: int) -> None:
        self._idle_bytes += count
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise EventStreamError(f"no new event in {MAX_IDLE_BYTES} bytes")

    def _is_new(self, event: StreamEvent) -> bool:
        if event.event_id is None:
            return not event.is_keep_alive
        is_new = event.event_id > self._last_id
        self._last_id = max(self._last_id, event.event_id)
        return is_new


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
