"""Tracks an entry host's accepted and unfinished work, and the phase of its planned stop."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Protocol, TypeVarTuple, Unpack

import trio

from yewloom.states import Phase

ArgumentsT = TypeVarTuple("ArgumentsT")


class TaskStarter(Protocol):
    """Starts tasks: a nursery, or a wrapper that counts them."""

    def start_soon(
        self,
        async_fn: Callable[[Unpack[ArgumentsT]], Awaitable[object]],
        /,
        *args: *ArgumentsT,
    ) -> None:
        """Start a task."""


class WorkTracker:
    """Counts work items from when they are accepted until they are finished.

    ``phase`` is the single state of a planned stop; it is checked whenever new work arrives.
    """

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.in_progress = 0
        self._has_item_ended = trio.Event()
        self._request_scopes: set[trio.CancelScope] = set()

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.phase is not Phase.SERVING

    @contextmanager
    def item(self) -> Iterator[None]:
        """Count one work item."""
        self.begin()
        try:
            yield
        finally:
            self.end()

    @contextmanager
    def request(self) -> Iterator[trio.CancelScope]:
        """Make a request cancellable; its scope shows afterwards whether it was cancelled."""
        with trio.CancelScope() as scope:
            self._request_scopes.add(scope)
            try:
                yield scope
            finally:
                self._request_scopes.discard(scope)

    def begin(self) -> None:
        """Count one more work item; ``end`` must be called for it."""
        self.in_progress += 1

    def end(self) -> None:
        """Count one work item less."""
        self.in_progress -= 1
        self._has_item_ended.set()

    def cancel_requests(self) -> None:
        """Cancel the requests in progress, when a planned stop has run out of time."""
        for scope in self._request_scopes:
            scope.cancel()

    async def wait_until_none(self) -> None:
        """Wait until no work is in progress."""
        while self.in_progress:
            self._has_item_ended = trio.Event()
            await self._has_item_ended.wait()


class CountedTasks:
    """Starts tasks in a nursery and counts each as work until it ends."""

    def __init__(self, nursery: trio.Nursery, work: WorkTracker) -> None:
        self._nursery = nursery
        self._work = work

    def start_soon(
        self,
        async_fn: Callable[[Unpack[ArgumentsT]], Awaitable[object]],
        /,
        *args: *ArgumentsT,
    ) -> None:
        """Start a task."""

        async def run() -> None:
            try:
                await async_fn(*args)
            finally:
                self._work.end()

        self._work.begin()
        self._nursery.start_soon(run)
