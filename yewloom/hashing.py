"""The 64-bit hash by which work, claims and sessions are divided."""

import xxhash


def hash64(text: str) -> int:
    """Return the same number for a text on every host, from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(text.encode())
