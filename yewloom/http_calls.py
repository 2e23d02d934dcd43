"""HTTP calls by ``httpcore``, with its errors turned into kinds that say what may have happened."""

import json
import ssl
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Any

import httpcore
import trio

MAX_ANSWER_BYTES = 16 * 1024 * 1024

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


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as decoded JSON; raises ValueError if it is none."""
        return json.loads(self.body)


@dataclass(frozen=True)
class HttpStream:
    """An answer whose body is read as it comes."""

    status: int
    chunks: AsyncIterator[bytes]


class HttpCaller:
    """A pool of connections to many hosts.

    Calls marked ``fresh`` never reuse a connection: on an old one a request may be lost without
    a word whether it was read.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        max_connections: int = 2048,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=tls,
            max_connections=max_connections,
            max_keepalive_connections=256,
            keepalive_expiry=10.0,
        )
        self._tls = tls

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
        with trio.move_on_after(timeout_s):
            if fresh:
                return await self._call_fresh(method, url, body, headers)
            with _turned_errors():
                response = await self._pool.request(
                    method,
                    url,
                    headers=_header_list(headers),
                    content=body,
                    extensions=self._extensions(),
                )
                return _answer(response)
        raise HttpCallError(HttpFailure.TIMED_OUT, f"{method} {url} after {timeout_s:g} s")

    @asynccontextmanager
    async def stream(
        self, method: str, url: str, body: bytes, read_timeout_s: float
    ) -> AsyncIterator[HttpStream]:
        """Send a request and read the answer's body as it comes.

        ``read_timeout_s`` bounds each wait for more of the answer.
        """
        with _turned_errors():
            async with self._pool.stream(
                method, url, content=body, extensions=self._extensions(read_timeout_s)
            ) as response:
                yield HttpStream(response.status, response.aiter_stream())

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _call_fresh(
        self, method: str, url: str, body: bytes, headers: Mapping[str, str] | None
    ) -> HttpAnswer:
        all_headers = [*_header_list(headers), (b"connection", b"close")]
        with _turned_errors():
            async with httpcore.AsyncConnectionPool(ssl_context=self._tls) as pool:
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
