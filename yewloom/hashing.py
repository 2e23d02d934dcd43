"""The 64-bit hash by which work, claims and sessions are divided."""

from collections.abc import Iterable

import xxhash


def hash64(text: str) -> int:
    """Return the same number for a text on every host, from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(text.encode())


def turn_among(name: str, me: str, others: Iterable[str]) -> int:
    """Return how many others come before one of them where they take turns at what is named."""
    mine = hash64(f"{name}/{me}")
    return sum(hash64(f"{name}/{other}") < mine for other in others)
