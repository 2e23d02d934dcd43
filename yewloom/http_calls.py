"""HTTP calls over ``httpcore``; errors are classified by whether the request may have been sent."""

import json
import ssl
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from enum import Enum
from typing import Any

import httpcore
import trio

from yewloom.http_network import CheckedNetwork
from yewloom.http_pools import HttpPools, PoolOptions
from yewloom.response_heads import ResponseHeadError, check_head
from yewloom.values import value_class

MAX_CONNECTIONS = 2048
"""Maximum number of connections to one host."""

MAX_RESPONSE_BYTES = 64 << 20
"""Default for the maximum length of a response body that is read whole: a listing of the platform
has some megabytes."""

KEEP_ALIVE_S = 10.0
"""Default time for which an idle connection is kept."""

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
    """Whether the request of a failed call may have been sent, or its response came too late."""

    NOT_SENT = "not_sent"
    MAYBE_SENT = "maybe_sent"
    TIMED_OUT = "timed_out"


@value_class
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON; raises ValueError if it is not JSON."""
        return json.loads(self.body)


class HttpCallError(Exception):
    """A call got no complete response.

    ``head`` is the response without its body, if that broke off.
    """

    def __init__(self, failure: HttpFailure, detail: str, head: HttpResponse | None = None) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.head = head


@value_class
class HttpStream:
    """A response whose body is read as it arrives; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    chunks: AsyncIterator[bytes]


class _ConnectionKind:
    """Whether a call reused a connection, for error messages.

    A connection that stopped responding can't be distinguished from a server that did.
    """

    def __init__(self, is_reused: bool) -> None:
        self._is_reused = is_reused

    async def on_trace(self, event: str, info: object) -> None:
        """Handle a trace event of ``httpcore``."""
        if event == "connection.connect_tcp.started":
            self._is_reused = False

    def __str__(self) -> str:
        return "kept" if self._is_reused else "new"


class HttpClient:
    """Makes calls over connections that are kept open.

    Calls with ``new_connection`` never reuse a connection: if a request on an old connection is
    lost, the client can't know whether the server read it. After a call that timed out, connections
    that were open at that time are not reused either.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        tls: ssl.SSLContext | None = None,
        network: httpcore.AsyncNetworkBackend | None = None,
        keep_alive_s: float = KEEP_ALIVE_S,
    ) -> None:
        """Use ``network`` instead of the operating system's sockets, if given."""
        self._connect_timeout_s = connect_timeout_s
        checked = CheckedNetwork(network)
        self._options = PoolOptions(keep_alive_s, MAX_CONNECTIONS, checked, tls)
        self._pools = HttpPools(self._options)

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        new_connection: bool = False,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpResponse:
        """Send a request and return its complete response; raises HttpCallError.

        A response whose body is longer than ``max_bytes`` is one that cannot be read.
        """
        connection_kind = _ConnectionKind(is_reused=not new_connection)
        with trio.move_on_after(timeout_s):
            if new_connection:
                return await self._call_on_new_connection(method, url, body, headers, max_bytes)
            async with self._pools.pool_for(url) as pool:
                with _converted_errors():
                    async with pool.stream(
                        method,
                        url,
                        headers=_header_list(headers),
                        content=body,
                        extensions=self._extensions() | {"trace": connection_kind.on_trace},
                    ) as response:
                        return await _read_response(response, max_bytes)
        await self._pools.retire(url)
        detail = f"{method} {url} after {timeout_s:g} s over a {connection_kind} connection"
        raise HttpCallError(HttpFailure.TIMED_OUT, detail)

    @asynccontextmanager
    async def stream(
        self, method: str, url: str, body: bytes, read_timeout_s: float
    ) -> AsyncIterator[HttpStream]:
        """Send a request and read the response body as it arrives.

        ``read_timeout_s`` limits each wait for more of the response, and that for its head as a
        whole.
        """
        extensions = self._extensions(read_timeout_s)
        head_timeout_s = 2 * self._connect_timeout_s + read_timeout_s  # With waits to be sent.
        try:
            async with self._pools.pool_for(url) as pool:
                with _converted_errors():
                    async with AsyncExitStack() as exits:
                        response = None
                        with trio.move_on_after(head_timeout_s):
                            response = await exits.enter_async_context(
                                pool.stream(method, url, content=body, extensions=extensions)
                            )
                        if response is None:
                            detail = f"no head of a response in {head_timeout_s:g} s"
                            raise HttpCallError(HttpFailure.TIMED_OUT, detail)
                        head = _checked_head(response)
                        yield HttpStream(head.status, head.headers, response.aiter_stream())
        except HttpCallError as error:
            if error.failure is HttpFailure.TIMED_OUT:
                await self._pools.retire(url)
            raise

    async def renew_connections(self, url: str) -> None:
        """Use new connections to a URL's host for all further calls."""
        await self._pools.retire(url)

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()

    async def _call_on_new_connection(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        max_bytes: int,
    ) -> HttpResponse:
        all_headers = [*_header_list(headers), (b"connection", b"close")]
        with _converted_errors():
            async with (
                httpcore.AsyncConnectionPool(
                    ssl_context=self._options.tls, network_backend=self._options.network
                ) as pool,
                pool.stream(
                    method, url, headers=all_headers, content=body, extensions=self._extensions()
                ) as response,
            ):
                return await _read_response(response, max_bytes)

    def _extensions(self, read_timeout_s: float | None = None) -> dict[str, Any]:
        timeouts = {
            "connect": self._connect_timeout_s,
            "pool": self._connect_timeout_s,
            "read": read_timeout_s,
        }
        return {"timeout": timeouts}


class _converted_errors:  # noqa: N801 - used like a function
    """Convert httpcore errors to HttpCallError."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: Any, error: BaseException | None, trace: Any) -> None:
        if isinstance(error, httpcore.ReadTimeout):
            raise HttpCallError(HttpFailure.TIMED_OUT, _error_detail(error)) from error
        if isinstance(error, _NEVER_SENT):
            raise HttpCallError(HttpFailure.NOT_SENT, _error_detail(error)) from error
        if isinstance(error, _MAYBE_SENT):
            raise HttpCallError(HttpFailure.MAYBE_SENT, _error_detail(error)) from error


def _error_detail(error: BaseException) -> str:
    return f"{type(error).__name__} {error}".strip()


def _header_list(headers: Mapping[str, str] | None) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in (headers or {}).items()]


async def _read_response(response: httpcore.Response, max_bytes: int) -> HttpResponse:
    """Read a body to its end; raise HttpCallError if it breaks off or is too long."""
    head, body = _checked_head(response), bytearray()
    try:
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > max_bytes:
                raise HttpCallError(HttpFailure.MAYBE_SENT, f"more than {max_bytes} bytes of body")
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise HttpCallError(HttpFailure.MAYBE_SENT, _error_detail(error), head) from error
    return HttpResponse(head.status, head.headers, bytes(body))


def _checked_head(response: httpcore.Response) -> HttpResponse:
    """Return a response without its body; raise HttpCallError if its head violates HTTP."""
    try:
        check_head(response.status, response.headers)
    except ResponseHeadError as error:
        raise HttpCallError(HttpFailure.MAYBE_SENT, str(error)) from error
    return HttpResponse(response.status, _header_dict(response), b"")


def _header_dict(response: httpcore.Response) -> dict[str, str]:
    return {name.decode().lower(): value.decode("latin-1") for name, value in response.headers}
