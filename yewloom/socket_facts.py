"""Socket queries that don't block: the peer's port, and bytes waiting to be read."""

import os
from typing import Any, Protocol


class Connection(Protocol):
    """A non-blocking socket."""

    def getpeername(self) -> Any:
        """Return the peer's address."""
        ...

    def fileno(self) -> int:
        """Return the file descriptor."""
        ...


def peer_port_of(connection: Connection) -> int | None:
    """Return the peer's port, for matching log lines; None once the connection is gone."""
    try:
        address = connection.getpeername()
    except OSError:
        return None
    return int(address[1])


def read_available(connection: Connection, max_bytes: int) -> bytes:
    """Return bytes that are waiting; empty if there are none or the connection is gone."""
    try:
        return os.read(connection.fileno(), max_bytes)
    except OSError:
        return b""
