"""Bounds the bytes of request bodies that an entry host holds at once.

A body is held from its arrival until its response is complete, since the request may be sent to a
second endpoint. A body that finds no room is refused at once: its caller may find room at another
host, whereas waiting would hold its connection, and the upload, for as long as the others take.
"""

from collections.abc import Iterator
from contextlib import contextmanager

DEFAULT_MAX_BYTES = 96 << 20
"""Bound of a host whose settings give none."""

SMALL_BODY_BYTES = 64 << 10
"""Longest body that may use all of the bound; requests for text have a few kilobytes."""

LARGE_SHARE = 0.75
"""Share of the bound that longer bodies may fill, so that there is room for short ones."""

RETRY_AFTER_S = 0.5
"""Retry-After of a request that found no room: about the time of a large upload."""


class BodiesFullError(Exception):
    """A body finds no room."""


class HeldBody:
    """The part of the bound that one body takes."""

    def __init__(self, budget: "BodyBudget") -> None:
        self._budget = budget
        self.taken_bytes = 0

    def grow(self, length: int) -> None:
        """Take room until the body has a given length; raise BodiesFullError if there is none."""
        if length > self.taken_bytes:
            self._budget.take(length - self.taken_bytes, length)
            self.taken_bytes = length


class BodyBudget:
    """Counts the bytes of all bodies of a host."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    @contextmanager
    def holding(self) -> Iterator[HeldBody]:
        """Hold a body until the block ends."""
        held = HeldBody(self)
        try:
            yield held
        finally:
            self.held_bytes -= held.taken_bytes

    def take(self, more_bytes: int, body_bytes: int) -> None:
        """Take room for more bytes of a body; raise BodiesFullError if there is none."""
        is_large = body_bytes > SMALL_BODY_BYTES
        max_bytes = self._max_bytes * (LARGE_SHARE if is_large else 1.0)
        if self.held_bytes + more_bytes > max_bytes:
            raise BodiesFullError(f"{self.held_bytes} bytes of bodies are held")
        self.held_bytes += more_bytes
