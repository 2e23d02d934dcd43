"""Assembles an engine's stream: complete, in order and without duplicates.

Each chunk carries the request, the generation and the offset of its first token. The last chunk
marks the end and so gives the number of tokens; an interrupted stream is therefore never taken for
complete.
"""

from yewloom.ids import GroupId, RequestId
from yewloom.values import value_class

MAX_PENDING_CHUNKS = 1024
"""Maximum number of out-of-order chunks before the stream is considered broken."""


@value_class
class StreamChunk:
    """Tokens of one response.

    ``offset`` is the position of the first token; ``is_last`` marks the last chunk.
    """

    request_id: RequestId
    generation: int
    offset: int
    tokens: tuple[str, ...]
    is_last: bool = False
    finish_reason: str = ""


class StreamOverflowError(Exception):
    """Too many chunks are waiting for a missing one."""


class StreamAssembler:
    """Reorders the chunks of one response and drops those of other requests and generations."""

    def __init__(self, request_id: RequestId, generation: int, offset: int = 0) -> None:
        self.request_id = request_id
        self._generation = generation
        self._next_offset = offset
        self._end_offset: int | None = None
        self._pending: dict[int, StreamChunk] = {}
        self.finish_reason = ""

    @property
    def offset(self) -> int:
        """Number of tokens released so far; a resumed stream continues here."""
        return self._next_offset

    @property
    def is_complete(self) -> bool:
        """Return whether all tokens up to the end were released."""
        return self._end_offset is not None and self._next_offset >= self._end_offset

    def switch_replica(self, generation: int) -> None:
        """Continue with another replica; chunks of the previous one are dropped from now on."""
        self._generation = generation
        self._pending.clear()
        self._end_offset = None

    def accept(self, chunk: StreamChunk) -> list[str]:
        """Add a chunk and return the tokens that are now in order."""
        if chunk.request_id != self.request_id or chunk.generation != self._generation:
            return []
        if chunk.is_last:
            self._end_offset = chunk.offset + len(chunk.tokens)
            self.finish_reason = chunk.finish_reason
        if chunk.offset + len(chunk.tokens) <= self._next_offset:
            return []
        self._add_pending(chunk)
        return self._release()

    def _add_pending(self, chunk: StreamChunk) -> None:
        existing = self._pending.get(chunk.offset)
        if existing is None or len(existing.tokens) < len(chunk.tokens):
            self._pending[chunk.offset] = chunk
        if len(self._pending) > MAX_PENDING_CHUNKS:
            raise StreamOverflowError(
                f"{len(self._pending)} chunks wait for offset {self._next_offset}"
            )

    def _release(self) -> list[str]:
        released: list[str] = []
        while True:
            offset = min(self._pending, default=self._next_offset + 1)
            if offset > self._next_offset:
                return released
            chunk = self._pending.pop(offset)
            released += chunk.tokens[self._next_offset - offset :]
            self._next_offset = max(self._next_offset, offset + len(chunk.tokens))


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
