"""Index of the prompt prefixes that engines have cached.

A prompt is split into blocks. The hash of a block covers all blocks before it too, so equal hashes
mean equal prefixes. The index is built from the engines' cache events, which may be late or lost
and carry a sequence number. After a gap all blocks known from that engine's events are dropped,
since an eviction may have been missed, and are collected again from the events that follow.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from yewloom.ids import GroupId
from yewloom.schema.records_pb2 import CacheEvent

BLOCK_CHARACTERS = 64
"""Length of a block in characters."""

MAX_EXPECTED_BLOCKS = 4096
"""Maximum number of blocks that an engine is expected to cache for this host's own requests.

The blocks that were least recently part of a request are dropped first.
"""


def block_hashes(prompt: str) -> list[int]:
    """Return the hash of each full block of a prompt; it covers the blocks before it too."""
    hashes = []
    state = xxhash.xxh64()
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        state.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(state.intdigest())
    return hashes


@dataclass
class _EngineCache:
    """Blocks that one engine has cached.

    ``blocks`` are known from its events; ``expected`` are those of the requests that this host has
    sent to it.
    """

    generation: int
    sequence: int = 0
    blocks: set[int] = field(default_factory=set)
    expected: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def add_expected(self, hashes: Iterable[int]) -> None:
        for block in hashes:
            self.expected[block] = None
            self.expected.move_to_end(block)
        while len(self.expected) > MAX_EXPECTED_BLOCKS:
            self.expected.popitem(last=False)

    def contains(self, block: int) -> bool:
        return block in self.blocks or block in self.expected


class PrefixIndex:
    """The cached blocks of each group."""

    def __init__(self) -> None:
        self._caches: dict[GroupId, _EngineCache] = {}

    def apply(
        self, group_id: GroupId, generation: int, events: Iterable[CacheEvent], sequence: int
    ) -> None:
        """Apply an engine's latest events; ``sequence`` is the number of its newest event."""
        cache = self._cache(group_id, generation)
        for event in sorted(events, key=lambda event: event.sequence):
            if event.sequence <= cache.sequence:
                continue
            if event.sequence != cache.sequence + 1:
                cache.blocks.clear()
            cache.blocks.difference_update(event.removed)
            for block in event.removed:
                cache.expected.pop(block, None)
            cache.blocks.update(event.added)
            cache.sequence = event.sequence
        if cache.sequence < sequence:
            cache.blocks.clear()
            cache.sequence = sequence

    def add_expected_blocks(
        self, group_id: GroupId, generation: int, hashes: Iterable[int]
    ) -> None:
        """Add the blocks of a request just sent, which its engine has yet to report as cached."""
        self._cache(group_id, generation).add_expected(hashes)

    def matched_blocks(self, group_id: GroupId, hashes: Sequence[int]) -> int:
        """Return the number of leading blocks of a prompt that a group has cached."""
        cache = self._caches.get(group_id)
        if cache is None:
            return 0
        for count, block in enumerate(hashes):
            if not cache.contains(block):
                return count
        return len(hashes)

    def _cache(self, group_id: GroupId, generation: int) -> _EngineCache:
        cache = self._caches.get(group_id)
        if cache is None or cache.generation != generation:
            cache = self._caches[group_id] = _EngineCache(generation)
        return cache

    def retain_groups(self, present: Iterable[GroupId]) -> None:
        """Drop all groups that are not in ``present``."""
        for group_id in self._caches.keys() - set(present):
            del self._caches[group_id]
