"""Tests of the callers under soak: whom their requests are held against, and how long they wait."""

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
from yewloom.tests.soak.ledger import Kind, Ledger, Sent
from yewloom.tests.soak.proxy import Link, PeerLink

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _StartingBalancer(Balancer):
    """A balancer whose entry host is started anew while a caller connects."""

    def uses(self, entry: EntryProcess) -> bool:
        """Count the next process of the host."""
        entry.lives += 1
        return True


class _SlowBalancer(Balancer):
    """A balancer whose answer holds up the process of the caller for most of the caller's time."""

    def uses(self, entry: EntryProcess) -> bool:
        """Hold the process up."""
        time.sleep(DEADLINE_S * 0.75)
        return True


@asynccontextmanager
async def _calling(
    balancer: type[Balancer], answer: Callable[[trio.SocketStream], Awaitable[None]]
) -> AsyncIterator[tuple[Caller, EntryProcess]]:
    """Yield a caller, and the entry host that it asks, whose connections are answered by hand."""
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, answer, [listener])
        entry = EntryProcess("e", address, "", Path(), Link(""), PeerLink(""), Path(), lives=1)
        fleet = Fleet(Path(), Ledger(), random.Random(1), nursery)
        yield Caller(entry, fleet, balancer([entry]), fleet.ledger, seed=1), entry
        nursery.cancel_scope.cancel()


class TestCaller(unittest.TestCase):
    """A caller's requests are held against the processes that they reach."""

    def test_a_request_names_the_process_that_ran_once_its_connection_was_open(self) -> None:
        """Guards against "late" by a process that answers what was noted before it started."""
        requests = trio.run(self._ask_twice)
        self.assertEqual([sent.status for sent in requests], [200, 200])
        self.assertEqual([sent.host_life for sent in requests], ["e/2", "e/2"])

    async def _ask_twice(self) -> list[Sent]:
        async def answer(stream: trio.SocketStream) -> None:
            for _ in range(2):
                await stream.receive_some()
                await stream.send_all(ANSWER)

        async with (
            _calling(_StartingBalancer, answer) as (caller, entry),
            caller.open_pool() as pool,
        ):
            first = await caller.send(pool, Kind.SAFE)
            entry.lives += 1
            return [first, await caller.send(pool, Kind.SAFE)]

    def test_a_caller_that_is_held_up_gives_a_host_all_the_time_that_it_states(self) -> None:
        """Guards against "unanswered" by a host that was asked when the caller's time was over."""
        sent = trio.run(self._ask_held_up)
        self.assertEqual((sent.status, sent.failure, sent.has_left), (200, "", False))

    async def _ask_held_up(self) -> Sent:
        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await trio.sleep(DEADLINE_S / 2)
            await stream.send_all(ANSWER)

        async with _calling(_SlowBalancer, answer) as (caller, _), caller.open_pool() as pool:
            return await caller.send(pool, Kind.SAFE)
