"""Tests of stream assembly."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.ids import GroupId, RequestId
from yewloom.streams import StreamAssembler, StreamChunk, StreamPosition, parse_position

REQUEST = RequestId("r1")
GENERATION = 3
ANSWER = tuple(f"t{i}" for i in range(12))


def _chunk(start: int, end: int) -> StreamChunk:
    return StreamChunk(REQUEST, GENERATION, start, ANSWER[start:end], is_last=end == len(ANSWER))


@st.composite
def _deliveries(draw: st.DrawFn) -> list[StreamChunk]:
    """Return chunks that cover the response, with duplicates and chunks of others, in any order."""
    cuts = sorted(draw(st.sets(st.integers(1, len(ANSWER) - 1), max_size=6)))
    edges = [0, *cuts, len(ANSWER)]
    chunks = [_chunk(a, b) for a, b in zip(edges, edges[1:], strict=False)]
    starts = draw(st.lists(st.integers(0, len(ANSWER) - 2), max_size=4))
    chunks += [_chunk(start, draw(st.integers(start + 1, len(ANSWER)))) for start in starts]
    chunks += [
        StreamChunk(RequestId("other"), GENERATION, 0, ("wrong",), is_last=True),
        StreamChunk(REQUEST, GENERATION - 1, 0, ("stale",), is_last=True),
    ]
    return draw(st.permutations(chunks))


class TestStreamAssembler(unittest.TestCase):
    """Responses are complete, in order and without duplicates."""

    @given(_deliveries())
    def test_any_order_gives_the_complete_response_once(self, chunks: list[StreamChunk]) -> None:
        assembler = StreamAssembler(REQUEST, GENERATION)
        tokens = [token for chunk in chunks for token in assembler.accept(chunk)]
        self.assertEqual(tuple(tokens), ANSWER)
        self.assertTrue(assembler.is_complete)

    @given(_deliveries(), st.integers(0, len(ANSWER) - 1))
    def test_a_missing_token_leaves_the_response_incomplete(
        self, chunks: list[StreamChunk], lost: int
    ) -> None:
        assembler = StreamAssembler(REQUEST, GENERATION)
        kept = [p for p in chunks if not p.offset <= lost < p.offset + len(p.tokens)]
        own = [p for p in kept if p.request_id == REQUEST and p.generation == GENERATION]
        for chunk in [*own, *(p for p in kept if p not in own)]:
            assembler.accept(chunk)
        self.assertFalse(assembler.is_complete)
        self.assertLessEqual(assembler.offset, lost)

    def test_a_resumed_stream_continues_at_its_offset(self) -> None:
        assembler = StreamAssembler(REQUEST, GENERATION, offset=4)
        self.assertEqual(assembler.accept(_chunk(2, 6)), ["t4", "t5"])

    def test_another_replica_completes_the_stream(self) -> None:
        assembler = StreamAssembler(REQUEST, GENERATION)
        assembler.accept(_chunk(0, 5))
        assembler.switch_replica(GENERATION + 1)
        self.assertEqual(assembler.accept(_chunk(5, 12)), [])
        rest = StreamChunk(REQUEST, GENERATION + 1, 5, ANSWER[5:], is_last=True)
        self.assertEqual(tuple(assembler.accept(rest)), ANSWER[5:])
        self.assertTrue(assembler.is_complete)


class TestStreamPosition(unittest.TestCase):
    """Event ids that callers send back."""

    def test_a_position_is_preserved_by_the_event_id(self) -> None:
        position = StreamPosition(GroupId("g-1"), 7, REQUEST, 42)
        self.assertEqual(parse_position(str(position)), position)

    @given(st.text(max_size=40))
    def test_any_other_text_is_rejected_without_an_error(self, text: str) -> None:
        parsed = parse_position(text)
        self.assertTrue(parsed is None or str(parsed).count(":") == 3)
