"""Connections of soak callers, which record the process that each request was sent to."""

import ssl
from contextvars import ContextVar
from typing import Any

import httpcore

from yewloom.tests.soak.ledger import Sent

current_request: ContextVar[Sent] = ContextVar("current_request")
"""Request that the current task is sending."""


class RecordedStream(httpcore.AsyncNetworkStream):
    """A connection to one process of an entry host; ``life`` is the name of that process."""

    def __init__(self, stream: httpcore.AsyncNetworkStream, life: str) -> None:
        self._stream = stream
        self._life = life

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read up to ``max_bytes`` bytes."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes, and record the process and the port with the current request."""
        sent = current_request.get()
        sent.host_life = self._life
        sent.caller_port = self._stream.get_extra_info("client_addr")[1]
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise ``NotImplementedError``: soak callers do not use TLS."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Return transport information of the underlying connection."""
        return self._stream.get_extra_info(info)
