"""Assembles an engine's stream: complete, in order and without duplicates.

Each piece carries the request, the generation and the offset of its first token. The last piece
marks the end, from which the number of tokens follows, so a broken stream is never taken for
complete.
"""

from yewloom.ids import GroupId, RequestId
from yewloom.values import value_class

MAX_PENDING_PIECES = 1024
"""Maximum number of out-of-order pieces before the stream is considered broken."""


@value_class
class StreamPiece:
    """Tokens of one response.

    ``offset`` is the position of the first token; ``is_last`` marks the last piece.
    """

    request_id: RequestId
    generation: int
    offset: int
    tokens: tuple[str, ...]
    is_last: bool = False
    finish_reason: str = ""


class StreamOverflowError(Exception):
    """Too many pieces are waiting for a missing one."""


class StreamAssembler:
    """Reorders the pieces of one response and drops those of other requests and generations."""

    def __init__(self, request_id: RequestId, generation: int, offset: int = 0) -> None:
        self.request_id = request_id
        self._generation = generation
        self._next_offset = offset
        self._end_offset: int | None = None
        self._pending: dict[int, StreamPiece] = {}
        self.finish_reason = ""

    @property
    def offset(self) -> int:
        """Number of tokens released so far; a resumed stream continues here."""
        return self._next_offset

    @property
    def is_whole(self) -> bool:
        """Return whether all tokens up to the end were released."""
        return self._end_offset is not None and self._next_offset >= self._end_offset

    def move_to(self, generation: int) -> None:
        """Continue with another replica; pieces of the previous one are dropped from now on."""
        self._generation = generation
        self._pending.clear()
        self._end_offset = None

    def accept(self, piece: StreamPiece) -> list[str]:
        """Add a piece and return the tokens that are now in order."""
        if piece.request_id != self.request_id or piece.generation != self._generation:
            return []
        if piece.is_last:
            self._end_offset = piece.offset + len(piece.tokens)
            self.finish_reason = piece.finish_reason
        if piece.offset + len(piece.tokens) <= self._next_offset:
            return []
        self._add_pending(piece)
        return self._release()

    def _add_pending(self, piece: StreamPiece) -> None:
        pending = self._pending.get(piece.offset)
        if pending is None or len(pending.tokens) < len(piece.tokens):
            self._pending[piece.offset] = piece
        if len(self._pending) > MAX_PENDING_PIECES:
            raise StreamOverflowError(
                f"{len(self._pending)} pieces wait for offset {self._next_offset}"
            )

    def _release(self) -> list[str]:
        released: list[str] = []
        while True:
            offset = min(self._pending, default=self._next_offset + 1)
            if offset > self._next_offset:
                return released
            piece = self._pending.pop(offset)
            released += piece.tokens[self._next_offset - offset :]
            self._next_offset = max(self._next_offset, offset + len(piece.tokens))


@value_class
class StreamPosition:
    """A caller's position in a stream, as encoded in the SSE event id."""

    group_id: GroupId
    generation: int
    request_id: RequestId
    offset: int

    def __str__(self) -> str:
        return f"{self.group_id}:{self.generation}:{self.request_id}:{self.offset}"


def parse_position(text: str) -> StreamPosition | None:
    """Parse an event id that a caller sends back; return None if it has another format."""
    parts = text.split(":")
    if len(parts) != 4 or not parts[1].isdecimal() or not parts[3].isdecimal():
        return None
    group_id, generation, request_id, offset = parts
    return StreamPosition(GroupId(group_id), int(generation), RequestId(request_id), int(offset))
