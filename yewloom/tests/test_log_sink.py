"""Tests of the non-blocking log sink."""

import os
import unittest

from yewloom.log_sink import MAX_PENDING_BYTES, LogSink

LINE = "x" * 999 + "\n"


class TestLogSink(unittest.TestCase):
    """Writing never blocks, and dropped lines are counted."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.dropped = 0
        self.sink = LogSink(self.writer, self._count_dropped)

    def _count_dropped(self) -> None:
        self.dropped += 1

    def test_lines_arrive_in_order(self) -> None:
        self.sink.write("one\n")
        self.sink.write("two\n")
        self.assertEqual(os.read(self.reader, 100), b"one\ntwo\n")

    def test_without_a_reader_lines_are_buffered_and_then_dropped(self) -> None:
        for _ in range(1000):
            self.sink.write(LINE)
        self.assertGreater(self.dropped, 0)
        written = 1000 - self.dropped
        self.assertGreaterEqual(written * len(LINE), MAX_PENDING_BYTES)
        received = b""
        while len(received) < written * len(LINE):
            received += os.read(self.reader, 1 << 16)
            self.sink.flush()
        self.assertEqual(received, LINE.encode() * written)

    def test_a_closed_pipe_does_not_raise(self) -> None:
        reader, writer = os.pipe()
        sink = LogSink(writer, self._count_dropped)
        os.close(reader)
        sink.write("one\n")
        self.assertEqual(self.dropped, 1)
        os.close(writer)
