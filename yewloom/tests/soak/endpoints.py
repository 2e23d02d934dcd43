"""Simulated endpoints, which record what they run, and checks of engine groups."""

import random
from collections.abc import Sequence
from typing import Any

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from yewloom.platform.standin_engine import UserEngineStandIn
from yewloom.platform.standin_store import StoreStandIn
from yewloom.tests.soak.ledger import EndpointRun, Ledger

PLAIN_WORK_S = 0.03
"""Time that a plain endpoint takes for a request without ``WORK_HEADER``."""

REJECTED_SHARE = 0.05
"""Share of requests that a plain endpoint rejects as not executed."""

PAUSE_SHARE = 0.3
"""Share of its rejections with which a plain endpoint asks for a pause."""

PAUSE_S = 1.5
"""Pause that a plain endpoint asks for."""

FAILED_SHARE = 0.03
"""Share of requests that a plain endpoint runs and answers with status 500."""

EVENTS_HEADER = "soak-events"
"""Request header with the number of events that the stream should have."""

WORK_HEADER = "soak-work-s"
"""Request header with the time that a plain endpoint should take for the request."""

_SERVING_STATES = ("open", "closing")


def endpoint_run(request: Request, endpoint: str, body: bytes) -> EndpointRun:
    """Return the record of a request that an endpoint begins to run."""
    return EndpointRun(
        request_id=request.headers["yewloom-request-id"],
        endpoint=endpoint,
        path=request.url.path,
        body=body,
        customer=request.headers.get("yewloom-tenant", ""),
        at_s=trio.current_time(),
    )


def requested_events(request: Request) -> int:
    """Return the number of events that the caller asks an engine to send."""
    return int(request.headers[EVENTS_HEADER])


class EngineWatch:
    """Checks at each run that the group is complete, and at each join that no host is in two."""

    def __init__(self, ledger: Ledger, engines: Sequence[UserEngineStandIn]) -> None:
        self._ledger = ledger
        self._engines = engines

    def on_run(self, engine: UserEngineStandIn, request: Request, body: bytes) -> None:
        """Record a run, and check that every member has been ready in this group.

        The same members in an earlier generation of the group do not count.
        """
        run = endpoint_run(request, engine.name, body)
        self._ledger.record_run(run)
        assert engine.group is not None
        key = (*_group_key(engine.group), tuple(engine.members))
        by_name = {other.name: other for other in self._engines}
        for name in engine.members:
            member = by_name.get(name)
            if member is not None and not member.is_silent and key not in member.groups_made_ready:
                detail = f"{name} was never ready in {key}"
                self._ledger.record_violation("partial", run.request_id, detail)

    def on_request(self, engine: UserEngineStandIn, request: Request) -> None:
        """Record that a request arrived at an engine."""
        self._ledger.record_arrival(engine.name, request.headers["yewloom-request-id"])

    def on_pause(self, engine: UserEngineStandIn, request: Request) -> None:
        """Record that an engine asks for a pause."""
        request_id = request.headers["yewloom-request-id"]
        self._ledger.record_pause(engine.name, request_id, engine.pause_s)

    def on_response_complete(self, request: Request) -> None:
        """Record that an engine has made a complete answer."""
        self._ledger.record_complete_answer(
            request.headers["yewloom-request-id"], trio.current_time()
        )

    def on_join(self, engine: UserEngineStandIn, order: dict[str, object]) -> None:
        """Check that an engine may join a group.

        An earlier process of the engine must not have been in the group, and the leader of the
        group that the engine leaves by joining must no longer serve.
        """
        if (order["group"], order["epoch"]) in engine.groups_of_earlier_processes:
            detail = f"{engine.name} joins {order['group']}, which an earlier process was in"
            self._ledger.record_violation("joined again", "", detail)
        old = engine.group
        if old is None or _group_key(old) == (order["group"], order["epoch"]):
            return
        leader = next((e for e in self._engines if engine.members[:1] == [e.name]), None)
        if leader is None or leader.is_silent or leader.group is None:
            return
        is_same_group = _group_key(leader.group) == _group_key(old)
        if is_same_group and leader.group["state"] in _SERVING_STATES:
            detail = f"{engine.name} joins {order['group']} while {old['name']} serves"
            self._ledger.record_violation("two groups", "", detail)


def _group_key(group: dict[str, Any]) -> tuple[str, int]:
    """Return the name and the generation of a group, which identify it."""
    return group["name"], group["epoch"]


class PlainEndpoint:
    """An endpoint of a plain service: answers, rejects or fails requests, and records runs."""

    def __init__(
        self, name: str, service: str, store: StoreStandIn, ledger: Ledger, rng: random.Random
    ) -> None:
        self.name = name
        self._service = service
        self._store = store
        self._ledger = ledger
        self._rng = rng
        self.is_leaving = False
        self.state = "ready"
        self.rejects_all = False

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(routes=[Route("/{path:path}", self._answer, methods=["GET", "POST"])])

    def publish(self, address: str) -> None:
        """Write the endpoint's record to the store."""
        spec = {
            "service": self._service,
            "address": address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 6,
            "state": self.state,
        }
        self._store.put("servers", self.name, spec)

    async def _answer(self, request: Request) -> Response:
        body = await request.body()
        headers = {"yewloom-request-id": request.headers.get("yewloom-request-id", "")}
        if request.headers.get("yewloom-expect-instance") != self.name:
            return Response(status_code=421, headers=headers)
        self._ledger.record_arrival(self.name, headers["yewloom-request-id"])
        if self.is_leaving:
            self._ledger.record_departure(self.name, headers["yewloom-request-id"])
            headers["server-leaving"] = "1"
        if self.rejects_all:
            return Response(status_code=503, headers={**headers, "yewloom-not-executed": "1"})
        if self._rng.random() < REJECTED_SHARE:
            return self._reject(headers)
        run = endpoint_run(request, self.name, body)
        self._ledger.record_run(run)
        await trio.sleep(float(request.headers.get(WORK_HEADER, PLAIN_WORK_S)))
        self._ledger.record_complete_answer(run.request_id, trio.current_time())
        headers["yewloom-server-stamp"] = self.name
        if self._rng.random() < FAILED_SHARE:
            return Response(b"failed", status_code=500, headers=headers)
        return Response(b"%s for %s" % (self.name.encode(), run.request_id.encode()), 200, headers)

    def _reject(self, headers: dict[str, str]) -> Response:
        """Return a response to a request that was not run; some ask for a pause."""
        headers["yewloom-not-executed"] = "1"
        if self._rng.random() < PAUSE_SHARE:
            self._ledger.record_pause(self.name, headers["yewloom-request-id"], PAUSE_S)
            headers["retry-after"] = f"{PAUSE_S:g}"
        return Response(status_code=503, headers=headers)
