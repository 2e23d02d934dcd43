"""Stand-in for the platform: object API, watches and a host list that lags behind.

Switches (``POST /control`` with JSON fields): ``outage`` (every call fails), ``delay_ms`` (before
each response), ``lose_answers`` (number of writes that take effect but get an error response),
``host_lag_ms`` (delay of changes to the host list), ``cut_ports`` (calls to these ports fail, as
from a data centre that is cut off), and the rate limits per second, ``writes_a_s`` and
``reads_a_s``. ``POST /control/go_back`` with ``position`` lets it go back to its copy as of then.
"""

import configparser
import hmac
import json
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import trio
import typer
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from yewloom.standins.server import ResponseHeader, read_json, serve, set_switches


@dataclass
class Switches:
    """Injected failures and rate limits."""

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    host_lag_ms: int = 0
    cut_ports: list[int] = field(default_factory=list)
    writes_a_s: int = 500
    reads_a_s: int = 2000


@dataclass
class ObjectStore:
    """Objects, each with its version and the position of its latest write among all writes."""

    objects: dict[str, tuple[int, Any, int]] = field(default_factory=dict)
    position: int = 0
    era: int = 0
    changed: trio.Event = field(default_factory=trio.Event)
    log: list[tuple[str, int, Any, int]] = field(default_factory=list)

    def write(self, key: str, value: Any, expected: int) -> int | None:
        """Write an object if it has the expected version; return the new version, else None."""
        version = self.objects.get(key, (0, None, 0))[0]
        if version != expected:
            return None
        self.position += 1
        self.objects[key] = (version + 1, value, self.position)
        self.log.append((key, *self.objects[key]))
        self.notify()
        return version + 1

    def go_back(self, position: int) -> None:
        """Lose all writes after a position."""
        self.log = [entry for entry in self.log if entry[-1] <= position]
        self.objects = {key: (version, value, at) for key, version, value, at in self.log}
        self.position, self.era = min(self.position, position), self.era + 1
        self.notify()

    def notify(self) -> None:
        """Let waiting watches look again."""
        self.changed.set()
        self.changed = trio.Event()

    def changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the objects under a key prefix that were written after a position."""
        return [
            {"key": key, "version": version, "value": value}
            for key, (version, value, position) in sorted(self.objects.items())
            if key.startswith(prefix) and position > after
        ]


class PlatformStandIn:
    """The platform's HTTP interface."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.store = ObjectStore()
        self.switches = Switches()
        self.counts: Counter[str] = Counter()
        self._hosts = {host["id"]: host for host in hosts}
        self._calls_per_second: Counter[tuple[str, int]] = Counter()
        self.operator_token = ""

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/objects/{key:path}", self._get, methods=["GET"]),
                Route("/v1/objects/{key:path}", self._put, methods=["PUT"]),
                Route("/v1/objects", self._list),
                Route("/v1/watch", self._watch),
                Route("/v1/hosts", self._list_hosts),
                Route("/control", self._control, methods=["POST"]),
                Route("/control/hosts", self._set_host, methods=["POST"]),
                Route("/control/counts", self._counts),
                Route("/control/go_back", self._go_back, methods=["POST"]),
            ],
            middleware=[Middleware(ResponseHeader, name=b"store-era", value=self._era_value)],
        )

    def _era_value(self) -> bytes:
        return str(self.store.era).encode()

    def _is_forbidden(self, request: Request, key: str) -> bool:
        """Tell whether a write to the table lacks the operator's token."""
        token = request.headers.get("authorization", "").removeprefix("Bearer ")
        has_token = hmac.compare_digest(token, self.operator_token)
        return bool(self.operator_token) and key.startswith("table/") and not has_token

    def _is_cut_off(self, request: Request) -> bool:
        return request.scope["server"][1] in self.switches.cut_ports

    async def _refusal(self, request: Request, kind: str, is_write: bool) -> Response | None:
        """Count a call; return a refusal during an outage or above the rate limit, else None."""
        self.counts[kind] += 1
        if self.switches.outage or self._is_cut_off(request):
            return JSONResponse({"detail": "outage"}, 503)
        bucket = ("write" if is_write else "read", int(trio.current_time()))
        self._calls_per_second[bucket] += 1
        limit = self.switches.writes_a_s if is_write else self.switches.reads_a_s
        if self._calls_per_second[bucket] > limit:
            self.counts["limited"] += 1
            return JSONResponse({"detail": "rate limit"}, 429, {"retry-after": "1"})
        if self.switches.delay_ms:
            await trio.sleep(self.switches.delay_ms / 1000)
        return None

    async def _get(self, request: Request) -> Response:
        refusal = await self._refusal(request, "get", is_write=False)
        if refusal is not None:
            return refusal
        key = request.path_params["key"]
        if key not in self.store.objects:
            return JSONResponse({"detail": "not found"}, 404)
        version, value, _ = self.store.objects[key]
        return JSONResponse({"key": key, "version": version, "value": value})

    async def _put(self, request: Request) -> Response:
        refusal = await self._refusal(request, "update", is_write=True)
        if refusal is not None:
            return refusal
        key = request.path_params["key"]
        if self._is_forbidden(request, key):
            return JSONResponse({"detail": "an operator's token is needed"}, 403)
        expected_version = request.headers.get("if-match", "0").strip('"')
        version = self.store.write(
            request.path_params["key"], await request.json(), int(expected_version)
        )
        if version is None:
            return JSONResponse({"detail": "another version"}, 412)
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            return JSONResponse({"detail": "lost"}, 500)
        return JSONResponse({"version": version})

    async def _list(self, request: Request) -> Response:
        refusal = await self._refusal(request, "list", is_write=False)
        if refusal is not None:
            return refusal
        return self._changes(request.query_params.get("prefix", ""), 0)

    async def _watch(self, request: Request) -> Response:
        refusal = await self._refusal(request, "watch", is_write=False)
        if refusal is not None:
            return refusal
        prefix = request.query_params.get("prefix", "")
        after, era = int(request.query_params["position"]), self.store.era
        if after > self.store.position:
            return JSONResponse({"detail": "no such position"}, 410)
        with trio.move_on_after(int(request.query_params["timeout_ms"]) / 1000):
            while not self.store.changes(prefix, after):
                await self.store.changed.wait()
                if self.switches.outage or self._is_cut_off(request):
                    return JSONResponse({"detail": "outage"}, 503)
                if self.store.era != era:
                    return JSONResponse({"detail": "no such position"}, 410)
        return self._changes(prefix, after)

    def _changes(self, prefix: str, after: int) -> Response:
        items = self.store.changes(prefix, after)
        return JSONResponse({"position": self.store.position, "items": items})

    async def _list_hosts(self, request: Request) -> Response:
        refusal = await self._refusal(request, "hosts", is_write=False)
        if refusal is not None:
            return refusal
        data_centre = request.query_params.get("data_centre")
        hosts = [h for h in self._hosts.values() if data_centre in (None, h["data_centre"])]
        return JSONResponse({"hosts": hosts})

    async def _control(self, request: Request) -> Response:
        response = await set_switches(request, self.switches)
        if self.switches.outage or self.switches.cut_ports:
            self.store.notify()
        return response

    async def _go_back(self, request: Request) -> Response:
        self.store.go_back(int((await read_json(request))["position"]))
        return JSONResponse({"era": self.store.era})

    async def _set_host(self, request: Request) -> Response:
        """Add, change or remove a host in the list, after the configured lag."""
        fields = await read_json(request)
        await trio.sleep(self.switches.host_lag_ms / 1000)
        if fields.get("state") == "gone":
            self._hosts.pop(fields["id"], None)
        else:
            self._hosts[fields["id"]] = {**self._hosts.get(fields["id"], {}), **fields}
        return JSONResponse({"hosts": len(self._hosts)})

    async def _counts(self, request: Request) -> Response:
        return JSONResponse(dict(self.counts))


