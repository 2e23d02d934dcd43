"""What entry hosts tell each other of requests that end endpoints, as messages."""

import math

from yewloom.crash_record import AnswerWord, CrashRecord, CrashWord, EndpointProcess
from yewloom.ids import Fingerprint, HostId
from yewloom.quarantine import Quarantine, QuarantineWord
from yewloom.schema.entry_pb2 import (
    AnsweredRequest,
    CrashedProcess,
    EntryState,
    QuarantinedRequest,
)

MOST_QUARANTINED = 32
"""Most quarantined requests in one message: those that were found last."""


class CrashMessages:
    """Adds to a message what this host knows, and takes in what peers tell."""

    def __init__(self, record: CrashRecord, quarantine: Quarantine) -> None:
        self._record = record
        self._quarantine = quarantine

    def write(self, state: EntryState, now_s: float) -> None:
        """Add what peers should know to a message; usually that is nothing."""
        if not self._record.has_any:
            return
        state.crashed.extend(_crashed(word) for word in self._record.crash_words(now_s))
        state.answered.extend(_answered(word) for word in self._record.answer_words(now_s))
        words = self._quarantine.words(now_s, MOST_QUARANTINED)
        state.quarantined.extend(_quarantined(word) for word in words)

    def take(self, state: EntryState, came_s: float, now_s: float) -> None:
        """Take in a message that came at ``came_s`` at the earliest."""
        for quarantined in state.quarantined:
            self._quarantine.take(_quarantine_word(quarantined), came_s)
        for answered in state.answered:
            word = AnswerWord(Fingerprint(answered.fingerprint), answered.age_ms / 1000)
            self._record.take_answer(word, came_s)
        for crashed in state.crashed:
            self._record.take_crash(_crash_word(crashed), came_s, now_s)


def _crashed(word: CrashWord) -> CrashedProcess:
    return CrashedProcess(
        endpoint=word.process.endpoint,
        started_unix_ms=word.process.started_unix_ms,
        age_ms=_ms(word.age_s),
        fingerprints=word.requests,
    )


def _crash_word(message: CrashedProcess) -> CrashWord:
    process = EndpointProcess(HostId(message.endpoint), message.started_unix_ms)
    requests = tuple(Fingerprint(number) for number in message.fingerprints)
    return CrashWord(process, requests, message.age_ms / 1000)


def _answered(word: AnswerWord) -> AnsweredRequest:
    return AnsweredRequest(fingerprint=word.fingerprint, age_ms=_ms(word.age_s))


def _quarantined(word: QuarantineWord) -> QuarantinedRequest:
    return QuarantinedRequest(
        fingerprint=word.fingerprint,
        count=word.count,
        is_lifted=word.is_lifted,
        age_ms=_ms(word.age_s),
    )


def _quarantine_word(message: QuarantinedRequest) -> QuarantineWord:
    return QuarantineWord(
        Fingerprint(message.fingerprint),
        message.count,
        message.is_lifted,
        message.age_ms / 1000,
    )


def _ms(seconds: float) -> int:
    return max(0, math.ceil(seconds * 1000))
