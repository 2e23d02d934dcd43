"""In-memory stand-in for the users' store: objects, revisions, watches and expired history.

It can go back to an older copy of itself. It implements the published protocol, so that the adapter
can be tested without the users' test environment.
"""

import json
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from yewloom.standins.server import ResponseHeader

PAGE_SIZE = 50
"""Objects per page; the users' store returns about 500, but small pages exercise the paging."""

View = Callable[[str, Any], Any]
"""Maps a kind and a spec to the spec that clients read."""


@dataclass
class StoreFaults:
    """Injected faults.

    Unless ``status`` is 0, every call that arrives gets a response with that status. With
    ``loses_responses``, writes take effect but get an error response.
    """

    status: int = 0
    loses_responses: bool = False


class StoreStandIn:
    """Objects by kind and name, with one revision counter for all of them."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self._objects: defaultdict[str, dict[str, Any]] = defaultdict(dict)
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest_position = 0
        self._revision = 0
        self._changed = trio.Event()
        self._log: list[tuple[int, str, dict[str, Any], bool]] = []
        self.era = 1

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    def go_back(self, revision: int) -> None:
        """Go back to the copy as of an earlier revision; later changes are lost."""
        self._log = [entry for entry in self._log if entry[0] <= revision]
        self._history = [entry for entry in self._history if entry[0] <= revision]
        self._oldest_position = min(self._oldest_position, revision)
        self._objects.clear()
        for _, kind, stored, is_removed in self._log:
            self._objects[kind][stored["metadata"]["name"]] = stored
            if is_removed:
                del self._objects[kind][stored["metadata"]["name"]]
        self._revision = revision
        self.era += 1
        self._notify()

    def application(self, view: View = lambda kind, spec: spec) -> Starlette:
        """Return an ASGI application; ``view`` replaces the specs that its clients read."""

        async def list_kind(request: Request) -> Response:
            return await self._list(request, view)

        routes = [
            Route("/objects/{kind}", list_kind, methods=["GET"]),
            Route("/objects/{kind}", self._create, methods=["POST"]),
            Route("/objects/{kind}/{name}", self._get, methods=["GET"]),
            Route("/objects/{kind}/{name}", self._replace, methods=["PUT"]),
        ]
        return Starlette(
            routes=routes,
            middleware=[Middleware(ResponseHeader, name=b"store-era", value=self._era_value)],
        )

    def _era_value(self) -> bytes:
        return str(self.era).encode()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as an operator or an endpoint would."""
        current = self._objects[kind].get(name)
        if current is not None and current["spec"] == spec:
            return
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind][name] = stored
        self._record_change(kind, stored, is_removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects[kind].pop(name, None)
        if stored is not None:
            self._revision += 1
            self._record_change(kind, stored, is_removed=True)

    def spec(self, kind: str, name: str) -> Any:
        """Return the spec of an object; None if it does not exist."""
        stored = self._objects[kind].get(name)
        return stored["spec"] if stored is not None else None

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        return sorted(self._objects[kind])

    def drop_history(self) -> None:
        """Drop the history, so that watches from an earlier position get status 410."""
        self._history.clear()
        self._oldest_position = self._revision

    def _record_change(self, kind: str, stored: dict[str, Any], is_removed: bool) -> None:
        self._history.append((self._revision, kind, stored, is_removed))
        self._log.append((self._revision, kind, stored, is_removed))
        self._notify()

    def _notify(self) -> None:
        """Let waiting watches look again."""
        self._changed.set()
        self._changed = trio.Event()

    async def _list(self, request: Request, view: View) -> Response:
        if self.faults.status:
            return Response(status_code=self.faults.status)
        kind = request.path_params["kind"]
        if "watch" in request.query_params:
            return await self._watch(kind, request, view)
        after = request.query_params.get("sinceRev", "")
        names = [name for name in sorted(self._objects[kind]) if name > after]
        return JSONResponse(
            {
                "items": [
                    _apply_view(kind, self._objects[kind][n], view) for n in names[:PAGE_SIZE]
                ],
                "morePages": len(names) > PAGE_SIZE,
                "storeRevision": self._revision,
            }
        )

    async def _watch(self, kind: str, request: Request, view: View) -> Response:
        position = int(request.query_params["watch"])
        era = self.era
        if not self._oldest_position <= position <= self._revision:
            return Response(status_code=410)
        with trio.move_on_after(int(request.query_params["waitMs"]) / 1000):
            while not self._events(kind, position) and self.era == era:
                await self._changed.wait()
        if position < self._oldest_position or self.era != era:
            return Response(status_code=410)
        events = [
            {**event, "object": _apply_view(kind, event["object"], view)}
            for event in self._events(kind, position)
        ]
        return JSONResponse({"events": events, "storeRevision": self._revision})

    def _events(self, kind: str, position: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "tombstone": is_removed}
            for revision, changed_kind, stored, is_removed in self._history
            if revision > position and changed_kind == kind
        ]

    async def _get(self, request: Request) -> Response:
        if self.faults.status:
            return Response(status_code=self.faults.status)
        stored = self._objects[request.path_params["kind"]].get(request.path_params["name"])
        return JSONResponse(stored) if stored is not None else Response(status_code=404)

    async def _create(self, request: Request) -> Response:
        fields = json.loads(await request.body())
        kind, name = request.path_params["kind"], fields["metadata"]["name"]
        if self.faults.status:
            return Response(status_code=self.faults.status)
        if name in self._objects[kind]:
            return JSONResponse(self._objects[kind][name], 409)
        return self._write(kind, name, fields["spec"])

    async def _replace(self, request: Request) -> Response:
        fields = json.loads(await request.body())
        kind, name = request.path_params["kind"], request.path_params["name"]
        if self.faults.status:
            return Response(status_code=self.faults.status)
        stored = self._objects[kind].get(name)
        if stored is None:
            return Response(status_code=404)
        expected = fields["metadata"].get("revision")
        if expected is not None and expected != stored["metadata"]["revision"]:
            return JSONResponse(stored, 409)
        return self._write(kind, name, fields["spec"])

    def _write(self, kind: str, name: str, spec: Any) -> Response:
        self.put(kind, name, spec)
        if self.faults.loses_responses:
            return Response(status_code=500)
        return JSONResponse(self._objects[kind][name])


def _apply_view(kind: str, stored: dict[str, Any], view: View) -> dict[str, Any]:
    return {**stored, "spec": view(kind, stored["spec"])}
