"""Stand-in for a model engine: one member of a group.

The first member of a group is its leader and generates the tokens. It derives them from the
prompt, so that a test can tell whether a response is complete. While it serves, it pings the other
members; when one is lost, the replica fails and its streams break.

Switches (``POST /control`` with JSON fields): ``token_ms`` (time for one token), ``load_ms`` (time
to load a model), ``leaving`` (reported as such), ``report_lag_ms`` (reports may be that old),
``break_after`` (streams break after that many tokens), ``shuffle`` (chunks arrive duplicated and
out of order), ``lose_events`` (number of cache events to lose), ``frozen`` (calls get no
response), ``refuse`` (requests are rejected) and ``checks_fences`` (orders with a fence lower than
the highest one seen are rejected).
"""

from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Annotated, Any

import httpcore
import trio
import typer
from google.protobuf import json_format
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from yewloom.hashing import hash64
from yewloom.prefixes import block_hashes
from yewloom.schema.records_pb2 import CacheEvent, HostReport, Order
from yewloom.standins.server import not_run_response, read_json, serve, set_switches
from yewloom.states import EngineState

MAX_RUNS = 256
"""Number of kept runs at which the oldest complete ones are deleted."""

MAX_CACHE_EVENTS = 64
"""Maximum number of cache events in a report: the latest."""

