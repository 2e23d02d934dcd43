"""Measure what callers of streams get while endpoints fall silent.

Runs entry hosts as processes with a simulated store, and endpoints of a plain service whose streams
may be resumed. Prints for each play how the requests ended, and how often endpoints ran them.
"""

import itertools
import random
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import h11
import httpcore
import trio
import typer

from yewloom.medians import median_low
from yewloom.tests.soak.fleet import (
    PLAIN_SERVICE,
    ROUTE_HOST,
    EntryProcess,
    Fleet,
    api_key,
    configuration,
)
from yewloom.tests.soak.ledger import Ledger

ENDPOINTS, CALLERS, EVENTS, EVENT_S = 6, 27, 14, 0.1
"""Number of endpoints, callers and events of a stream, and the time between two events."""

TURN_AWAY_S = 0.15
"""Time after a silence in which an endpoint answers requests as not run."""

FIRST_SILENCE_S, SILENCE_INTERVAL_S, SILENCES = 5.0, 6.0, 4
"""When the first silence begins, the time between two beginnings, and their number."""

PLAY_S = 30.0

GAP_S, DEADLINE_S = 2.0, 8.0
"""Time without an event after which a caller gives up, and its deadline for a whole answer."""

START_TIMEOUT_S = 30.0

STREAM_ROUTE = {
    "name": "streams",
    "host": ROUTE_HOST,
    "pathPrefix": "/streams/",
    "type": "stream",
    "timeoutMs": 8000,
    "sloMs": 500,
    "gapSloMs": 300,
    "service": PLAIN_SERVICE,
    "attempts": 2,
    "resumable": True,
}


@dataclass(frozen=True)
class Play:
    """Which endpoints fall silent, and for how long; ``for_good`` is once, until the end."""

    name: str
    silent: int
    silence_s: float = 1.2
    in_turn: bool = False
    for_good: bool = False


PLAYS = (
    Play("none", 0),
    Play("all, 1.2 s", ENDPOINTS),
    Play("four of six, 1.1 s", 4, 1.1),
    Play("all, 2.5 s", ENDPOINTS, 2.5),
    Play("in turn, 0.8 s each", ENDPOINTS, 0.8, in_turn=True),
    Play("one for good", 1, for_good=True),
)


