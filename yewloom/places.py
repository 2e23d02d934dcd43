"""Makes requests wait for a slot, and carries out the decisions of ``admission``."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import trio

from yewloom.admission import (
    AdmissionController,
    AdmissionRequest,
    Admitted,
    Decision,
    Queued,
    Rejected,
    RejectionReason,
)
from yewloom.ids import RequestId
from yewloom.problems import Problem, overloaded_problem, unavailable_problem
from yewloom.states import Outcome


class SlotPool:
    """The slots of one entry host and the tasks that wait for them."""

    def __init__(self, admission: AdmissionController) -> None:
        self.admission = admission
        self._decided_events: dict[RequestId, trio.Event] = {}
        self._decisions: dict[RequestId, Decision] = {}

    @asynccontextmanager
    async def acquire(self, request: AdmissionRequest) -> AsyncIterator[None]:
        """Wait for a slot and hold it; raise Problem as soon as the request is rejected."""
        decision = self.admission.submit(request, trio.current_time())
        if isinstance(decision, Queued):
            decision = await self._wait(request)
        if isinstance(decision, Rejected):
            raise _problem_for(decision)
        try:
            yield
        finally:
            self._apply_decisions(self.admission.release(request.request_id, trio.current_time()))

    def set_stop_time(self, stops_s: float) -> None:
        """Reject requests that are not expected to finish by ``stops_s``, from now on."""
        self.admission.set_stop_time(stops_s)
        self._apply_decisions(self.admission.advance(trio.current_time()))

    def set_slots(self, slots: int) -> None:
        """Set the number of slots and start waiting requests in new ones."""
        self.admission.set_slots(slots)
        self._apply_decisions(self.admission.advance(trio.current_time()))

    async def _wait(self, request: AdmissionRequest) -> Decision:
        decided = self._decided_events[request.request_id] = trio.Event()
        try:
            with trio.move_on_at(min(request.deadline_s, request.start_by_s)):
                await decided.wait()
            if request.request_id not in self._decisions:
                self._apply_decisions(self.admission.advance(trio.current_time()))
            return self._decisions[request.request_id]
        except trio.Cancelled:
            self._abandon(request.request_id)
            raise
        finally:
            del self._decided_events[request.request_id]
            self._decisions.pop(request.request_id, None)

    def _abandon(self, request_id: RequestId) -> None:
        """Leave the queue, or free a slot that was granted just before the cancellation."""
        if isinstance(self._decisions.get(request_id), Admitted):
            self._apply_decisions(self.admission.release(request_id, trio.current_time()))
        else:
            self.admission.withdraw(request_id)

    def _apply_decisions(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            decided = self._decided_events.get(decision.request_id)
            if decided is not None:
                self._decisions[decision.request_id] = decision
                decided.set()


def _problem_for(rejection: Rejected) -> Problem:
    detail = f"The request was turned away: {rejection.reason.value}."
    if rejection.reason is RejectionReason.STOPPING:
        return unavailable_problem(detail, Outcome.NOT_RUN)
    return overloaded_problem(detail, rejection.retry_after_s)
