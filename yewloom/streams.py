"""Assembly of an engine's stream: whole, in order, once, whatever arrives late or twice.

Each piece carries the request, generation and offset of its first token. The end names the number
of tokens, so a broken stream can't pass as a whole one.
"""

from yewloom.ids import GroupId, RequestId
from yewloom.values import value_class

MAX_HELD_PIECES = 1024
"""Pieces that may wait for an earlier one before the stream counts as broken."""


@value_class
class StreamPiece:
    """Tokens of one answer.

    ``offset`` is the place of the first one; ``is_last`` says that no more follow.
    """

    request_id: RequestId
    generation: int
    offset: int
    tokens: tuple[str, ...]
    is_last: bool = False
    finish_reason: str = ""


class StreamOverflowError(Exception):
    """Too many pieces wait for one that does not come."""


class StreamAssembler:
    """Puts the pieces of one answer in order and drops those that are not part of it."""

    def __init__(self, request_id: RequestId, generation: int, offset: int = 0) -> None:
        self.request_id = request_id
        self._generation = generation
        self._next = offset
        self._end: int | None = None
        self._held: dict[int, StreamPiece] = {}
        self.finish_reason = ""

    @property
    def offset(self) -> int:
        """Tokens put out so far; a resumed stream starts here."""
        return self._next

    @property
    def is_whole(self) -> bool:
        """Tell whether every token up to the end was put out."""
        return self._end is not None and self._next >= self._end

    def move_to(self, generation: int) -> None:
        """Go on with another replica; pieces of the earlier one are dropped from now on."""
        self._generation = generation
        self._held.clear()
        self._end = None

    def accept(self, piece: StreamPiece) -> list[str]:
        """Take in a piece and return the tokens that are now in order."""
        if piece.request_id != self.request_id or piece.generation != self._generation:
            return []
        if piece.is_last:
            self._end = piece.offset + len(piece.tokens)
            self.finish_reason = piece.finish_reason
        if piece.offset + len(piece.tokens) <= self._next:
            return []
        self._hold(piece)
        return self._release()

    def _hold(self, piece: StreamPiece) -> None:
        held = self._held.get(piece.offset)
        if held is None or len(held.tokens) < len(piece.tokens):
            self._held[piece.offset] = piece
        if len(self._held) > MAX_HELD_PIECES:
            raise StreamOverflowError(f"{len(self._held)} pieces wait for offset {self._next}")

    def _release(self) -> list[str]:
        released: list[str] = []
        while True:
            offset = min(self._held, default=self._next + 1)
            if offset > self._next:
                return released
            piece = self._held.pop(offset)
            released += piece.tokens[self._next - offset :]
            self._next = max(self._next, offset + len(piece.tokens))


@value_class
class StreamPosition:
    """A caller's place in a stream, as it stands in the SSE event id."""

    group_id: GroupId
    generation: int
    request_id: RequestId
    offset: int

    def __str__(self) -> str:
        return f"{self.group_id}:{self.generation}:{self.request_id}:{self.offset}"


def parse_position(text: str) -> StreamPosition | None:
    """Read the event id that a caller sends back; None if it is not one of ours."""
    parts = text.split(":")
    if len(parts) != 4 or not parts[1].isdecimal() or not parts[3].isdecimal():
        return None
    group_id, generation, request_id, offset = parts
    return StreamPosition(GroupId(group_id), int(generation), RequestId(request_id), int(offset))
