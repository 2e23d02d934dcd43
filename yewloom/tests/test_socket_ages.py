"""Tests of the age of received bytes."""

import socket
import struct
import time
import unittest

from yewloom.socket_ages import ReadAges, received_ago_s

WAITED_S = 0.3
SLACK_S = 0.05
"""Tolerance: the system counts in steps of some milliseconds, and delivery also takes time."""


class TestReceivedAgo(unittest.TestCase):
    """The age of bytes that are read late."""

    def test_the_age_includes_time_waiting_in_the_socket(self) -> None:
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

    def test_a_socket_without_tcp_info_has_age_zero(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            self.assertEqual(received_ago_s(datagrams), 0.0)


class _Connection:
    """A socket of a system that reports an age, or 0 for none."""

    def __init__(self, age_ms: int) -> None:
        self._tcp_info = struct.pack("=52xI", age_ms)

    def getsockopt(self, level: int, optname: int, buflen: int, /) -> bytes:
        """Return ``tcp_info`` with only the age."""
        return self._tcp_info


class _Stream:
    def __init__(self, age_ms: int) -> None:
        self.socket = _Connection(age_ms)


class TestReadAges(unittest.TestCase):
    """Which source of the age is used."""

    def test_the_loop_delay_is_used_until_the_system_reports_an_age(self) -> None:
        ages = ReadAges(lambda: 3.0)
        self.assertEqual(ages.of(_Stream(0)), 3.0)
        self.assertEqual(ages.of(_Stream(250)), 0.25)
        self.assertEqual(ages.of(_Stream(0)), 0.0)

    def test_a_stream_without_a_socket_has_no_age(self) -> None:
        self.assertEqual(ReadAges(lambda: 3.0).of(object()), 0.0)
