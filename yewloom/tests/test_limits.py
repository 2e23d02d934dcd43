"""Tests of shared limits: total capacity never exceeds a limit, whatever messages are lost."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from yewloom.ids import AttemptId, CustomerId, DataCentreId
from yewloom.limits import LocalShares, data_centre_share, plan_shares
from yewloom.schema.peer_pb2 import ShareState
from yewloom.schema.records_pb2 import Shares

CUSTOMER = CustomerId("c")
LIMIT = 11
LOAN_S = 3.0
NAMES = ["e0", "e1", "e2", "e3"]


class SharesMachine(RuleBasedStateMachine):
    """Entry hosts that start, die, lose messages, lend, and read the record late.

    A live host starts requests only within its capacity, but requests in progress continue
    when that shrinks. Any host may write the record. The platform lists dead hosts for a while.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.record = Shares()
        self.hosts: dict[str, LocalShares] = {}
        self.in_flight: dict[str, int] = {}
        self.obeyed: dict[str, dict[str, int]] = {}
        self.listed: set[str] = set()
        self.count = 0

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        self._settle_in_flight()

    @rule()
    def start(self) -> None:
        if len(self.hosts) < len(NAMES):
            self.count += 1
            name = f"e{self.count}"
            self.hosts[name] = LocalShares(name, LOAN_S)
            self.in_flight[name] = 0
            self.obeyed[name] = {}
            self.listed.add(name)

    @rule(data=st.data())
    def die(self, data: st.DataObject) -> None:
        name = self._draw(data)
        if name:
            del self.hosts[name], self.in_flight[name], self.obeyed[name]

    @rule()
    def unlist_dead_hosts(self) -> None:
        self.listed = set(self.hosts)

    @rule(data=st.data())
    def read_the_record(self, data: st.DataObject) -> None:
        name = self._draw(data)
        if name:
            self.hosts[name].apply(self.record)

    @rule(data=st.data(), is_answer_lost=st.booleans())
    def exchange(self, data: st.DataObject, is_answer_lost: bool) -> None:
        borrower_name, lender_name = self._draw(data), self._draw(data)
        if not borrower_name or not lender_name or borrower_name == lender_name:
            return
        request_state = self._state(borrower_name)
        request_state.demands.add(customer=CUSTOMER, demand=4)
        self._record_obeyed(lender_name, request_state)
        loans = self.hosts[lender_name].create_loans(
            request_state, {CUSTOMER: self.in_flight[lender_name]}, self.now_s
        )
        if is_answer_lost:
            return
        answer_state = self._state(lender_name)
        self._record_obeyed(borrower_name, answer_state)
        self.hosts[borrower_name].apply(self.hosts[lender_name].record)
        self.hosts[borrower_name].add_loans(loans, self.now_s)

    @rule(data=st.data())
    def fill_capacity(self, data: st.DataObject) -> None:
        name = self._draw(data)
        if name:
            capacity = self.hosts[name].capacity(CUSTOMER, self.now_s)
            self.in_flight[name] = max(self.in_flight[name], capacity)

    @rule(data=st.data())
    def finish_all(self, data: st.DataObject) -> None:
        name = self._draw(data)
        if name:
            self.in_flight[name] = 0

    @rule(data=st.data())
    def rebalance(self, data: st.DataObject) -> None:
        """Let one host write the record with its own view of who is alive."""
        name = self._draw(data)
        if not name:
            return
        self.hosts[name].apply(self.record)
        own = self._state(name)
        obeyed = {**self.obeyed[name], name: own.obeyed_generation}
        alive = data.draw(st.sets(st.sampled_from(sorted(self.hosts)))) | {name}
        ended = {holder.instance for holder in self.record.holders} - self.listed
        next_record = plan_shares(
            self.record, {CUSTOMER: LIMIT}, alive, ended, obeyed, AttemptId("a")
        )
        if next_record is not None:
            self.record = next_record

    def _state(self, name: str) -> ShareState:
        return self.hosts[name].build_state({CUSTOMER: self.in_flight[name]}, {}, self.now_s)

    def _record_obeyed(self, name: str, state: ShareState) -> None:
        self.obeyed[name][state.instance] = state.obeyed_generation

    def _settle_in_flight(self) -> None:
        """Let requests end when the capacity shrinks; none outlasts a loan here."""
        for name, host in self.hosts.items():
            self.in_flight[name] = min(self.in_flight[name], host.capacity(CUSTOMER, self.now_s))

    def _draw(self, data: st.DataObject) -> str:
        return data.draw(st.sampled_from(sorted(self.hosts))) if self.hosts else ""

    @invariant()
    def total_capacity_never_exceeds_the_limit(self) -> None:
        total = sum(host.capacity(CUSTOMER, self.now_s) for host in self.hosts.values())
        assert total <= LIMIT, f"capacity {total} of {LIMIT}"

    @invariant()
    def total_grant_never_exceeds_the_limit(self) -> None:
        granted = sum(s.granted for holder in self.record.holders for s in holder.shares)
        assert granted <= LIMIT


