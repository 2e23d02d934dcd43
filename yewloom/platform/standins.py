"""Run stand-ins for the users' store and engines: ``python -m yewloom.platform.standins``."""

from functools import partial
from typing import Annotated

import hypercorn.trio
import trio
import typer
from hypercorn.config import Config

from yewloom.platform.standin_engine import UserEngineStandIn
from yewloom.platform.standin_store import StoreStandIn
from yewloom.standins.server import serve

SERVICE = "engines"

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "summaries",
            "host": "demo.example",
            "pathPrefix": "/summaries/",
            "type": "stream",
            "timeoutMs": 8000,
            "sloMs": 500,
            "service": SERVICE,
            "attempts": 2,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "engine": {
                "slots": 13,
                "models": [{"name": "plates", "size": 2, "share": 1, "loadS": 1, "warmupS": 0.1}],
                "loadsPerS": 4.0,
            },
        }
    ],
    "tenants": [{"name": "branch-1", "apiKeys": ["demo-key"]}],
}
"""Configuration of the demo: one route to engines that form groups of two."""


async def run(address: str, first_engine_port: int, engines: int) -> None:
    """Serve a store and engines until a signal arrives."""
    store = StoreStandIn()
    store.put("config", "main", CONFIGURATION)
    tasks = []
    for number in range(engines):
        engine_address = f"127.0.0.1:{first_engine_port + number}"
        engine = UserEngineStandIn(
            f"engine-{number}", engine_address, SERVICE, "rack-1", "hall-a", store
        )
        engine.publish()
        tasks.append(partial(_serve_engine, engine))
    await serve(store.application(), address, *tasks)


async def _serve_engine(engine: UserEngineStandIn) -> None:
    config = Config()
    config.bind = [engine.address]
    config.errorlog = None
    await hypercorn.trio.serve(engine.application(), config)


def main(
    address: Annotated[str, typer.Option(help="ip:port of the store.")],
    first_engine_port: Annotated[int, typer.Option(help="Port of the first engine.")],
    engines: Annotated[int, typer.Option(help="Number of engines to run.")] = 4,
) -> None:
    """Run the stand-ins."""
    trio.run(run, address, first_engine_port, engines)


if __name__ == "__main__":
    typer.run(main)
