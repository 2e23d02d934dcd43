"""Tests of streams across several endpoints: complete, in order, each event once."""

import re
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from yewloom import event_stream
from yewloom.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventStreamError,
    StreamCursor,
    StreamEvent,
)


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


class _CountedPattern:
    """A compiled pattern that counts the bytes that it has looked at."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self._pattern = pattern
        self.searched_bytes = 0

    def search(self, data: bytes, start: int = 0) -> re.Match[bytes] | None:
        match = self._pattern.search(data, start)
        self.searched_bytes += (len(data) if match is None else match.end()) - start
        return match


class TestWork(unittest.TestCase):
    """The work for an event grows with its length, however many pieces it arrives in."""

    def _searched_bytes(self, length: int, piece: int) -> int:
        """Return how many bytes are searched in an event that arrives in pieces."""
        pattern = _CountedPattern(event_stream._BLANK_LINE)
        event = b"data: %s\n\n" % (b"x" * length)
        with mock.patch.object(event_stream, "_BLANK_LINE", pattern):
            splitter, events = EventSplitter(), list[StreamEvent]()
            for start in range(0, len(event), piece):
                events += splitter.feed(event[start : start + piece])
        self.assertEqual([each.data for each in events], [event])
        return pattern.searched_bytes

    def test_the_work_grows_no_faster_than_the_length(self) -> None:
        """Guards against a host that stands still while one long event arrives in pieces."""
        for length in (1_000, 10_000, 60_000):
            self.assertLess(self._searched_bytes(length, 70), 3 * length)

    def test_many_events_in_one_piece_are_searched_once(self) -> None:
        pattern = _CountedPattern(event_stream._BLANK_LINE)
        data = b"".join(_event(number) for number in range(1, 1001))
        with mock.patch.object(event_stream, "_BLANK_LINE", pattern):
            self.assertEqual(len(EventSplitter().feed(data)), 1000)
        self.assertEqual(pattern.searched_bytes, len(data))

    def test_an_event_that_is_too_long_is_an_error_at_once(self) -> None:
        splitter, fed = EventSplitter(), 0
        with self.assertRaises(EventStreamError):
            while True:
                splitter.feed(b"x" * 70)
                fed += 70
        self.assertLess(fed, MAX_EVENT_BYTES + 70)

    def test_an_id_that_no_number_holds_is_an_error(self) -> None:
        """Guards against an id that ends the process: Python refuses to convert it."""
        with self.assertRaises(EventStreamError):
            EventSplitter().feed(b"id: %s\n\n" % (b"9" * 5000))


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
