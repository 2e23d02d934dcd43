"""What the head of a response must not hold, although h11 accepts it.

A head that violates HTTP says nothing reliable: not what happened to the request, nor where the
body ends. It must not be passed on either, as the caller's HTTP library may reject it.
"""

import re
from collections.abc import Iterable

MAX_STATUS = 599
"""Highest status that RFC 9110 (section 15) allows; h11 takes all from 200 to 999 as final."""

_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""A byte that no value of a field may hold (RFC 9110, section 5.5): all control bytes but the tab.
"""

_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_BYTES = 3
"""Maximum length of what ends a head."""

_FOLDED_LINE = re.compile(rb"\n[ \t]")
_INTERIM_STATUS = re.compile(rb"HTTP/[0-9]\.[0-9] 1[0-9]{2}")


class ResponseHeadError(Exception):
    """The head of a response violates HTTP; the message says how."""


def check_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Raise ResponseHeadError if the status is invalid, or a value holds a control byte."""
    if status > MAX_STATUS:
        raise ResponseHeadError(f"status {status}")
    for name, value in headers:
        if _CONTROL_BYTE.search(value):
            raise ResponseHeadError(f"control byte in the value of {name.decode('latin-1')}")


class FoldedLineCheck:
    """Looks for folded lines in the heads of one response: the interim ones and the final one.

    h11 appends a line that begins with a blank or a tab to the value before it, whatever that
    decides. RFC 9112 (section 5.2) lets a gateway reject such a response.
    """

    def __init__(self) -> None:
        self._head = bytearray()
        self._is_over = False

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the response; raise ResponseHeadError at a folded line."""
        if self._is_over:
            return
        searched_bytes = max(0, len(self._head) - _HEAD_END_BYTES + 1)
        self._head += data
        while (end := _HEAD_END.search(self._head, searched_bytes)) is not None:
            if _FOLDED_LINE.search(self._head, 0, end.end()):
                raise ResponseHeadError("folded line in the head")
            if not _INTERIM_STATUS.match(self._head):
                self._is_over = True
                self._head.clear()
                return
            del self._head[: end.end()]
            searched_bytes = 0
