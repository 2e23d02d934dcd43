"""Nurseries that pass a cancellation from outside on as such, rather than in a group."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


@asynccontextmanager
async def open_nursery() -> AsyncIterator[trio.Nursery]:
    """Open a nursery whose cancellation from outside raises a single ``trio.Cancelled``.

    Other exceptions of its tasks are raised in a group.
    """
    try:
        async with trio.open_nursery() as nursery:
            yield nursery
    except BaseExceptionGroup as group:
        if group.split(trio.Cancelled)[1] is None:
            await trio.lowlevel.checkpoint_if_cancelled()
        raise
