"""Tests of when a host of yewloomd watches the platform, without a network."""

import random
import unittest
from unittest import mock

import trio
from result import Err, Result

from yewloom.node import build_node
from yewloom.platforms import Listing, PlatformError, PlatformFailure
from yewloom.settings import parse_settings
from yewloom.tables import TABLE_PREFIX
from yewloom.tests.support import run_on_mock_clock
from yewloom.tests.test_dispatch import SETTINGS
from yewloom.watchers import PlatformWatcher

POLL_INTERVAL_S = 0.5


class _DownPlatform:
    """A platform that answers no call, and counts them."""

    is_down = True

    def __init__(self) -> None:
        self.calls = 0

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        self.calls += 1
        return Err(PlatformError(PlatformFailure.NOT_APPLIED, "down"))


class TestPlatformWatcher(unittest.TestCase):
    """Hosts without the duty wait for long in an outage, but not if they get the duty."""

    # Guards against changes that nobody reads: the hosts with the duty had ended, and the next one
    # still waited as a host without it.
    def test_a_host_that_gets_the_duty_during_an_outage_calls_soon(self) -> None:
        node = build_node(parse_settings(SETTINGS, "test").unwrap(), random.Random(1), 1)
        node.is_table_loaded = True
        node.settings.platform.poll_interval_ms = round(POLL_INTERVAL_S * 1000)
        platform = _DownPlatform()
        watcher = PlatformWatcher(node, platform, TABLE_PREFIX)  # type: ignore[arg-type]

        async def main() -> int:
            with mock.patch.object(node.membership, "has_platform_duty", return_value=False) as has:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(watcher.run)
                    await trio.sleep(POLL_INTERVAL_S)
                    calls_before = platform.calls
                    has.return_value = True
                    await trio.sleep(2 * POLL_INTERVAL_S)
                    nursery.cancel_scope.cancel()
            return platform.calls - calls_before

        self.assertGreater(run_on_mock_clock(main), 0)
