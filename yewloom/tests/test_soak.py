"""Tests of the soak's checks, and short soaks with fixed seeds."""

import random
import signal
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import httpcore
import trio

from yewloom.addresses import split_address
from yewloom.platform.standin_engine import StandinEngine
from yewloom.platform.standin_store import StandinStore
from yewloom.tests.soak.balancer import MISSES, Balancer
from yewloom.tests.soak.callers import LONG_EVENTS, Caller
from yewloom.tests.soak.endpoints import EngineWatch
from yewloom.tests.soak.faults import (
    Fault,
    FaultMix,
    ReloadEntry,
    StopEntry,
    StopStartingEntry,
    draw_signals,
)
from yewloom.tests.soak.fleet import EntryProcess, Fleet
from yewloom.tests.soak.ledger import (
    CROSSING_S,
    GRACE_S,
    LAST_WORK_S,
    NOTICE_S,
    NOTICE_SLACK_S,
    OVERDUE_S,
    REGRESSION_S,
    REVOCATION_S,
    Disturbance,
    Kind,
    Ledger,
    Ran,
    Sent,
    expected_answer,
)
from yewloom.tests.soak.proxy import Link, LinkFault, PeerLink
from yewloom.tests.soak.run import SoakPlan, open_fleet
from yewloom.tests.soak_support import assert_clean

SHORT_SEEDS = (1, 2)
"""Seeds that CI plays for a short time."""

SIGNAL_SEED = 201
"""Seed whose series of signals CI plays for a short time, in otherwise calm times."""

PIECE_S = 0.1
"""Pause between two pieces of data, in which a link carries the first one."""

HEAD_S = 0.4
"""Time in which the head of an answer is on its way."""

STOP_LIMIT_S = 30.0
"""Longest time of a stream and the stop of its host; both end in some 8 s."""


def _sent(name: str, kind: Kind = Kind.SAFE, sent_s: float = 1.0, key_version: int = 1) -> Sent:
    """Return a request that was answered whole."""
    sent = Sent(name, kind, f"/p/{name}", b"b", key_version, "e/1", sent_s)
    sent.status, sent.stamp, sent.is_whole, sent.ended_s = 200, "s1", True, sent_s + 0.1
    sent.answer = expected_answer(sent)
    return sent


def _ran(sent: Sent, endpoint: str = "s1") -> Ran:
    return Ran(sent.request_id, endpoint, sent.path, sent.body, "customer", sent.sent_s)


