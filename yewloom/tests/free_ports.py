"""Ports and addresses on the loopback that are free when a test asks for them."""

import itertools
import random
import socket

FIRST_PORT = 20_000
"""Lowest port given."""

END_PORT = 32_000
"""Port after the last one given: below 32768, from where Linux takes the ports of outgoing
connections, so that no connection takes a port before its program has started."""

_PORTS = itertools.count(random.SystemRandom().randrange(END_PORT - FIRST_PORT))
"""Ports in turn from a chance one on, as other runs of the tests take ports too."""


def free_port() -> int:
    """Return a port that nothing listens on now; none is given again before all others were."""
    for number in itertools.islice(_PORTS, END_PORT - FIRST_PORT):
        port = FIRST_PORT + number % (END_PORT - FIRST_PORT)
        if _is_free(port):
            return port
    raise OSError(f"no port from {FIRST_PORT} to {END_PORT - 1} is free")


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
