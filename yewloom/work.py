"""The work of one entry host: what it has accepted and not yet ended, and whether it takes more."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Protocol, TypeVarTuple, Unpack

import trio

from yewloom.states import Phase

ArgumentsT = TypeVarTuple("ArgumentsT")


class TaskStarter(Protocol):
    """What starts tasks: a nursery, or one whose tasks are counted."""

    def start_soon(
        self,
        async_fn: Callable[[Unpack[ArgumentsT]], Awaitable[object]],
        /,
        *args: *ArgumentsT,
    ) -> None:
        """Start a task."""


class Work:
    """Counts work from when it is accepted until nothing of it is left to do.

    ``phase`` is the one state of a planned stop: whoever takes something new looks at it then.
    """

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.in_progress = 0
        self._ended = trio.Event()
        self._requests: set[trio.CancelScope] = set()

    @property
    def is_leaving(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self.phase is not Phase.SERVING

    @contextmanager
    def item(self) -> Iterator[None]:
        """Count one piece of work."""
        self.begin()
        try:
            yield
        finally:
            self.end()

    @contextmanager
    def request(self) -> Iterator[trio.CancelScope]:
        """Let a request be cut off; its scope tells afterwards whether it was."""
        with trio.CancelScope() as scope:
            self._requests.add(scope)
            try:
                yield scope
            finally:
                self._requests.discard(scope)

    def begin(self) -> None:
        """Count one more piece of work; its ``end`` must come."""
        self.in_progress += 1

    def end(self) -> None:
        """Count one piece of work less."""
        self.in_progress -= 1
        self._ended.set()

    def cut_requests_off(self) -> None:
        """Cancel the requests that are in progress, at the end of a stop's time."""
        for scope in self._requests:
            scope.cancel()

    async def wait_until_none(self) -> None:
        """Wait until no work is in progress."""
        while self.in_progress:
            self._ended = trio.Event()
            await self._ended.wait()


class CountedTasks:
    """Starts tasks in a nursery, each counted as work from now until it ends."""

    def __init__(self, nursery: trio.Nursery, work: Work) -> None:
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
