"""Lets the requests of this process wait for a slot, as ``admission`` decides."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import trio

from yewloom.admission import (
    AdmissionController,
    AdmissionRequest,
    Admitted,
    Decision,
    Queued,
    Shed,
    ShedReason,
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
    async def acquire(self, arrival: AdmissionRequest) -> AsyncIterator[None]:
        """Hold a slot; raise Problem as soon as the request is rejected."""
        decision = self.admission.submit(arrival, trio.current_time())
        if isinstance(decision, Queued):
            decision = await self._wait(arrival)
        if isinstance(decision, Shed):
            raise _problem_for(decision)
        try:
            yield
        finally:
            self._apply_decisions(self.admission.release(arrival.request_id, trio.current_time()))

    def set_stop_time(self, stops_s: float) -> None:
        """Reject requests that are not expected to finish by ``stops_s``, from now on."""
        self.admission.set_stop_time(stops_s)
        self._apply_decisions(self.admission.advance(trio.current_time()))

    def set_slots(self, slots: int) -> None:
        """Set the number of slots and start waiting requests in new ones."""
        self.admission.set_slots(slots)
        self._apply_decisions(self.admission.advance(trio.current_time()))

    async def _wait(self, arrival: AdmissionRequest) -> Decision:
        decided = self._decided_events[arrival.request_id] = trio.Event()
        try:
            with trio.move_on_at(min(arrival.deadline_s, arrival.start_by_s)):
                await decided.wait()
            if arrival.request_id not in self._decisions:
                self._apply_decisions(self.admission.advance(trio.current_time()))
            return self._decisions[arrival.request_id]
        except trio.Cancelled:
            self._abandon(arrival.request_id)
            raise
        finally:
            del self._decided_events[arrival.request_id]
            self._decisions.pop(arrival.request_id, None)

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


def _problem_for(shed: Shed) -> Problem:
    detail = f"The request was turned away: {shed.reason.value}."
    if shed.reason is ShedReason.STOPPING:
        return unavailable_problem(detail, Outcome.NOT_RUN)
    return overloaded_problem(detail, shed.retry_after_s)
