"""Tests of the ports that tests are given."""

import unittest
from pathlib import Path

from yewloom.tests.free_ports import free_port

OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""Where Linux tells from which ports outgoing connections come."""


class TestFreePorts(unittest.TestCase):
    """A port stays free until the program that it was given to has started."""

    @unittest.skipUnless(OUTGOING_RANGE.exists(), "the system tells no range")
    def test_no_outgoing_connection_takes_a_port_that_was_given(self) -> None:
        lowest = int(OUTGOING_RANGE.read_text(encoding="utf-8").split()[0])
        self.assertLess(max(free_port() for _ in range(100)), lowest)

    def test_no_port_is_given_twice_in_a_row(self) -> None:
        self.assertEqual(len({free_port() for _ in range(1000)}), 1000)
