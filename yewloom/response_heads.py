"""What the head of a response must not hold, although h11 accepts it.

A head that violates HTTP says nothing reliable: not what happened to the request, nor where the
body ends. It must not be passed on either, as the caller's HTTP library may reject it.
"""

MAX_STATUS = 599
"""Highest status that RFC 9110 (section 15) allows; h11 checks that there are three digits, and
that they don't begin with a zero."""


class ResponseHeadError(Exception):
    """The head of a response violates HTTP; the message says how."""


def check_status(status: int) -> None:
    """Raise ResponseHeadError if a status is none."""
    if status > MAX_STATUS:
        raise ResponseHeadError(f"status {status}")
