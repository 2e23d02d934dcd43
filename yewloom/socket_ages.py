"""How long bytes have waited in a socket, as the system knows it.

A process that starts, stands still or has much other work reads late, and its own clock tells it
nothing of that.
"""

import socket
import struct
from collections.abc import Callable
from typing import Protocol

from yewloom.boot_time import SuspendedTime

_INFO_BYTES = 104
"""Size of the system's facts about a connection, as of the first versions that tell them."""

_LAST_DATA_RECEIVED = struct.Struct("=52xI")
"""Where among them the milliseconds since the newest bytes came stand (``tcp_info``)."""


class Connection(Protocol):
    """A socket of a TCP connection."""

    def getsockopt(self, level: int, optname: int, buflen: int, /) -> bytes:
        """Return what the system knows."""
        ...


def received_ago_s(connection: Connection) -> float:
    """Return how long ago the newest bytes came, or the connection if none did.

    It is zero where the system does not tell: then bytes count from when they are read.
    """
    try:
        facts = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
        (age_ms,) = _LAST_DATA_RECEIVED.unpack_from(facts)
    except (OSError, struct.error):
        return 0.0
    return float(age_ms) / 1000


class ReadAges:
    """How long ago what is read now may have come.

    The system's word counts where it gives one, with the time of suspensions since, which its clock
    leaves out; elsewhere ``late_s`` does, which tells for how long the reader was held up.
    """

    def __init__(
        self,
        late_s: Callable[[], float] = lambda: 0.0,
        suspended: SuspendedTime | None = None,
    ) -> None:
        self._suspended = suspended or SuspendedTime()
        self._late_s = late_s
        self._is_told = False

    def of(self, stream: object) -> float:
        """Return the age of the newest bytes of a stream; without a socket it has none."""
        connection = getattr(stream, "socket", None)
        if connection is None:
            return 0.0
        age_s = received_ago_s(connection)
        self._is_told = self._is_told or age_s > 0
        return age_s + self._suspended.since(age_s) if self._is_told else self._late_s()
