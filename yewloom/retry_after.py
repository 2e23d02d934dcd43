"""Retry-After: the longest time that callers are told, and the times that endpoints ask for."""

import re

_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

MAX_LOGGED_CHARACTERS = 40
"""Length to which an invalid value is cut before it is logged."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-After if nothing tells when capacity returns."""

MAX_RETRY_AFTER_S = 30.0
"""Upper bound of Retry-After: capacity that is lost for good is replaced or found again sooner."""


def bounded_retry_after_s(wait_s: float) -> float:
    """Return an expected wait, which may be infinite, as Retry-After time."""
    return min(max(0.0, wait_s), MAX_RETRY_AFTER_S)


def parse_seconds(text: str) -> float:
    """Return a Retry-After value; raise ValueError unless it is a plain number of seconds.

    A date is invalid: it depends on two clocks, and those of hosts may be stepped.
    """
    if not _SECONDS.fullmatch(text):
        raise ValueError(f"not a number of seconds: {text[:MAX_LOGGED_CHARACTERS]!r}")
    return float(text)
