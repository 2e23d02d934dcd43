"""Connections of HTTP calls that report a reset which a failed send has hidden.

``httpcore`` drops the error of a failed send and reads the response, as a server may respond before
it has read everything. What is read last need not be the end of the response then
(``connection_ends``).
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

from yewloom.connection_ends import shows_end


class CheckedNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections by another backend, that of ``trio`` unless given."""

    def __init__(self, network: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._network = network or httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._network.connect_tcp(host, port, timeout, local_address, socket_options)
        return _CheckedStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait before a connection attempt is retried."""
        await self._network.sleep(seconds)


class _CheckedStream(httpcore.AsyncNetworkStream):
    """A connection whose end is an error after a failed send, unless the peer had ended it."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._may_be_reset = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, or none at the end; raises httpcore.ReadError after a reset."""
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._may_be_reset:
            raise httpcore.ReadError("reset while the request was sent")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._may_be_reset = self._may_be_reset or not shows_end(error)
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return a connection that encrypts what is sent on this one."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return _CheckedStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self._stream.get_extra_info(info)
