"""Ports and addresses on the loopback that are free when a test asks for them."""

import random
import socket

TEST_PORTS = range(20000, 32000)
"""Ports for tests: below those that Linux gives to outgoing connections (32768 and up), which
another process of the test could take before the one that was told of the port listens on it."""

_rng = random.SystemRandom()
"""Not the module's own generator, which hypothesis sets to the same start for each test."""

_given: set[int] = set()
"""Ports that were given out, so that none is given twice before its process listens on it."""


def free_port() -> int:
    """Return a port that nothing listens on now and that was not returned before."""
    while True:
        port = _rng.choice(TEST_PORTS)
        if port not in _given and _is_free(port):
            _given.add(port)
            return port


def free_address() -> str:
    """Return an address, as ip:port, that nothing listens on now."""
    return f"127.0.0.1:{free_port()}"


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
