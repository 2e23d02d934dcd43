"""Tests of the soak callers: which process a request is recorded for, and how long callers wait."""

import random
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from yewloom.tests.soak.balancer import Balancer
from yewloom.tests.soak.callers import DEADLINE_S, Caller
from yewloom.tests.soak.fleet import EntryProcess, Fleet
from yewloom.tests.soak.ledger import Kind, Ledger, SentRequest
from yewloom.tests.soak.proxy import Link, PeerLink

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _StartingBalancer(Balancer):
    """A balancer whose entry host is restarted while a caller connects."""

    def routes_to(self, entry: EntryProcess) -> bool:
        """Count a restart of the host."""
        entry.start_count += 1
        return True


class _SlowBalancer(Balancer):
    """A balancer that blocks the caller's process for most of the request's deadline."""

    def routes_to(self, entry: EntryProcess) -> bool:
        """Block the process."""
        time.sleep(DEADLINE_S * 0.75)
        return True


@asynccontextmanager
async def _open_caller(
    balancer: type[Balancer], answer: Callable[[trio.SocketStream], Awaitable[None]]
) -> AsyncIterator[tuple[Caller, EntryProcess]]:
    """Yield a caller and its entry host, whose connections ``answer`` serves."""
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, answer, [listener])
        entry = EntryProcess(
            "e", address, "", Path(), Link(""), PeerLink(""), Path(), start_count=1
        )
        fleet = Fleet(Path(), Ledger(), random.Random(1), nursery)
        yield Caller(entry, fleet, balancer([entry]), fleet.ledger, seed=1), entry
        nursery.cancel_scope.cancel()


class TestCaller(unittest.TestCase):
    """Callers record the process that a request reaches, and wait until the stated deadline."""

    def test_a_request_names_the_process_that_ran_when_its_connection_was_open(self) -> None:
        """Guards against false "late" violations.

        A request that was created before its process started would be recorded for the process
        before it.
        """
        requests = trio.run(self._send_twice)
        self.assertEqual([sent.status for sent in requests], [200, 200])
        self.assertEqual([sent.process_name for sent in requests], ["e/2", "e/2"])

    async def _send_twice(self) -> list[SentRequest]:
        async def answer(stream: trio.SocketStream) -> None:
            for _ in range(2):
                await stream.receive_some()
                await stream.send_all(ANSWER)

        async with (
            _open_caller(_StartingBalancer, answer) as (caller, entry),
            caller.open_pool() as pool,
        ):
            first = await caller.send(pool, Kind.SAFE)
            entry.start_count += 1
            return [first, await caller.send(pool, Kind.SAFE)]

    def test_a_delayed_caller_waits_until_the_deadline_that_it_stated(self) -> None:
        """Guards against false "unanswered" violations.

        A caller whose process is delayed would give up before the deadline that the host was told.
        """
        sent = trio.run(self._send_delayed)
        self.assertEqual((sent.status, sent.failure, sent.has_given_up), (200, "", False))

    async def _send_delayed(self) -> SentRequest:
        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await trio.sleep(DEADLINE_S / 2)
            await stream.send_all(ANSWER)

        async with _open_caller(_SlowBalancer, answer) as (caller, _), caller.open_pool() as pool:
            return await caller.send(pool, Kind.SAFE)
