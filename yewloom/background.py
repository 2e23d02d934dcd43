"""Tasks that a loop starts and goes on without.

The coordinator gives its orders this way, so that a dead engine's answer holds up no other order.
"""

from collections.abc import Awaitable, Callable, Hashable

import trio


class BackgroundTasks:
    """Runs at most one task for each key beside a loop; a nursery of the loop's holds them."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._running: dict[Hashable, trio.CancelScope] = {}

    def start(self, key: Hashable, task: Callable[[], Awaitable[None]]) -> bool:
        """Start a task unless one runs for its key; tell whether it was started."""
        if key in self._running:
            return False
        self._running[key] = trio.CancelScope()
        self._nursery.start_soon(self._run, key, task)
        return True

    def cancel_all(self) -> None:
        """Cancel the tasks that run."""
        for scope in self._running.values():
            scope.cancel()

    async def _run(self, key: Hashable, task: Callable[[], Awaitable[None]]) -> None:
        try:
            with self._running[key]:
                await trio.lowlevel.checkpoint()  # One that was cancelled does not begin.
                await task()
        finally:
            del self._running[key]