class TestLedger(unittest.TestCase):
    """Every promise that is broken is found, and nothing else."""

    def setUp(self) -> None:
        self.ledger = Ledger()

    def _add(self, sent: Sent, *runs: Ran) -> None:
        self.ledger.sent[sent.request_id] = sent
        for run in runs or (_ran(sent),):
            self.ledger.note_run(run)

    def _promises(self) -> list[str]:
        return [broken.promise for broken in self.ledger.check()]

    def test_what_keeps_all_promises_is_clean(self) -> None:
        for kind in Kind:
            self._add(_sent(kind.value, kind))
        self.assertEqual(self._promises(), [])

    def test_an_unsafe_request_that_ran_twice(self) -> None:
        sent = _sent("a", Kind.UNSAFE)
        self._add(sent, _ran(sent), _ran(sent, "s2"))
        self.assertEqual(self._promises(), ["twice"])

    def test_a_safe_request_may_run_twice(self) -> None:
        sent = _sent("a", Kind.SAFE)
        self._add(sent, _ran(sent, "s2"), _ran(sent))
        self.assertEqual(self._promises(), [])

    def test_a_refused_request_that_ran(self) -> None:
        sent = _sent("a")
        sent.status = 503
        self._add(sent)
        self.assertEqual(self._promises(), ["refused"])

    def test_an_answer_of_another_request_or_endpoint(self) -> None:
        for change in ({"answer": b"s1 for b"}, {"stamp": "s9"}, {"answer": b""}):
            self.setUp()
            sent = replace(_sent("a"), **change)
            self._add(sent)
            self.assertIn("mixed", self._promises())

    def test_a_stream_that_lacks_or_repeats_an_event(self) -> None:
        sent = _sent("a", Kind.STREAM)
        for answer in (sent.answer[:-5], sent.answer.replace(b"id: 3", b"id: 2"), b""):
            self.setUp()
            self._add(replace(sent, answer=answer))
            self.assertEqual(self._promises(), ["mixed"])

    def test_a_run_that_nobody_asked_for_or_that_was_changed(self) -> None:
        sent = _sent("a")
        run = _ran(sent)
        for changed in (
            replace(run, request_id="b"),
            replace(run, path="/p/x"),
            replace(run, body=b"c"),
            replace(run, customer=""),
        ):
            self.setUp()
            self._add(sent, run, changed)
            self.assertEqual(self._promises(), ["unasked"])

    def test_a_key_that_worked_too_long(self) -> None:
        self.ledger.removed_s[1] = 1.0
        self._add(_sent("a", sent_s=1.0 + REVOCATION_S - 0.1))
        self.assertEqual(self._promises(), [])
        self._add(_sent("b", sent_s=1.0 + REVOCATION_S + 0.1))
        self.assertEqual(self._promises(), ["revoked"])

    def test_a_process_that_goes_back_to_an_older_configuration(self) -> None:
        self._add(_sent("a", sent_s=1.0, key_version=5))
        self._add(_sent("b", sent_s=1.1 + REGRESSION_S + 0.1, key_version=4))
        self.assertEqual(self._promises(), [])
        self._add(_sent("c", sent_s=1.1 + REGRESSION_S + 0.1, key_version=3))
        self.assertEqual(self._promises(), ["regressed"])

    def test_a_process_that_later_refuses_a_key_that_it_took(self) -> None:
        self._add(_sent("a", sent_s=1.0, key_version=5))
        refused = _sent("b", sent_s=1.1 + REGRESSION_S + 0.1, key_version=5)
        refused.status = 401
        self.ledger.sent["b"] = refused
        self.assertEqual(self._promises(), ["regressed"])
        self.ledger.removed_s[5] = 1.2
        self.assertEqual(self._promises(), [])

    def test_a_planned_stop_that_cuts_a_request_off_in_calm_times(self) -> None:
        sent = _sent("a", sent_s=1.0)
        sent.is_whole = False
        self._add(sent)
        self.ledger.planned_stops["e/1"] = 1.05
        self.assertEqual(self._promises(), ["lost"])
        self.ledger.disturbances.append(Disturbance(0.0, 1.05))
        self.assertEqual(self._promises(), [])

    def _add_cut_off(self, after_stop_s: float, took_s: float) -> None:
        """Add a stream that was cut off; its host was asked to stop at 1 s."""
        self.setUp()
        sent = replace(_sent("a", Kind.STREAM, 1.0 + after_stop_s), is_whole=False, deadline_s=6.0)
        sent.ended_s = sent.sent_s + took_s
        self._add(sent)
        self.ledger.planned_stops["e/1"] = 1.0

    def test_a_stop_that_cuts_a_request_off_at_its_deadline(self) -> None:
        self._add_cut_off(after_stop_s=0.32, took_s=5.9)
        self.assertEqual(self._promises(), ["lost"])
        self._add_cut_off(after_stop_s=0.32, took_s=5.96)
        self.assertEqual(self._promises(), [])

    def test_a_stop_that_cuts_work_off_in_the_last_part_of_its_grace(self) -> None:
        in_time_s = LAST_WORK_S - 2.1
        self._add_cut_off(after_stop_s=2.1, took_s=in_time_s - 0.1)
        self.assertEqual(self._promises(), ["lost"])
        self._add_cut_off(after_stop_s=2.1, took_s=in_time_s + 0.1)
        self.assertEqual(self._promises(), [])
        ended_s = self.ledger.sent["a"].ended_s
        assert ended_s is not None
        self.ledger.note_whole("a", ended_s - CROSSING_S + 0.1)
        self.assertEqual(self._promises(), [])
        self.ledger.note_whole("a", ended_s - CROSSING_S - 0.1)
        self.assertEqual(self._promises(), ["lost"])
        late_s = NOTICE_S + NOTICE_SLACK_S + 0.1
        self._add_cut_off(after_stop_s=late_s, took_s=LAST_WORK_S - late_s + 0.1)
        self.assertEqual(self._promises(), ["lost", "late"])

    def test_a_stop_that_takes_a_request_after_its_notice(self) -> None:
        self.ledger.planned_stops["e/1"] = 1.0
        late_s = 1.0 + NOTICE_S + NOTICE_SLACK_S
        self._add(_sent("a", sent_s=late_s - 0.1))
        self._add(replace(_sent("b", sent_s=late_s + 0.1), host_life="e/2"))
        self.ledger.sent["c"] = _sent("c", sent_s=late_s + 0.1)  # It never ran.
        self.ledger.sent["c"].status = None
        self.assertEqual(self._promises(), [])
        self._add(_sent("d", sent_s=late_s + 0.1))
        self.ledger.disturbances.append(Disturbance(0.0, late_s + 1.0))
        self.assertEqual(self._promises(), ["late"])

    def test_the_notice_of_a_stop_begins_anew_behind_a_pause_of_that_process_alone(self) -> None:
        self.ledger.planned_stops["e/1"] = 1.0
        late_s = 1.0 + NOTICE_S + NOTICE_SLACK_S
        self._add(_sent("a", sent_s=late_s + 0.5))
        self.ledger.pauses["e/2"].append(Disturbance(0.5, 2.0))
        self.assertEqual(self._promises(), ["late"])
        self.ledger.pauses["e/1"].append(Disturbance(0.5, 2.0))
        self.assertEqual(self._promises(), [])
        self._add(_sent("b", sent_s=late_s + 1.1))
        self.assertEqual(self._promises(), ["late"])

    def test_a_request_that_gets_no_answer_in_calm_times(self) -> None:
        silent = self._add_silent(waited_s=0.1)
        self.assertEqual(self._promises(), ["unanswered"])
        for change in ({"has_left": True}, {"sent_whole_s": None}, {"ended_s": None}):
            self.ledger.sent["a"] = replace(silent, **change)
            self.assertEqual(self._promises(), [])
        self.ledger.sent["a"] = silent
        self.ledger.disturbances.append(Disturbance(0.0, 1.05))
        self.assertEqual(self._promises(), [])

    def test_a_request_that_is_handed_on_after_its_deadline(self) -> None:
        """Guards against late requests that run, behind a host that stood still."""
        sent = replace(_sent("a", sent_s=1.0), deadline_s=4.0)
        first = b"POST /p/a HTTP/1.1\r\nYewloom-Request-Id: a\r\n\r\n"
        for late_s, promises in ((OVERDUE_S - 0.1, []), (OVERDUE_S + 0.1, ["overdue"])):
            self.setUp()
            self._add(sent)
            self.ledger.note_handed(first, 5.0 + late_s)
            self.ledger.disturbances.append(Disturbance(0.0, 9.0))
            self.assertEqual(self._promises(), promises)

    def test_a_callers_time_counts_from_when_it_is_stated(self) -> None:
        """Guards against a stop that cuts off a request whose caller was held up before it sent."""
        self._add_cut_off(after_stop_s=0.32, took_s=6.2)
        self.assertEqual(self._promises(), [])
        self.ledger.sent["a"].head_sent_s = self.ledger.sent["a"].sent_s + 1.0
        self.assertEqual(self._promises(), ["lost"])

    def test_a_request_whose_deadline_passed_while_its_process_started(self) -> None:
        """Guards against callers held by a host that can't read them yet."""
        self._add_silent(waited_s=5.0).deadline_s = 4.0
        self.assertEqual(self._promises(), ["unanswered"])

    def test_a_close_by_a_planned_stop_may_only_cross_a_request(self) -> None:
        self.ledger.planned_stops["e/1"] = 0.5
        self._add_silent(waited_s=CROSSING_S - 0.1)
        self.assertEqual(self._promises(), [])
        silent = self._add_silent(waited_s=CROSSING_S + 0.1)
        self.assertEqual(self._promises(), ["unanswered"])
        self.ledger.note_run(_ran(silent))
        self.assertEqual(self._promises(), ["lost"])
        self.ledger.planned_stops["e/1"] = 2.0
        self.assertEqual(self._promises(), ["unanswered"])

    def _add_silent(self, waited_s: float) -> Sent:
        """Add a request that was sent whole and got no answer."""
        sent = replace(_sent("a"), status=None, is_whole=False, sent_whole_s=1.0)
        sent.ended_s = 1.0 + waited_s
        self.ledger.sent["a"] = sent
        return sent

    def test_a_stop_that_takes_too_long(self) -> None:
        self.ledger.planned_stops["e/1"] = 1.0
        self.ledger.disturbances.append(Disturbance(0.0, 20.0))
        self.ledger.pauses["e/2"].append(Disturbance(0.0, 20.0))
        self.ledger.pauses["e/1"].append(Disturbance(1.5 + GRACE_S, 20.0))
        self.ledger.note_overdue("e/1")
        self.assertEqual(self._promises(), ["stop took too long"])
        self.ledger.pauses["e/1"].append(Disturbance(0.5, 1.5))
        self.ledger.note_overdue("e/1")
        self.assertEqual(self._promises(), ["stop took too long"])


