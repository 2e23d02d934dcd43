"""Holds back the model requests of ``yewloomd`` whose prompts crash engines.

An engine that breaks off a response and then refuses connections has crashed. As on entry hosts,
the request is considered the cause if it crashes several engines (``crash_record``), and so is the
beginning of a prompt that several requests share (``part_record``): its parts are the hashes of its
blocks, each of which covers the blocks before it.
"""

from collections.abc import Callable, Iterable

import trio

from yewloom.crash_messages import CrashMessages
from yewloom.crash_record import CrashRecord
from yewloom.crash_reports import EndpointProcess, LostRequest
from yewloom.endpoints import EndpointError
from yewloom.fingerprints import compute_fingerprint
from yewloom.ids import EntryHostId, Fingerprint, HostId, PromptPart
from yewloom.part_record import BEGINNING_S
from yewloom.prefixes import block_hashes
from yewloom.problems import unavailable_problem
from yewloom.progress import LostResponse, Progress
from yewloom.prompt_parts import MAX_SHARED_PARTS
from yewloom.quarantines import Quarantines
from yewloom.requests import ModelRequest
from yewloom.retries import CallFailure
from yewloom.schema.crashes_pb2 import CrashReports
from yewloom.schema.records_pb2 import Group


class PromptCrashes:
    """Records crashes of engines during model requests, and refuses quarantined ones.

    ``known_hosts`` returns all entry hosts, including this one. ``is_isolated`` returns whether
    this host is cut off from endpoints, whose refusals then show nothing.
    """

    def __init__(
        self,
        own_id: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        is_isolated: Callable[[], bool],
    ) -> None:
        self.quarantines = Quarantines(own_id, known_hosts)
        self.record = CrashRecord(self.quarantines)
        self._messages = CrashMessages(self.record, self.quarantines)
        self._is_isolated = is_isolated

    def check(self, progress: Progress) -> None:
        """Raise Problem if a request may not be sent to an engine, or not to another one."""
        if not self.record.has_any:
            return
        now_s = trio.current_time()
        self.record.parts.judge(now_s)
        fingerprint, parts = _fingerprint_of(progress.request), _parts_of(progress.request)
        count = self.quarantines.count_of(fingerprint, parts)
        wait_s = self.quarantines.wait_s(fingerprint, parts, now_s)
        is_new = progress.quarantine_count is None
        if wait_s > 0 and (is_new or count != progress.quarantine_count):
            raise unavailable_problem(
                "This request, or the beginning of its prompt, has crashed engines.",
                progress.tracker.outcome,
                wait_s,
            )
        if is_new:
            progress.quarantine_count = count
            self.quarantines.record_trial(fingerprint, parts, now_s)

    def on_failure(self, error: EndpointError, progress: Progress, group: Group) -> None:
        """Record a failed call: a lost response, or the refusal behind it that shows a crash."""
        process = EndpointProcess(HostId(group.members[0].host_id), group.generation)
        now_s = trio.current_time()
        if error.failure is CallFailure.CONNECTION_LOST:
            since_s = progress.responding_since_s
            has_begun = since_s is not None and now_s - since_s >= BEGINNING_S
            parts = () if has_begun else _parts_of(progress.request)
            lost = LostRequest(_fingerprint_of(progress.request), parts)
            progress.lost_response = LostResponse(process, lost, now_s)
            return
        response, progress.lost_response = progress.lost_response, None
        if response is None or response.process != process or self._is_isolated():
            return
        if error.failure is CallFailure.CONNECT:
            self.record.record_crash(process, [response.request], response.lost_s, now_s)

    def on_answered(self, request: ModelRequest) -> None:
        """Record a complete response: its request has crashed no engine."""
        now_s = trio.current_time()
        self.record.parts.record_answer(_parts_of(request), now_s)
        if self.record.has_any:
            self.record.record_success(_fingerprint_of(request), now_s)

    def reports(self, now_s: float) -> CrashReports:
        """Return this host's reports for a peer."""
        reports = CrashReports()
        self._messages.add_fields(reports, now_s)
        return reports

    def apply(self, reports: CrashReports, requested_s: float, now_s: float) -> None:
        """Apply the reports of a peer that were requested at ``requested_s``."""
        self._messages.process(reports, requested_s, now_s)


def _fingerprint_of(request: ModelRequest) -> Fingerprint:
    target, body = str(request.max_tokens).encode(), request.prompt.encode()
    return compute_fingerprint(request.model, target, request.customer, body)


def _parts_of(request: ModelRequest) -> tuple[PromptPart, ...]:
    """Return the shared parts of a prompt; its end, shorter than a block, is its own."""
    return tuple(PromptPart(block) for block in block_hashes(request.prompt)[:MAX_SHARED_PARTS])
