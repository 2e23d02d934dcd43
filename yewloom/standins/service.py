"""Stand-in for a plain service that counts how often it runs each call.

Switches (``POST /control`` with JSON fields): ``delay_ms`` (time that each call takes), ``leaving``
(reported as such), ``refuse`` (calls are rejected without being run), ``drop_answers`` (number of
calls that run but whose connections break before the response is complete), ``frozen`` (no call
gets a response).
"""

from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Annotated

import trio
import typer
from google.protobuf import json_format
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from yewloom.schema.records_pb2 import HostReport
from yewloom.standins.server import not_run_response, serve, set_switches
from yewloom.states import EngineState


@dataclass
class Switches:
    """Injected failures."""

    delay_ms: int = 0
    leaving: bool = False
    refuse: bool = False
    drop_answers: int = 0
    frozen: bool = False


class ServiceStandIn:
    """One endpoint of a plain service."""

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id
        self.switches = Switches()
        self.runs: Counter[str] = Counter()

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/report", self._report),
                Route("/control", self._control, methods=["POST"]),
                Route("/control/runs", self._count_runs),
                Route("/{path:path}", self._run, methods=["GET", "POST", "PUT", "DELETE"]),
            ]
        )

    async def _report(self, request: Request) -> Response:
        await self._wait_while_frozen()
        report = HostReport(
            host_id=self.host_id,
            state=EngineState.READY.value,
            leaving=self.switches.leaving,
            capacity=64,
        )
        return Response(json_format.MessageToJson(report, preserving_proto_field_name=True))

    async def _run(self, request: Request) -> Response:
        await self._wait_while_frozen()
        if self.switches.refuse:
            return not_run_response("the service takes no calls now", 503)
        body = await request.body()
        call_name = request.headers.get("idempotency-key") or request.path_params["path"]
        self.runs[call_name] += 1
        await trio.sleep(self.switches.delay_ms / 1000)
        if self.switches.drop_answers > 0:
            self.switches.drop_answers -= 1
            return StreamingResponse(_broken_body())
        fields = {
            "path": request.path_params["path"],
            "run": self.runs[call_name],
            "bytes": len(body),
        }
        return JSONResponse({**fields, "host": self.host_id})

    async def _wait_while_frozen(self) -> None:
        while self.switches.frozen:  # noqa: ASYNC110 - a switch, not an event
            await trio.sleep(0.05)

    async def _control(self, request: Request) -> Response:
        return await set_switches(request, self.switches)

    async def _count_runs(self, request: Request) -> Response:
        return JSONResponse({"runs": dict(self.runs)})


async def _broken_body() -> AsyncIterator[bytes]:
    yield b"{"
    raise ConnectionAbortedError("connection broken by drop_answers")


def main(
    address: Annotated[str, typer.Option(help="ip:port to serve on.")],
    host_id: Annotated[str, typer.Option(help="Name of the host in the platform's list.")],
) -> None:
    """Run the stand-in for a plain service."""
    trio.run(serve, ServiceStandIn(host_id).application(), address)


if __name__ == "__main__":
    typer.run(main)
