"""Admission control: which queued request starts next, and which is rejected immediately.

An entry host has a limited number of slots, one for each request in progress. Start-time fair
queueing divides the slots among customers by weight, however many requests each of them sends.
A request that is not expected to finish before its deadline is rejected on arrival with a
retry-after time, instead of waiting in the queue until it expires. Times are in seconds of the
caller's monotonic clock.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from yewloom.ids import CustomerId, RequestId
from yewloom.retry_after import bounded_retry_after_s
from yewloom.values import value_class

DEFAULT_SECONDS_PER_COST = 0.005
"""Assumed seconds per unit of cost until the first request has finished."""

_SMOOTHING_FACTOR = 0.05
_UPPER_BOUND_DEVIATIONS = 2.0
"""A request is expected to take at most this many deviations longer than the mean."""

_MIN_RETRY_AFTER_S = 1.0


@value_class
class AdmissionRequest:
    """A request that asks for a slot.

    ``weight`` sets the customer's fair share of the slots. ``cost`` is the estimated work, in any
    unit that is the same for all requests. The request must finish by ``deadline_s`` and start by
    ``start_by_s``. ``share`` is the number of requests that the customer may have in progress on
    this entry host.
    """

    request_id: RequestId
    customer: CustomerId
    weight: float
    cost: float
    deadline_s: float
    share: int
    start_by_s: float = math.inf


@value_class
class Admitted:
    """The request may start now."""

    request_id: RequestId


@value_class
class Queued:
    """The request waits for a slot."""

    request_id: RequestId


class RejectionReason(Enum):
    """Why a request is rejected; the value is part of the message to the caller."""

    NO_CAPACITY = "no capacity is left for this customer"
    QUEUE_FULL = "the queue is full"
    LONG_WAIT = "it would wait too long"
    TIME_RAN_OUT = "its time ran out in the queue"
    STOPPING = "this entry host stops before it could end"


@value_class
class Rejected:
    """The request is rejected; the caller should retry after ``retry_after_s``."""

    request_id: RequestId
    reason: RejectionReason
    retry_after_s: float


Decision = Admitted | Queued | Rejected


@dataclass
class _ServiceTime:
    """Moving mean and deviation of the seconds per unit of cost, from admission to the end."""

    mean_s: float = DEFAULT_SECONDS_PER_COST
    deviation_s: float = 0.0

    def add_sample(self, seconds: float, cost: float) -> None:
        error_s = seconds / cost - self.mean_s
        self.mean_s += _SMOOTHING_FACTOR * error_s
        self.deviation_s += _SMOOTHING_FACTOR * (abs(error_s) - self.deviation_s)

    def upper_bound_s(self, cost: float) -> float:
        return cost * (self.mean_s + _UPPER_BOUND_DEVIATIONS * self.deviation_s)


@dataclass
class _CustomerState:
    waiting: deque[tuple[float, AdmissionRequest]] = field(default_factory=deque)
    waiting_cost: float = 0.0
    finish_tag: float = 0.0
    in_flight: int = 0
    rejected_without_capacity: int = 0


class AdmissionController:
    """The slots of one entry host and the requests that wait for them."""

    def __init__(self, slots: int, max_queued: int) -> None:
        self._slots = slots
        self._max_queued = max_queued
        self._customers: dict[CustomerId, _CustomerState] = {}
        self._running: dict[RequestId, tuple[AdmissionRequest, float]] = {}
        self._queued = 0
        self._virtual_time = 0.0
        self._service_time = _ServiceTime()
        self._stops_s = math.inf

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queued

    def in_flight_by_customer(self) -> dict[CustomerId, int]:
        """Return how many slots each customer holds."""
        return {name: customer.in_flight for name, customer in self._customers.items()}

    def read_and_reset_demand(self) -> dict[CustomerId, int]:
        """Return the demand of each customer, and reset the counts of rejected requests.

        The demand is the number of slots held, of requests waiting, and of requests rejected with
        ``NO_CAPACITY`` since the last call.
        """
        demand = {}
        for name, customer in self._customers.items():
            demand[name] = (
                customer.in_flight + len(customer.waiting) + customer.rejected_without_capacity
            )
            customer.rejected_without_capacity = 0
        return demand

    def set_slots(self, slots: int) -> None:
        """Set the number of slots, which changes as groups open and close."""
        self._slots = slots

    def set_stop_time(self, stops_s: float) -> None:
        """Reject requests that are not expected to finish by ``stops_s``, from now on."""
        self._stops_s = stops_s

    def submit(self, request: AdmissionRequest, now_s: float) -> Decision:
        """Admit, queue or reject a new request."""
        customer = self._customers.setdefault(request.customer, _CustomerState())
        if request.share <= 0 or self._slots <= 0:
            customer.rejected_without_capacity += 1
            return self._reject(request, RejectionReason.NO_CAPACITY)
        if now_s >= self._latest_start_before_stop_s(request):
            return self._reject(request, RejectionReason.STOPPING)
        if not customer.waiting and self._has_free_slot(customer, request):
            self._start(customer, request, self._assign_start_tag(customer, request), now_s)
            return Admitted(request.request_id)
        if self._queued >= self._max_queued:
            return self._reject(request, RejectionReason.QUEUE_FULL)
        start_s = now_s + self.expected_wait_s(request)
        if start_s > self._latest_start_s(request):
            return self._reject(
                request, self._rejection_reason(request, start_s, RejectionReason.LONG_WAIT)
            )
        customer.waiting.append((self._assign_start_tag(customer, request), request))
        customer.waiting_cost += request.cost
        self._queued += 1
        return Queued(request.request_id)

    def release(self, request_id: RequestId, now_s: float) -> list[Decision]:
        """Free the slot of a request; return the decisions on the waiting requests."""
        entry = self._running.pop(request_id, None)
        if entry is not None:
            request, started_s = entry
            self._customers[request.customer].in_flight -= 1
            self._service_time.add_sample(now_s - started_s, request.cost)
        return self.advance(now_s)

    def withdraw(self, request_id: RequestId) -> None:
        """Remove a waiting request whose caller has disconnected."""
        for customer in self._customers.values():
            for entry in customer.waiting:
                if entry[1].request_id == request_id:
                    self._remove(customer, entry)
                    return

    def advance(self, now_s: float) -> list[Decision]:
        """Reject requests that can no longer finish in time, then fill free slots in fair order."""
        decisions: list[Decision] = list(self._expire(now_s))
        queue_heads = self._queue_heads()
        heapq.heapify(queue_heads)
        while queue_heads and len(self._running) < self._slots:
            _, _, name = heapq.heappop(queue_heads)
            customer = self._customers[name]
            tag, request = customer.waiting[0]
            if not self._has_free_slot(customer, request):
                continue
            self._remove(customer, customer.waiting[0])
            self._start(customer, request, tag, now_s)
            decisions.append(Admitted(request.request_id))
            if customer.waiting:
                heapq.heappush(queue_heads, (customer.waiting[0][0], request.weight, name))
        return decisions

    def expected_wait_s(self, request: AdmissionRequest) -> float:
        """Estimate how long a request would wait, from its customer's fair share of the slots.

        The wait is infinite while there are no slots.
        """
        customer = self._customers.setdefault(request.customer, _CustomerState())
        busy_weight = request.weight + sum(
            other.waiting[0][1].weight
            for name, other in self._customers.items()
            if other.waiting and name != request.customer
        )
        slots = min(self._slots * request.weight / busy_weight, request.share)
        if slots <= 0:
            return math.inf
        return (customer.waiting_cost + request.cost) * self._service_time.mean_s / slots

    def _latest_start_s(self, request: AdmissionRequest) -> float:
        """Return the latest start at which a request is expected to finish in time."""
        by_deadline_s = request.deadline_s - self._service_time.upper_bound_s(request.cost)
        return min(by_deadline_s, request.start_by_s, self._latest_start_before_stop_s(request))

    def _latest_start_before_stop_s(self, request: AdmissionRequest) -> float:
        """Return the latest start at which a request is expected to finish before shutdown."""
        return self._stops_s - self._service_time.upper_bound_s(request.cost)

    def _rejection_reason(
        self, request: AdmissionRequest, start_s: float, otherwise: RejectionReason
    ) -> RejectionReason:
        """Return ``STOPPING`` if shutdown makes the start too late, else ``otherwise``."""
        return (
            RejectionReason.STOPPING
            if start_s >= self._latest_start_before_stop_s(request)
            else otherwise
        )

    def _remove(self, customer: _CustomerState, entry: tuple[float, AdmissionRequest]) -> None:
        customer.waiting.remove(entry)
        customer.waiting_cost -= entry[1].cost
        self._queued -= 1

    def _assign_start_tag(self, customer: _CustomerState, request: AdmissionRequest) -> float:
        """Return the start tag of a request and advance its customer's finish tag."""
        start = max(self._virtual_time, customer.finish_tag)
        customer.finish_tag = start + request.cost / request.weight
        return start

    def _has_free_slot(self, customer: _CustomerState, request: AdmissionRequest) -> bool:
        return len(self._running) < self._slots and customer.in_flight < request.share

    def _start(
        self, customer: _CustomerState, request: AdmissionRequest, tag: float, now_s: float
    ) -> None:
        self._virtual_time = max(self._virtual_time, tag)
        customer.in_flight += 1
        self._running[request.request_id] = (request, now_s)

    def _queue_heads(self) -> list[tuple[float, float, CustomerId]]:
        return [
            (customer.waiting[0][0], customer.waiting[0][1].weight, name)
            for name, customer in self._customers.items()
            if customer.waiting
        ]

    def _expire(self, now_s: float) -> list[Rejected]:
        rejected = []
        for customer in self._customers.values():
            expired = [e for e in customer.waiting if self._latest_start_s(e[1]) <= now_s]
            for entry in expired:
                self._remove(customer, entry)
                reason = self._rejection_reason(entry[1], now_s, RejectionReason.TIME_RAN_OUT)
                rejected.append(self._reject(entry[1], reason))
        return rejected

    def _reject(self, request: AdmissionRequest, reason: RejectionReason) -> Rejected:
        wait_s = self.expected_wait_s(request) if request.share > 0 else _MIN_RETRY_AFTER_S
        retry_after_s = max(_MIN_RETRY_AFTER_S, bounded_retry_after_s(wait_s))
        return Rejected(request.request_id, reason, retry_after_s)
