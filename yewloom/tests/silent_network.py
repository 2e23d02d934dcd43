"""An in-memory network whose open connections can stop responding, with a store as the server."""

import json
import math
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httpcore
import trio

HEAD_END = b"\r\n\r\n"


class MemoryStore:
    """Responds to list and watch requests for ``config/main``, each after ``response_delay_s``."""

    def __init__(self) -> None:
        self.response_delay_s = 0.0
        self.revision = 0
        self._spec: dict[str, Any] = {}
        self._changed = trio.Event()
        self.write(1)

    def write(self, version: int) -> None:
        """Write a version."""
        self.revision += 1
        self._spec = {"version": version, "routes": [], "services": []}
        self._changed.set()
        self._changed = trio.Event()

    async def respond(self, target: str) -> bytes:
        """Return the response to a request for a target."""
        await trio.sleep(self.response_delay_s)
        query = parse_qs(urlsplit(target).query)
        metadata = {"name": "main", "revision": self.revision}
        if "watch" not in query:
            item = {"metadata": metadata, "spec": self._spec}
            return _response({"items": [item], "storeRevision": self.revision})
        position = int(query["watch"][0])
        with trio.move_on_after(int(query["waitMs"][0]) / 1000):
            while self.revision <= position:
                await self._changed.wait()
        item = {"metadata": {"name": "main", "revision": self.revision}, "spec": self._spec}
        events = [{"object": item, "tombstone": False}] if self.revision > position else []
        return _response({"events": events, "storeRevision": self.revision})


def _response(fields: dict[str, Any]) -> bytes:
    body = json.dumps(fields).encode()
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


async def _time_out(timeout_s: float | None) -> None:
    with trio.move_on_after(timeout_s if timeout_s is not None else math.inf):
        await trio.sleep_forever()
    raise httpcore.ReadTimeout


class SilentNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections to a store; ``silence_open`` makes all open ones stop responding."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.opened: list[Connection] = []

    def silence_open(self) -> None:
        """Make the currently open connections stop responding for good, without a reset."""
        for connection in self.opened:
            connection.is_silent = True

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        connection = Connection(self._store)
        self.opened.append(connection)
        return connection

    async def sleep(self, seconds: float) -> None:
        """Wait before a connection attempt is retried."""
        await trio.sleep(seconds)


class Connection(httpcore.AsyncNetworkStream):
    """One connection to the store; ``requests`` are the targets requested on it."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._received = b""
        self._unread_response = b""
        self.is_silent = False
        self.is_closed = False
        self.requests: list[str] = []

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Receive a part of a request."""
        await trio.lowlevel.checkpoint()
        self._received += buffer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return a part of the response; block until the timeout once silent."""
        if HEAD_END in self._received:
            target = self._received.split(b" ", 2)[1].decode()
            self._received = b""
            self.requests.append(target)
            self._unread_response = await self._store.respond(target)
        await trio.lowlevel.checkpoint()
        if self.is_silent:
            await _time_out(timeout)
        part, self._unread_response = (
            self._unread_response[:max_bytes],
            self._unread_response[max_bytes:],
        )
        return part

    async def aclose(self) -> None:
        """Close the connection."""
        self.is_closed = True
        await trio.lowlevel.checkpoint()

    def get_extra_info(self, info: str) -> Any:
        """Report that nothing is readable: a silent connection shows no sign of it."""
        return False if info == "is_readable" else None
