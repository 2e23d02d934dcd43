"""Server-sent events as they pass from an endpoint to a caller: whole, in order, once.

Only whole events are passed on, so that a stream which breaks off inside an event can go on at
another endpoint after the last whole one.
"""

import re

from yewloom.values import value_class

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?:\n|$)")

MAX_EVENT_BYTES = 1 << 20
"""Longest event that is held until its end; endpoints' events have some hundred bytes."""


class StreamOrderError(Exception):
    """An event is missing, or one is too long."""


@value_class
class StreamEvent:
    """One whole event as sent, its blank line included; ``event_id`` is None if it has none."""

    event_id: int | None
    data: bytes


class EventSplitter:
    """Cuts the bytes of one endpoint's answer into whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        self._rest += data
        events = []
        while (end := _BLANK_LINE.search(self._rest)) is not None:
            event, self._rest = self._rest[: end.end()], self._rest[end.end() :]
            found = _ID_LINE.search(event)
            events.append(StreamEvent(int(found.group(1)) if found else None, event))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise StreamOrderError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events


class StreamCursor:
    """Follows one answer over several endpoints: each event once and in order."""

    def __init__(self, last_event_id: int) -> None:
        self.last_event_id = last_event_id
        self.has_events = False

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether an event is the next one; False for one that was passed on before.

        Raises StreamOrderError when events are missing before it.
        """
        if event.event_id is not None:
            if event.event_id <= self.last_event_id:
                return False
            if event.event_id != self.last_event_id + 1:
                raise StreamOrderError(f"event {event.event_id} follows {self.last_event_id}")
            self.last_event_id = event.event_id
        self.has_events = True
        return True
