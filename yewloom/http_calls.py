"""HTTP calls by ``httpcore``, with its errors turned into kinds that say what may have happened."""

import json
import ssl
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from enum import Enum
from typing import Any

import httpcore
import trio

from yewloom.http_pools import HttpPools, PoolOptions
from yewloom.values import value_class

MAX_CONNECTIONS = 2048
"""Connections to one host at once."""

KEEP_ALIVE_S = 10.0
"""Time for which an idle connection is kept, unless the caller of this module says otherwise."""

_NEVER_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_MAYBE_SENT = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)


class HttpFailure(Enum):
    """How far a failed call may have come."""

    NOT_SENT = "not_sent"
    MAYBE_SENT = "maybe_sent"
    TIMED_OUT = "timed_out"


class HttpCallError(Exception):
    """A call got no whole answer."""

    def __init__(self, failure: HttpFailure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


@value_class
class HttpAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as decoded JSON; raises ValueError if it is none."""
        return json.loads(self.body)


@value_class
class HttpStream:
    """An answer whose body is read as it comes."""

    status: int
    chunks: AsyncIterator[bytes]


class _Way:
    """Whether a call went over a kept connection, for the log: one that is silent looks like a
    server that is.
    """

    def __init__(self, is_kept: bool) -> None:
        self._is_kept = is_kept

    async def note(self, event: str, info: object) -> None:
        """Take in what ``httpcore`` tells of a call."""
        if event == "connection.connect_tcp.started":
            self._is_kept = False

    def __str__(self) -> str:
        return "kept" if self._is_kept else "new"


class HttpCaller:
    """Calls over kept connections.

    Calls marked ``fresh`` never reuse a connection: on an old one a request may be lost without
    a word whether it was read. After a call without an answer in time none is reused either.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        tls: ssl.SSLContext | None = None,
        network: httpcore.AsyncNetworkBackend | None = None,
        keep_alive_s: float = KEEP_ALIVE_S,
    ) -> None:
        """Take ``network`` in place of the system's sockets, if given."""
        self._connect_timeout_s = connect_timeout_s
        self._options = PoolOptions(keep_alive_s, MAX_CONNECTIONS, tls, network)
        self._pools = HttpPools(self._options)

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        fresh: bool = False,
    ) -> HttpAnswer:
        """Send a request and return its whole answer, or raise HttpCallError."""
        way = _Way(is_kept=not fresh)
        with trio.move_on_after(timeout_s):
            if fresh:
                return await self._call_fresh(method, url, body, headers)
            async with self._pools.pool_for(url) as pool:
                with _turned_errors():
                    response = await pool.request(
                        method,
                        url,
                        headers=_header_list(headers),
                        content=body,
                        extensions=self._extensions() | {"trace": way.note},
                    )
                    return _answer(response)
        await self._pools.retire(url)
        detail = f"{method} {url} after {timeout_s:g} s over a {way} connection"
        raise HttpCallError(HttpFailure.TIMED_OUT, detail)

    @asynccontextmanager
    async def stream(
        self, method: str, url: str, body: bytes, read_timeout_s: float
    ) -> AsyncIterator[HttpStream]:
        """Send a request and read the answer's body as it comes.

        ``read_timeout_s`` bounds each wait for more of the answer.
        """
        extensions = self._extensions(read_timeout_s)
        try:
            async with self._pools.pool_for(url) as pool:
                with _turned_errors():
                    async with pool.stream(
                        method, url, content=body, extensions=extensions
                    ) as response:
                        yield HttpStream(response.status, response.aiter_stream())
        except HttpCallError as error:
            if error.failure is HttpFailure.TIMED_OUT:
                await self._pools.retire(url)
            raise

    async def renew(self, url: str) -> None:
        """Open new connections to a URL's host for all further calls."""
        await self._pools.retire(url)

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()

    async def _call_fresh(
        self, method: str, url: str, body: bytes, headers: Mapping[str, str] | None
    ) -> HttpAnswer:
        all_headers = [*_header_list(headers), (b"connection", b"close")]
        with _turned_errors():
            async with httpcore.AsyncConnectionPool(
                ssl_context=self._options.tls, network_backend=self._options.network
            ) as pool:
                response = await pool.request(
                    method, url, headers=all_headers, content=body, extensions=self._extensions()
                )
                return _answer(response)

    def _extensions(self, read_timeout_s: float | None = None) -> dict[str, Any]:
        limits = {
            "connect": self._connect_timeout_s,
            "pool": self._connect_timeout_s,
            "read": read_timeout_s,
        }
        return {"timeout": limits}


class _turned_errors:  # noqa: N801 - used like a function
    """Turn the errors of httpcore into HttpCallError."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: Any, error: BaseException | None, trace: Any) -> None:
        if isinstance(error, httpcore.ReadTimeout):
            raise HttpCallError(HttpFailure.TIMED_OUT, _detail(error)) from error
        if isinstance(error, _NEVER_SENT):
            raise HttpCallError(HttpFailure.NOT_SENT, _detail(error)) from error
        if isinstance(error, _MAYBE_SENT):
            raise HttpCallError(HttpFailure.MAYBE_SENT, _detail(error)) from error


def _detail(error: BaseException) -> str:
    return f"{type(error).__name__} {error}".strip()


def _header_list(headers: Mapping[str, str] | None) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in (headers or {}).items()]


def _answer(response: httpcore.Response) -> HttpAnswer:
    headers = {name.decode().lower(): value.decode("latin-1") for name, value in response.headers}
    return HttpAnswer(response.status, headers, response.content)
