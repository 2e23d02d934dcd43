"""Topics that entry hosts tell each other of beside their load and the configuration."""

from typing import Protocol

from yewloom.schema.entry_pb2 import EntryState


class PeerTopic(Protocol):
    """One topic: its part of the messages to peers and of those that they send."""

    def write(self, state: EntryState, now_s: float) -> None:
        """Add what peers should know to a message."""
        ...

    def take(self, state: EntryState, came_s: float, now_s: float) -> None:
        """Take in a peer's message that is read now and came at ``came_s`` at the earliest."""
        ...
