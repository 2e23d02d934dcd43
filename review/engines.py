"""Stand-in for model workers that form groups: orders, reports and event streams."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from stand_ins import HttpServer, Message, Record, Store, encode_json, encode_response

JOIN_S = 0.2
"""Time to join a group of the model of the last group, or of a staged one."""

LOAD_S = 1.0
"""Time to load a model's weights."""

FORM_S = 0.3
"""Time from the order to open until the group serves."""


@dataclass
class Run:
    """One run of a request at a worker."""

    request_id: str
    worker_id: str
    began_s: float


@dataclass
class StreamPlan:
    """How an engine answers: the events of a stream, and whether an answer is lost.

    ``lost_after`` returns the number of events after which an answer is lost, None if it is not.
    """

    events: int = 30
    interval_s: float = 0.05
    lost_after: Callable[[], int | None] = lambda: None


@dataclass
class Group:
    """The group that an engine belongs to."""

    name: str
    epoch: int
    model: str
    members: list[str]
    state: str = "joining"

    def is_called(self, order: dict[str, Any]) -> bool:
        """Return whether an order names this group."""
        return (order["group"], order["epoch"]) == (self.name, self.epoch)


@dataclass
class Engine:
    """State of an engine process."""

    staged: list[str] = field(default_factory=list)
    model: str | None = None
    group: Group | None = None
    sequence: int = 0
    seen_epoch: int = 0
    is_loading: bool = False
    born_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)


class EngineWorker(HttpServer):
    """A worker that takes orders, and serves streams as the head of an open group."""

    def __init__(
        self, worker_id: str, zone: str, address: str, store: Store, record: Record
    ) -> None:
        super().__init__(address)
        self.worker_id = worker_id
        self._zone = zone
        self._store = store
        self._record = record
        self.engine = Engine()
        self.plan = StreamPlan()
        self.runs: list[Run] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin to accept connections, and write the entry into the store."""
        await super().start()
        self._publish()

    @property
    def is_serving(self) -> bool:
        """Return whether this engine is the head of an open group."""
        group = self.engine.group
        return group is not None and group.members[0] == self.worker_id and group.state == "open"

    def _told(self) -> dict[str, Any]:
        """Return what the engine says of itself in its entry and its reports."""
        engine, group = self.engine, self.engine.group
        models = [{"name": engine.model, "version": 1, "adapters": []}] if engine.model else []
        told: dict[str, Any] = {"phase": "both", "models": models, "staged": engine.staged}
        told |= {"domain": f"{self._zone}-d1", "born": engine.born_ms, "sequence": engine.sequence}
        if group is not None:
            rank = group.members.index(self.worker_id)
            told["group"] = {"name": group.name, "epoch": group.epoch, "rank": rank}
            told["group"]["state"] = group.state
        return told

    def _publish(self) -> None:
        entry = {"service": "redactor", "address": self.address, "zone": self._zone}
        entry |= {"version": "1", "slots": 13, "state": "ready", "coldRemainingMs": 0}
        self._store.put("servers", self.worker_id, entry | self._told())

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer as PROTOCOL.md says."""
        method, path = request.first[0], request.first[1]
        if (method, path) == ("GET", "/report"):
            load = {"utilization": self.engine.is_loading, "queued": 0, "active": 0}
            load |= {"kvUsed": 0, "kvTotal": 700000, "handles": 0}
            writer.write(encode_json(200, self._told() | load))
            return True
        if request.get("yewloom-expect-instance") not in (None, self.worker_id):
            writer.write(encode_response(421, b"", [("Yewloom-Instance-Id", self.worker_id)]))
            return True
        if (method, path) == ("POST", "/order"):
            writer.write(encode_response(self._take_order(json.loads(request.body))))
            return True
        return await self._serve_stream(request, writer)

    def _take_order(self, order: dict[str, Any]) -> int:
        """Carry out an order; return the status."""
        engine, group = self.engine, self.engine.group
        expected = order.get("expectedRev")
        if expected is not None and expected != engine.sequence:
            return 409
        match order["op"]:
            case "join":
                return self._join(order)
            case "phase":
                return self._stage(order["model"])
        if group is None or not group.is_called(order):
            return 200 if order["op"] == "leave" else 409
        match order["op"]:
            case "leave":
                engine.group = None
            case "close" if group.state == "open":
                group.state = "ready"
            case "open" if group.state == "ready" and group.members[0] == self.worker_id:
                self._later(FORM_S, group, "open")
            case _:
                return 200 if order["op"] == group.state else 409
        return self._begun()

    def _join(self, order: dict[str, Any]) -> int:
        engine, group = self.engine, self.engine.group
        if order["epoch"] < engine.seen_epoch:
            return 412
        if group is not None and group.is_called(order):
            return 200 if group.members == order["members"] else 412
        model = order["model"]
        is_warm = model in engine.staged or model == engine.model
        engine.group = Group(order["group"], order["epoch"], model, order["members"])
        engine.seen_epoch = order["epoch"]
        self._later(JOIN_S if is_warm else LOAD_S, engine.group, "ready")
        return self._begun()

    def _stage(self, model: str) -> int:
        if self.engine.is_loading:
            return 409
        if model in self.engine.staged:
            return 200
        self._start(self._load(model))
        return self._begun()

    def _begun(self) -> int:
        self.engine.sequence += 1
        self._publish()
        return 202

    async def _load(self, model: str) -> None:
        self.engine.is_loading = True
        await asyncio.sleep(LOAD_S)
        self.engine.is_loading = False
        self.engine.staged = [model]
        self._publish()

    def _later(self, delay_s: float, group: Group, state: str) -> None:
        """Bring a group into a state after a while, unless the engine has left it by then."""

        async def change() -> None:
            await asyncio.sleep(delay_s)
            if self.engine.group is group:
                group.state = state
                self.engine.model, self.engine.staged = group.model, [group.model]
                self._publish()

        self._start(change())

    def _start(self, step: Any) -> None:
        task = asyncio.create_task(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_stream(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request; if its answer is lost, the connection is reset once it has run.

        Each event tells which run made it.
        """
        request_id = request.get("yewloom-request-id") or ""
        group = self.engine.group
        if not self.is_serving or group is None or request.get("yewloom-model") != group.model:
            writer.write(encode_response(421, b"", [("Yewloom-Instance-Id", self.worker_id)]))
            return True
        plan, lost_after = self.plan, self.plan.lost_after()
        began_s = self._record.add(
            "run", worker=self.worker_id, request=request_id, answer_lost_after=lost_after
        )
        self.runs.append(Run(request_id, self.worker_id, began_s))
        run = f"{self.worker_id}.{len(self.runs)}"
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"Yewloom-Request-Id: {request_id}", f"Yewloom-Server-Stamp: {run}"]
        unsent = ("\r\n".join(head) + "\r\n\r\n").encode()
        for number in range(1, plan.events + 1):
            await asyncio.sleep(plan.interval_s)
            if lost_after is not None and number > lost_after:
                continue
            event = f"id: {number}\ndata: {run} {number}\n\n".encode()
            writer.write(unsent + b"%x\r\n%s\r\n" % (len(event), event))
            unsent = b""
            await writer.drain()
        if lost_after is not None:
            self._record.add("answer lost", worker=self.worker_id, request=request_id)
            writer.transport.abort()
            return False
        writer.write(b"0\r\n\r\n")
        return True