def read_hosts(path: Path) -> list[dict[str, Any]]:
    """Read hosts from an INI file with one section per host."""
    parser = configparser.ConfigParser()
    parser.read_string(path.read_text(encoding="utf-8"))
    return [
        {
            "id": name,
            "address": section["address"],
            "data_centre": section["data_centre"],
            "fabric_domain": section.get("fabric_domain", ""),
            "state": section.get("state", "live"),
            "service": section.get("service", ""),
            "is_entry_host": section.getboolean("is_entry_host", False),
            "checks_fences": section.getboolean("checks_fences", True),
        }
        for name, section in parser.items()
        if name != parser.default_section
    ]


def main(
    address: Annotated[list[str], typer.Option(help="ip:port to serve on; may be repeated.")],
    hosts: Annotated[Path, typer.Option(help="INI file with one section per host.")],
    rows: Annotated[Path | None, typer.Option(help="JSON file with initial objects.")] = None,
    operator_token: Annotated[
        str, typer.Option(help="Token that writes to the table require.")
    ] = "",
) -> None:
    """Run the stand-in for the platform."""
    stand_in = PlatformStandIn(read_hosts(hosts))
    stand_in.operator_token = operator_token
    if rows is not None:
        for key, value in json.loads(rows.read_text(encoding="utf-8")).items():
            stand_in.store.write(key, value, 0)
    trio.run(serve, stand_in.application(), address)


if __name__ == "__main__":
    typer.run(main)
