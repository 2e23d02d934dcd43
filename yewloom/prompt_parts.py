"""Parts of prompts, by which requests with different prompts have something in common.

A caller names the parts of a prompt in order. All but the last may be shared with other requests.
"""

from collections.abc import Iterable

from yewloom.hashing import hash64
from yewloom.ids import PromptPart

MAX_SHARED_PARTS = 16
"""Maximum number of parts of one prompt that are considered; prompts have three or four."""

_HEXADECIMAL_BASE = 16
_MAX_DIGITS = 16


def parse_prompt_part(text: str) -> PromptPart:
    """Return the part with an identifier in hexadecimal; any other text is hashed."""
    if len(text) <= _MAX_DIGITS:
        try:
            return PromptPart(int(text, _HEXADECIMAL_BASE) & 0xFFFF_FFFF_FFFF_FFFF)
        except ValueError:
            return PromptPart(hash64(text))
    return PromptPart(hash64(text))


def format_prompt_part(part: PromptPart) -> str:
    """Format a part for operators, in hexadecimal."""
    return f"{part:x}"


def format_prompt_parts(parts: Iterable[PromptPart]) -> list[str]:
    """Format several parts for a log line."""
    return [format_prompt_part(part) for part in parts]
