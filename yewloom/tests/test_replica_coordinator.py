"""Tests of when a host coordinates its data centre, on a mock clock."""

import unittest
from collections.abc import Callable, Sequence
from typing import Any, TypeVar, cast

import trio
import trio.testing
from google.protobuf import json_format
from result import Ok, Result

from yewloom.background import BackgroundTasks
from yewloom.configuration import ConfigurationState
from yewloom.directory import EndpointDirectory
from yewloom.ended_groups import EndedGroups
from yewloom.forward_metrics import ForwardMetrics
from yewloom.platform_parts import PlatformParts
from yewloom.platforms import Platform, PlatformError, StoredObject
from yewloom.replica_coordinator import MIN_PLAN_PAUSE_S, PLAN_INTERVAL_S, ReplicaCoordinator
from yewloom.schema.records_pb2 import Lease
from yewloom.selection import Selector
from yewloom.settings import parse_entry_settings
from yewloom.stalls import StallDetector
from yewloom.tests.engine_world import SETTINGS

T = TypeVar("T", bound=ReplicaCoordinator)


class SlowStore:
    """An empty store that answers writes only after ``may_answer`` is set."""

    def __init__(self) -> None:
        self.update_called, self.may_answer = trio.Event(), trio.Event()
        self.is_down = False
        self.written: list[Lease] = []
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
        self.written.append(json_format.Parse(value, Lease()))
        return Ok(self._version)


class StoreOnlyParts:
    """Platform parts that consist of the store only, without engines."""

    def __init__(self, store: SlowStore) -> None:
        self.records_store = self.stale_store = cast(Platform, store)
        self.orders = None


def _coordinator(
    store: SlowStore, kind: type[T], is_isolated: Callable[[], bool] = lambda: False
) -> T:
    return kind(
        parse_entry_settings(SETTINGS, "test").unwrap(),
        cast(PlatformParts, StoreOnlyParts(store)),
        ConfigurationState(),
        EndpointDirectory(),
        StallDetector(),
        cast(Selector, None),
        ForwardMetrics(),
        lambda: False,
        lambda: True,
        EndedGroups(),
        is_isolated=is_isolated,
    )


class TestLeaving(unittest.TestCase):
    """A host that is stopping does not begin to coordinate."""

    def test_lease_acquired_after_the_stop_began_is_not_used(self) -> None:
        async def main() -> None:
            store = SlowStore()
            coordinator = _coordinator(store, ReplicaCoordinator)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(coordinator.run)
                await store.update_called.wait()
                coordinator.is_stopping = True
                store.may_answer.set()
                await trio.testing.wait_all_tasks_blocked()
                self.assertFalse(coordinator.holds_lease)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class TestIsolation(unittest.TestCase):
    """A host that reaches no endpoint leaves the coordination to another host."""

    def test_an_isolated_host_releases_its_lease_and_acquires_none(self) -> None:
        """Guards against a host that gives up sound groups because it cannot reach them itself."""

        async def main() -> None:
            store, isolated = SlowStore(), False
            store.may_answer.set()
            coordinator = _coordinator(store, ReplicaCoordinator, lambda: isolated)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(coordinator.run)
                await trio.sleep(5.0)
                self.assertTrue(coordinator.holds_lease)
                isolated = True
                await trio.sleep(PLAN_INTERVAL_S)
                self.assertFalse(coordinator.holds_lease)
                self.assertEqual(store.written[-1].duration_ms, 0)
                written_count = len(store.written)
                await trio.sleep(10.0)
                self.assertEqual(len(store.written), written_count)
                isolated = False
                await trio.sleep(5.0)
                self.assertTrue(coordinator.holds_lease)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class RecordedCoordinator(ReplicaCoordinator):
    """A coordinator that holds its lease and only records when it would plan."""

    def __init__(self, *components: Any, **options: Any) -> None:
        super().__init__(*components, **options)
        self._holds_lease = True
        self.planned_s: list[float] = []

    async def _coordinate(self, tasks: BackgroundTasks) -> None:
        self.planned_s.append(trio.current_time())


class TestPlanTimes(unittest.TestCase):
    """A lost member's group passes several steps, each of which waits for the next plan."""

    def _planned_s(self, changes_s: Sequence[float], until_s: float) -> list[float]:
        """Return when plans are made, in seconds from the start, with changes at some times."""
        planned_s: list[float] = []

        async def main() -> None:
            coordinator = _coordinator(SlowStore(), RecordedCoordinator)
            started_s = trio.current_time()
            with trio.move_on_after(until_s):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(coordinator.run)
                    for change_s in changes_s:
                        await trio.sleep_until(started_s + change_s)
                        coordinator.plan_soon()
            planned_s.extend(planned - started_s for planned in coordinator.planned_s)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return planned_s

    def test_a_change_is_planned_for_without_waiting_for_the_interval(self) -> None:
        planned_s = self._planned_s([0.11], PLAN_INTERVAL_S - 0.01)
        self.assertEqual(len(planned_s), 2)
        self.assertAlmostEqual(planned_s[1], 0.11)

    def test_changes_in_quick_succession_are_planned_for_together(self) -> None:
        changes_s = [0.06 + 0.001 * number for number in range(10)]
        planned_s = self._planned_s(changes_s, 0.06 + MIN_PLAN_PAUSE_S + 0.01)
        self.assertEqual(len(planned_s), 3)

    def test_plans_are_made_at_the_interval_without_changes(self) -> None:
        planned_s = self._planned_s([], 1.01)
        self.assertEqual(len(planned_s), 6)