class TestEngineWatch(unittest.TestCase):
    """A host that is taken from a group which serves is found, and one that has left it is not."""

    def setUp(self) -> None:
        self.ledger, store = Ledger(), StandinStore()
        names = ("engine-0", "engine-1")
        self.engines = [StandinEngine(n, "", "engines", "rack", "hall-a", store) for n in names]
        for rank, engine in enumerate(self.engines):
            engine.group = {"name": "old", "epoch": 1, "rank": rank, "state": "ready"}
            engine.members = list(names)
        self.head, self.member = self.engines

    def _join(self, head_state: str) -> list[str]:
        """Let the member join another group; return the promises that broke."""
        assert self.head.group is not None
        self.head.group["state"] = head_state
        order = {"group": "new", "epoch": 2}
        EngineWatch(self.ledger, self.engines).on_join(self.member, order)
        return [broken.promise for broken in self.ledger.check()]

    def test_a_host_that_joins_while_its_group_serves(self) -> None:
        for state in ("open", "closing"):
            self.setUp()
            self.assertEqual(self._join(state), ["two groups"])

    def test_a_host_that_joins_once_its_group_is_broken_or_left(self) -> None:
        self.assertEqual(self._join("broken"), [])
        self.member.group = None
        self.assertEqual(self._join("open"), [])


