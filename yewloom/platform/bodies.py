"""Bodies of the store's answers, read so that one value nobody can read spoils no others.

Another writer's value may hold bytes that are no text, numbers of thousands of digits, or nesting
that a recursive reader can't follow. What can't be read becomes a value that no decoder accepts.
"""

import json
from typing import Any

UNREADABLE = "\ufffd"
"""What stands in a text in place of bytes that are none."""

MAX_DEPTH = 100
"""Nesting that is read; the platform's own objects have some eight levels."""


def read_body(body: bytes) -> Any:
    """Return a body's JSON; raises ValueError if it is none."""
    text = body.decode("utf-8", "replace")
    try:
        return json.loads(text)
    except RecursionError:
        text = _without_deep_parts(text)
    except ValueError:
        pass  # Perhaps for a number of too many digits alone; else it is raised again.
    return json.loads(text, parse_int=_whole_number)


def _whole_number(digits: str) -> int | None:
    """Return a number, or None in place of one with more digits than Python reads."""
    try:
        return int(digits)
    except ValueError:
        return None


def _without_deep_parts(text: str) -> str:
    """Return JSON text with null in place of whatever is nested too deeply."""
    kept: list[str] = []
    depth = 0
    in_string = is_escaped = False
    for sign in text:
        if in_string:
            in_string = is_escaped or sign != '"'
            is_escaped = not is_escaped and sign == "\\"
            is_kept = depth <= MAX_DEPTH
        elif sign in "[{":
            depth += 1
            is_kept = depth <= MAX_DEPTH
            if depth == MAX_DEPTH + 1:
                kept.append("null")
        elif sign in "]}":
            is_kept = depth <= MAX_DEPTH
            depth -= 1
        else:
            in_string = sign == '"'
            is_kept = depth <= MAX_DEPTH
        if is_kept:
            kept.append(sign)
    return "".join(kept)
