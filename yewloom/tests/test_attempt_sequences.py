"""Tests of all sequences of attempts and relays that a request can go through.

The endpoints and peers are replaced by outcomes that Hypothesis draws; the product decides on each
next step.
"""

import math
import unittest
from collections.abc import Sequence
from unittest import mock

import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import MockClock

from yewloom.attempts import AttemptRecord, AttemptState, FailureResponse
from yewloom.caller_headers import RequestMetadata
from yewloom.caller_messages import CallerRequest
from yewloom.directory import Endpoint
from yewloom.event_stream import StreamCursor
from yewloom.forward_request import Attempt, ForwardRequest
from yewloom.ids import EntryHostId, HostId, RequestId
from yewloom.relay_peers import RelayPeer
from yewloom.routes import Route, RouteKind
from yewloom.selection import EndpointRequirements
from yewloom.tests.entry_support import PLAIN, make_configuration, make_plain, make_route
from yewloom.tests.forwarding_support import ForwarderFixture
from yewloom.values import value_class

ENDPOINTS, PEERS = 4, 3

MAY_HAVE_RUN = {AttemptState.SENT, AttemptState.ANSWERED}


@value_class
class Step:
    """What a request meets in one step.

    ``outcome`` is that of the attempt or relay, ``is_cut_off`` whether the host reaches no endpoint
    before it, and ``is_limited`` whether rate limits keep it from them.
    """

    outcome: AttemptState
    is_cut_off: bool
    is_limited: bool


STEPS = st.lists(
    st.builds(Step, st.sampled_from(AttemptState), st.booleans(), st.booleans()),
    min_size=1,
    max_size=8,
)


class ScriptedSteps:
    """Replaces the endpoints and peers of a host by a sequence of steps."""

    def __init__(self, fixture: ForwarderFixture, steps: Sequence[Step]) -> None:
        self._fixture = fixture
        self._steps = list(steps)
        self.outcomes: list[AttemptState] = []
        for number in range(ENDPOINTS):
            fixture.directory.put(make_plain(f"e{number}"))

    @property
    def _step(self) -> Step:
        index = min(len(self.outcomes), len(self._steps) - 1)
        return self._steps[index]

    def _has_lost_all(self, request: ForwardRequest) -> bool:
        return self._step.is_cut_off

    def _wait_s(self, endpoint: Endpoint, now_s: float) -> float:
        return 1.0 if self._step.is_limited else 0.0

    def _choose_peer(self, service: object, tried: set[EntryHostId]) -> RelayPeer | None:
        untried = (EntryHostId(f"p{n}") for n in range(PEERS) if f"p{n}" not in tried)
        peer = next(untried, None)
        return RelayPeer(peer, "") if peer is not None else None

    async def _attempt(self, request: ForwardRequest, attempt: Attempt) -> bool:
        outcome = self._step.outcome
        request.record.set_state(attempt.endpoint.id, outcome)
        return self._end_step(outcome)

    async def _relay(self, request: ForwardRequest, peer: RelayPeer) -> bool:
        outcome = self._step.outcome
        request.record.relays[peer.host] = outcome
        return self._end_step(outcome)

    def _end_step(self, outcome: AttemptState) -> bool:
        self.outcomes.append(outcome)
        return outcome is AttemptState.ANSWERED

    async def run(self, request: ForwardRequest) -> None:
        """Take steps until the forwarder takes no further one."""
        forwarder, relays = self._fixture.forwarder, self._fixture.forwarder._relays
        with (
            mock.patch.object(forwarder._attempts._runner, "run", self._attempt),
            mock.patch.object(relays, "run", self._relay),
            mock.patch.object(relays, "has_lost_all", self._has_lost_all),
            mock.patch.object(relays._peers, "choose", self._choose_peer),
            mock.patch.object(self._fixture.selector._availability, "wait_s", self._wait_s),
        ):
            await forwarder._try_endpoints(request)


def make_request(route: Route, attempts: dict[HostId, AttemptState]) -> ForwardRequest:
    """Return a request; ``attempts`` are those of the host that relayed it, if any."""
    now_s = trio.current_time()
    metadata = RequestMetadata(RequestId("r1"), "x.example", "k1", None, None, 0)
    caller_request = CallerRequest(b"POST", b"/a/1", [], b"", now_s, now_s, 1, None)
    record = AttemptRecord(route)
    record.states.update(attempts)
    return ForwardRequest(
        caller_request=caller_request,
        response_writer=mock.Mock(),
        metadata=metadata,
        configuration=make_configuration(route),
        route=route,
        requirements=EndpointRequirements(PLAIN, None),
        customer=None,
        deadline_s=math.inf,
        record=record,
        cursor=StreamCursor(0),
        is_relayed=bool(attempts),
    )


class TestSequences(unittest.TestCase):
    """What holds for a request, in whatever order it meets endpoints, peers, cuts and limits."""

    @given(st.sampled_from(RouteKind), st.booleans(), st.integers(1, 4), STEPS)
    def test_a_request_runs_no_more_often_than_its_route_allows(
        self, kind: RouteKind, is_resumable: bool, max_endpoints: int, steps: list[Step]
    ) -> None:
        """Guards against running an unsafe request again after a relay that may have run it."""
        route = make_route(
            kind,
            max_endpoints=max_endpoints,
            is_resumable=is_resumable and kind is RouteKind.STREAM,
        )

        async def main() -> None:
            script = ScriptedSteps(ForwarderFixture(), steps)
            request = make_request(route, {})
            await script.run(request)
            runs = sum(outcome in MAY_HAVE_RUN for outcome in script.outcomes)
            self.assertLessEqual(runs, max_endpoints if route.may_retry else 1)
            if runs:
                response = request.record.failure_response(False)
                self.assertIsNot(response, FailureResponse.REFUSED)

        trio.run(main, clock=MockClock(autojump_threshold=0))

    @given(st.sampled_from(AttemptState), STEPS)
    def test_a_request_that_was_relayed_here_runs_no_second_time(
        self, at_the_relaying_host: AttemptState, steps: list[Step]
    ) -> None:
        """Guards against running a request that the relaying host may have had run."""

        async def main() -> None:
            script = ScriptedSteps(ForwarderFixture(), steps)
            request = make_request(
                make_route(RouteKind.UNSAFE, max_endpoints=4), {HostId("e0"): at_the_relaying_host}
            )
            await script.run(request)
            outcomes = [at_the_relaying_host, *script.outcomes]
            self.assertLessEqual(sum(outcome in MAY_HAVE_RUN for outcome in outcomes), 1)

        trio.run(main, clock=MockClock(autojump_threshold=0))
