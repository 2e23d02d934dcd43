"""What the connections of one server are doing, and how far its planned stop has come."""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

import trio

LAST_LOOK_S = 0.05
"""Time for which a connection between two requests stays open once none are taken any more. What
has arrived is read at once; this leaves a host that is behind with its work some passes of its
loop, and a caller that got its answer the way there and back, 6 ms on the trial deployments."""


class ServerPhase(Enum):
    """How far a server's planned stop has come; it only goes forward."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Requests are taken; each answer that begins closes its connection."""

    CLOSED = "closed"
    """No request is taken: those that still arrive are refused, idle connections closed."""


class CallerActivity:
    """The phase of a server, its open requests, and its connections that wait for one."""

    def __init__(self) -> None:
        self._phase = ServerPhase.SERVING
        self._leaving_since_s = 0.0
        self._waiting: set[trio.CancelScope] = set()
        self._has_changed = trio.Event()
        self.open_requests = 0

    @property
    def is_leaving(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._phase is not ServerPhase.SERVING

    @property
    def takes_requests(self) -> bool:
        """Tell whether a request that was read now may be begun."""
        return self._phase is not ServerPhase.CLOSED

    def start_leaving(self) -> None:
        """Begin a planned stop."""
        if self._phase is ServerPhase.SERVING:
            self._phase = ServerPhase.LEAVING
            self._leaving_since_s = trio.current_time()

    def stop_taking(self) -> None:
        """Take no request any more, on any connection, and close those that wait for one."""
        self.start_leaving()
        self._phase = ServerPhase.CLOSED
        for scope in self._waiting:
            scope.deadline = min(scope.deadline, trio.current_time() + LAST_LOOK_S)

    def stopping_ms(self) -> int | None:
        """Return for how long the planned stop has been going on; None if there is none."""
        if not self.is_leaving:
            return None
        return round((trio.current_time() - self._leaving_since_s) * 1000)

    @contextmanager
    def waiting(self, limit_s: float) -> Iterator[None]:
        """Mark a connection as waiting for a request, for some time at most."""
        if not self.takes_requests:
            limit_s = min(limit_s, LAST_LOOK_S)
        with trio.move_on_after(limit_s) as scope:
            self._waiting.add(scope)
            try:
                yield
            finally:
                self._waiting.discard(scope)
                self._has_changed.set()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request from its first bytes until its answer has gone out."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
            self._has_changed.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open and no connection waits for one."""
        while self.open_requests or self._waiting:
            self._has_changed = trio.Event()
            await self._has_changed.wait()
