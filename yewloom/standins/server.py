"""Helpers shared by all stand-ins: serving, JSON bodies, switches and error responses."""

import signal
from collections.abc import Callable
from typing import Any

import hypercorn.trio
import trio
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send


async def serve(application: Starlette, address: str | list[str], *tasks: Any) -> None:
    """Serve an application and run tasks concurrently until a signal arrives."""
    config = Config()
    config.bind = [address] if isinstance(address, str) else address
    config.errorlog = None
    config.graceful_timeout = 0.2
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task)
        nursery.start_soon(_serve, application, config, stopped)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        stopped.set()
        nursery.cancel_scope.cancel()


async def _serve(application: Starlette, config: Config, stopped: trio.Event) -> None:
    await hypercorn.trio.serve(application, config, shutdown_trigger=stopped.wait)


async def read_json(request: Request) -> dict[str, Any]:
    """Decode the body as a JSON object; return an empty one without a body."""
    body = await request.body()
    return dict(await request.json()) if body else {}


async def set_switches(request: Request, switches: object) -> Response:
    """Set the switches given in a request, and return the values of all switches."""
    for name, value in (await read_json(request)).items():
        if not hasattr(switches, name):
            return JSONResponse({"detail": f"no switch {name}"}, 400)
        setattr(switches, name, value)
    return JSONResponse(vars(switches))


class ResponseHeader:
    """Middleware that adds a header to each response, unless ``value`` returns None."""

    def __init__(
        self, application: ASGIApp, name: bytes, value: Callable[[], bytes | None]
    ) -> None:
        self._application = application
        self._name = name
        self._value = value

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a request."""

        async def send_with_header(message: Message) -> None:
            value = self._value()
            if message["type"] == "http.response.start" and value is not None:
                message["headers"].append((self._name, value))
            await send(message)

        await self._application(scope, receive, send_with_header)


def not_run_response(reason: str, status: int = 409) -> Response:
    """Return the response with which an endpoint states that it did not run the request."""
    return JSONResponse({"detail": reason}, status, {"x-outcome": "not_run"})
