"""Converts ended groups to and from messages between entry hosts."""

import math

from yewloom.directory import GroupKey
from yewloom.ended_groups import EndedGroups, EndedReport
from yewloom.ids import GroupId, HostId
from yewloom.schema.entry_pb2 import EndedGroup, EntryState


class EndedMessages:
    """Adds groups that have ended to messages, and applies those in peers' messages."""

    def __init__(self, ended: EndedGroups) -> None:
        self._ended = ended

    def add_fields(self, state: EntryState, now_s: float) -> None:
        """Add the groups that ended recently to a message; usually there are none."""
        state.ended.extend(_to_message(report) for report in self._ended.reports(now_s))

    def process(self, state: EntryState, arrived_s: float, now_s: float) -> None:
        """Apply a message that was received no earlier than ``arrived_s``."""
        for message in state.ended:
            self._ended.apply(_from_message(message), arrived_s, now_s)


def _to_message(report: EndedReport) -> EndedGroup:
    return EndedGroup(
        leader=report.leader,
        group_id=report.key.group_id,
        generation=report.key.generation,
        age_ms=max(0, math.ceil(report.age_s * 1000)),
    )


def _from_message(message: EndedGroup) -> EndedReport:
    key = GroupKey(GroupId(message.group_id), message.generation)
    return EndedReport(HostId(message.leader), key, message.age_ms / 1000)
