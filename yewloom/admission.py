"""Admission: which waiting request goes next, and which is turned away at once.

Start-time fair queueing shares the places among customers by weight, whatever each one sends.
A request that can't end within the time left to it is turned away on arrival, with the time after
which to come back; nothing is held until its deadline. Times are seconds of the caller's monotonic
clock.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from yewloom.ids import CustomerId, RequestId
from yewloom.values import value_class

DEFAULT_PACE_S = 0.005
"""Assumed seconds for one unit of cost before any request has ended."""

_SMOOTHING = 0.05
_DEVIATIONS = 2.0
"""Deviations above the mean that a request is assumed to take."""

_LEAST_RETRY_AFTER_S = 1.0


@value_class
class Arrival:
    """A request that asks for a place.

    ``cost`` is the work in it, in any unit that is the same for all requests. ``deadline_s`` is the
    time by which it must have ended, and ``start_by_s`` bounds its wait for a place. ``share`` is
    the customer's limit on this entry host.
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
    """The request may start."""

    request_id: RequestId


@value_class
class Queued:
    """The request waits for a place."""

    request_id: RequestId


class ShedReason(Enum):
    """Why a request is turned away, in words for its caller."""

    NO_CAPACITY = "no capacity is left for this customer"
    QUEUE_FULL = "the queue is full"
    LONG_WAIT = "it would wait too long"
    TIME_RAN_OUT = "its time ran out in the queue"
    STOPPING = "this entry host stops before it could end"


@value_class
class Shed:
    """The request is turned away; the caller should come back after ``retry_after_s``."""

    request_id: RequestId
    reason: ShedReason
    retry_after_s: float


Decision = Admitted | Queued | Shed


@dataclass
class _Pace:
    """Seconds that one unit of cost takes from admission to the end: mean and deviation."""

    mean_s: float = DEFAULT_PACE_S
    deviation_s: float = 0.0

    def learn(self, seconds: float, cost: float) -> None:
        error_s = seconds / cost - self.mean_s
        self.mean_s += _SMOOTHING * error_s
        self.deviation_s += _SMOOTHING * (abs(error_s) - self.deviation_s)

    def likely_most_s(self, cost: float) -> float:
        return cost * (self.mean_s + _DEVIATIONS * self.deviation_s)


@dataclass
class _Customer:
    waiting: deque[tuple[float, Arrival]] = field(default_factory=deque)
    waiting_cost: float = 0.0
    finish_tag: float = 0.0
    in_flight: int = 0
    refused: int = 0


