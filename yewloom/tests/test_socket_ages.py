"""Tests of how long bytes have waited in a socket."""

import socket
import struct
import time
import unittest

from yewloom.socket_ages import ReadAges, received_ago_s

WAITED_S = 0.3
SLACK_S = 0.05
"""The system counts in some milliseconds, and its own hand-over takes some."""


class TestReceivedAgo(unittest.TestCase):
    """The age of what is read late."""

    def test_bytes_that_wait_grow_old_also_when_they_are_read(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
            with socket.create_connection(address) as caller, server.accept()[0] as accepted:
                caller.sendall(b"x")
                sent_s = time.monotonic()
                time.sleep(WAITED_S)
                accepted.recv(1)
                age_s, waited_s = received_ago_s(accepted), time.monotonic() - sent_s
                self.assertGreaterEqual(age_s, WAITED_S - SLACK_S)
                self.assertLessEqual(age_s, waited_s + SLACK_S)

    def test_a_socket_without_that_knowledge_counts_bytes_from_when_they_are_read(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            self.assertEqual(received_ago_s(datagrams), 0.0)


class _Connection:
    """A socket of a system that tells an age, or none."""

    def __init__(self, age_ms: int) -> None:
        self._facts = struct.pack("=52xI", age_ms)

    def getsockopt(self, level: int, optname: int, buflen: int, /) -> bytes:
        """Return the age alone."""
        return self._facts


class _Stream:
    def __init__(self, age_ms: int) -> None:
        self.socket = _Connection(age_ms)


class TestReadAges(unittest.TestCase):
    """Whose word counts."""

    def test_the_readers_lateness_counts_until_the_system_tells_an_age(self) -> None:
        ages = ReadAges(lambda: 3.0)
        self.assertEqual(ages.of(_Stream(0)), 3.0)
        self.assertEqual(ages.of(_Stream(250)), 0.25)
        self.assertEqual(ages.of(_Stream(0)), 0.0)

    def test_a_stream_without_a_socket_has_no_age(self) -> None:
        self.assertEqual(ReadAges(lambda: 3.0).of(object()), 0.0)
