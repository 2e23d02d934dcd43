"""The port of the other side of a connection, by which logs of both sides can be matched."""

from typing import Any, Protocol


class Connection(Protocol):
    """A socket of a connection."""

    def getpeername(self) -> Any:
        """Return the address of the other side."""
        ...


def port_of(connection: Connection) -> int | None:
    """Return the port of the other side of a TCP connection; None once it is gone."""
    try:
        address = connection.getpeername()
    except OSError:
        return None
    return int(address[1])
