"""Stand-in for the users' model engines: orders, groups, reports and event streams.

Its delays are short, and it checks nothing that the users' engines do not check.
"""

import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from yewloom.platform.standin_store import StoreStandIn
from yewloom.standins.server import ResponseHeader

JOIN_DURATION_S = 0.1
"""Time to join a group; the users' engines take a few seconds."""

DEFAULT_EVENT_INTERVAL_S = 0.02
"""Default time between two events of a response."""

DEFAULT_EVENT_COUNT = 5
"""Default number of events of a response."""

FIRST_START_UNIX_MS = 1_790_000_000_000
"""Start time of an engine's first process; a day in 2026."""


def _new_set_event() -> trio.Event:
    event = trio.Event()
    event.set()
    return event


@dataclass
class UserEngineStandIn:
    """One engine, with switches for failures and callbacks for tests.

    Switches: while ``progress_enabled`` is not set, its streams stall, as after the loss of a group
    member. With ``is_silent``, it sends no reports and does not update the store; with
    ``is_cut_off_from_store``, it sends reports but does not update the store. With ``is_loading``,
    it reports that it is loading weights, and rejects orders to load others. Unless ``pause_s`` is
    0, it rejects requests and asks for a pause of that time; with ``turns_away``, it rejects them
    and asks for none. With ``is_leaving``, it says in each
    response that it leaves.

    Records: ``groups_made_ready`` holds the groups in which it has been ready, with their members,
    and ``groups_of_earlier_processes`` the names and generations of the groups that its earlier
    processes were in.

    Callbacks: ``on_request`` gets each request, also a rejected one, and ``on_pause`` each one
    that is answered with a pause; ``on_run`` gets each request, with its body, before it runs;
    ``on_join`` each order to join before it is carried out; ``on_response_complete`` each request
    whose response is complete; and ``on_group_left`` is called after each departure from a group.

    ``event_count`` returns the number of events of the response to a request, and
    ``event_interval_s`` is the time between two of them.
    """

    name: str
    address: str
    service: str
    fabric_domain: str
    zone: str
    store: StoreStandIn
    staged: list[str] = field(default_factory=list)
    models: list[str] = field(default_factory=list)
    group: dict[str, Any] | None = None
    members: list[str] = field(default_factory=list)
    order_count: int = 0
    is_silent: bool = False
    is_cut_off_from_store: bool = False
    is_loading: bool = False
    is_leaving: bool = False
    pause_s: float = 0.0
    turns_away: bool = False
    started_unix_ms: int = FIRST_START_UNIX_MS
    groups_of_earlier_processes: set[tuple[str, int]] = field(default_factory=set)
    progress_enabled: trio.Event = field(default_factory=_new_set_event)
    orders: list[dict[str, Any]] = field(default_factory=list)
    groups_made_ready: set[tuple[str, int, tuple[str, ...]]] = field(default_factory=set)
    on_request: Callable[["UserEngineStandIn", Request], None] | None = None
    on_pause: Callable[["UserEngineStandIn", Request], None] | None = None
    on_run: Callable[["UserEngineStandIn", Request, bytes], None] | None = None
    on_response_complete: Callable[[Request], None] | None = None
    on_join: Callable[["UserEngineStandIn", dict[str, Any]], None] | None = None
    on_group_left: Callable[["UserEngineStandIn"], None] | None = None
    event_count: Callable[[Request], int] = lambda request: DEFAULT_EVENT_COUNT
    event_interval_s: float = DEFAULT_EVENT_INTERVAL_S

    def application(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/order", self._order, methods=["POST"]),
            Route("/report", self._report, methods=["GET"]),
            Route("/{path:path}", self._serve_request, methods=["GET", "POST"]),
        ]
        return Starlette(
            routes=routes,
            middleware=[
                Middleware(ResponseHeader, name=b"server-leaving", value=self._leaving_value)
            ],
        )

    def _leaving_value(self) -> bytes | None:
        """Return the value of the header by which the engine says that it leaves, if it does."""
        return b"1" if self.is_leaving else None

    def restart(self, clock_step_ms: int) -> None:
        """Restart as a new process under the same name, without the state of the previous one."""
        if self.group is not None:
            self.groups_of_earlier_processes.add((self.group["name"], self.group["epoch"]))
        self.started_unix_ms += clock_step_ms
        self.group, self.members, self.models = None, [], []
        self.order_count = 0
        self.publish()

    def publish(self) -> None:
        """Write the engine's object to the store, unless it is silent or cut off from the store."""
        if self.is_silent or self.is_cut_off_from_store:
            return
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 13,
            "state": "draining" if self.is_leaving else "ready",
            "domain": self.fabric_domain,
            "models": [{"name": name, "version": 1, "adapters": []} for name in self.models],
            "staged": self.staged,
            "group": self.group,
            "born": self.started_unix_ms,
        }
        self.store.put("servers", self.name, spec)

    async def _order(self, request: Request) -> Response:
        order = json.loads(await request.body())
        self.orders.append(order)
        if request.headers.get("yewloom-expect-instance") != self.name:
            return Response(status_code=421)
        expected = order.get("expectedRev")
        if expected is not None and expected != self.order_count:
            return Response(status_code=409)
        if order["op"] == "join":
            return await self._join(order)
        if order["op"] == "phase":
            return self._load(order["model"])
        if self.group is None or self.group["name"] != order["group"]:
            return Response(status_code=200 if order["op"] == "leave" else 409)
        return self._change_group(order["op"])

    async def _join(self, order: dict[str, Any]) -> Response:
        if self.on_join is not None:
            self.on_join(self, order)
        self.progress_enabled = _new_set_event()
        self.members = order["members"]
        rank = self.members.index(self.name)
        self.group = {"name": order["group"], "epoch": order["epoch"], "rank": rank}
        self.group["state"] = "joining"
        self.publish()
        await trio.sleep(JOIN_DURATION_S)
        self.models = self.staged = [order["model"]]
        self.group = {**self.group, "state": "ready"}
        self.groups_made_ready.add((order["group"], order["epoch"], tuple(order["members"])))
        return self._accept_order()

    def _load(self, model: str) -> Response:
        if self.is_loading:
            return Response(status_code=409)
        self.staged = [model]
        return self._accept_order()

    def _change_group(self, op: str) -> Response:
        """Carry out an order to a group; a departure is complete when the order is answered."""
        assert self.group is not None
        if op == "leave":
            self._leave_group()
            self._accept_order()
            return Response(status_code=200)
        if op == "open" and self.group["state"] == "ready":
            self.group = {**self.group, "state": "open"}
        elif op == "close" and self.group["state"] == "open":
            self.group = {**self.group, "state": "ready"}
        else:
            return Response(status_code=200)
        return self._accept_order()

    def _leave_group(self) -> None:
        self.group = None
        if self.on_group_left is not None:
            self.on_group_left(self)

    def break_group(self) -> None:
        """Stop serving the group, as after a stall."""
        if self.group is not None and self.group["state"] == "open":
            self.group = {**self.group, "state": "broken"}
            self.publish()

    def _accept_order(self) -> Response:
        self.order_count += 1
        self.publish()
        return Response(status_code=202)

    async def _report(self, request: Request) -> Response:
        if self.is_silent:
            return Response(status_code=503)
        report = {"phase": "both", "sequence": self.order_count, "queued": 0, "active": 0}
        report |= {"utilization": self.is_loading}
        return JSONResponse(report | {"born": self.started_unix_ms, "group": self.group})

    async def _serve_request(self, request: Request) -> Response:
        headers = {"yewloom-request-id": request.headers["yewloom-request-id"]}
        if self.on_request is not None:
            self.on_request(self, request)
        is_serving = self.group is not None and self.group["state"] == "open"
        if request.headers.get("yewloom-expect-instance") != self.name or not is_serving:
            return Response(status_code=421, headers=headers)
        if self.pause_s:
            return self._ask_for_pause(request, headers)
        if self.turns_away:
            return Response(status_code=503, headers=headers | {"yewloom-not-executed": "1"})
        if self.on_run is not None:
            self.on_run(self, request, await request.body())
        headers["yewloom-server-stamp"] = self.name
        last_event_id = int(request.headers.get("last-event-id", "0"))
        return StreamingResponse(
            self._events(request, last_event_id),
            headers=headers,
            media_type="text/event-stream",
        )

    def _ask_for_pause(self, request: Request, headers: dict[str, str]) -> Response:
        """Reject a request as not run, and ask for a pause."""
        if self.on_pause is not None:
            self.on_pause(self, request)
        headers |= {"yewloom-not-executed": "1", "retry-after": f"{self.pause_s:g}"}
        return Response(status_code=503, headers=headers)

    async def _events(self, request: Request, last_event_id: int) -> AsyncIterator[bytes]:
        count = self.event_count(request)
        for number in range(last_event_id + 1, count + 1):
            await self.progress_enabled.wait()
            yield b"id: %d\ndata: %d\n\n" % (number, number)
            await trio.sleep(self.event_interval_s)
        if self.on_response_complete is not None:
            self.on_response_complete(request)
