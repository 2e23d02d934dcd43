"""Stand-in endpoints that keep a ledger of what they run, and check their groups."""

import random
from collections.abc import Sequence
from typing import Any

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from yewloom.platform.standin_engine import StandinEngine
from yewloom.platform.standin_store import StandinStore
from yewloom.tests.soak.ledger import Ledger, Ran

PLAIN_WORK_S = 0.03
"""Time that a plain endpoint works on a request."""

REJECTED_SHARE = 0.05
"""Part of the requests that a plain endpoint says it did not run."""

FAILED_SHARE = 0.03
"""Part of the requests that a plain endpoint runs and answers with 500."""

EVENTS_HEADER = "soak-events"
"""Header by which a caller says how many events its stream is to have."""

WORK_HEADER = "soak-work-s"
"""Header by which a caller says for how long a plain endpoint is to work on its request."""

_SERVING = ("open", "closing")


def ran(request: Request, endpoint: str, body: bytes) -> Ran:
    """Return what an endpoint notes of a request."""
    return Ran(
        request_id=request.headers["yewloom-request-id"],
        endpoint=endpoint,
        path=request.url.path,
        body=body,
        customer=request.headers.get("yewloom-tenant", ""),
        at_s=trio.current_time(),
    )


def events_wanted(request: Request) -> int:
    """Return how many events an engine is to send."""
    return int(request.headers[EVENTS_HEADER])


class EngineWatch:
    """Checks, at each run and each join, that groups are whole and that no host is in two."""

    def __init__(self, ledger: Ledger, engines: Sequence[StandinEngine]) -> None:
        self._ledger = ledger
        self._engines = engines

    def on_run(self, engine: StandinEngine, request: Request, body: bytes) -> None:
        """Note a run; every member must have been ready in this very group."""
        noted = ran(request, engine.name, body)
        self._ledger.note_run(noted)
        assert engine.group is not None
        key = (*_group_key(engine.group), tuple(engine.members))
        by_name = {other.name: other for other in self._engines}
        for name in engine.members:
            member = by_name.get(name)
            if member is not None and not member.is_lost and key not in member.was_ready:
                detail = f"{name} was never ready in {key}"
                self._ledger.note_broken("partial", noted.request_id, detail)

    def on_whole(self, request: Request) -> None:
        """Note that an engine ends an answer."""
        self._ledger.note_whole(request.headers["yewloom-request-id"], trio.current_time())

    def on_join(self, engine: StandinEngine, order: dict[str, object]) -> None:
        """Check that an engine joins nothing twice, and takes no place in a group that serves.

        That is, the head of the group which it leaves by a join serves no more.
        """
        if (order["group"], order["epoch"]) in engine.left_behind:
            detail = f"{engine.name} joins {order['group']}, in which an earlier process was"
            self._ledger.note_broken("joined again", "", detail)
        old = engine.group
        if old is None or _group_key(old) == (order["group"], order["epoch"]):
            return
        head = next((e for e in self._engines if engine.members[:1] == [e.name]), None)
        if head is None or head.is_lost or head.group is None:
            return
        is_same = _group_key(head.group) == _group_key(old)
        if is_same and head.group["state"] in _SERVING:
            detail = f"{engine.name} joins {order['group']} while {old['name']} serves"
            self._ledger.note_broken("two groups", "", detail)


def _group_key(group: dict[str, Any]) -> tuple[str, int]:
    """Return the name and the generation of a group, which tell it from all others."""
    return group["name"], group["epoch"]


class PlainEndpoint:
    """An endpoint of a plain service: works, rejects or fails, and notes what it ran."""

    def __init__(
        self, name: str, service: str, store: StandinStore, ledger: Ledger, rng: random.Random
    ) -> None:
        self.name = name
        self._service = service
        self._store = store
        self._ledger = ledger
        self._rng = rng

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(routes=[Route("/{path:path}", self._answer, methods=["GET", "POST"])])

    def publish(self, address: str) -> None:
        """Write the endpoint's entry into the store."""
        spec = {
            "service": self._service,
            "address": address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
        }
        self._store.put("servers", self.name, spec)

    async def _answer(self, request: Request) -> Response:
        body = await request.body()
        headers = {"yewloom-request-id": request.headers.get("yewloom-request-id", "")}
        if request.headers.get("yewloom-expect-instance") != self.name:
            return Response(status_code=421, headers=headers)
        if self._rng.random() < REJECTED_SHARE:
            return Response(status_code=503, headers={**headers, "yewloom-not-executed": "1"})
        noted = ran(request, self.name, body)
        self._ledger.note_run(noted)
        await trio.sleep(float(request.headers.get(WORK_HEADER, PLAIN_WORK_S)))
        self._ledger.note_whole(noted.request_id, trio.current_time())
        headers["yewloom-server-stamp"] = self.name
        if self._rng.random() < FAILED_SHARE:
            return Response(b"failed", status_code=500, headers=headers)
        return Response(
            b"%s for %s" % (self.name.encode(), noted.request_id.encode()), 200, headers
        )
