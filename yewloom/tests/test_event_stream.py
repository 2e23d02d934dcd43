"""Tests of streams across several endpoints: complete, in order, each event once."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.event_stream import EventSplitter, EventStreamError, StreamCursor, StreamEvent


def _event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class TestEventSplitter(unittest.TestCase):
    """Events are split at blank lines, however the bytes arrive."""

    @given(st.integers(1, 12), st.lists(st.integers(1, 30)))
    def test_any_chunking_of_the_bytes_gives_the_same_events(
        self, count: int, chunk_sizes: list[int]
    ) -> None:
        data = b"".join(_event(number) for number in range(1, count + 1))
        splitter = EventSplitter()
        events: list[StreamEvent] = []
        for chunk_size in chunk_sizes:
            events += splitter.feed(data[:chunk_size])
            data = data[chunk_size:]
        events += splitter.feed(data)
        self.assertEqual([event.event_id for event in events], list(range(1, count + 1)))
        self.assertEqual(b"".join(e.data for e in events)[:4], b"id: ")
        self.assertFalse(splitter.has_partial_event)

    def test_an_incomplete_event_is_held_back(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(len(splitter.feed(_event(1) + b"id: 2\nda")), 1)
        self.assertTrue(splitter.has_partial_event)

    def test_other_lines_may_come_before_the_id(self) -> None:
        [event] = EventSplitter().feed(b"versions: 7\r\nid: 3\r\ndata: x\r\n\r\n")
        self.assertEqual(event.event_id, 3)


class TestStreamCursor(unittest.TestCase):
    """Streams of several endpoints are joined into one."""

    @given(st.lists(st.integers(1, 8), min_size=1, max_size=4))
    def test_overlapping_streams_give_each_event_once(self, last_ids: list[int]) -> None:
        cursor, accepted = StreamCursor(0), []
        for last_id in last_ids:
            # Each stream starts at or before the event at which the previous one broke off.
            for number in range(max(1, cursor.last_event_id - 1), last_id + 1):
                event = StreamEvent(number, b"")
                if cursor.accept(event):
                    accepted.append(number)
        self.assertEqual(accepted, list(range(1, max(last_ids) + 1)))

    def test_a_missing_event_is_an_error(self) -> None:
        cursor = StreamCursor(4)
        self.assertTrue(cursor.accept(StreamEvent(5, b"")))
        with self.assertRaises(EventStreamError):
            cursor.accept(StreamEvent(7, b""))
