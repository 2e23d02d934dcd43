"""Tests of when a host coordinates its data centre, on a mock clock."""

import unittest
from typing import cast

import trio
import trio.testing
from result import Ok, Result

from yewloom.configuration import ConfigurationState
from yewloom.directory import EndpointDirectory
from yewloom.forward_metrics import ForwardMetrics
from yewloom.platform_parts import PlatformParts
from yewloom.platforms import Platform, PlatformError, StoredObject
from yewloom.replica_coordinator import ReplicaCoordinator
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.selection import Selector
from yewloom.settings import parse_entry_settings
from yewloom.stalls import StallDetector
from yewloom.tests.engine_world import SETTINGS


class SlowStore:
    """An empty store that answers writes only after ``may_answer`` is set."""

    def __init__(self) -> None:
        self.update_called, self.may_answer = trio.Event(), trio.Event()
        self.is_down = False
        self._version = 0

    async def get(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Return no object."""
        return Ok(None)

    async def update(
        self, key: str, value: str, expected_version: int
    ) -> Result[int, PlatformError]:
        """Accept a write once ``may_answer`` is set."""
        self.update_called.set()
        await self.may_answer.wait()
        self._version += 1
        return Ok(self._version)


class StoreOnlyParts:
    """Platform parts that consist of the store only, without engines."""

    def __init__(self, store: SlowStore) -> None:
        self.records_store = self.stale_store = cast(Platform, store)
        self.orders = None


def _coordinator(store: SlowStore, settings: EntrySettings) -> ReplicaCoordinator:
    return ReplicaCoordinator(
        settings,
        cast(PlatformParts, StoreOnlyParts(store)),
        ConfigurationState(),
        EndpointDirectory(),
        StallDetector(),
        cast(Selector, None),
        ForwardMetrics(),
        lambda: False,
        lambda: True,
    )


class TestLeaving(unittest.TestCase):
    """A host that is stopping does not begin to coordinate."""

    def test_lease_acquired_after_the_stop_began_is_not_used(self) -> None:
        async def main() -> None:
            store = SlowStore()
            coordinator = _coordinator(store, parse_entry_settings(SETTINGS, "test").unwrap())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(coordinator.run)
                await store.update_called.wait()
                coordinator.is_stopping = True
                store.may_answer.set()
                await trio.testing.wait_all_tasks_blocked()
                self.assertFalse(coordinator.holds_lease)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
