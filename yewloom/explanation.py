"""History of one request, assembled from the logs of several entry hosts."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

_UNLISTED_FIELDS = ("timestamp", "host", "event", "level", "request_id")
"""Fields that are shown at the start of a line or not at all."""

CONTEXT_EVENTS = frozenset(
    {
        "configuration applied",
        "endpoint asked for a pause",
        "endpoint crashed",
        "endpoint ejected",
        "endpoint removed",
        "endpoint leaving",
        "endpoint limit",
        "endpoint returned",
        "group stalled",
        "isolation from endpoints changed",
        "member unresponsive",
        "platform unreachable",
        "platform reachable again",
        "placement written",
        "prompt part quarantined",
        "prompt part released from quarantine",
        "request released from quarantine",
        "request quarantined",
        "started",
        "stopping",
        "store went back to an older copy",
    }
)
"""Events that name no request but may explain the outcome of one on the same host."""

MAX_CONTEXT_LINES = 8
"""Maximum number of context events shown: the latest up to the last event of the request."""


@dataclass
class RequestHistory:
    """Collects the log events of one request and earlier context events of the same hosts."""

    request_id: str
    skipped_lines: int = 0
    _request_events: list[dict[str, Any]] = field(default_factory=list)
    _context_events: list[dict[str, Any]] = field(default_factory=list)

    @property
    def is_known(self) -> bool:
        """Tell whether any event belongs to the request."""
        return bool(self._request_events)

    def read(self, lines: Iterable[str]) -> None:
        """Add the lines of one log file; count the lines that are not JSON objects."""
        for line in lines:
            if not line.strip():
                continue
            try:
                fields = json.loads(line)
            except ValueError:
                fields = None
            if not isinstance(fields, dict):
                self.skipped_lines += 1
            elif fields.get("request_id") == self.request_id:
                self._request_events.append(fields)
            elif fields.get("event") in CONTEXT_EVENTS:
                self._context_events.append(fields)

    def lines(self) -> list[str]:
        """Return the events sorted by time and host, followed by their context."""
        output = [_format_event(fields) for fields in sorted(self._request_events, key=_sort_key)]
        context = self._format_context()
        if context:
            output += ["", "Earlier events on the same hosts:", *context]
        if self.skipped_lines:
            output.append(
                f"({self.skipped_lines} lines are not valid JSON objects and were skipped.)"
            )
        return output

    def _format_context(self) -> list[str]:
        if not self._request_events:
            return []
        hosts = {fields.get("host") for fields in self._request_events}
        last_timestamp = max(_timestamp(fields) for fields in self._request_events)
        earlier = [
            f
            for f in self._context_events
            if f.get("host") in hosts and _timestamp(f) <= last_timestamp
        ]
        return [
            _format_event(fields) for fields in sorted(earlier, key=_sort_key)[-MAX_CONTEXT_LINES:]
        ]


def _format_event(fields: dict[str, Any]) -> str:
    other_fields = ", ".join(
        f"{k}={_format_value(v)}" for k, v in fields.items() if k not in _UNLISTED_FIELDS
    )
    return (
        f"{_timestamp(fields)} {fields.get('host', '')} {fields.get('event', '')}: {other_fields}"
    )


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _timestamp(fields: dict[str, Any]) -> str:
    return str(fields.get("timestamp", ""))


def _sort_key(fields: dict[str, Any]) -> tuple[str, str]:
    return _timestamp(fields), str(fields.get("host", ""))
