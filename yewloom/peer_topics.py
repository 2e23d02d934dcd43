"""Interface of components that add their own fields to the messages between entry hosts."""

from typing import Protocol

from yewloom.schema.entry_pb2 import EntryState


class PeerMessageExtension(Protocol):
    """A component with its own fields in the messages sent to peers and received from them."""

    def add_fields(self, state: EntryState, now_s: float) -> None:
        """Add this component's fields to an outgoing message."""
        ...

    def process(self, state: EntryState, arrived_s: float, now_s: float) -> None:
        """Process a message read at ``now_s`` that arrived at ``arrived_s`` at the earliest."""
        ...
