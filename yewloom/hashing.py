"""The 64-bit hash used to distribute work, claims and sessions among hosts."""

from collections.abc import Iterable

import xxhash


def hash64(text: str) -> int:
    """Return a hash of a text from 0 to 2**64 - 1, the same on every host."""
    return xxhash.xxh64_intdigest(text.encode())


def rendezvous_rank(name: str, own_id: str, others: Iterable[str]) -> int:
    """Return the rank of ``own_id`` among ``others`` in rendezvous hashing for ``name``, from 0."""
    mine = hash64(f"{name}/{own_id}")
    return sum(hash64(f"{name}/{other}") < mine for other in others)
