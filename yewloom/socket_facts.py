"""What a socket tells at once: the port of its other side, and bytes that wait to be read."""

import os
from typing import Any, Protocol


class Connection(Protocol):
    """A socket of a connection, which does not block."""

    def getpeername(self) -> Any:
        """Return the address of the other side."""
        ...

    def fileno(self) -> int:
        """Return the number of the socket."""
        ...


def port_of(connection: Connection) -> int | None:
    """Return the port of the other side, by which logs are matched; None once it is gone."""
    try:
        address = connection.getpeername()
    except OSError:
        return None
    return int(address[1])


def read_waiting(connection: Connection, most_bytes: int) -> bytes:
    """Return bytes that wait to be read; none where there are none, or the connection is gone."""
    try:
        return os.read(connection.fileno(), most_bytes)
    except OSError:
        return b""
