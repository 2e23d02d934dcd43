"""Lenient decoding of JSON bodies: one invalid value does not make the other values unreadable.

A value that another program wrote may contain invalid UTF-8, numbers with thousands of digits, or
nesting that is too deep for a recursive parser. Such a part is replaced by a value that the
decoders of records reject.
"""

import json
from typing import Any

REPLACEMENT_CHARACTER = "\ufffd"
"""Character that replaces invalid UTF-8 in a text."""

MAX_DEPTH = 100
"""Maximum nesting that is decoded; objects of the platform have about eight levels."""


def decode_body(body: bytes) -> Any:
    """Decode a JSON body; raise ValueError if it is not JSON."""
    text = body.decode("utf-8", "replace")
    try:
        return json.loads(text)
    except RecursionError:
        text = _replace_deep_parts(text)
    except ValueError:
        pass  # Decode again, in case a number with too many digits is the only error.
    return json.loads(text, parse_int=_parse_integer)


def _parse_integer(digits: str) -> int | None:
    """Parse an integer; return None if it has more digits than Python converts."""
    try:
        return int(digits)
    except ValueError:
        return None


def _replace_deep_parts(text: str) -> str:
    """Return JSON text in which parts nested deeper than ``MAX_DEPTH`` are replaced by null."""
    output: list[str] = []
    depth = 0
    in_string = is_escaped = False
    for character in text:
        if in_string:
            in_string = is_escaped or character != '"'
            is_escaped = not is_escaped and character == "\\"
            is_kept = depth <= MAX_DEPTH
        elif character in "[{":
            depth += 1
            is_kept = depth <= MAX_DEPTH
            if depth == MAX_DEPTH + 1:
                output.append("null")
        elif character in "]}":
            is_kept = depth <= MAX_DEPTH
            depth -= 1
        else:
            in_string = character == '"'
            is_kept = depth <= MAX_DEPTH
        if is_kept:
            output.append(character)
    return "".join(output)
