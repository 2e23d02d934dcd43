"""Compare two transports between entry hosts: grpcio on trio-asyncio, and protobuf over HTTP/1.1.

For each transport, runs a server and a client as separate processes on loopback and sends the same
messages: unary calls with the answer of a data centre of 48 entry hosts, and a stream of small
messages. Prints the CPU time of both sides per call or message (median and range of five rounds),
and the server's memory.
"""

import os
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc
import httpcore
import hypercorn.trio
import trio
import trio_asyncio
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from yewloom.schema.peer_pb2 import ExchangeRequest, ExchangeResponse, Member

UNARY_CALLS, STREAM_MESSAGES, ROUNDS = 400, 2000, 5


def _answer() -> ExchangeResponse:
    members = [
        Member(id=f"entry-{i:04}", incarnation=1_790_000_000_000, heartbeat=i, data_centre="dc-01")
        for i in range(48)
    ]
    return ExchangeResponse(members=members)


def _usage() -> str:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return f"{used.ru_utime + used.ru_stime} {used.ru_maxrss / 1024}"


async def _serve_http(port: int) -> None:
    answer, small = _answer().SerializeToString(), Member(id="x").SerializeToString()

    async def exchange(request: Request) -> Response:
        ExchangeRequest.FromString(await request.body())
        return Response(_answer().SerializeToString() if answer else b"")

    async def stream(request: Request) -> Response:
        async def body() -> AsyncIterator[bytes]:
            for _ in range(STREAM_MESSAGES):
                yield len(small).to_bytes(4, "big") + small

        return StreamingResponse(body())

    async def usage(request: Request) -> Response:
        return Response(_usage())

    config = Config()
    config.bind, config.errorlog = [f"127.0.0.1:{port}"], None
    config.keep_alive_max_requests = 10**9
    routes = [
        Route("/exchange", exchange, methods=["POST"]),
        Route("/stream", stream),
        Route("/usage", usage),
    ]
    await hypercorn.trio.serve(Starlette(routes=routes), config)


class _Handler(grpc.GenericRpcHandler):  # type: ignore[misc]
    """Unary and streaming methods, defined without generated service code."""

    def service(self, details: Any) -> Any:
        """Return the handler of a method."""
        if details.method == "/t/exchange":
            return grpc.unary_unary_rpc_method_handler(
                self._exchange,
                ExchangeRequest.FromString,
                ExchangeResponse.SerializeToString,
            )
        if details.method == "/t/stream":
            return grpc.unary_stream_rpc_method_handler(
                self._stream, ExchangeRequest.FromString, Member.SerializeToString
            )
        return grpc.unary_unary_rpc_method_handler(self._usage)

    async def _exchange(self, request: ExchangeRequest, context: object) -> ExchangeResponse:
        return _answer()

    async def _stream(self, request: ExchangeRequest, context: object) -> AsyncIterator[Member]:
        for _ in range(STREAM_MESSAGES):
            yield Member(id="x")

    async def _usage(self, request: bytes, context: object) -> bytes:
        return _usage().encode()


async def _serve_grpc(port: int) -> None:
    async with trio_asyncio.open_loop():
        server = grpc.aio.server()
        server.add_generic_rpc_handlers((_Handler(),))
        server.add_insecure_port(f"127.0.0.1:{port}")
        await trio_asyncio.aio_as_trio(server.start)()
        await trio.sleep_forever()


class _HttpClient:
    """Client that uses httpcore."""

    def __init__(self, port: int) -> None:
        self.url = f"http://127.0.0.1:{port}"
        self.pool = httpcore.AsyncConnectionPool()

    async def call(self) -> None:
        """Make one unary call."""
        body = ExchangeRequest().SerializeToString()
        answer = await self.pool.request("POST", f"{self.url}/exchange", content=body)
        ExchangeResponse.FromString(answer.content)

    async def stream(self) -> None:
        """Read one stream."""
        buffer, count = b"", 0
        async with self.pool.stream("GET", f"{self.url}/stream") as answer:
            async for chunk in answer.aiter_stream():
                buffer += chunk
                while len(buffer) >= 4:
                    size = int.from_bytes(buffer[:4], "big")
                    if len(buffer) < 4 + size:
                        break
                    Member.FromString(buffer[4 : 4 + size])
                    buffer, count = buffer[4 + size :], count + 1
        assert count == STREAM_MESSAGES

    async def usage(self) -> str:
        """Return the server's CPU time and memory."""
        return (await self.pool.request("GET", f"{self.url}/usage")).content.decode()


