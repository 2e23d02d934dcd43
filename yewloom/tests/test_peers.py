"""Tests of gRPC channels to peers: an unresponsive channel is not used forever.

Connections to the store have become unresponsive without a reset, and the same can happen to
connections to peers. A channel does not detect this: further calls on it keep timing out.
"""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import grpc
import trio

from yewloom import peers
from yewloom.peers import PeerExchange

ADDRESS = "10.1.0.1:7"


class _Channel:
    """A channel on which calls end with a status; it records that it was closed."""

    def __init__(self, status: grpc.StatusCode) -> None:
        self.status = status
        self.is_closed = False

    async def close(self) -> None:
        """Close the channel."""
        self.is_closed = True


class TestChannels(unittest.TestCase):
    """Which channels are reused."""

    def _exchange_twice(self, status: grpc.StatusCode) -> list[_Channel]:
        """Exchange twice with a peer; return the channels that were opened."""
        opened: list[_Channel] = []

        def open_channel(*_: object) -> _Channel:
            opened.append(_Channel(status))
            return opened[-1]

        async def call(*_: object) -> None:
            raise grpc.aio.AioRpcError(status, grpc.aio.Metadata(), grpc.aio.Metadata())

        async def as_trio(method: Callable[[], Awaitable[None]]) -> None:
            await method()

        with (
            mock.patch.object(peers, "_open_channel", open_channel),
            mock.patch.object(peers, "peer_pb2_grpc"),
            mock.patch.object(peers, "exchange"),
            mock.patch("trio_asyncio.aio_as_trio", lambda method: lambda: as_trio(method)),
        ):
            exchange = PeerExchange(mock.MagicMock())
            with mock.patch.object(exchange, "_call", call):
                for _ in range(2):
                    trio.run(exchange._exchange_with, ADDRESS, False)
        return opened

    def test_channel_is_closed_after_a_time_out(self) -> None:
        first, second = self._exchange_twice(grpc.StatusCode.DEADLINE_EXCEEDED)
        self.assertTrue(first.is_closed)
        self.assertIsNot(first, second)

    def test_channel_is_kept_after_a_refused_connection(self) -> None:
        [channel] = self._exchange_twice(grpc.StatusCode.UNAVAILABLE)
        self.assertFalse(channel.is_closed)
