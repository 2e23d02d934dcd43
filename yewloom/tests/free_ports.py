"""Ports and addresses on the loopback that are free when a test asks for them."""

import socket


def free_port() -> int:
    """Return a port that nothing listens on now."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return int(listener.getsockname()[1])


def free_address() -> str:
    """Return an address, as ip:port, that nothing listens on now."""
    return f"127.0.0.1:{free_port()}"