class _GrpcClient:
    """Client that uses grpc.aio."""

    def __init__(self, port: int) -> None:
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}")

    async def call(self) -> None:
        """Make one unary call."""
        method = self.channel.unary_unary(
            "/t/exchange", ExchangeRequest.SerializeToString, ExchangeResponse.FromString
        )

        async def run() -> None:
            await method(ExchangeRequest())

        await trio_asyncio.aio_as_trio(run)()

    async def stream(self) -> None:
        """Read one stream."""
        method = self.channel.unary_stream(
            "/t/stream", ExchangeRequest.SerializeToString, Member.FromString
        )

        async def run() -> int:
            return len([message async for message in method(ExchangeRequest())])

        assert await trio_asyncio.aio_as_trio(run)() == STREAM_MESSAGES

    async def usage(self) -> str:
        """Return the server's CPU time and memory."""
        method = self.channel.unary_unary("/t/usage")

        async def run() -> bytes:
            return bytes(await method(b""))

        return (await trio_asyncio.aio_as_trio(run)()).decode()


async def _measure(client: _HttpClient | _GrpcClient, name: str) -> None:
    await _wait_until_serving(client)
    for operation, work, units in (
        ("unary call", lambda: _repeat(client.call, UNARY_CALLS), UNARY_CALLS),
        ("streamed message", client.stream, STREAM_MESSAGES),
    ):
        costs = []
        for _ in range(ROUNDS):
            before = await _total_cpu_s(client)
            await work()
            costs.append((await _total_cpu_s(client) - before) / units * 1e6)
        spread = f"{statistics.median(costs):.0f} ({min(costs):.0f}-{max(costs):.0f})"
        print(f"| {name} | {operation} | {spread} |")
    print(
        f"| {name} | server memory, MB | {float((await client.usage()).split()[1]):.0f} |",
        flush=True,
    )


async def _repeat(call: Callable[[], Awaitable[None]], count: int) -> None:
    for _ in range(count):
        await call()


async def _total_cpu_s(client: _HttpClient | _GrpcClient) -> float:
    return float((await client.usage()).split()[0]) + time.process_time()


async def _wait_until_serving(client: _HttpClient | _GrpcClient) -> None:
    for _ in range(100):
        try:
            await client.usage()
            return
        except (httpcore.ConnectError, grpc.aio.AioRpcError):
            await trio.sleep(0.1)
    raise SystemExit("the server did not answer after 100 attempts")


async def _run_client(kind: str, port: int) -> None:
    if kind == "http":
        await _measure(_HttpClient(port), "protobuf over hypercorn and httpcore")
        return
    async with trio_asyncio.open_loop():
        await _measure(_GrpcClient(port), "grpcio under trio-asyncio")


def main() -> None:
    """Run a server if called with --serve; otherwise measure each transport and print a table."""
    if sys.argv[1:2] == ["--serve"]:
        trio.run(_serve_http if sys.argv[2] == "http" else _serve_grpc, int(sys.argv[3]))
        return
    print("| transport | operation | CPU time of both sides, us |")
    print("|---|---|---|")
    for number, kind in enumerate(("grpc", "http")):
        port = 20_000 + os.getpid() % 20_000 + number
        server = subprocess.Popen([sys.executable, __file__, "--serve", kind, str(port)])
        try:
            trio.run(_run_client, kind, port)
        finally:
            server.kill()
            server.wait()


if __name__ == "__main__":
    main()
