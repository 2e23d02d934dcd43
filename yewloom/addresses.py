"""Network addresses as text: ``host:port``."""

MAX_PORT = 65535
"""Greatest port of TCP and UDP."""

MAX_BYTE = 255
"""Greatest part of an IPv4 number, of which it has four."""

IPV4_PARTS = 4


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address; raises ValueError without a port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_address(address: str) -> str:
    """Return an address by IPv4 number, which needs no look-up; raises ValueError for another."""
    host, port = split_address(address)
    parts = host.split(".")
    if len(parts) != IPV4_PARTS or not all(_is_byte(part) for part in parts):
        raise ValueError(f"no IP number: {host!r:.40}")
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"no port: {port!r:.40}")
    return address


def _is_byte(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= MAX_BYTE
