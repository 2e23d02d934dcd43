"""Converts reports of crashes and quarantines to and from messages between hosts."""

import math

from yewloom.crash_record import CrashRecord
from yewloom.crash_reports import (
    CrashReport,
    EndpointProcess,
    LostRequest,
    PartSuccessReport,
    SuccessReport,
)
from yewloom.ids import Fingerprint, HostId, PromptPart
from yewloom.prompt_parts import MAX_SHARED_PARTS
from yewloom.quarantine import QuarantineReport
from yewloom.quarantines import Quarantines
from yewloom.schema.crashes_pb2 import (
    AccusedRequest,
    AnsweredPart,
    AnsweredRequest,
    CrashedProcess,
    CrashReports,
    QuarantinedPart,
    QuarantinedRequest,
)
from yewloom.schema.entry_pb2 import EntryState

MAX_QUARANTINE_REPORTS = 32
"""Maximum number of quarantined requests, and of parts, in one message; the newest are sent."""


class CrashMessages:
    """Adds this host's reports to messages, and applies those in peers' messages."""

    def __init__(self, record: CrashRecord, quarantines: Quarantines) -> None:
        self._record = record
        self._quarantines = quarantines

    def add_fields(self, state: EntryState | CrashReports, now_s: float) -> None:
        """Add this host's reports to a message; usually there are none.

        Messages are regular, so the crashes since the last one are judged first.
        """
        if not self._record.has_any:
            return
        self._record.parts.judge(now_s)
        state.crashed.extend(
            _to_crashed_process(report) for report in self._record.crash_reports(now_s)
        )
        state.answered.extend(
            _to_answered_request(report) for report in self._record.success_reports(now_s)
        )
        state.answered_parts.extend(
            AnsweredPart(part=report.part, age_ms=_to_ms(report.age_s))
            for report in self._record.parts.answer_reports(now_s)
        )
        requests = self._quarantines.requests.reports(now_s, MAX_QUARANTINE_REPORTS)
        state.quarantined.extend(_to_quarantined_request(report) for report in requests)
        parts = self._quarantines.parts.reports(now_s, MAX_QUARANTINE_REPORTS)
        state.quarantined_parts.extend(_to_quarantined_part(report) for report in parts)

    def process(self, state: EntryState | CrashReports, arrived_s: float, now_s: float) -> None:
        """Apply a message that was received no earlier than ``arrived_s``."""
        for quarantined in state.quarantined:
            self._quarantines.requests.apply(_to_request_quarantine(quarantined), arrived_s)
        for quarantined_part in state.quarantined_parts:
            self._quarantines.parts.apply(_to_part_quarantine(quarantined_part), arrived_s)
        for answered in state.answered:
            report = SuccessReport(Fingerprint(answered.fingerprint), answered.age_ms / 1000)
            self._record.apply_success(report, arrived_s)
        for answered_part in state.answered_parts:
            part_report = PartSuccessReport(
                PromptPart(answered_part.part), answered_part.age_ms / 1000
            )
            self._record.parts.apply_answer(part_report, arrived_s)
        for crashed in state.crashed:
            self._record.apply_crash(_to_crash_report(crashed), arrived_s, now_s)


def _to_crashed_process(report: CrashReport) -> CrashedProcess:
    return CrashedProcess(
        endpoint=report.process.endpoint,
        started_unix_ms=report.process.started_unix_ms,
        age_ms=_to_ms(report.age_s),
        fingerprints=sorted(request.fingerprint for request in report.requests),
        accused=[
            AccusedRequest(fingerprint=request.fingerprint, parts=request.accused_parts)
            for request in report.requests
            if request.accused_parts
        ],
    )


def _to_crash_report(message: CrashedProcess) -> CrashReport:
    process = EndpointProcess(HostId(message.endpoint), message.started_unix_ms)
    accused_parts = {
        request.fingerprint: tuple(PromptPart(part) for part in request.parts[:MAX_SHARED_PARTS])
        for request in message.accused
    }
    requests = tuple(
        LostRequest(Fingerprint(number), accused_parts.get(number, ()))
        for number in message.fingerprints
    )
    return CrashReport(process, requests, message.age_ms / 1000)


def _to_answered_request(report: SuccessReport) -> AnsweredRequest:
    return AnsweredRequest(fingerprint=report.fingerprint, age_ms=_to_ms(report.age_s))


def _to_quarantined_request(report: QuarantineReport[Fingerprint]) -> QuarantinedRequest:
    return QuarantinedRequest(
        fingerprint=report.key,
        count=report.count,
        is_lifted=report.is_lifted,
        age_ms=_to_ms(report.age_s),
    )


def _to_request_quarantine(message: QuarantinedRequest) -> QuarantineReport[Fingerprint]:
    return QuarantineReport(
        Fingerprint(message.fingerprint),
        message.count,
        message.is_lifted,
        message.age_ms / 1000,
    )


def _to_quarantined_part(report: QuarantineReport[PromptPart]) -> QuarantinedPart:
    return QuarantinedPart(
        part=report.key,
        count=report.count,
        is_lifted=report.is_lifted,
        age_ms=_to_ms(report.age_s),
    )


def _to_part_quarantine(message: QuarantinedPart) -> QuarantineReport[PromptPart]:
    return QuarantineReport(
        PromptPart(message.part),
        message.count,
        message.is_lifted,
        message.age_ms / 1000,
    )


def _to_ms(seconds: float) -> int:
    return max(0, math.ceil(seconds * 1000))