class StreamEndpoint:
    """An endpoint whose streams stop while it is silent."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs = 0
        self.turned_away = 0
        self._awake = trio.Event()
        self._awake.set()
        self._turns_away_until_s = 0.0

    async def fall_silent(self, silence_s: float) -> None:
        """Fall silent, and turn requests away for a moment afterwards."""
        self._awake = trio.Event()
        await trio.sleep(silence_s)
        self._turns_away_until_s = trio.current_time() + TURN_AWAY_S
        self._awake.set()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection with one request."""
        connection = h11.Connection(h11.SERVER)
        try:
            request = await self._read_request(connection, stream)
            if request is not None:
                await self._answer(connection, stream, dict(request.headers))
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            pass  # The entry host has left.
        finally:
            await trio.aclose_forcefully(stream)

    async def _read_request(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> h11.Request | None:
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif not isinstance(event, h11.Data):
                return request

    async def _answer(
        self, connection: h11.Connection, stream: trio.SocketStream, asked: dict[bytes, bytes]
    ) -> None:
        async def send(event: h11.Event) -> None:
            await stream.send_all(connection.send(event) or b"")

        await self._awake.wait()
        headers = [(b"yewloom-request-id", asked[b"yewloom-request-id"])]
        if trio.current_time() < self._turns_away_until_s:
            self.turned_away += 1
            headers += [(b"yewloom-not-executed", b"1"), (b"content-length", b"0")]
            await send(h11.Response(status_code=503, headers=headers))
            await send(h11.EndOfMessage())
            return
        self.runs += 1
        headers += [(b"yewloom-server-stamp", self.name.encode())]
        headers += [(b"content-type", b"text/event-stream")]
        await send(h11.Response(status_code=200, headers=headers))
        for number in range(int(asked.get(b"last-event-id", b"0")) + 1, EVENTS + 1):
            await trio.sleep(EVENT_S)
            await self._awake.wait()
            await send(h11.Data(data=b"id: %d\ndata: %d\n\n" % (number, number)))
        await send(h11.EndOfMessage())


@dataclass
class Seen:
    """How requests ended, and how long whole answers took, in seconds."""

    ends: Counter[str] = field(default_factory=Counter)
    whole_s: list[float] = field(default_factory=list)


async def _request(pool: httpcore.AsyncConnectionPool, entry: EntryProcess, number: int) -> str:
    """Send a request and return how it ended."""
    headers: dict[bytes | str, bytes | str] = {
        "host": ROUTE_HOST,
        "yewloom-request-id": f"{number:x}",
        "yewloom-deadline-ms": str(round(DEADLINE_S * 1000)),
        "authorization": f"Token {api_key(1)}",
    }
    url = f"http://{entry.caller_address}/streams/{number}"
    status = 0
    try:
        with trio.fail_after(GAP_S) as gap:
            async with pool.stream("POST", url, headers=headers, content=b"x") as answer:
                status = answer.status
                async for _ in answer.aiter_stream():
                    gap.deadline = trio.current_time() + GAP_S
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return "closed without a complete answer"
    except trio.TooSlowError:
        return "given up by the caller"
    return "whole" if status == 200 else str(status)


async def _call(entry: EntryProcess, numbers: "itertools.count[int]", seen: Seen) -> None:
    """Send requests one after the other until cancelled."""
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            began_s = trio.current_time()
            end = await _request(pool, entry, next(numbers))
            seen.ends[end] += 1
            if end == "whole":
                seen.whole_s.append(trio.current_time() - began_s)
            else:
                await trio.sleep(EVENT_S)


async def _silence(play: Play, endpoints: Sequence[StreamEndpoint], nursery: trio.Nursery) -> None:
    """Let endpoints fall silent as the play says."""
    await trio.sleep(FIRST_SILENCE_S)
    if play.for_good:
        nursery.start_soon(endpoints[0].fall_silent, PLAY_S)
        return
    for _ in range(SILENCES):
        for endpoint in endpoints[: play.silent]:
            nursery.start_soon(endpoint.fall_silent, play.silence_s)
            if play.in_turn:
                await trio.sleep(play.silence_s)
        await trio.sleep(0.0 if play.in_turn else SILENCE_INTERVAL_S)


async def _wait_until_served(entry: EntryProcess) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(START_TIMEOUT_S):
            while await _request(pool, entry, 0) != "whole":  # noqa: ASYNC110 - asks a process
                await trio.sleep(EVENT_S)


async def _play(folder: Path, hosts: int, play: Play) -> None:
    """Run one play and print its line."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, Ledger(), random.Random(1), nursery)
        endpoints = [StreamEndpoint(f"stream-{number}") for number in range(ENDPOINTS)]
        try:
            await fleet.start(hosts, 0, 0)
            fleet.store.put("config", "main", configuration(1, [STREAM_ROUTE]))
            for endpoint in endpoints:
                [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, endpoint.serve, [listener])
                host, port = listener.socket.getsockname()
                record = {"service": PLAIN_SERVICE, "address": f"{host}:{port}", "zone": "hall-a"}
                fleet.store.put("servers", endpoint.name, record | {"state": "ready"})
            for entry in fleet.entries:
                await _wait_until_served(entry)
            seen = Seen()
            with trio.move_on_after(PLAY_S):
                async with trio.open_nursery() as callers:
                    numbers = itertools.count(1)
                    for number in range(CALLERS):
                        callers.start_soon(_call, fleet.entries[number % hosts], numbers, seen)
                    callers.start_soon(_silence, play, endpoints, callers)
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()
    _print(play, seen, endpoints)


def _print(play: Play, seen: Seen, endpoints: Sequence[StreamEndpoint]) -> None:
    whole_s = sorted(seen.whole_s)
    runs, away = sum(e.runs for e in endpoints), sum(e.turned_away for e in endpoints)
    ends = ", ".join(f"{end}: {count}" for end, count in sorted(seen.ends.items()))
    times = f"P50 {median_low(whole_s):.2f} s, P99 {whole_s[int(0.99 * len(whole_s))]:.2f} s"
    print(f"{play.name}: {ends}; {runs} runs, {away} turned away; {times}", flush=True)


def main(
    hosts: Annotated[int, typer.Option(help="Number of entry hosts.")] = 3,
    plays: Annotated[str, typer.Option(help="Only plays whose names contain this.")] = "",
) -> None:
    """Print a line for each play."""
    for play in PLAYS:
        if plays in play.name:
            with tempfile.TemporaryDirectory() as folder:
                trio.run(_play, Path(folder), hosts, play)


if __name__ == "__main__":
    typer.run(main)
