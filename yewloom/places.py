"""Waits for a place: carries out the decisions of ``admission`` for requests in this process."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import trio

from yewloom.admission import Admission, Admitted, Arrival, Decision, Queued, Shed, ShedReason
from yewloom.ids import RequestId
from yewloom.problems import Problem, overloaded, unavailable
from yewloom.states import Outcome


class Places:
    """The places of one entry host, with the requests that wait for them."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self._woken: dict[RequestId, trio.Event] = {}
        self._decided: dict[RequestId, Decision] = {}

    @asynccontextmanager
    async def hold(self, arrival: Arrival) -> AsyncIterator[None]:
        """Hold a place; raises Problem at once if the request is turned away."""
        decision = self.admission.offer(arrival, trio.current_time())
        if isinstance(decision, Queued):
            decision = await self._wait(arrival)
        if isinstance(decision, Shed):
            raise _problem(decision)
        try:
            yield
        finally:
            self._wake(self.admission.release(arrival.request_id, trio.current_time()))

    def stop_by(self, stops_s: float) -> None:
        """Turn away what is likely not to end by then, now and later."""
        self.admission.stop_by(stops_s)
        self._wake(self.admission.advance(trio.current_time()))

    def refill(self, places: int) -> None:
        """Change the number of places and let waiting requests take new ones."""
        self.admission.set_places(places)
        self._wake(self.admission.advance(trio.current_time()))

    async def _wait(self, arrival: Arrival) -> Decision:
        woken = self._woken[arrival.request_id] = trio.Event()
        try:
            with trio.move_on_at(min(arrival.deadline_s, arrival.start_by_s)):
                await woken.wait()
            if arrival.request_id not in self._decided:
                self._wake(self.admission.advance(trio.current_time()))
            return self._decided[arrival.request_id]
        except trio.Cancelled:
            self._abandon(arrival.request_id)
            raise
        finally:
            del self._woken[arrival.request_id]
            self._decided.pop(arrival.request_id, None)

    def _abandon(self, request_id: RequestId) -> None:
        """Leave the queue, or give the place back that came with the cancellation."""
        if isinstance(self._decided.get(request_id), Admitted):
            self._wake(self.admission.release(request_id, trio.current_time()))
        else:
            self.admission.withdraw(request_id)

    def _wake(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            woken = self._woken.get(decision.request_id)
            if woken is not None:
                self._decided[decision.request_id] = decision
                woken.set()


def _problem(shed: Shed) -> Problem:
    detail = f"The request was turned away: {shed.reason.value}."
    if shed.reason is ShedReason.STOPPING:
        return unavailable(detail, Outcome.NOT_RUN)
    return overloaded(detail, shed.retry_after_s)