TestSharesMachine = SharesMachine.TestCase
TestSharesMachine.settings = settings(max_examples=150, stateful_step_count=40)


class TestDataCentreShare(unittest.TestCase):
    """Shares of data centres."""

    @given(st.integers(0, 1000), st.integers(1, 23))
    def test_shares_add_up_to_the_limit(self, limit: int, count: int) -> None:
        data_centres = [f"dc{i}" for i in range(count)]
        shares = [
            data_centre_share(limit, DataCentreId(data_centre), data_centres)
            for data_centre in data_centres
        ]
        self.assertEqual(sum(shares), limit)
        self.assertLessEqual(max(shares) - min(shares), 1)

    def test_an_unlisted_data_centre_gets_nothing(self) -> None:
        self.assertEqual(data_centre_share(10, DataCentreId("x"), ["a", "b"]), 0)
        self.assertEqual(data_centre_share(10, DataCentreId("x"), []), 0)


class TestShares(unittest.TestCase):
    """Single steps of granting and lending."""

    def _plan(self, current: Shares, alive: list[str], obeyed: int) -> Shares:
        obeyed_by_instance = dict.fromkeys(alive, obeyed)
        planned = plan_shares(
            current, {CUSTOMER: LIMIT}, alive, [], obeyed_by_instance, AttemptId("a")
        )
        return planned if planned is not None else current

    def test_a_new_host_gets_its_share_only_after_the_holder_obeyed(self) -> None:
        first = self._plan(Shares(), ["e0"], 0)
        host = LocalShares("e1", LOAN_S)
        second = self._plan(first, ["e0", "e1"], first.generation)
        host.apply(second)
        self.assertEqual(host.capacity(CUSTOMER, 1.0), 0)
        unconfirmed = self._plan(second, ["e0", "e1"], first.generation)
        host.apply(unconfirmed)
        self.assertEqual(host.capacity(CUSTOMER, 1.5), 0)
        third = self._plan(second, ["e0", "e1"], second.generation)
        host.apply(third)
        self.assertEqual(host.capacity(CUSTOMER, 2.0), LIMIT // 2)

    def test_a_silent_host_keeps_its_share_until_it_is_known_to_have_ended(self) -> None:
        shares = self._plan(Shares(), ["e0", "e1"], 0)
        shares = self._plan(shares, ["e0"], 0)
        self.assertEqual({holder.instance for holder in shares.holders}, {"e0", "e1"})
        obeyed_by_instance = {"e0": shares.generation}
        later = plan_shares(
            shares, {CUSTOMER: LIMIT}, ["e0"], ["e1"], obeyed_by_instance, AttemptId("a")
        )
        assert later is not None
        self.assertEqual([h.shares[0].granted for h in later.holders], [LIMIT])

    def test_a_loan_is_usable_by_the_borrower_until_it_expires(self) -> None:
        lender, borrower = (LocalShares(name, LOAN_S) for name in ("e0", "e1"))
        lender.apply(self._plan(Shares(), ["e0"], 0))
        request_state = ShareState(instance="e1")
        request_state.demands.add(customer=CUSTOMER, demand=3)
        borrower.add_loans(lender.create_loans(request_state, {}, 1.0), 1.0)
        self.assertEqual(borrower.capacity(CUSTOMER, 1.0), 3)
        self.assertEqual(lender.capacity(CUSTOMER, 1.0), LIMIT - 3)
        self.assertEqual(borrower.capacity(CUSTOMER, 4.1), 0)
        self.assertEqual(lender.capacity(CUSTOMER, 4.1), LIMIT)

    def test_a_target_is_obeyed_only_once_requests_and_loans_fit_it(self) -> None:
        lender = LocalShares("e0", LOAN_S)
        shares = self._plan(Shares(), ["e0"], 0)
        lender.apply(shares)
        request_state = ShareState(instance="e1")
        request_state.demands.add(customer=CUSTOMER, demand=5)
        lender.create_loans(request_state, {}, 0.0)
        lowered = self._plan(shares, ["e0", "e1"], shares.generation)
        lender.apply(lowered)
        self.assertEqual(lender.build_state({CUSTOMER: 4}, {}, 1.0).obeyed_generation, 0)
        self.assertEqual(
            lender.build_state({CUSTOMER: 4}, {}, 3.5).obeyed_generation, lowered.generation
        )
