"""When the store answered the entry hosts of each data centre, and for how long it did not.

An endpoint's entry expires without its writes: if the store is away for long enough, or if the
endpoint's data centre is cut off from it. A failed call of one host shows neither of these, as its
connection may have gone silent, or the store may have turned this host away alone. So hosts tell
each other when the store last answered them.

All times are seconds of this host's clock.
"""

import math
from dataclasses import dataclass

from yewloom.configuration import MAX_REPORTED_AGE_S
from yewloom.ids import DataCentreId
from yewloom.schema.entry_pb2 import EntryState

EXPIRY_HEARTBEATS = 3
"""Heartbeats after an endpoint's last write at which its entry expires."""

LATEST_WRITE_HEARTBEATS = 1.25
"""Longest time before an absence of the store in which an endpoint has written its entry, in
heartbeats; they come somewhat irregularly."""


@dataclass
class _Answers:
    """The answers to the hosts of one data centre.

    ``returned_s`` is when the latest long time without an answer ended.
    """

    last_s: float
    returned_s: float = -math.inf


class StoreContact:
    """Records answers of the store; an extension of the messages to peers.

    ``data_centre`` is that of this host; endpoints write their entries every ``heartbeat_s``.
    """

    def __init__(self, data_centre: DataCentreId, heartbeat_s: float) -> None:
        self._data_centre = data_centre
        self._expiry_s = heartbeat_s * (EXPIRY_HEARTBEATS - LATEST_WRITE_HEARTBEATS)
        self._own_last_s = -math.inf
        self._answers: dict[DataCentreId, _Answers] = {}

    def record_answer(self, now_s: float) -> None:
        """Record that the store answered this host."""
        self._own_last_s = max(self._own_last_s, now_s)
        self._record(self._data_centre, now_s)

    def add_fields(self, state: EntryState, now_s: float) -> None:
        """Add the time since the store last answered this host to a message, unless it is long."""
        age_s = now_s - self._own_last_s
        if age_s < MAX_REPORTED_AGE_S:
            state.store_answer_age_ms = math.ceil(age_s * 1000)

    def process(self, state: EntryState, arrived_s: float, now_s: float) -> None:
        """Record when the store last answered a peer."""
        if state.HasField("store_answer_age_ms"):
            answered_s = arrived_s - state.store_answer_age_ms / 1000
            self._record(DataCentreId(state.data_centre), answered_s)

    def returned_s(self, data_centre: DataCentreId, since_s: float, now_s: float) -> float:
        """Return when the store was back, if an endpoint's entry may have expired since a time.

        Minus infinity if it can't have: the hosts of this data centre, or those of the endpoint's,
        were answered all the time. In the first case, what this host learns is as good as from an
        undisturbed watch. If the store does not answer the endpoint's data centre yet, its return
        is now.
        """
        here_s = self._return_in(self._data_centre, since_s, now_s)
        if here_s == -math.inf or data_centre not in self._answers:
            return here_s
        return self._return_in(data_centre, since_s, now_s)

    def _record(self, data_centre: DataCentreId, answered_s: float) -> None:
        answers = self._answers.setdefault(data_centre, _Answers(answered_s))
        if answered_s - answers.last_s >= self._expiry_s:
            answers.returned_s = answered_s
        answers.last_s = max(answers.last_s, answered_s)

    def _return_in(self, data_centre: DataCentreId, since_s: float, now_s: float) -> float:
        answers = self._answers.get(data_centre)
        if answers is None or now_s - answers.last_s >= self._expiry_s:
            return now_s
        return answers.returned_s if answers.returned_s > since_s else -math.inf
