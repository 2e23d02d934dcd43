"""Index of the prompt prefixes that engines have cached, from late and gapped cache events.

A prompt is cut into blocks; the hash of each block covers all before it, so equal hashes mean
equal prefixes. Events carry a sequence number. After a gap the index of that engine is dropped
until it starts again, since it may claim blocks that are gone.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from yewloom.ids import GroupId
from yewloom.schema.records_pb2 import CacheEvent

BLOCK_CHARACTERS = 64
"""Characters of a prompt in one block."""

MAX_EXPECTED_BLOCKS = 4096
"""Blocks expected in one engine from own requests; the least recently sent ones go first."""


def block_hashes(prompt: str) -> list[int]:
    """Return the hash of each whole block of a prompt, each covering all blocks before it."""
    hashes = []
    state = xxhash.xxh64()
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        state.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(state.intdigest())
    return hashes


@dataclass
class _EngineCache:
    """Blocks that events told of, and blocks that own requests will have left behind."""

    generation: int
    sequence: int = 0
    blocks: set[int] = field(default_factory=set)
    expected: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def expect(self, hashes: Iterable[int]) -> None:
        for block in hashes:
            self.expected[block] = None
            self.expected.move_to_end(block)
        while len(self.expected) > MAX_EXPECTED_BLOCKS:
            self.expected.popitem(last=False)

    def holds(self, block: int) -> bool:
        return block in self.blocks or block in self.expected


class PrefixIndex:
    """Cached blocks of each group."""

    def __init__(self) -> None:
        self._caches: dict[GroupId, _EngineCache] = {}

    def apply(
        self, group_id: GroupId, generation: int, events: Iterable[CacheEvent], sequence: int
    ) -> None:
        """Take in an engine's latest events; ``sequence`` is that of its newest one."""
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

    def expect(self, group_id: GroupId, generation: int, hashes: Iterable[int]) -> None:
        """Note blocks that a request just sent will leave behind, before events tell of them."""
        self._cache(group_id, generation).expect(hashes)

    def matched_blocks(self, group_id: GroupId, hashes: Sequence[int]) -> int:
        """Return how many leading blocks of a prompt a group has cached."""
        cache = self._caches.get(group_id)
        if cache is None:
            return 0
        for count, block in enumerate(hashes):
            if not cache.holds(block):
                return count
        return len(hashes)

    def _cache(self, group_id: GroupId, generation: int) -> _EngineCache:
        cache = self._caches.get(group_id)
        if cache is None or cache.generation != generation:
            cache = self._caches[group_id] = _EngineCache(generation)
        return cache

    def keep_only(self, present: Iterable[GroupId]) -> None:
        """Forget groups that are gone."""
        for group_id in self._caches.keys() - set(present):
            del self._caches[group_id]
