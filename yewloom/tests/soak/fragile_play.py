"""Callers before entry hosts as processes, whose plain endpoints are fragile."""

import signal
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import httpcore
import trio

from yewloom.tests.soak.fleet import HOST, PLAIN, EntryProcess, Fleet, key_of
from yewloom.tests.soak.fragile import CRASHING_BODY, EndpointLedger, FragileEndpoint
from yewloom.tests.soak.ledger import Ledger

ENTRIES, ENDPOINTS = 3, 12

CRASH_PAUSE_S = 0.3
"""Pause between two tries of the request that ends endpoints, at any of the hosts."""

START_LIMIT_S = 60.0
"""Longest time until all hosts serve."""

START_PAUSE_S = 0.05
"""Pause between two looks whether a host serves."""

DEADLINE_MS = 2000


@dataclass
class FragilePlay:
    """Callers of a fleet; ``statuses`` are of all but the crashing request.

    ``limits`` are the texts by which endpoints name their limits; those behind them name none.
    """

    fleet: Fleet
    limits: Sequence[str] = ()
    seen: EndpointLedger = field(default_factory=EndpointLedger)
    statuses: list[int] = field(default_factory=list)
    _asked: int = 0

    async def serve_endpoints(self, nursery: trio.Nursery) -> None:
        """Begin to run the endpoints."""
        texts = [*self.limits, *[""] * (ENDPOINTS - len(self.limits))]
        for number, limit in enumerate(texts):
            endpoint = FragileEndpoint(f"p{number}", PLAIN, self.fleet.store, self.seen, limit)
            nursery.start_soon(endpoint.run)

    async def wait_until_served(self) -> None:
        """Wait until every host answers."""
        with trio.fail_after(START_LIMIT_S):
            for entry in self.fleet.entries:
                while await self.ask(entry, b"first") != 200:  # noqa: ASYNC110 - a process
                    await trio.sleep(START_PAUSE_S)

    async def ask(self, entry: EntryProcess, body: bytes) -> int:
        """Send a request on a connection of its own; return its status, 0 for no answer."""
        self._asked += 1
        headers: dict[bytes | str, bytes | str] = {
            "host": HOST,
            "yewloom-request-id": f"r{self._asked}",
            "yewloom-deadline-ms": str(DEADLINE_MS),
            "authorization": f"Token {key_of(1)}",
        }
        url = f"http://{entry.caller_address}/idempotent/a"
        try:
            with trio.fail_after(DEADLINE_MS / 1000):
                async with httpcore.AsyncConnectionPool() as pool:
                    return (await pool.request("POST", url, headers=headers, content=body)).status
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return 0

    async def run(self, for_s: float, other_pause_s: float, is_crashing: bool) -> None:
        """Send requests for a time."""
        with trio.move_on_after(for_s):
            async with trio.open_nursery() as callers:
                if is_crashing:
                    callers.start_soon(self.send_crashing)
                callers.start_soon(self.send_others, other_pause_s)

    async def restart_all(self) -> None:
        """Kill all entry hosts at once, start them again and wait until they serve."""
        for entry in self.fleet.entries:
            entry.signal(signal.SIGKILL)
        for entry in self.fleet.entries:
            await entry.wait_ended()
            entry.start()
        await self.wait_until_served()

    async def send_crashing(self) -> None:
        """Send the request that ends endpoints to the hosts in turn, until cancelled."""
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                entry = self.fleet.entries[number % ENTRIES]
                nursery.start_soon(self.ask, entry, CRASHING_BODY)
                number += 1
                await trio.sleep(CRASH_PAUSE_S)

    async def send_others(self, pause_s: float) -> None:
        """Send all other requests to the hosts in turn, until cancelled."""
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._ask_other, number)
                number += 1
                await trio.sleep(pause_s)

    async def _ask_other(self, number: int) -> None:
        entry = self.fleet.entries[number % ENTRIES]
        self.statuses.append(await self.ask(entry, b"other %d" % number))


async def play_fragile(
    for_s: float,
    other_pause_s: float,
    limits: Sequence[str] = (),
    is_crashing: bool = False,
    restarts: int = 0,
) -> FragilePlay:
    """Return what was seen in a time of requests, and in as long a time behind each restart."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(Path(folder), Ledger(), Random(1), nursery)
            play = FragilePlay(fleet, limits)
            try:
                await fleet.start(ENTRIES, 0, 0)
                await play.serve_endpoints(nursery)
                await play.wait_until_served()
                await play.run(for_s, other_pause_s, is_crashing)
                for _ in range(restarts):
                    await play.restart_all()
                    await play.run(for_s, other_pause_s, is_crashing)
            finally:
                fleet.stop()
            nursery.cancel_scope.cancel()
    return play