class TestBalancer(unittest.TestCase):
    """A host is in use while it is ready, or while most are not."""

    def setUp(self) -> None:
        self.entries = [_entry(name) for name in ("e0", "e1", "e2", "e3")]
        self.balancer = Balancer(self.entries)

    def _miss(self, *names: str) -> list[bool]:
        """Take hosts out; return which ones are used."""
        for name in names * MISSES:
            self.balancer.note_answer(name, is_ready=False)
        return [self.balancer.uses(entry) for entry in self.entries]

    def test_two_misses_in_a_row_take_a_host_out_until_it_answers(self) -> None:
        for is_ready in (False, True, False):
            self.balancer.note_answer("e0", is_ready)
            self.assertTrue(self.balancer.uses(self.entries[0]))
        self.assertEqual(self._miss("e0"), [False, True, True, True])
        self.balancer.note_answer("e0", is_ready=True)
        self.assertTrue(self.balancer.uses(self.entries[0]))

    def test_all_are_used_once_under_half_are_ready(self) -> None:
        self.assertEqual(self._miss("e0", "e1"), [False, False, True, True])
        self.assertEqual(self._miss("e2"), [True] * 4)


class TestLink(unittest.TestCase):
    """A connection that lost bytes says nothing more that way."""

    def _carried(self, fault: LinkFault) -> bytes:
        """Return what comes of three pieces, of which the second one meets a fault."""

        async def answer(stream: trio.SocketStream) -> None:
            for piece in (b"1", b"2", b"3"):
                self.link.fault = fault if piece == b"2" else LinkFault.NONE
                await stream.send_all(piece)
                await trio.sleep(PIECE_S)

        async def main() -> bytes:
            async with trio.open_nursery() as nursery:
                servers = await nursery.start(trio.serve_tcp, answer, 0)
                port = servers[0].socket.getsockname()[1]
                self.link = Link(f"127.0.0.1:{port}")
                await self.link.open(nursery)
                received = b""
                caller = await trio.open_tcp_stream(*split_address(self.link.address))
                while data := await caller.receive_some():
                    received += data
                nursery.cancel_scope.cancel()
            return received

        return trio.run(main)

    def test_what_follows_lost_bytes_is_not_taken_for_them(self) -> None:
        self.assertEqual(self._carried(LinkFault.NONE), b"123")
        for fault in (LinkFault.CUT_BACK, LinkFault.SILENT):
            self.assertEqual(self._carried(fault), b"1")


