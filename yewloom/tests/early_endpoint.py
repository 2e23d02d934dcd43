"""An endpoint that answers in raw bytes before it has read a request's body."""

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from enum import Enum
from functools import partial
from typing import Protocol

import h11
import trio

from yewloom.configuration import CallerLimits
from yewloom.tests.forwarding_support import (
    LIMITS,
    ROUTES,
    SHORT_BODY,
    CallerResponse,
    ForwarderFixture,
    ScriptedEndpoint,
    respond_ok,
    run,
)

UPLOAD = b"x" * (8 << 20)
"""A body that the socket buffers of host and endpoint can't hold."""

STAMP = b"stamp"

Script = Callable[[ScriptedEndpoint, h11.Request], Awaitable[None]]


class Ending(Enum):
    """How an endpoint ends the connection behind its answer.

    ``RESET``: by a reset. ``CLOSED_UNREAD``: it closes while bytes of the body wait unread, for
    which the operating system sends a reset. ``ENDED_UNREAD``: it ends its answer, and then closes
    in that way. ``READ``: it reads the body and closes.
    """

    RESET = "reset"
    CLOSED_UNREAD = "closed unread"
    ENDED_UNREAD = "ended, then closed unread"
    READ = "read, then closed"


BREAKS = (Ending.RESET, Ending.CLOSED_UNREAD)
"""Endings that leave open whether the answer is whole."""


class Endpoint(Protocol):
    """What serves the connections to one address."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        ...


@asynccontextmanager
async def serving(endpoint: Endpoint) -> AsyncIterator[str]:
    """Serve connections to an endpoint on localhost; yield its address."""
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, endpoint.serve, 0, host="127.0.0.1")
        [listener] = await nursery.start(serve)
        yield "{}:{}".format(*listener.socket.getsockname())
        nursery.cancel_scope.cancel()


class EarlyEndpoint(ScriptedEndpoint):
    """An endpoint whose script runs as soon as the head of a request has been read."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Read the head of one request and run the script."""
        connection = h11.Connection(h11.SERVER)
        while (request := connection.next_event()) is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65536))
        if not isinstance(request, h11.Request):
            return  # A probe.
        await self.run_script(stream, connection, request)


def head(
    request: h11.Request, *lines: bytes, status: bytes = b"200 OK", version: bytes = b"1.1"
) -> bytes:
    """Return the head of an answer to a request, without its length, with further lines."""
    request_id = dict(request.headers).get(b"yewloom-request-id", b"")
    own = (b"yewloom-request-id: " + request_id, b"yewloom-server-stamp: " + STAMP)
    return b"\r\n".join([b"HTTP/" + version + b" " + status, *own, *lines, b"", b""])


def answering(
    body: bytes,
    ending: Ending,
    *lines: bytes,
    status: bytes = b"200 OK",
    version: bytes = b"1.1",
) -> Script:
    """Return a script that answers with these bytes and ends the connection."""

    async def script(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
        assert endpoint.stream is not None
        if ending is Ending.READ:
            await _read_body(endpoint)
        elif ending is Ending.CLOSED_UNREAD:
            await trio.lowlevel.wait_readable(endpoint.stream.socket)
        answer = head(request, *lines, status=status, version=version) + body
        await send_and_end(endpoint.stream, answer, ending)

    return script


async def send_and_end(stream: trio.SocketStream, data: bytes, ending: Ending) -> None:
    """Send bytes and end the connection before the host can do anything.

    Does nothing if the host has closed the connection.
    """
    with (
        socket.fromfd(stream.socket.fileno(), socket.AF_INET, socket.SOCK_STREAM) as connection,
        suppress(OSError),
    ):
        connection.sendall(data)
        if ending is Ending.RESET:
            reset_on_close(connection)
        elif ending is Ending.ENDED_UNREAD:
            connection.shutdown(socket.SHUT_WR)
    await trio.aclose_forcefully(stream)


def reset_on_close(connection: socket.socket | trio.socket.SocketType) -> None:
    """Let a connection be reset when it is closed."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def _read_body(endpoint: ScriptedEndpoint) -> None:
    """Read the rest of a request."""
    assert endpoint.stream is not None
    while not isinstance(event := endpoint.connection.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            endpoint.connection.receive_data(await endpoint.stream.receive_some(1 << 20))


def ask(
    script: Script,
    path: str,
    body: bytes = SHORT_BODY,
    *,
    limits: CallerLimits = LIMITS,
    beside_sound: bool = False,
) -> CallerResponse:
    """Return the answer to a request at an early endpoint, and at a sound one if that fails."""
    responses = []

    async def test(fixture: ForwarderFixture) -> None:
        await fixture.add_plain("p", EarlyEndpoint(script))
        if beside_sound:
            await fixture.add_plain("q", ScriptedEndpoint(respond_ok))
        responses.append(await fixture.request(path, body))

    run(test, ROUTES, limits)
    return responses[0]
