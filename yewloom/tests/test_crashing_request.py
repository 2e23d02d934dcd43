"""A request that ends each endpoint that runs it, before entry hosts as processes."""

import tempfile
import unittest
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import httpcore
import trio

from yewloom.tests.soak.crashing import CRASHING_BODY, CrashingEndpoint, CrashLedger
from yewloom.tests.soak.fleet import HOST, PLAIN, EntryProcess, Fleet, key_of
from yewloom.tests.soak.ledger import Ledger

ENTRIES, ENDPOINTS = 3, 12

CRASH_PAUSE_S = 0.3
"""Pause between two tries of the request that ends endpoints, at any of the hosts."""

OTHER_PAUSE_S = 0.04
"""Pause between two of all other requests."""

PLAY_S = 12.0
"""Time for which both come."""

CONTACT_S = 3.0
"""Time from the third end on after which every host must know of it."""

MOST_LATER = 3
"""Endpoints that the request may reach from then on."""

START_LIMIT_S = 60.0
"""Longest time until all hosts serve."""

DEADLINE_MS = 2000


@dataclass
class Play:
    """Callers of a fleet whose endpoints one request ends; ``statuses`` are of all others."""

    fleet: Fleet
    ends: CrashLedger = field(default_factory=CrashLedger)
    statuses: list[int] = field(default_factory=list)
    _asked: int = 0

    async def serve_endpoints(self, nursery: trio.Nursery) -> None:
        """Begin to run the endpoints."""
        for number in range(ENDPOINTS):
            endpoint = CrashingEndpoint(f"p{number}", PLAIN, self.fleet.store, self.ends)
            nursery.start_soon(endpoint.run)

    async def wait_until_served(self) -> None:
        """Wait until every host answers."""
        with trio.fail_after(START_LIMIT_S):
            for entry in self.fleet.entries:
                while await self.ask(entry, b"first") != 200:  # noqa: ASYNC110 - a process
                    await trio.sleep(OTHER_PAUSE_S)

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

    async def run(self) -> None:
        """Send both kinds of requests to the hosts in turn."""
        with trio.move_on_after(PLAY_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_crashing, nursery)
                nursery.start_soon(self._send_others, nursery)

    async def _send_crashing(self, nursery: trio.Nursery) -> None:
        number = 0
        while True:
            entry = self.fleet.entries[number % ENTRIES]
            nursery.start_soon(self.ask, entry, CRASHING_BODY)
            number += 1
            await trio.sleep(CRASH_PAUSE_S)

    async def _send_others(self, nursery: trio.Nursery) -> None:
        number = 0
        while True:
            nursery.start_soon(self._ask_other, number)
            number += 1
            await trio.sleep(OTHER_PAUSE_S)

    async def _ask_other(self, number: int) -> None:
        entry = self.fleet.entries[number % ENTRIES]
        self.statuses.append(await self.ask(entry, b"other %d" % number))


async def play() -> Play:
    """Return what was seen while one request ended endpoints."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(Path(folder), Ledger(), Random(1), nursery)
            try:
                await fleet.start(ENTRIES, 0, 0)
                seen = Play(fleet)
                await seen.serve_endpoints(nursery)
                await seen.wait_until_served()
                await seen.run()
            finally:
                fleet.stop()
            nursery.cancel_scope.cancel()
    return seen


class TestCrashingRequest(unittest.TestCase):
    """One request must not end one endpoint after the other."""

    def test_a_request_that_ended_three_endpoints_reaches_few_more(self) -> None:
        """Guards against a request that comes again and ends whatever endpoint it is sent to."""
        seen = trio.run(play)
        self.assertGreaterEqual(len(seen.ends.ended_s), 3)
        known_s = seen.ends.ended_s[2] + CONTACT_S
        later = [arrived_s for arrived_s in seen.ends.arrived_s if arrived_s > known_s]
        self.assertLessEqual(len(later), MOST_LATER, f"{len(seen.ends.ended_s)} ended in all")
