"""Network addresses as text: ``host:port``."""

MAX_PORT = 65535
"""Highest port number of TCP and UDP."""

MAX_OCTET = 255

IPV4_OCTETS = 4


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address; raise ValueError if it has no numeric port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_address(address: str) -> str:
    """Return the address unchanged if it is ``IPv4:port``; raise ValueError otherwise.

    Only IPv4 literals are accepted, since they need no name resolution.
    """
    host, port = split_address(address)
    octets = host.split(".")
    if len(octets) != IPV4_OCTETS or not all(_is_octet(octet) for octet in octets):
        raise ValueError(f"not an IPv4 address: {host!r:.40}")
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port out of range: {port!r:.40}")
    return address


def _is_octet(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= MAX_OCTET
