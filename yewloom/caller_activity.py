"""What the connections of one server are doing: idle, or answering a request."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class CallerActivity:
    """Counts open requests and keeps idle connections, so that a server can stop in order."""

    def __init__(self) -> None:
        self._idle: set[trio.CancelScope] = set()
        self._request_ended = trio.Event()
        self._leaving_since_s: float | None = None
        self.open_requests = 0

    @property
    def is_leaving(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._leaving_since_s is not None

    def start_leaving(self) -> None:
        """Begin a planned stop: answers that begin from now on close their connections."""
        self._leaving_since_s = trio.current_time()

    def stopping_ms(self) -> int | None:
        """Return for how long the planned stop has been going on; None if there is none."""
        if self._leaving_since_s is None:
            return None
        return round((trio.current_time() - self._leaving_since_s) * 1000)

    @contextmanager
    def idle_for(self, limit_s: float) -> Iterator[None]:
        """Mark a connection as idle for a time, after which its wait is cancelled."""
        with trio.move_on_after(limit_s) as scope:
            self._idle.add(scope)
            try:
                yield
            finally:
                self._idle.discard(scope)

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request while it is answered."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
            self._request_ended.set()

    def close_idle(self) -> None:
        """Close connections on which no request is being read or answered."""
        for scope in self._idle:
            scope.cancel()

    async def wait_until_idle(self) -> None:
        """Wait until no request is being answered."""
        while self.open_requests:
            self._request_ended = trio.Event()
            await self._request_ended.wait()
