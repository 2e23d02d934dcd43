"""What entry hosts tell each other of the limits that endpoints name, as messages."""

import math

from yewloom.endpoint_limits import EndpointLimits, LimitWord
from yewloom.ids import HostId
from yewloom.schema.entry_pb2 import EntryState, NamedLimit


class LimitMessages:
    """Adds to a message what endpoints told this host, and takes in what they told peers."""

    def __init__(self, limits: EndpointLimits) -> None:
        self._limits = limits

    def write(self, state: EntryState, now_s: float) -> None:
        """Add the limits to a message; usually there are none."""
        if self._limits.has_any:
            state.limits.extend(_message(word) for word in self._limits.words(now_s))

    def take(self, state: EntryState, came_s: float, now_s: float) -> None:
        """Take in a message that came at ``came_s`` at the earliest."""
        for message in state.limits:
            self._limits.take(_word(message), came_s)


def _message(word: LimitWord) -> NamedLimit:
    age_ms = max(0, math.ceil(word.age_s * 1000))
    return NamedLimit(endpoint=word.endpoint, per_s=word.per_s, age_ms=age_ms)


def _word(message: NamedLimit) -> LimitWord:
    per_s = message.per_s if message.HasField("per_s") else None
    return LimitWord(HostId(message.endpoint), per_s, message.age_ms / 1000)
