"""Background tasks: those that a loop starts without waiting for them, and those that never end.

The coordinator sends its orders in the background, so that an engine that does not answer delays no
order to another engine.
"""

from collections.abc import Awaitable, Callable, Hashable

import structlog
import trio

logger = structlog.get_logger(__name__)

TASK_RESTART_PAUSE_S = 0.5
"""Pause before a failed task is restarted."""


class BackgroundTasks:
    """Runs at most one background task per key in the loop's nursery."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._running: dict[Hashable, trio.CancelScope] = {}

    def start(self, key: Hashable, task: Callable[[], Awaitable[None]]) -> bool:
        """Start a task unless one is running for its key; return whether it was started."""
        if key in self._running:
            return False
        self._running[key] = trio.CancelScope()
        self._nursery.start_soon(self._run, key, task)
        return True

    def cancel_all(self) -> None:
        """Cancel all running tasks."""
        for scope in self._running.values():
            scope.cancel()

    async def _run(self, key: Hashable, task: Callable[[], Awaitable[None]]) -> None:
        try:
            with self._running[key]:
                await trio.lowlevel.checkpoint()  # Do not begin a cancelled task.
                await task()
        finally:
            del self._running[key]


async def run_with_restarts(task: Callable[[], Awaitable[None]]) -> None:
    """Run a task until cancelled; restart it after an unexpected error."""
    while True:
        try:
            await task()
        except Exception:
            logger.exception("task failed", task=getattr(task, "__qualname__", ""))
        await trio.sleep(TASK_RESTART_PAUSE_S)
