"""Decides which answers are evidence about an endpoint, and passes them to the outlier detector.

An answer is no evidence if it may be due to this host or to its request:

- while this host's event loop was delayed, or while it reaches no endpoint at all;
- if its request, or a part of its prompt, is suspected of crashing endpoints, or if the endpoint's
  process has crashed: that is the crash record's;
- an answer with a status of 400 to 499, whose request was at fault.

What connections and rejections tell is the concern of other modules.
"""

import trio

from yewloom.crash_record import CrashRecord
from yewloom.crash_reports import EndpointProcess
from yewloom.directory import Endpoint
from yewloom.endpoint_answers import Answer, FailureKind
from yewloom.forward_request import Attempt, ForwardRequest
from yewloom.ids import HostId
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.reachability import Reachability
from yewloom.selection import Selector

MIN_CALLER_ERROR_STATUS = 400
"""Lowest status by which an endpoint reports that a request is wrong."""


class AnswerEvidence:
    """Records the answers that are evidence."""

    def __init__(
        self,
        selector: Selector,
        crash_record: CrashRecord,
        reachability: Reachability,
        loop_delay: LoopDelayMonitor,
    ) -> None:
        self._selector = selector
        self._crash_record = crash_record
        self._reachability = reachability
        self._loop_delay = loop_delay

    def record_answer(self, request: ForwardRequest, attempt: Attempt) -> None:
        """Record an answer that the caller gets."""
        if request.answered_status < MIN_CALLER_ERROR_STATUS and not self._loop_delay.delay_s():
            self._record(request, attempt, None)

    def record_failure(self, request: ForwardRequest, attempt: Attempt) -> None:
        """Record that an attempt gave the caller no answer, if its endpoint's own answer failed."""
        if attempt.failure is None or self._loop_delay.delay_s():
            return
        if self._reachability.has_lost_all or self._is_crash_evidence(request, attempt.endpoint):
            return
        self._record(request, attempt, attempt.failure)

    def _record(
        self, request: ForwardRequest, attempt: Attempt, failure: FailureKind | None
    ) -> None:
        answer = Answer(
            attempt.endpoint.id,
            request.route.name,
            request.requirements.model,
            request.customer,
            attempt.began_s,
            trio.current_time(),
            failure,
            request.fingerprint if failure is not None else None,
        )
        self._selector.outliers.record(
            request.requirements.service, answer, lambda: self._judgeable(request)
        )

    def _judgeable(self, request: ForwardRequest) -> set[HostId]:
        """Return the endpoints that get such requests and are not known to have crashed."""
        candidates = self._selector.candidates(
            request.requirements, request.configuration, trio.current_time()
        )
        return {each.id for each in candidates if not self._has_crashed(each)}

    def _is_crash_evidence(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        if not self._crash_record.has_any:
            return False
        parts = request.metadata.shared_parts
        is_suspect = self._crash_record.is_suspect(request.fingerprint, parts)
        return is_suspect or self._has_crashed(endpoint)

    def _has_crashed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's process has crashed, if its start tells it from later ones.

        Otherwise a crash would keep the next process from being judged.
        """
        if not endpoint.started_unix_ms:
            return False
        process = EndpointProcess(endpoint.id, endpoint.started_unix_ms)
        return self._crash_record.has_crash(process)
