"""Tests of what a caller may be told about its request."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.attempts import AttemptRecord, AttemptState, FailureResponse
from yewloom.ids import EntryHostId, HostId
from yewloom.routes import RouteKind
from yewloom.tests.entry_support import make_route

STATES = st.lists(st.sampled_from(AttemptState), max_size=4)

MAY_RUN = {AttemptState.PENDING, AttemptState.SENT, AttemptState.ANSWERED}
"""States of attempts by which a request may have run, or may run from one moment to the next."""


def _record(kind: RouteKind, states: list[AttemptState], max_endpoints: int = 2) -> AttemptRecord:
    record = AttemptRecord(make_route(kind, max_endpoints=max_endpoints))
    for number, state in enumerate(states):
        record.begin(HostId(f"e{number}"))
        record.set_state(HostId(f"e{number}"), state)
    return record


class TestAttemptRecord(unittest.TestCase):
    """A request is refused only if it has not run, and an unsafe one runs at most once."""

    @given(st.sampled_from(RouteKind), STATES, STATES)
    def test_relays_count_as_attempts_unless_the_peer_refused(
        self, kind: RouteKind, states: list[AttemptState], relay_states: list[AttemptState]
    ) -> None:
        """Guards against running an unsafe request both here and at a peer that was lost."""
        record = _record(kind, states, max_endpoints=9)
        for number, state in enumerate(relay_states):
            record.relays[EntryHostId(f"p{number}")] = state
        may_have_run = bool(MAY_RUN & {*states, *relay_states})
        self.assertEqual(record.is_known_not_run, not may_have_run)
        if may_have_run:
            self.assertNotEqual(record.failure_response(False), FailureResponse.REFUSED)
            self.assertTrue(record.is_retry())
            if kind is RouteKind.UNSAFE:
                self.assertFalse(record.may_try_another)

    @given(st.sampled_from(RouteKind), STATES, st.booleans())
    def test_a_request_is_refused_only_if_no_endpoint_can_have_run_it(
        self, kind: RouteKind, states: list[AttemptState], is_out_of_time: bool
    ) -> None:
        record = _record(kind, states)
        may_have_run = bool(MAY_RUN & set(states))
        if may_have_run:
            self.assertNotEqual(record.failure_response(is_out_of_time), FailureResponse.REFUSED)

    @given(STATES)
    def test_an_unsafe_request_that_may_have_run_is_not_sent_again(
        self, states: list[AttemptState]
    ) -> None:
        record = _record(RouteKind.UNSAFE, states, max_endpoints=9)
        may_have_run = bool(MAY_RUN & set(states))
        self.assertEqual(record.may_try_another, not may_have_run)

    @given(STATES, st.integers(1, 4))
    def test_a_request_is_sent_to_at_most_the_endpoints_that_the_route_allows(
        self, states: list[AttemptState], max_endpoints: int
    ) -> None:
        record = _record(RouteKind.RETRYABLE, states, max_endpoints)
        reached = sum(state is not AttemptState.NOTHING_SENT for state in states)
        self.assertEqual(record.may_try_another, reached < max_endpoints)

    def test_an_attempt_that_ends_before_anything_was_sent_has_not_run(self) -> None:
        record = _record(RouteKind.UNSAFE, [AttemptState.PENDING])
        self.assertFalse(record.may_try_another)
        record.end(HostId("e0"))
        self.assertTrue(record.may_try_another and record.is_known_not_run)

    def test_an_endpoint_that_received_nothing_does_not_make_a_retry(self) -> None:
        self.assertFalse(_record(RouteKind.UNSAFE, [AttemptState.NOTHING_SENT]).is_retry())
        self.assertTrue(_record(RouteKind.UNSAFE, [AttemptState.NOT_RUN]).is_retry())
