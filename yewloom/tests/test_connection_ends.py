"""Tests of what a failed send shows about the end of a connection."""

import errno
import socket
import unittest
from collections.abc import Callable

import trio

from yewloom.connection_ends import shows_end
from yewloom.tests.early_endpoint import reset_on_close

READ_BYTES = 100


def _reset(peer: socket.socket) -> None:
    reset_on_close(peer)
    peer.close()


def _end_and_reset(peer: socket.socket) -> None:
    peer.shutdown(socket.SHUT_WR)
    _reset(peer)


class TestSockets(unittest.TestCase):
    """What the operating system reports."""

    def _play(self, end: Callable[[socket.socket], None]) -> tuple[bool, list[bytes]]:
        """Send after a peer has sent and ended; return what that shows, and what is read then."""

        async def main() -> tuple[bool, list[bytes]]:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                stream = await trio.open_tcp_stream(*listener.getsockname())
                peer, _ = listener.accept()
            async with stream:
                peer.sendall(b"part")
                end(peer)
                with self.assertRaises(trio.BrokenResourceError) as caught:
                    await stream.send_all(b"x")
                reads = [bytes(await stream.receive_some(READ_BYTES)) for _ in range(2)]
                return shows_end(caught.exception), reads

        return trio.run(main)

    def test_a_reset_is_told_from_an_end_although_both_read_alike(self) -> None:
        self.assertEqual(self._play(_reset), (False, [b"part", b""]))
        self.assertEqual(self._play(_end_and_reset), (True, [b"part", b""]))


class TestErrors(unittest.TestCase):
    """Errors of streams."""

    def _shows_end(self, cause: BaseException | None) -> bool:
        try:
            raise trio.BrokenResourceError from cause
        except trio.BrokenResourceError as error:
            return shows_end(error)

    def test_only_a_broken_pipe_shows_an_end(self) -> None:
        self.assertTrue(self._shows_end(OSError(errno.EPIPE, "")))
        for code in (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNABORTED):
            self.assertFalse(self._shows_end(OSError(code, "")), errno.errorcode[code])

    def test_an_error_of_another_kind_shows_nothing(self) -> None:
        self.assertFalse(self._shows_end(None))
        self.assertFalse(self._shows_end(ValueError()))
