"""Tests of entry hosts that are cut off from all endpoints, while other hosts reach them.

Failure: such a host refused every request, and told the load balancer that it was ready.
"""

import unittest

import trio

from yewloom.platform.standin_engine import DEFAULT_EVENT_COUNT
from yewloom.tests.deployment_support import ENGINE_DATA_CENTRE, Deployment, run
from yewloom.tests.soak.proxy import PARTITION_FAULTS, LinkFault

DETECTION_S = 3.0
"""Time after the beginning of a partition within which a host must serve again; from the platform's
documentation."""

MIN_SERVED_SHARE = 2 / 3
"""Least share of a host's requests that must be served if other hosts serve all of theirs; from the
platform's documentation."""

REQUESTS = 12

DATA_CENTRES = ("hall-d", "hall-c", "hall-b", ENGINE_DATA_CENTRE)
"""One for each host, so that no host uses another one's links; the last host coordinates."""


class TestIsolatedHost(unittest.TestCase):
    """Callers of a host without links to endpoints are served as those of other hosts."""

    def _served_share(self, fault: LinkFault, isolated_hosts: int, hosts: int) -> float:
        """Return the share of served requests at a host that is cut off."""
        served: list[bool] = []

        async def test(deployment: Deployment) -> None:
            for host in range(isolated_hosts):
                deployment.disturb_links(host, fault)
            with trio.move_on_after(DETECTION_S):
                while True:
                    await deployment.send_request(0)
            for _ in range(REQUESTS):
                status, body = await deployment.send_request(0)
                served.append(status == 200 and body.count(b"id: ") == DEFAULT_EVENT_COUNT)

        run(test, hosts=hosts, data_centres=DATA_CENTRES[-hosts:])
        return sum(served) / REQUESTS

    def test_callers_of_a_host_that_reaches_no_endpoint_are_served(self) -> None:
        """Guards against refusing requests that another entry host could forward.

        If most hosts are cut off, the load balancer uses all of them whether or not they are ready.
        """
        one_of_three = [(fault, 1, 3) for fault in PARTITION_FAULTS]
        for fault, isolated_hosts, hosts in [*one_of_three, (LinkFault.REFUSE, 3, 4)]:
            with self.subTest(fault=fault, isolated_hosts=isolated_hosts):
                served_share = self._served_share(fault, isolated_hosts, hosts)
                self.assertGreaterEqual(served_share, MIN_SERVED_SHARE)
