"""Allocation of free ports and addresses on the loopback interface to tests."""

import random
import socket
from collections import deque

PORTS = range(12000, 32000)
"""Ports below those that the kernel assigns to outgoing connections; on Linux 32768 and above."""

MAX_RESERVED = 256
"""Maximum number of ports that a process reserves against other test runs.

Each reservation uses one file descriptor.
"""

_random = random.SystemRandom()  # Tests may seed the global generator.
_allocated: set[int] = set()
_reserved: deque[socket.socket] = deque(maxlen=MAX_RESERVED)


def allocate_port() -> int:
    """Return a port that nothing listens on and that is not allocated to a test of any run."""
    while True:
        port = _random.choice(PORTS)
        if port not in _allocated and _reserve(port) and _is_free(port):
            _allocated.add(port)
            return port


def allocate_address() -> str:
    """Return an address, as ip:port, that nothing listens on."""
    return f"127.0.0.1:{allocate_port()}"


def _reserve(port: int) -> bool:
    """Reserve a port by binding an abstract socket name; return False if another process holds it.

    The system releases the name when this process ends.
    """
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind(f"\0yewloom-test-port-{port}")
    except OSError:
        reservation.close()
        return False
    if len(_reserved) == MAX_RESERVED:
        _reserved.popleft().close()
    _reserved.append(reservation)
    return True


def _is_free(port: int) -> bool:
    """Tell whether a port is unused by both TCP and UDP."""
    try:
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, socket_type) as probe:
                probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True