class TestSignals(unittest.TestCase):
    """Signals come in series that overlap, drawn from the seed."""

    def _draw(self, seed: int) -> list[Fault]:
        return draw_signals(random.Random(seed), 15.0, 4)

    def test_a_seed_gives_the_same_signals_again(self) -> None:
        self.assertEqual(self._draw(1), self._draw(1))
        self.assertNotEqual(self._draw(1), self._draw(2))

    def test_all_kinds_of_signals_come(self) -> None:
        drawn = [fault for seed in range(20) for fault in self._draw(seed)]
        kinds = {type(fault) for fault in drawn}
        self.assertEqual(kinds, {StopEntry, ReloadEntry, StopStartingEntry})

    def test_signals_leave_the_faults_of_a_seed_as_they_are(self) -> None:
        plans = [SoakPlan(101, 15.0, 4, 6, mix) for mix in (FaultMix.FAULTS, FaultMix.BOTH)]
        faults, both = (plan.draw(random.Random(101)) for plan in plans)
        self.assertEqual(both[: len(faults)], faults)
        self.assertGreater(len(both), len(faults))


class TestStop(unittest.TestCase):
    """A planned stop of a real process, with one caller that keeps its connection."""

    def test_a_connection_whose_stream_outlasts_the_notice_takes_no_more_requests(self) -> None:
        ledger = Ledger()
        with tempfile.TemporaryDirectory() as folder:
            following = trio.run(self._stop_amid_a_stream, Path(folder), ledger)
        self.assertEqual(ledger.runs.get(following.request_id, []), [])
        self.assertEqual(ledger.check(), [])

    async def _stop_amid_a_stream(self, folder: Path, ledger: Ledger) -> Sent:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(folder, ledger, random.Random(1), nursery)
            async with open_fleet(fleet, entries=1, engines=4) as balancer:
                caller = Caller(fleet.entries[0], fleet, balancer, ledger, seed=1)
                with trio.fail_after(STOP_LIMIT_S):
                    following = await self._use_through_stop(caller, fleet.entries[0], ledger)
            nursery.cancel_scope.cancel()
        return following

    async def _use_through_stop(self, caller: Caller, entry: EntryProcess, ledger: Ledger) -> Sent:
        """Let one stream end late in the stop while another one still holds the process."""
        async with caller.open_pool() as pool, trio.open_nursery() as nursery:
            first_ended = trio.Event()
            nursery.start_soon(_stream, caller, pool, first_ended)
            await trio.sleep(HEAD_S)
            nursery.start_soon(_stream, caller, pool, trio.Event())
            await trio.sleep(HEAD_S)  # The heads of both answers are out.
            stopped_s = ledger.planned_stops[entry.life] = trio.current_time()
            entry.signal(signal.SIGTERM)
            await first_ended.wait()
            self.assertGreater(trio.current_time(), stopped_s + NOTICE_S + NOTICE_SLACK_S)
            following = await caller.send(pool, Kind.UNSAFE)
            self.assertTrue(entry.is_running)
        return following


async def _stream(caller: Caller, pool: httpcore.AsyncConnectionPool, ended: trio.Event) -> None:
    await caller.send(pool, Kind.STREAM, LONG_EVENTS)
    ended.set()


def _entry(name: str) -> EntryProcess:
    return EntryProcess(name, "", "", Path(), Link(""), PeerLink(""), Path())


class TestSoak(unittest.TestCase):
    """Short soaks: entry hosts as processes, faults from outside."""

    def test_short_signals_break_no_promise(self) -> None:
        plan = SoakPlan(SIGNAL_SEED, 6.0, entries=3, engines=4, mix=FaultMix.SIGNALS)
        assert_clean(self, plan)

    def test_short_soaks_break_no_promise(self) -> None:
        for seed in SHORT_SEEDS:
            with self.subTest(seed=seed):
                assert_clean(self, SoakPlan(seed, 6.0, entries=3, engines=4))
