"""Converts reports of crashes and quarantines to and from messages between entry hosts."""

import math

from yewloom.crash_record import CrashRecord, CrashReport, EndpointProcess, SuccessReport
from yewloom.ids import Fingerprint, HostId
from yewloom.quarantine import Quarantine, QuarantineReport
from yewloom.schema.entry_pb2 import (
    AnsweredRequest,
    CrashedProcess,
    EntryState,
    QuarantinedRequest,
)

MAX_QUARANTINE_REPORTS = 32
"""Maximum number of quarantined requests in one message; the newest are sent."""


class CrashMessages:
    """Adds this host's reports to messages, and applies those in peers' messages."""

    def __init__(self, record: CrashRecord, quarantine: Quarantine) -> None:
        self._record = record
        self._quarantine = quarantine

    def add_fields(self, state: EntryState, now_s: float) -> None:
        """Add this host's reports to a message; usually there are none."""
        if not self._record.has_any:
            return
        state.crashed.extend(
            _to_crashed_process(report) for report in self._record.crash_reports(now_s)
        )
        state.answered.extend(
            _to_answered_request(report) for report in self._record.success_reports(now_s)
        )
        reports = self._quarantine.reports(now_s, MAX_QUARANTINE_REPORTS)
        state.quarantined.extend(_to_quarantined_request(report) for report in reports)

    def process(self, state: EntryState, arrived_s: float, now_s: float) -> None:
        """Apply a message that was received no earlier than ``arrived_s``."""
        for quarantined in state.quarantined:
            self._quarantine.apply(_to_quarantine_report(quarantined), arrived_s)
        for answered in state.answered:
            report = SuccessReport(Fingerprint(answered.fingerprint), answered.age_ms / 1000)
            self._record.apply_success(report, arrived_s)
        for crashed in state.crashed:
            self._record.apply_crash(_to_crash_report(crashed), arrived_s, now_s)


def _to_crashed_process(report: CrashReport) -> CrashedProcess:
    return CrashedProcess(
        endpoint=report.process.endpoint,
        started_unix_ms=report.process.started_unix_ms,
        age_ms=_to_ms(report.age_s),
        fingerprints=report.requests,
    )


def _to_crash_report(message: CrashedProcess) -> CrashReport:
    process = EndpointProcess(HostId(message.endpoint), message.started_unix_ms)
    requests = tuple(Fingerprint(number) for number in message.fingerprints)
    return CrashReport(process, requests, message.age_ms / 1000)


def _to_answered_request(report: SuccessReport) -> AnsweredRequest:
    return AnsweredRequest(fingerprint=report.fingerprint, age_ms=_to_ms(report.age_s))


def _to_quarantined_request(report: QuarantineReport) -> QuarantinedRequest:
    return QuarantinedRequest(
        fingerprint=report.fingerprint,
        count=report.count,
        is_lifted=report.is_lifted,
        age_ms=_to_ms(report.age_s),
    )


def _to_quarantine_report(message: QuarantinedRequest) -> QuarantineReport:
    return QuarantineReport(
        Fingerprint(message.fingerprint),
        message.count,
        message.is_lifted,
        message.age_ms / 1000,
    )


def _to_ms(seconds: float) -> int:
    return max(0, math.ceil(seconds * 1000))
