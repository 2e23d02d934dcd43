"""How long received bytes have waited in a socket, according to the operating system.

A process that is starting, blocked or busy reads late, and its own clock doesn't show how late.
"""

import socket
import struct
from collections.abc import Callable
from typing import Protocol

from yewloom.boot_time import SuspensionTracker

_TCP_INFO_BYTES = 104
"""Size of ``tcp_info`` in the first Linux versions that report this time."""

_LAST_DATA_RECEIVED = struct.Struct("=52xI")
"""Reads from ``tcp_info`` the milliseconds since the newest bytes arrived."""


class Connection(Protocol):
    """A TCP socket."""

    def getsockopt(self, level: int, optname: int, buflen: int, /) -> bytes:
        """Return the value of a socket option."""
        ...


def received_ago_s(connection: Connection) -> float:
    """Return how long ago the newest bytes arrived, or the connection if no bytes did.

    Returns 0 if the operating system does not report it: then bytes count as received when read.
    """
    try:
        tcp_info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        (age_ms,) = _LAST_DATA_RECEIVED.unpack_from(tcp_info)
    except (OSError, struct.error):
        return 0.0
    return float(age_ms) / 1000


class ReadAges:
    """How long ago data that is read now may have arrived.

    Uses the age reported by the operating system, if any, plus the duration of system suspensions
    since then, which its clock excludes; otherwise ``loop_delay_s``, which returns how long the
    reader was blocked.
    """

    def __init__(
        self,
        loop_delay_s: Callable[[], float] = lambda: 0.0,
        suspensions: SuspensionTracker | None = None,
    ) -> None:
        self._suspensions = suspensions or SuspensionTracker()
        self._loop_delay_s = loop_delay_s
        self._is_reported_by_system = False

    def of(self, stream: object) -> float:
        """Return the age of a stream's newest bytes; 0 if the stream has no socket."""
        connection = getattr(stream, "socket", None)
        if connection is None:
            return 0.0
        age_s = received_ago_s(connection)
        self._is_reported_by_system = self._is_reported_by_system or age_s > 0
        return (
            age_s + self._suspensions.suspended_since_s(age_s)
            if self._is_reported_by_system
            else self._loop_delay_s()
        )
