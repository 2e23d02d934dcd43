"""What the head of a response must not hold, although h11 accepts it.

A head that violates HTTP says nothing reliable: not what happened to the request, nor where the
body ends. It must not be passed on either, as the caller's HTTP library may reject it.
"""

import re
from collections.abc import Iterable

MAX_STATUS = 599
"""Highest status that RFC 9110 (section 15) allows; h11 checks that there are three digits, and
that they don't begin with a zero."""

_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""A byte that no value of a field may hold (RFC 9110, section 5.5): all control bytes but the tab.
"""


class ResponseHeadError(Exception):
    """The head of a response violates HTTP; the message says how."""


def check_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Raise ResponseHeadError if a status is none, or a value holds a control byte."""
    if status > MAX_STATUS:
        raise ResponseHeadError(f"status {status}")
    for name, value in headers:
        if _CONTROL_BYTE.search(value):
            raise ResponseHeadError(f"control byte in the value of {name.decode('latin-1')}")