MAX_CACHED_BLOCKS = 2048
PING_INTERVAL_S = 0.25
TOKENS = ("room ", "plate ", "night ", "star ", "guest ", "survey ", "rate ", "field ")


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that every stand-in engine generates for a prompt."""
    seed = hash64(prompt)
    return [f"{TOKENS[(seed >> (i % 60)) % len(TOKENS)]}" for i in range(count - 1)] + [
        f"#{seed:x}"
    ]


@dataclass
class Switches:
    """Injected failures and current rates."""

    token_ms: float = 5.0
    load_ms: int = 300
    leaving: bool = False
    report_lag_ms: int = 0
    break_after: int = 0
    shuffle: bool = False
    lose_events: int = 0
    frozen: bool = False
    refuse: bool = False
    checks_fences: bool = True


@dataclass
class _Run:
    """One run of a request; it is complete once ``token_count`` tokens have been produced."""

    tokens: list[str]
    token_count: int
    produced: int
    readers: int = 0
    is_cancelled: bool = False
    changed: trio.Event = field(default_factory=trio.Event)

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class EngineStandIn:
    """One model engine."""

    def __init__(self, host_id: str, capacity: int) -> None:
        self.host_id = host_id
        self.capacity = capacity
        self.switches = Switches()
        self.state = EngineState.IDLE
        self.order = Order()
        self.runs: dict[str, _Run] = {}
        self.run_counts: dict[str, int] = {}
        self.cached_model = ""
        self._fence = 0
        self._cache_sequence = 0
        self._cache_events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._cached_blocks: dict[int, None] = {}
        self._last_report: HostReport | None = None
        self._last_report_s = float("-inf")
        self._has_been_complete = False
        self._nursery: trio.Nursery | None = None

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/report", self._report),
                Route("/order", self._handle_order, methods=["POST"]),
                Route("/generate", self._generate, methods=["POST"]),
                Route("/cancel", self._cancel, methods=["POST"]),
                Route("/ping", self._ping),
                Route("/control", self._control, methods=["POST"]),
                Route("/control/runs", self._runs),
            ]
        )

    async def run(self) -> None:
        """Run model loads and requests until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._watch_members()

    async def _report(self, request: Request) -> Response:
        await self._wait_while_frozen()
        lag_s = self.switches.report_lag_ms / 1000
        if self._last_report is None or trio.current_time() - self._last_report_s >= lag_s:
            self._last_report, self._last_report_s = self._current_report(), trio.current_time()
        text = json_format.MessageToJson(self._last_report, preserving_proto_field_name=True)
        return Response(text, media_type="application/json")

    def _current_report(self) -> HostReport:
        active = [
            run
            for run in self.runs.values()
            if run.produced < run.token_count and not run.is_cancelled
        ]
        return HostReport(
            host_id=self.host_id,
            state=self.state.value,
            group_id=self.order.group_id,
            generation=self.order.generation,
            fence=self._fence,
            leaving=self.switches.leaving,
            running=min(len(active), self.capacity),
            waiting=max(0, len(active) - self.capacity),
            capacity=self.capacity,
            cached_model=self.cached_model,
            cache_sequence=self._cache_sequence,
            cache_events=self._cache_events,
        )

    async def _handle_order(self, request: Request) -> Response:
        await self._wait_while_frozen()
        order = json_format.Parse(await request.body(), Order(), ignore_unknown_fields=True)
        if self.switches.checks_fences and order.fence < self._fence:
            return not_run_response(f"fence {order.fence} is below {self._fence}")
        self._fence = max(self._fence, order.fence)
        if (order.group_id, order.generation) != (self.order.group_id, self.order.generation):
            self._stop_runs()
            self.order, self.state = order, EngineState.LOADING
            self._has_been_complete = False
            assert self._nursery is not None
            self._nursery.start_soon(self._load, order)
        return JSONResponse({"state": self.state.value})

    async def _load(self, order: Order) -> None:
        model = f"{order.model}@{order.model_version}"
        if self.cached_model != model:
            await trio.sleep(self.switches.load_ms / 1000)
        if self.order is order:
            self.cached_model, self.state = model, EngineState.READY

    def _stop_runs(self) -> None:
        for run in self.runs.values():
            run.is_cancelled = True
            run.notify()
        self.runs.clear()
        self._cached_blocks.clear()

    async def _watch_members(self) -> None:
        """Fail the replica if this engine is its leader and a member does not answer."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await trio.sleep(PING_INTERVAL_S)
                if self.state is EngineState.READY and self.order.rank == 0:
                    order = self.order
                    is_intact = await self._ping_members(pool, order)
                    if not is_intact and self.order is order:
                        self._stop_runs()
                        self.state = EngineState.FAILED

    async def _ping_members(self, pool: httpcore.AsyncConnectionPool, order: Order) -> bool:
        """Tell whether the group is intact: all members answer, or it is still forming."""
        matches: list[bool] = []
        placement = f"{order.group_id}@{order.generation}"

        async def ping(address: str) -> None:
            with trio.move_on_after(4 * PING_INTERVAL_S):
                try:
                    response = await pool.request("GET", f"http://{address}/ping")
                    matches.append(response.content.decode() == placement)
                except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                    return

        async with trio.open_nursery() as nursery:
            for address in order.member_addresses[1:]:
                nursery.start_soon(ping, address)
        is_complete = len(matches) == len(order.member_addresses) - 1 and all(matches)
        self._has_been_complete = self._has_been_complete or is_complete
        return is_complete or not self._has_been_complete

    async def _ping(self, request: Request) -> Response:
        await self._wait_while_frozen()
        return Response(f"{self.order.group_id}@{self.order.generation}")

    async def _generate(self, request: Request) -> Response:
        await self._wait_while_frozen()
        fields = await read_json(request)
        request_id, offset = fields["request_id"], int(fields["offset"])
        group = (fields["group_id"], fields["generation"])
        if group != (self.order.group_id, self.order.generation) or self.order.rank != 0:
            return not_run_response("this engine does not lead that group")
        if self.state is not EngineState.READY or self.switches.refuse:
            return not_run_response(f"the engine is {self.state.value}", 503)
        run = self.runs.get(request_id)
        if run is None:
            if fields["resume_only"]:
                return not_run_response("the request is not known here")
            run = self._start_run(request_id, fields)
        return StreamingResponse(
            self._stream(request_id, run, offset), media_type="text/event-stream"
        )

    def _start_run(self, request_id: str, fields: dict[str, Any]) -> _Run:
        prompt, count = str(fields["prompt"]), int(fields["max_tokens"])
        tokens = expected_tokens(prompt, count)
        run = _Run(tokens, count, produced=len(fields.get("delivered", [])))
        if len(self.runs) >= MAX_RUNS:
            finished = [name for name, r in self.runs.items() if r.produced >= r.token_count]
            for name in finished[: MAX_RUNS // 2]:
                del self.runs[name]
        self.runs[request_id] = run
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        assert self._nursery is not None
        self._nursery.start_soon(self._produce, run, self._cache_prompt(prompt))
        return run

    def _cache_prompt(self, prompt: str) -> int:
        """Cache the blocks of a prompt; return how many of them were not cached before."""
        missing = [block for block in block_hashes(prompt) if block not in self._cached_blocks]
        for block in block_hashes(prompt):
            self._cached_blocks.pop(block, None)
            self._cached_blocks[block] = None
        removed = list(self._cached_blocks)[: max(0, len(self._cached_blocks) - MAX_CACHED_BLOCKS)]
        for block in removed:
            del self._cached_blocks[block]
        if missing:
            self._cache_sequence += 1
            if self.switches.lose_events > 0:
                self.switches.lose_events -= 1
            else:
                self._cache_events.append(
                    CacheEvent(sequence=self._cache_sequence, added=missing, removed=removed)
                )
        return len(missing)

    async def _produce(self, run: _Run, missing_blocks: int) -> None:
        """Produce the tokens of a run, more slowly while more requests run than the capacity."""
        await trio.sleep(missing_blocks * self.switches.token_ms / 1000)
        while run.produced < run.token_count and not run.is_cancelled:
            slowdown = max(
                1.0, self._current_report().running / self.capacity + self._waiting_share()
            )
            await trio.sleep(self.switches.token_ms / 1000 * slowdown)
            await self._wait_while_frozen()
            run.produced += 1
            run.notify()

    def _waiting_share(self) -> float:
        return self._current_report().waiting / self.capacity

    async def _stream(self, request_id: str, run: _Run, offset: int) -> AsyncIterator[bytes]:
        run.readers += 1
        generation = self.order.generation
        try:
            sent = 0
            while offset < run.token_count:
                while run.produced <= offset and not run.is_cancelled:
                    await run.changed.wait()
                if run.is_cancelled:
                    raise ConnectionAbortedError("the replica has stopped")
                ready = min(run.produced, run.token_count)
                for chunk in self._encoded_chunks(request_id, generation, run, offset, ready):
                    yield chunk
                sent += ready - offset
                offset = ready
                if self.switches.break_after and sent >= self.switches.break_after:
                    raise ConnectionAbortedError("stream broken by break_after")
            if offset >= run.token_count and sent == 0:
                yield _encode(request_id, generation, run.token_count, [], True)
        finally:
            run.readers -= 1

    def _encoded_chunks(
        self, request_id: str, generation: int, run: _Run, start: int, end: int
    ) -> list[bytes]:
        chunks = [
            _encode(request_id, generation, i, run.tokens[i : i + 1], i + 1 == run.token_count)
            for i in range(start, end)
        ]
        if self.switches.shuffle:
            foreign = _encode("another-request", generation, start, ["wrong"], False)
            stale = _encode(request_id, generation - 1, start, ["stale"], False)
            chunks = [foreign, stale, *reversed(chunks), *chunks[:1]]
        return chunks

    async def _cancel(self, request: Request) -> Response:
        await self._wait_while_frozen()
        run = self.runs.get((await read_json(request)).get("request_id", ""))
        if run is not None and run.readers == 0:
            run.is_cancelled = True
            run.notify()
        return JSONResponse({"cancelled": run is not None})

    async def _wait_while_frozen(self) -> None:
        while self.switches.frozen:  # noqa: ASYNC110 - a switch, not an event
            await trio.sleep(0.05)

    async def _control(self, request: Request) -> Response:
        return await set_switches(request, self.switches)

    async def _runs(self, request: Request) -> Response:
        cancelled = [name for name, run in self.runs.items() if run.is_cancelled]
        return JSONResponse({"runs": self.run_counts, "cancelled": cancelled})


def _encode(request_id: str, generation: int, offset: int, tokens: list[str], last: bool) -> bytes:
    fields = {
        "request_id": request_id,
        "generation": generation,
        "offset": offset,
        "tokens": tokens,
        "last": last,
        "finish_reason": "length" if last else "",
    }
    return b"data: " + JSONResponse(fields).body + b"\n\n"


def main(
    address: Annotated[str, typer.Option(help="ip:port to serve on.")],
    host_id: Annotated[str, typer.Option(help="Name of the host in the platform's list.")],
    capacity: Annotated[int, typer.Option(help="Requests that run at full rate.")] = 8,
    token_ms: Annotated[float, typer.Option(help="Time for one token.")] = 5.0,
) -> None:
    """Run the stand-in for a model engine."""
    stand_in = EngineStandIn(host_id, capacity)
    stand_in.switches.token_ms = token_ms
    trio.run(serve, stand_in.application(), address, stand_in.run)


if __name__ == "__main__":
    typer.run(main)
