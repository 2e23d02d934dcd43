"""Tests of the allocation of ports to tests."""

import unittest
from pathlib import Path

from yewloom.tests.free_ports import allocate_port

LOCAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""File with the range of local ports that Linux uses for outgoing connections."""


class TestFreePorts(unittest.TestCase):
    """An allocated port stays free until the program that uses it has started."""

    @unittest.skipUnless(LOCAL_PORT_RANGE.exists(), "the system has no such file")
    def test_allocated_ports_are_below_those_of_outgoing_connections(self) -> None:
        lowest = int(LOCAL_PORT_RANGE.read_text(encoding="utf-8").split()[0])
        self.assertLess(max(allocate_port() for _ in range(100)), lowest)

    def test_no_port_is_allocated_twice(self) -> None:
        self.assertEqual(len({allocate_port() for _ in range(1000)}), 1000)
