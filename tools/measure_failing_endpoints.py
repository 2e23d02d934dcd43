"""Measure what callers get while endpoints fail at once.

Runs entry hosts as processes with a simulated store, and endpoints of a plain service whose health
stays good. Prints for each play the share of the arrivals that the failing endpoints got, and how
the callers' requests ended, from the beginning of the fault on.
"""

import itertools
import math
import random
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Annotated

import h11
import httpcore
import trio
import typer

from yewloom.tests.soak.fleet import (
    PLAIN_SERVICE,
    ROUTE_HOST,
    EntryProcess,
    Fleet,
    configuration,
)
from yewloom.tests.soak.ledger import Ledger

ENDPOINTS, CALLERS, ANSWER_S = 4, 20, 0.1
"""Number of endpoints and callers, and the time that a sound answer takes."""

FAULT_S, PLAY_S, RECOVERY_PLAY_S = 6.0, 20.0, 28.0
"""When the fault begins, and the length of a play, and of one in which the fault ends."""

RECOVERED_S, BACK_S = 16.0, 21.0
"""When the fault of such a play ends, and when the endpoint should have its share again."""

DEADLINE_S, START_TIMEOUT_S = 4.0, 30.0
"""Deadline of a request, and the time in which a fleet must be up."""

CUSTOMERS = ("hotel", "clinic", "school")

ROUTE = {
    "name": "failing",
    "host": ROUTE_HOST,
    "pathPrefix": "/failing/",
    "type": "idempotent",
    "timeoutMs": 4000,
    "sloMs": 500,
    "service": PLAIN_SERVICE,
    "attempts": 2,
}


class Fault(Enum):
    """How an endpoint fails."""

    STATUS = "answers 500"
    TRUNCATED = "half an answer"
    STATUS_LINE = "a status line without end"
    ZEROS = "zeros without end"


@dataclass(frozen=True)
class Play:
    """Which endpoints fail, and how; ``customer`` is the only one whose requests do, if given."""

    name: str
    failing: int
    fault: Fault = Fault.STATUS
    share: float = 1.0
    customer: str = ""
    recovers: bool = False

    @property
    def duration_s(self) -> float:
        """Return the length of the play."""
        return RECOVERY_PLAY_S if self.recovers else PLAY_S


PLAYS = (
    Play("none", 0),
    *(Play(f"one {fault.value}", 1, fault) for fault in Fault),
    Play("two of four 500", 2),
    Play("all 500", ENDPOINTS),
    Play("one 500 to one customer", 1, customer=CUSTOMERS[0]),
    Play("one 500 to a third", 1, share=1 / 3),
    Play("one 500 for 10 s", 1, recovers=True),
)


@dataclass
class Seen:
    """Arrivals at endpoints and ends of requests since the play began at ``began_s``."""

    began_s: float = math.inf
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    ends: list[tuple[float, str]] = field(default_factory=list)

    def elapsed_s(self) -> float:
        """Return the time since the play began."""
        return trio.current_time() - self.began_s

    def share(self, name: str, from_s: float) -> float:
        """Return an endpoint's share of the arrivals from a time on."""
        names = [who for at_s, who in self.arrivals if at_s >= from_s]
        return names.count(name) / max(1, len(names))


