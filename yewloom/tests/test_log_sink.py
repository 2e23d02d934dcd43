"""Tests of logs that nobody reads."""

import os
import unittest

from yewloom.log_sink import MAX_HELD_BYTES, LogSink

LINE = "x" * 999 + "\n"


class TestLogSink(unittest.TestCase):
    """Writing never waits; what is left out is counted."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.lost = 0
        self.sink = LogSink(self.writer, self._count)

    def _count(self) -> None:
        self.lost += 1

    def test_lines_arrive_in_order(self) -> None:
        self.sink.write("one\n")
        self.sink.write("two\n")
        self.assertEqual(os.read(self.reader, 100), b"one\ntwo\n")

    def test_while_nobody_reads_lines_are_held_and_then_left_out(self) -> None:
        for _ in range(1000):
            self.sink.write(LINE)
        self.assertGreater(self.lost, 0)
        held = 1000 - self.lost
        self.assertGreaterEqual(held * len(LINE), MAX_HELD_BYTES)
        received = b""
        while len(received) < held * len(LINE):
            received += os.read(self.reader, 1 << 16)
            self.sink.flush()
        self.assertEqual(received, LINE.encode() * held)

    def test_a_reader_that_is_gone_does_not_end_the_program(self) -> None:
        reader, writer = os.pipe()
        sink = LogSink(writer, self._count)
        os.close(reader)
        sink.write("one\n")
        self.assertEqual(self.lost, 1)
        os.close(writer)