class Admission:
    """The places of one entry host and the requests that wait for them."""

    def __init__(self, places: int, max_queued: int) -> None:
        self._places = places
        self._max_queued = max_queued
        self._customers: dict[CustomerId, _Customer] = {}
        self._running: dict[RequestId, tuple[Arrival, float]] = {}
        self._queued = 0
        self._virtual = 0.0
        self._pace = _Pace()
        self._stops_s = math.inf

    @property
    def in_flight(self) -> int:
        """Requests that hold a place."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return self._queued

    def in_flight_by_customer(self) -> dict[CustomerId, int]:
        """Return how many places each customer holds."""
        return {name: customer.in_flight for name, customer in self._customers.items()}

    def take_demand(self) -> dict[CustomerId, int]:
        """Return what each customer holds, waits for, and was refused since the last call."""
        demand = {}
        for name, customer in self._customers.items():
            demand[name] = customer.in_flight + len(customer.waiting) + customer.refused
            customer.refused = 0
        return demand

    def set_places(self, places: int) -> None:
        """Change the number of places, as groups come and go."""
        self._places = places

    def stop_by(self, stops_s: float) -> None:
        """Let nothing start any more that is likely not to end by then."""
        self._stops_s = stops_s

    def offer(self, arrival: Arrival, now_s: float) -> Decision:
        """Decide on a request as it arrives."""
        customer = self._customers.setdefault(arrival.customer, _Customer())
        if arrival.share <= 0 or self._places <= 0:
            customer.refused += 1
            return self._shed(arrival, ShedReason.NO_CAPACITY)
        if now_s >= self._stop_start_s(arrival):
            return self._shed(arrival, ShedReason.STOPPING)
        if not customer.waiting and self._has_place(customer, arrival):
            self._start(customer, arrival, self._tag(customer, arrival), now_s)
            return Admitted(arrival.request_id)
        if self._queued >= self._max_queued:
            return self._shed(arrival, ShedReason.QUEUE_FULL)
        start_s = now_s + self.expected_wait_s(arrival)
        if start_s > self._latest_start_s(arrival):
            return self._shed(arrival, self._late_reason(arrival, start_s, ShedReason.LONG_WAIT))
        customer.waiting.append((self._tag(customer, arrival), arrival))
        customer.waiting_cost += arrival.cost
        self._queued += 1
        return Queued(arrival.request_id)

    def release(self, request_id: RequestId, now_s: float) -> list[Decision]:
        """Give a place back; return the decisions on those that waited."""
        entry = self._running.pop(request_id, None)
        if entry is not None:
            arrival, started_s = entry
            self._customers[arrival.customer].in_flight -= 1
            self._pace.learn(now_s - started_s, arrival.cost)
        return self.advance(now_s)

    def withdraw(self, request_id: RequestId) -> None:
        """Remove a waiting request whose caller has gone."""
        for customer in self._customers.values():
            for entry in customer.waiting:
                if entry[1].request_id == request_id:
                    self._remove(customer, entry)
                    return

    def advance(self, now_s: float) -> list[Decision]:
        """Turn away what ran out of time, then fill free places in fair order."""
        decisions: list[Decision] = list(self._expire(now_s))
        heads = self._heads()
        heapq.heapify(heads)
        while heads and len(self._running) < self._places:
            _, _, name = heapq.heappop(heads)
            customer = self._customers[name]
            tag, arrival = customer.waiting[0]
            if not self._has_place(customer, arrival):
                continue
            self._remove(customer, customer.waiting[0])
            self._start(customer, arrival, tag, now_s)
            decisions.append(Admitted(arrival.request_id))
            if customer.waiting:
                heapq.heappush(heads, (customer.waiting[0][0], arrival.weight, name))
        return decisions

    def expected_wait_s(self, arrival: Arrival) -> float:
        """Estimate how long an arrival would wait, from its fair share of the places."""
        customer = self._customers.setdefault(arrival.customer, _Customer())
        busy_weight = arrival.weight + sum(
            other.waiting[0][1].weight
            for name, other in self._customers.items()
            if other.waiting and name != arrival.customer
        )
        fair_places = max(self._places * arrival.weight / busy_weight, 1e-9)
        places = min(fair_places, arrival.share)
        return (customer.waiting_cost + arrival.cost) * self._pace.mean_s / places

    def _latest_start_s(self, arrival: Arrival) -> float:
        """Return the last moment at which a request may start and can likely end in time."""
        in_time_s = arrival.deadline_s - self._pace.likely_most_s(arrival.cost)
        return min(in_time_s, arrival.start_by_s, self._stop_start_s(arrival))

    def _stop_start_s(self, arrival: Arrival) -> float:
        """Return the last moment at which a request may start and likely end before the stop."""
        return self._stops_s - self._pace.likely_most_s(arrival.cost)

    def _late_reason(self, arrival: Arrival, start_s: float, otherwise: ShedReason) -> ShedReason:
        """Tell whether a start is late because of the stop or for another reason."""
        return ShedReason.STOPPING if start_s >= self._stop_start_s(arrival) else otherwise

    def _remove(self, customer: _Customer, entry: tuple[float, Arrival]) -> None:
        customer.waiting.remove(entry)
        customer.waiting_cost -= entry[1].cost
        self._queued -= 1

    def _tag(self, customer: _Customer, arrival: Arrival) -> float:
        """Return the start tag of a request and move its customer's finish tag on."""
        start = max(self._virtual, customer.finish_tag)
        customer.finish_tag = start + arrival.cost / arrival.weight
        return start

    def _has_place(self, customer: _Customer, arrival: Arrival) -> bool:
        return len(self._running) < self._places and customer.in_flight < arrival.share

    def _start(self, customer: _Customer, arrival: Arrival, tag: float, now_s: float) -> None:
        self._virtual = max(self._virtual, tag)
        customer.in_flight += 1
        self._running[arrival.request_id] = (arrival, now_s)

    def _heads(self) -> list[tuple[float, float, CustomerId]]:
        return [
            (customer.waiting[0][0], customer.waiting[0][1].weight, name)
            for name, customer in self._customers.items()
            if customer.waiting
        ]

    def _expire(self, now_s: float) -> list[Shed]:
        shed = []
        for customer in self._customers.values():
            late = [e for e in customer.waiting if self._latest_start_s(e[1]) <= now_s]
            for entry in late:
                self._remove(customer, entry)
                reason = self._late_reason(entry[1], now_s, ShedReason.TIME_RAN_OUT)
                shed.append(self._shed(entry[1], reason))
        return shed

    def _shed(self, arrival: Arrival, reason: ShedReason) -> Shed:
        wait_s = self.expected_wait_s(arrival) if arrival.share > 0 else _LEAST_RETRY_AFTER_S
        return Shed(arrival.request_id, reason, max(_LEAST_RETRY_AFTER_S, wait_s))
