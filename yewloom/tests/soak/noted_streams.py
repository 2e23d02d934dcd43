"""Connections of callers under soak, which note the process that each request reached."""

import ssl
from contextvars import ContextVar
from typing import Any

import httpcore

from yewloom.tests.soak.ledger import Sent

sending: ContextVar[Sent] = ContextVar("sending")
"""The request that a caller's task sends."""


class NotedStream(httpcore.AsyncNetworkStream):
    """A connection to one process of an entry host, named by ``life``."""

    def __init__(self, stream: httpcore.AsyncNetworkStream, life: str) -> None:
        self._stream = stream
        self._life = life

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes, and note of their request whom they go to."""
        sent = sending.get()
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
        """Go on encrypted, which no caller under soak does."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Return what the network tells of the connection."""
        return self._stream.get_extra_info(info)