class FailingEndpoint:
    """An endpoint that fails as a play says."""

    def __init__(self, number: int, play: Play, seen: Seen) -> None:
        self.name = f"plain-{number}"
        self._play = play
        self._is_failing = number < play.failing
        self._seen = seen
        self._rng = random.Random(number)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection with one request."""
        try:
            request = await _read_request(stream)
            if request is not None:
                self._seen.arrivals.append((self._seen.elapsed_s(), self.name))
                await self._answer(stream, dict(request.headers))
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            pass  # The entry host has left.
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.SocketStream, asked: dict[bytes, bytes]) -> None:
        common = b"yewloom-request-id: %s\r\n" % asked[b"yewloom-request-id"]
        common += b"content-length: 4\r\n\r\n"
        if not self._fails(asked.get(b"yewloom-tenant", b"").decode()):
            await trio.sleep(ANSWER_S)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + common + b"fine")
            return
        match self._play.fault:
            case Fault.STATUS:
                await stream.send_all(b"HTTP/1.1 500 Failed\r\n" + common + b"oops")
            case Fault.TRUNCATED:
                await stream.send_all(b"HTTP/1.1 200 OK\r\n" + common + b"fi")
            case Fault.STATUS_LINE:
                await _send_without_end(stream, b"HTTP/1.1 200 ", b"O")
            case Fault.ZEROS:
                await _send_without_end(stream, b"", b"\0")

    def _fails(self, customer: str) -> bool:
        play, now_s = self._play, self._seen.elapsed_s()
        if not self._is_failing or now_s < FAULT_S or (play.recovers and now_s >= RECOVERED_S):
            return False
        return self._rng.random() < play.share and play.customer in ("", customer)


async def _read_request(stream: trio.SocketStream) -> h11.Request | None:
    connection, request = h11.Connection(h11.SERVER), None
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Request):
            request = event
        elif not isinstance(event, h11.Data):
            return request


async def _send_without_end(stream: trio.SocketStream, first: bytes, piece: bytes) -> None:
    await stream.send_all(first)
    while True:
        await stream.send_all(piece * 16384)


async def _request(
    pool: httpcore.AsyncConnectionPool, entry: EntryProcess, customer: str, number: int
) -> str:
    """Send a request and return how it ended."""
    headers: dict[bytes | str, bytes | str] = {
        "host": ROUTE_HOST,
        "yewloom-request-id": f"{number:x}",
        "yewloom-deadline-ms": str(round(DEADLINE_S * 1000)),
        "authorization": f"Token key-{customer}",
    }
    url = f"http://{entry.caller_address}/failing/{number}"
    try:
        with trio.fail_after(DEADLINE_S + 1.0):
            answer = await pool.request("POST", url, headers=headers, content=b"x")
            return str(answer.status)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return "closed without a complete answer"
    except trio.TooSlowError:
        return "given up by the caller"


async def _call(
    entry: EntryProcess, customer: str, numbers: "itertools.count[int]", seen: Seen
) -> None:
    """Send requests one after the other until cancelled."""
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            end = await _request(pool, entry, customer, next(numbers))
            seen.ends.append((seen.elapsed_s(), end))
            await trio.sleep(ANSWER_S)


async def _wait_until_served(entry: EntryProcess) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(START_TIMEOUT_S):
            while await _request(pool, entry, CUSTOMERS[0], 0) != "200":  # noqa: ASYNC110
                await trio.sleep(ANSWER_S)


def _configuration() -> dict[str, object]:
    tenants = [{"name": customer, "apiKeys": [f"key-{customer}"]} for customer in CUSTOMERS]
    return configuration(1, [ROUTE]) | {"tenants": tenants}


async def _play(folder: Path, hosts: int, play: Play) -> None:
    """Run one play and print its line."""
    seen = Seen()
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, Ledger(), random.Random(1), nursery)
        endpoints = [FailingEndpoint(number, play, seen) for number in range(ENDPOINTS)]
        try:
            await fleet.start(hosts, 0, 0)
            fleet.store.put("config", "main", _configuration())
            for endpoint in endpoints:
                [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, endpoint.serve, [listener])
                host, port = listener.socket.getsockname()
                record = {"service": PLAIN_SERVICE, "address": f"{host}:{port}", "zone": "hall-a"}
                fleet.store.put("servers", endpoint.name, record | {"state": "ready"})
            for entry in fleet.entries:
                await _wait_until_served(entry)
            await _run_callers(fleet.entries, seen, play)
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()
    _print(play, seen, endpoints)


async def _run_callers(entries: Sequence[EntryProcess], seen: Seen, play: Play) -> None:
    """Let callers send requests until the end of the play."""
    seen.began_s = trio.current_time()
    with trio.move_on_after(play.duration_s):
        async with trio.open_nursery() as callers:
            numbers = itertools.count(1)
            for number in range(CALLERS):
                customer = CUSTOMERS[number % len(CUSTOMERS)]
                entry = entries[number // len(CUSTOMERS) % len(entries)]
                callers.start_soon(_call, entry, customer, numbers, seen)


def _print(play: Play, seen: Seen, endpoints: Sequence[FailingEndpoint]) -> None:
    counts = Counter(end for at_s, end in seen.ends if at_s >= FAULT_S)
    ends = ", ".join(f"{end}: {count}" for end, count in sorted(counts.items()))
    names = [endpoint.name for endpoint in endpoints[: max(1, play.failing)]]
    shares = ", ".join(f"{seen.share(name, FAULT_S):.3f}" for name in names)
    if play.recovers:
        shares += f" (from {BACK_S:g} s on: {seen.share(names[0], BACK_S):.3f})"
    print(f"{play.name}: share {shares}; {ends}", flush=True)


def main(
    hosts: Annotated[int, typer.Option(help="Number of entry hosts.")] = 2,
    plays: Annotated[str, typer.Option(help="Only plays whose names contain this.")] = "",
) -> None:
    """Print a line for each play."""
    for play in PLAYS:
        if plays in play.name:
            with tempfile.TemporaryDirectory() as folder:
                trio.run(_play, Path(folder), hosts, play)


if __name__ == "__main__":
    typer.run(main)
