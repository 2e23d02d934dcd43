"""The story of one request, put together from the log lines of several entry hosts."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

_PLAIN_FIELDS = ("timestamp", "host", "event", "level", "request_id")

CONTEXT_EVENTS = frozenset(
    {
        "configuration applied",
        "endpoint crashed",
        "endpoint gone",
        "endpoint leaving",
        "endpoint limit",
        "group stands still",
        "member silent",
        "platform lost",
        "platform regained",
        "placement written",
        "request let go",
        "request quarantined",
        "started",
        "stopping",
    }
)
"""Events that may explain a request's fate: what a host believed or lost around it."""

CONTEXT_LINES = 8
"""Most lines of context, the latest before the request's end."""


@dataclass
class Story:
    """Gathers the lines that name a request, and what the same hosts logged before its end."""

    request_id: str
    unreadable: int = 0
    _own: list[dict[str, Any]] = field(default_factory=list)
    _context: list[dict[str, Any]] = field(default_factory=list)

    @property
    def is_known(self) -> bool:
        """Tell whether any line names the request."""
        return bool(self._own)

    def read(self, lines: Iterable[str]) -> None:
        """Take in the lines of one file; lines that are no JSON objects are counted."""
        for line in lines:
            if not line.strip():
                continue
            try:
                fields = json.loads(line)
            except ValueError:
                fields = None
            if not isinstance(fields, dict):
                self.unreadable += 1
            elif fields.get("request_id") == self.request_id:
                self._own.append(fields)
            elif fields.get("event") in CONTEXT_EVENTS:
                self._context.append(fields)

    def lines(self) -> list[str]:
        """Return the story in order of time and host, with what went before it."""
        told = [_sentence(fields) for fields in sorted(self._own, key=_order)]
        context = self._context_lines()
        if context:
            told += ["", "Before its end, on the same hosts:", *context]
        if self.unreadable:
            told.append(f"({self.unreadable} lines could not be read and were left out.)")
        return told

    def _context_lines(self) -> list[str]:
        if not self._own:
            return []
        hosts = {fields.get("host") for fields in self._own}
        last = max(_time(fields) for fields in self._own)
        before = [f for f in self._context if f.get("host") in hosts and _time(f) <= last]
        return [_sentence(fields) for fields in sorted(before, key=_order)[-CONTEXT_LINES:]]


def _sentence(fields: dict[str, Any]) -> str:
    rest = ", ".join(f"{k}={_text(v)}" for k, v in fields.items() if k not in _PLAIN_FIELDS)
    return f"{_time(fields)} {fields.get('host', '')} {fields.get('event', '')}: {rest}"


def _text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _time(fields: dict[str, Any]) -> str:
    return str(fields.get("timestamp", ""))


def _order(fields: dict[str, Any]) -> tuple[str, str]:
    return _time(fields), str(fields.get("host", ""))
