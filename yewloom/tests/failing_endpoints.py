"""Endpoints that answer or fail at once, and callers that ask them, without connections.

Everything from the choice of an endpoint to the judgement of its answer is the product's; only the
exchange with the endpoint is played. Times are those of a mock clock.
"""

import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from unittest import mock

import trio
from trio.testing import MockClock

from yewloom.attempts import AttemptRecord
from yewloom.caller_headers import RequestMetadata
from yewloom.caller_messages import CallerRequest
from yewloom.endpoint_calls import ExchangeError, ExchangeFailure, OutgoingRequest, ResponseHead
from yewloom.event_stream import StreamCursor
from yewloom.forward_request import ForwardRequest
from yewloom.ids import CustomerId, HostId, PromptPart, RequestId
from yewloom.routes import RouteKind
from yewloom.selection import EndpointRequirements
from yewloom.tests.entry_support import PLAIN, make_configuration, make_plain, make_route
from yewloom.tests.forwarding_support import ForwarderFixture

ANSWER_S = 0.1
"""Time that a sound answer takes; a failure takes none."""

PAUSE_S = 0.02
"""Pause of a caller between two requests."""

ROUTE = make_route(RouteKind.RETRYABLE, "/r/", max_endpoints=2)


class Behaviour(Enum):
    """What an endpoint does with a request; ``BAD_REQUEST`` is an answer at once, status 400."""

    SOUND = "sound"
    SERVER_ERROR = "server error"
    TRUNCATED = "truncated"
    UNREADABLE = "unreadable"
    BAD_REQUEST = "bad request"


STATUSES = {
    Behaviour.SOUND: 200,
    Behaviour.SERVER_ERROR: 500,
    Behaviour.TRUNCATED: 200,
    Behaviour.BAD_REQUEST: 400,
}

Script = Callable[[str, bytes, float], Behaviour]
"""Returns what an endpoint does, by its name, the body of the request and the time."""


class PlayedExchange:
    """An exchange with an endpoint that does what the script says."""

    def __init__(self, name: str, play: "Play") -> None:
        self._name = name
        self._play = play
        self._behaviour = Behaviour.SOUND

    async def send(self, request: OutgoingRequest) -> None:
        """Note the request's arrival and what will become of it."""
        now_s = trio.current_time()
        self._play.arrivals.append((now_s, self._name))
        self._behaviour = self._play.script(self._name, request.body, now_s)

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer, if it is readable."""
        await trio.sleep(ANSWER_S if self._behaviour is Behaviour.SOUND else 0.0)
        if self._behaviour is Behaviour.UNREADABLE:
            raise ExchangeError(ExchangeFailure.INVALID_RESPONSE, True, "played")
        return ResponseHead(STATUSES[self._behaviour], [(b"yewloom-request-id", b"r1")])

    async def read_body(self) -> bytes:
        """Return the whole body, if there is one."""
        await trio.lowlevel.checkpoint()
        if self._behaviour is Behaviour.TRUNCATED:
            raise ExchangeError(ExchangeFailure.TRUNCATED, True, "played")
        return b"fine"


@dataclass
class Play:
    """A number of endpoints and callers, and what became of the requests.

    ``arrivals`` holds time and endpoint of each request, ``ends`` time and status of each caller's
    request; 0 is one without an answer. The callers take turns as ``customers``; the body of a
    request names its customer and its number, unless ``body`` returns another one. ``steps`` are
    those of outliers. At ``at_s``, the endpoint ``remove`` is no longer listed.
    """

    script: Script
    endpoints: int = 4
    callers: int = 10
    duration_s: float = 10.0
    customers: Sequence[str] = ("hotel", "clinic", "school")
    body: Callable[[str, int], bytes] = lambda customer, number: f"{customer} {number}".encode()
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    ends: list[tuple[float, int]] = field(default_factory=list)
    steps: list[str] = field(default_factory=list)
    at_s: float = math.inf
    remove: str = ""
    _numbers: int = 0

    def run(self) -> "Play":
        """Run the play; return it."""
        trio.run(self._run, clock=MockClock(autojump_threshold=0))
        return self

    def share(self, name: str, from_s: float = 0.0, until_s: float = math.inf) -> float:
        """Return an endpoint's share of the arrivals in a time."""
        counts = Counter(who for at_s, who in self.arrivals if from_s <= at_s < until_s)
        return counts[name] / counts.total()

    def out(self) -> list[str]:
        """Return the endpoints that are left out at the end."""
        outliers = self.fixture.selector.outliers
        return [each for each in self.fixture.directory.by_id if outliers._rests.is_out(each)]

    def failed_share(self, from_s: float = 0.0) -> float:
        """Return the share of the callers' requests that got no good answer."""
        statuses = [status for at_s, status in self.ends if at_s >= from_s]
        return sum(status != 200 for status in statuses) / len(statuses)

    async def _run(self) -> None:
        self.fixture = fixture = ForwarderFixture()
        fixture.retries_left = 100.0
        fixture.selector.outliers._on_step = self.steps.append
        self._began_s = trio.current_time()
        for number in range(self.endpoints):
            fixture.directory.put(make_plain(f"e{number}", f"e{number}:1"))
        with mock.patch("yewloom.endpoint_exchanges.open_exchange", self._open_exchange):
            with trio.move_on_after(self.duration_s):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._remove)
                    for number in range(self.callers):
                        customer = self.customers[number % len(self.customers)]
                        nursery.start_soon(self._call, customer, random.Random(number))

    async def _remove(self) -> None:
        await trio.sleep_until(self.at_s)
        self.fixture.directory.remove(HostId(self.remove))

    @asynccontextmanager
    async def _open_exchange(
        self, address: str, connect_timeout_s: float
    ) -> AsyncIterator[PlayedExchange]:
        await trio.lowlevel.checkpoint()
        yield PlayedExchange(address.split(":")[0], self)

    async def _call(self, customer: str, rng: random.Random) -> None:
        """Send requests one after the other until cancelled."""
        while True:
            await trio.sleep(rng.uniform(0, 2 * PAUSE_S))
            self._numbers += 1
            request = self.make_request(customer, self.body(customer, self._numbers))
            await self.fixture.forwarder._try_endpoints(request)
            request.fall_back()
            status = request.response.status if request.response is not None else 0
            self.ends.append((trio.current_time(), status))

    @staticmethod
    def make_request(
        customer: str, body: bytes, shared_parts: tuple[PromptPart, ...] = ()
    ) -> ForwardRequest:
        """Return a request of a customer that has just been read."""
        now_s = trio.current_time()
        return ForwardRequest(
            caller_request=CallerRequest(b"POST", b"/r/1", [], body, now_s, now_s, 1, None),
            response_writer=mock.Mock(is_started=False),
            metadata=RequestMetadata(
                RequestId("r1"), "x.example", "k1", None, None, 0, shared_parts
            ),
            configuration=make_configuration(ROUTE),
            route=ROUTE,
            requirements=EndpointRequirements(PLAIN, None),
            customer=CustomerId(customer),
            deadline_s=now_s + 5.0,
            record=AttemptRecord(ROUTE),
            cursor=StreamCursor(0),
        )
