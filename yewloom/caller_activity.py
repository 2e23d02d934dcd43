"""What the connections of one server are doing, and how far its planned stop has come."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from yewloom.states import Phase

LAST_LOOK_S = 0.05
"""Time for which a connection waits for a request, or for its rest, once none are taken any more.
What has arrived is read at once; this leaves a host that is behind with its work some passes of its
loop, and a caller that got its answer the way there and back."""


class CallerActivity:
    """The phase of a server, and its requests and connections that a planned stop waits for.

    While it leaves, requests are taken, and each answer that begins closes its connection. Once it
    is closed, what still arrives is refused, and idle connections are closed.
    """

    def __init__(self) -> None:
        self._phase = Phase.SERVING
        self._leaving_since_s = 0.0
        self._arriving: set[trio.CancelScope] = set()
        self._closing = 0
        self._has_changed = trio.Event()
        self.open_requests = 0

    @property
    def is_leaving(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._phase is not Phase.SERVING

    @property
    def takes_requests(self) -> bool:
        """Tell whether a request that was read now may be begun."""
        return self._phase is not Phase.CLOSED

    def start_leaving(self) -> None:
        """Begin a planned stop."""
        if self._phase is Phase.SERVING:
            self._phase = Phase.LEAVING
            self._leaving_since_s = trio.current_time()

    def stop_taking(self) -> None:
        """Take no request any more, on any connection, and wait for none that has not arrived."""
        self.start_leaving()
        self._phase = Phase.CLOSED
        for scope in self._arriving:
            scope.deadline = min(scope.deadline, trio.current_time() + LAST_LOOK_S)

    def stopping_ms(self) -> int | None:
        """Return for how long the planned stop has been going on; None if there is none."""
        if not self.is_leaving:
            return None
        return round((trio.current_time() - self._leaving_since_s) * 1000)

    @contextmanager
    def arriving(self, limit_s: float = math.inf) -> Iterator[trio.CancelScope]:
        """Mark a connection as waiting for a request or reading one, for some time at most."""
        if not self.takes_requests:
            limit_s = min(limit_s, LAST_LOOK_S)
        with trio.move_on_after(limit_s) as scope:
            self._arriving.add(scope)
            try:
                yield scope
            finally:
                self._arriving.discard(scope)
                self._has_changed.set()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request from when it was read until its answer has gone out."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
            self._has_changed.set()

    @contextmanager
    def closing(self) -> Iterator[None]:
        """Count a connection that is being closed behind its last answer."""
        self._closing += 1
        try:
            yield
        finally:
            self._closing -= 1
            self._has_changed.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open or arriving and no connection is being closed."""
        while self.open_requests or self._arriving or self._closing:
            self._has_changed = trio.Event()
            await self._has_changed.wait()
