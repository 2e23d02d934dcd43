"""Ports and addresses on the loopback that are free when a test asks for them."""

import random
import socket
from collections import deque

PORTS = range(12000, 32000)
"""Ports below those that the kernel gives to connections, on Linux 32768 and above."""

MAX_RESERVED = 256
"""Ports that a process keeps other test runs from; each costs a descriptor."""

_random = random.SystemRandom()  # Tests may seed the usual one.
_given: set[int] = set()
_reserved: deque[socket.socket] = deque(maxlen=MAX_RESERVED)


def free_port() -> int:
    """Return a port that nothing listens on now and that no test, of any run, was given."""
    while True:
        port = _random.choice(PORTS)
        if port not in _given and _reserve(port) and _is_free(port):
            _given.add(port)
            return port


def free_address() -> str:
    """Return an address, as ip:port, that nothing listens on now."""
    return f"127.0.0.1:{free_port()}"


def _reserve(port: int) -> bool:
    """Hold a name of the port's own, which lasts until this process ends; tell whether it did."""
    name = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        name.bind(f"\0yewloom-test-port-{port}")
    except OSError:
        name.close()
        return False
    if len(_reserved) == MAX_RESERVED:
        _reserved.popleft().close()
    _reserved.append(name)
    return True


def _is_free(port: int) -> bool:
    """Tell whether neither TCP nor UDP uses a port."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True
