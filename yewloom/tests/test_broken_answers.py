"""Tests of endpoints that answer long uploads badly, with an entry host as a process."""

import tempfile
import unittest
from pathlib import Path
from random import Random

import httpcore
import trio

from yewloom.tests.early_endpoint import BREAKS, EarlyEndpoint, Ending, Script, answering, serving
from yewloom.tests.soak.fleet import PLAIN_SERVICE, ROUTE_HOST, EntryProcess, Fleet, api_key
from yewloom.tests.soak.ledger import Ledger

ENDPOINTS, REQUESTS = 3, 24

BODY = b"x" * 3_000_000
WHOLE = b"all of it"
PART = WHOLE[:3]

START_TIMEOUT_S, DEADLINE_S, POLL_S = 60.0, 6.0, 0.05
PATHS = ("/idempotent/a", "/non_idempotent/a")

Answer = tuple[int, bytes]


class _SwitchedEndpoint(EarlyEndpoint):
    """An early endpoint whose script can be replaced."""

    def set_script(self, script: Script) -> None:
        """Run another script for later requests."""
        self._script = script


class _Play:
    """One entry host, and endpoints that all answer in the same way."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._sent = 0
        sound = answering(WHOLE, Ending.READ, b"content-length: 9")
        self._endpoints = [_SwitchedEndpoint(sound) for _ in range(ENDPOINTS)]

    @property
    def _entry(self) -> EntryProcess:
        return self._fleet.entries[0]

    async def serve(self, number: int, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve one endpoint and list it in the store."""
        async with serving(self._endpoints[number]) as address:
            spec: dict[str, str | int] = {"service": PLAIN_SERVICE, "address": address}
            spec |= {"zone": "hall-a", "version": "v1", "slots": 6, "state": "ready"}
            self._fleet.store.put("servers", f"p{number}", spec)
            task_status.started()
            await trio.sleep_forever()

    async def wait_until_served(self) -> None:
        """Wait until the host answers with status 200."""
        with trio.fail_after(START_TIMEOUT_S):
            while await self._send(PATHS[0], b"first") != (200, WHOLE):  # noqa: ASYNC110
                await trio.sleep(POLL_S)

    async def ask(self, script: Script) -> list[Answer]:
        """Send uploads one after the other while all endpoints run a script."""
        for endpoint in self._endpoints:
            endpoint.set_script(script)
        return [await self._send(PATHS[turn % len(PATHS)], BODY) for turn in range(REQUESTS)]

    async def _send(self, path: str, body: bytes) -> Answer:
        """Send a request on a new connection; return status and body, 0 without an answer."""
        self._sent += 1
        headers: dict[bytes | str, bytes | str] = {
            "host": ROUTE_HOST,
            "yewloom-request-id": f"r{self._sent}",
            "yewloom-deadline-ms": str(round(DEADLINE_S * 1000)),
            "authorization": f"Token {api_key(1)}",
        }
        url = f"http://{self._entry.caller_address}{path}"
        try:
            with trio.fail_after(DEADLINE_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request("POST", url, headers=headers, content=body)
                    return response.status, response.content
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return 0, b""


def _answers(script: Script) -> list[Answer]:
    """Return what callers get from an entry host whose endpoints run a script."""

    async def main() -> list[Answer]:
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                fleet = Fleet(Path(folder), Ledger(), Random(1), nursery)
                play = _Play(fleet)
                try:
                    await fleet.start(1, 0, 0)
                    for number in range(ENDPOINTS):
                        await nursery.start(play.serve, number)
                    await play.wait_until_served()
                    return await play.ask(script)
                finally:
                    fleet.stop()
                    nursery.cancel_scope.cancel()
        raise AssertionError("cancelled")

    return trio.run(main)


class TestUploads(unittest.TestCase):
    """Uploads that are answered before they are read."""

    def test_a_part_of_an_answer_reaches_no_caller(self) -> None:
        """Guards against a part that a caller gets as the whole answer of an endpoint."""
        for ending in BREAKS:
            with self.subTest(ending):
                self.assertEqual(_answers(answering(PART, ending)), [(502, b"")] * REQUESTS)

    def test_an_answer_that_ends_before_a_reset_reaches_callers(self) -> None:
        answers = _answers(answering(WHOLE, Ending.ENDED_UNREAD))
        self.assertEqual(answers, [(200, WHOLE)] * REQUESTS)
