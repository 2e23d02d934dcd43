"""Converts announced limits of endpoints to and from messages between entry hosts."""

import math

from yewloom.endpoint_limits import EndpointLimits, LimitReport
from yewloom.ids import HostId
from yewloom.schema.entry_pb2 import EntryState, NamedLimit


class LimitMessages:
    """Adds limits announced to this host to messages, and applies those in peers' messages."""

    def __init__(self, limits: EndpointLimits) -> None:
        self._limits = limits

    def add_fields(self, state: EntryState, now_s: float) -> None:
        """Add the recently announced limits to a message; usually there are none."""
        if self._limits.has_any:
            state.limits.extend(_to_message(report) for report in self._limits.reports(now_s))

    def process(self, state: EntryState, arrived_s: float, now_s: float) -> None:
        """Apply a message that was received no earlier than ``arrived_s``."""
        for message in state.limits:
            self._limits.apply(_from_message(message), arrived_s)


def _to_message(report: LimitReport) -> NamedLimit:
    age_ms = max(0, math.ceil(report.age_s * 1000))
    return NamedLimit(endpoint=report.endpoint, per_s=report.per_s, age_ms=age_ms)


def _from_message(message: NamedLimit) -> LimitReport:
    per_s = message.per_s if message.HasField("per_s") else None
    return LimitReport(HostId(message.endpoint), per_s, message.age_ms / 1000)
