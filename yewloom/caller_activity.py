"""Tracks the connections of one server and the phase of its planned stop."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from yewloom.states import Phase

FINAL_READ_S = 0.05
"""How long a connection may wait for a request, or for the rest of one, once the server accepts no
more requests. Data that has already arrived is read at once; the time lets a busy event loop make
several passes, and covers a network round trip of a caller that has just received a response."""


class CallerActivity:
    """The phase of a server, and the requests and connections that a planned stop waits for.

    While the server is stopping it still accepts requests, and closes each connection after the
    response. Once it is closed, it rejects requests that still arrive and closes idle connections.
    """

    def __init__(self) -> None:
        self._phase = Phase.SERVING
        self._stopping_since_s = 0.0
        self._stops_accepting_s = math.inf
        self._reading_scopes: set[trio.CancelScope] = set()
        self._closing_connections = 0
        self._has_changed = trio.Event()
        self.open_requests = 0

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._phase is not Phase.SERVING

    @property
    def accepts_requests(self) -> bool:
        """Return whether a request that has just been read may be started.

        The time counts, and not only the phase: after a delay of the process, requests may be read
        before the task that closes the server runs.
        """
        if self._phase is Phase.LEAVING:
            return trio.current_time() < self._stops_accepting_s
        return self._phase is Phase.SERVING

    @property
    def is_closed(self) -> bool:
        """Return whether the server has been told to accept no more requests."""
        return self._phase is Phase.CLOSED

    def begin_stop(self, stops_accepting_s: float = math.inf) -> None:
        """Begin a planned stop; from ``stops_accepting_s`` on, no requests are accepted."""
        if self._phase is Phase.SERVING:
            self._phase = Phase.LEAVING
            self._stopping_since_s = trio.current_time()
            self._stops_accepting_s = stops_accepting_s

    def stop_accepting(self) -> None:
        """Accept no more requests, and don't wait for requests that have not arrived."""
        self.begin_stop()
        self._phase = Phase.CLOSED
        for scope in self._reading_scopes:
            scope.deadline = min(scope.deadline, trio.current_time() + FINAL_READ_S)

    def stopping_ms(self) -> int | None:
        """Return the milliseconds since the planned stop began, or None if there is none."""
        if not self.is_stopping:
            return None
        return round((trio.current_time() - self._stopping_since_s) * 1000)

    @contextmanager
    def reading_request(self, limit_s: float = math.inf) -> Iterator[trio.CancelScope]:
        """Mark a connection as waiting for or reading a request, for a limited time."""
        if not self.accepts_requests:
            limit_s = min(limit_s, FINAL_READ_S)
        with trio.move_on_after(limit_s) as scope:
            self._reading_scopes.add(scope)
            try:
                yield scope
            finally:
                self._reading_scopes.discard(scope)
                self._has_changed.set()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as open until its response has been sent."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
            self._has_changed.set()

    @contextmanager
    def closing(self) -> Iterator[None]:
        """Count a connection that is being closed after its last response."""
        self._closing_connections += 1
        try:
            yield
        finally:
            self._closing_connections -= 1
            self._has_changed.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open or being read, and no connection is being closed."""
        while self.open_requests or self._reading_scopes or self._closing_connections:
            self._has_changed = trio.Event()
            await self._has_changed.wait()
