"""Tests of connection reuse: which ones a call uses, and when they are closed."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio

from yewloom.http_calls import HttpCallError, HttpClient
from yewloom.tests.silent_network import MemoryStore, SilentNetwork
from yewloom.tests.support import run_on_mock_clock

URL = "http://store:1/objects/config"
LONG_WATCH = f"{URL}?watch=1&waitMs=5000"
TIMEOUT_S = 1.5
KEEP_ALIVE_S = 3.0


class ClientOnSilentNetwork:
    """An HTTP client and the network that it uses."""

    def __init__(self) -> None:
        self.network = SilentNetwork(MemoryStore())
        self.client = HttpClient(0.5, network=self.network, keep_alive_s=KEEP_ALIVE_S)

    async def call(self, url: str = URL, timeout_s: float = TIMEOUT_S) -> bool:
        """Make a call; return whether it got a response."""
        try:
            await self.client.call("GET", url, timeout_s)
        except HttpCallError:
            return False
        return True

    async def call_concurrently(self, count: int) -> None:
        """Make several calls concurrently, each on its own connection."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self.call)


def _run(test: Callable[[ClientOnSilentNetwork], Awaitable[None]]) -> None:
    async def main() -> None:
        await test(ClientOnSilentNetwork())

    run_on_mock_clock(main)


class TestHttpPools(unittest.TestCase):
    """A connection that may be silent is not reused."""

    def test_an_idle_connection_is_reused(self) -> None:
        async def test(setup: ClientOnSilentNetwork) -> None:
            self.assertTrue(await setup.call() and await setup.call())
            self.assertEqual(len(setup.network.opened), 1)

        _run(test)

    def test_a_connection_idle_for_long_is_not_reused(self) -> None:
        async def test(setup: ClientOnSilentNetwork) -> None:
            with mock.patch("time.monotonic", trio.current_time):  # The clock of httpcore.
                await setup.call()
                await trio.sleep(KEEP_ALIVE_S + 0.1)
                self.assertTrue(await setup.call())
            self.assertEqual(len(setup.network.opened), 2)

        _run(test)

    def test_several_silent_connections_cost_only_one_failed_call(self) -> None:
        async def test(setup: ClientOnSilentNetwork) -> None:
            await setup.call_concurrently(3)
            setup.network.silence_open()
            self.assertEqual([await setup.call() for _ in range(3)], [False, True, True])
            closed = [connection.is_closed for connection in setup.network.opened]
            self.assertEqual(closed, [True, True, True, False])

        _run(test)

    def test_a_call_in_progress_keeps_its_connection_until_answered(self) -> None:
        async def test(setup: ClientOnSilentNetwork) -> None:
            answered: list[bool] = []

            async def watch() -> None:
                answered.append(await setup.call(LONG_WATCH, 6.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(0.1)
                await setup.client.renew_connections(URL)
                self.assertTrue(await setup.call())
                self.assertFalse(setup.network.opened[0].is_closed)
            self.assertEqual(answered, [True])
            self.assertTrue(setup.network.opened[0].is_closed)

        _run(test)

    def test_a_silent_stream_retires_the_other_connections_too(self) -> None:
        async def test(setup: ClientOnSilentNetwork) -> None:
            await setup.call_concurrently(3)
            setup.network.silence_open()
            with self.assertRaises(HttpCallError):
                async with setup.client.stream("GET", URL, b"", TIMEOUT_S):
                    pass
            self.assertTrue(await setup.call())

        _run(test)
