"""Connections of HTTP calls that report what ``httpcore`` does not show.

It drops the error of a failed send and reads the response, as a server may respond before it has
read everything. What is read last need not be the end of the response then (``connection_ends``).
And it shows the lines of a head only as h11 has joined them (``response_heads``).
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore

from yewloom.connection_ends import shows_end
from yewloom.response_heads import FoldedLineCheck, ResponseHeadError


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
    """A connection whose end is an error after a failed send, unless the peer had ended it.

    One request follows another: what is read behind what was sent last is the response to it.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._may_be_reset = False
        self._folded_lines = FoldedLineCheck()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, or none at the end.

        Raises httpcore.ReadError after a reset, and httpcore.RemoteProtocolError if the head of a
        response has a folded line.
        """
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._may_be_reset:
            raise httpcore.ReadError("reset while the request was sent")
        try:
            self._folded_lines.feed(data)
        except ResponseHeadError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of the next request."""
        self._folded_lines = FoldedLineCheck()
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
