"""Tests of an entry host as a real process: signals while it starts, serves and stops."""

import itertools
import signal
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import trio

from yewloom.addresses import split_address
from yewloom.early_listener import MAX_WAIT_SHARE
from yewloom.tests.soak.balancer import Balancer
from yewloom.tests.soak.callers import Caller
from yewloom.tests.soak.fleet import EntryProcess, Fleet, configuration
from yewloom.tests.soak.ledger import (
    DEREGISTRATION_S,
    DEREGISTRATION_TOLERANCE_S,
    GRACE_S,
    Kind,
    Ledger,
    SentRequest,
)

TEST_LIMIT_S = 120.0
"""Time limit of a test; reaching it fails the test."""

POLL_INTERVAL_S = 0.01
"""Polling interval for the state of a process."""

EXTENSION_MODULES_PATH = "/lib-dynload/"
"""Folder of the standard library's extension modules; loading the first one marks the start of the
long imports."""


@dataclass(frozen=True)
class Stream:
    """How engines respond: the number of events, and the seconds per event."""

    events: int
    event_s: float


SHORT = Stream(5, 0.02)
"""Streams that end almost at once."""

LONG = Stream(6, 0.6)
"""Streams that take longer than the deregistration delay."""

ENDLESS = Stream(60, 0.5)
"""Streams that take longer than the grace period."""

TIMEOUT_S = 30.0
"""Timeout of callers and routes."""

SLOTS = 1000
"""Number of streams that engines accept at once: more than a test opens."""

RUN_PERIOD_S = 0.1
"""Period in which a slowed process runs once, as under the users' CPU quota."""

SLOW_SHARE = 0.2
"""Share of the time for which a slowed process runs."""

SLOWEST_SHARE = 0.1
"""Share of the time for which the slowest process runs."""

SHORT_DEADLINE_S = 1.0
"""Deadline of a request, shorter than the suspension of the process."""

EXTRA_WAIT_S = 5.0
"""Time that a caller waits after that deadline, to see the outcome of its request."""

SLOW_START_SHARE = 0.03
"""Share of the time for which a process runs so that it starts more slowly than callers wait."""

SLOW_RESPONSE_S = 0.8
"""Time in which such a process, which runs ten times per second, sends a response."""

Series = Sequence[signal.Signals]


class ProcessFleet:
    """A fleet in one data centre, and callers that send one request each."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._balancer = Balancer(fleet.entries)  # It checks no host, so all are used.
        self._sent_count = 0
        self._events = SHORT.events

    async def ask(self, entry: EntryProcess, kind: Kind = Kind.STREAM) -> SentRequest:
        """Send one request on its own connection."""
        self._sent_count += 1
        caller = Caller(entry, self.fleet, self._balancer, self.fleet.ledger, self._sent_count)
        async with caller.open_pool() as pool:
            return await caller.send(pool, kind, self._events)

    @contextmanager
    def streams_of(self, stream: Stream) -> Iterator[None]:
        """Make engines respond in the given way within the block."""
        self._set_stream(stream)
        try:
            yield
        finally:
            self._set_stream(SHORT)

    def _set_stream(self, stream: Stream) -> None:
        self._events = stream.events
        for engine in self.fleet.engines:
            engine.engine.event_interval_s = stream.event_s

    async def wait_until_served(self, entry: EntryProcess) -> None:
        """Wait until an entry host completes a stream; fail if its process ends."""
        while not _is_served(await self.ask(entry)):
            assert entry.is_running, _describe_end(entry)
            await trio.sleep(POLL_INTERVAL_S)

    async def open_streams(
        self, nursery: trio.Nursery, entry: EntryProcess, count: int
    ) -> list[SentRequest]:
        """Open streams; return their records once that many are open and have their first event.

        A stream that ends without an event is started again, because a busy fleet rejects some.
        """
        before = set(self.fleet.ledger.sent)
        started_count = 0
        while True:
            sent = self.fleet.ledger.sent
            new = [
                s
                for i, s in sent.items()
                if i not in before and s.process_name == entry.process_name
            ]
            streaming = [s for s in new if s.answer and s.ended_s is None]
            if len(streaming) == count:
                return streaming
            ended_count = sum(s.ended_s is not None for s in new)
            while started_count - ended_count < count:
                nursery.start_soon(self.ask, entry)
                started_count += 1
            assert entry.is_running, _describe_end(entry)
            await trio.sleep(POLL_INTERVAL_S)


def run(test: Callable[[ProcessFleet], Awaitable[None]], entries: int = 1) -> None:
    """Run a test with entry hosts that serve requests."""

    async def main() -> None:
        with tempfile.TemporaryDirectory() as folder, trio.fail_after(TEST_LIMIT_S):
            async with trio.open_nursery() as nursery:
                fleet = Fleet(Path(folder), Ledger(), Random(1), nursery)
                try:
                    await fleet.start(entries, 4, 1)
                    process_fleet = ProcessFleet(fleet)
                    for entry in fleet.entries:
                        await process_fleet.wait_until_served(entry)
                    await test(process_fleet)
                finally:
                    fleet.stop()
                nursery.cancel_scope.cancel()

    with (
        mock.patch("yewloom.tests.soak.callers.STREAM_DEADLINE_S", TIMEOUT_S),
        mock.patch("yewloom.tests.soak.fleet.configuration", _long_timeout_configuration),
    ):
        trio.run(main)


def _is_served(sent: SentRequest) -> bool:
    """Return whether a stream was received completely."""
    return sent.status == 200 and sent.is_complete


def _long_timeout_configuration(version: int) -> dict[str, Any]:
    """Return a configuration whose routes allow long responses."""
    changed = configuration(version)
    for route in changed["routes"]:
        route["timeoutMs"] = round(TIMEOUT_S * 1000)
    changed["services"][0]["engine"]["slots"] = SLOTS
    return changed


def _describe_end(entry: EntryProcess) -> str:
    """Return how a process ended, with the end of its log."""
    code = entry.process.returncode if entry.process is not None else None
    return f"{entry.process_name} ended with {code}: {entry.log.read_text()[-2000:]}"


async def _wait_for_log(entry: EntryProcess, event: str) -> None:
    """Wait until the log of an entry host's only process contains an event."""
    while f'"event": "{event}"' not in entry.log.read_text():
        assert entry.is_running, _describe_end(entry)
        await trio.sleep(POLL_INTERVAL_S)


async def _wait_for_imports(entry: EntryProcess) -> None:
    """Wait until a process has begun its long imports."""
    assert entry.process is not None
    maps = Path(f"/proc/{entry.process.pid}/maps")
    while EXTENSION_MODULES_PATH not in maps.read_text():  # noqa: ASYNC110, ASYNC240 - a process
        await trio.sleep(POLL_INTERVAL_S)


async def _wait_until_it_listens(entry: EntryProcess) -> None:
    """Wait until a process accepts connections."""
    host, port = split_address(entry.caller_address)
    while True:
        assert entry.is_running, _describe_end(entry)
        with suppress(OSError):
            await trio.aclose_forcefully(await trio.open_tcp_stream(host, port))
            return
        await trio.sleep(POLL_INTERVAL_S)


async def _restart(entry: EntryProcess) -> None:
    """Kill a process and restart it with an empty log."""
    entry.signal(signal.SIGKILL)
    await entry.wait_ended()
    entry.log.write_text("")
    entry.start()


async def _ends_in_time(entry: EntryProcess, requested_s: float) -> bool:
    """Return whether a process that was asked to stop ends within its grace period."""
    with trio.move_on_at(requested_s + GRACE_S) as timer:
        while entry.is_running:  # noqa: ASYNC110 - a process
            await trio.sleep(POLL_INTERVAL_S)
    return not timer.cancelled_caught


async def _slow_down(entry: EntryProcess, share: float) -> None:
    """Let a process run for a share of the time only, until cancelled."""
    while True:
        entry.signal(signal.SIGSTOP)
        await trio.sleep(RUN_PERIOD_S * (1 - share))
        entry.signal(signal.SIGCONT)
        await trio.sleep(RUN_PERIOD_S * share)


class TestEntryProcess(unittest.TestCase):
    """Signals to a real process."""

    def test_a_reload_at_any_moment_of_the_start_leaves_the_process_serving(self) -> None:
        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            entry.signal(signal.SIGKILL)
            await entry.wait_ended()
            entry.start()
            await _wait_for_imports(entry)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._reload_often, entry)
                await process_fleet.wait_until_served(entry)
                nursery.cancel_scope.cancel()
            self.assertTrue(_is_served(await process_fleet.ask(entry)))

        run(test)

    async def _reload_often(self, entry: EntryProcess) -> None:
        while True:
            entry.signal(signal.SIGHUP)
            await trio.sleep(POLL_INTERVAL_S)

    def test_a_caller_that_connects_during_the_start_is_served(self) -> None:
        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            await _restart(entry)
            await _wait_until_it_listens(entry)
            self.assertNotIn('"event": "started"', entry.log.read_text())
            self.assertTrue(_is_served(await process_fleet.ask(entry)))

        run(test)

    def test_a_request_that_expires_in_a_suspended_process_is_not_run(self) -> None:
        """Guards against running expired requests, above all unsafe ones."""

        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            for kind, stopped_s in itertools.product(Kind, (1.5, 3.0)):
                async with trio.open_nursery() as nursery:
                    sent: list[SentRequest] = []
                    entry.signal(signal.SIGSTOP)
                    nursery.start_soon(self._send_and_record, process_fleet, entry, sent, kind)
                    await trio.sleep(stopped_s)
                    entry.signal(signal.SIGCONT)
                self.assertEqual([s.status for s in sent], [503], f"{kind} {stopped_s}")
                self.assertEqual(process_fleet.fleet.ledger.runs.get(sent[0].request_id, []), [])

        with (
            mock.patch("yewloom.tests.soak.callers.DEADLINE_S", SHORT_DEADLINE_S),
            mock.patch("yewloom.tests.soak.callers.EXTRA_WAITS_S", (EXTRA_WAIT_S,)),
            mock.patch("yewloom.tests.test_entry_process.TIMEOUT_S", SHORT_DEADLINE_S),
        ):
            run(test)

    def test_a_suspended_host_accepts_no_request_later_after_sigterm(self) -> None:
        """Guards against counting the deregistration delay from when a late signal was noticed."""

        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            entry.signal(signal.SIGSTOP)
            entry.signal(signal.SIGTERM)
            await trio.sleep(DEREGISTRATION_S + DEREGISTRATION_TOLERANCE_S)
            entry.signal(signal.SIGCONT)
            await trio.sleep(DEREGISTRATION_TOLERANCE_S)
            sent = await process_fleet.ask(entry)
            self.assertNotEqual(sent.status, 200)
            self.assertEqual(process_fleet.fleet.ledger.runs.get(sent.request_id, []), [])

        run(test)

    def test_a_caller_does_not_wait_for_a_slow_start(self) -> None:
        """Guards against callers waiting for a host that can't read their requests yet."""

        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            await _restart(entry)
            await _wait_until_it_listens(entry)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_slow_down, entry, SLOW_START_SHARE)
                for kind in (Kind.SAFE, Kind.UNSAFE):
                    sent = await process_fleet.ask(entry, kind)
                    self.assertEqual(sent.status, 503)
                    assert sent.ended_s is not None
                    limit_s = sent.deadline_s * MAX_WAIT_SHARE + SLOW_RESPONSE_S
                    self.assertLess(sent.ended_s - sent.sent_s, limit_s)
                self.assertNotIn('"event": "started"', entry.log.read_text())
                nursery.cancel_scope.cancel()

        run(test)

    def test_a_stop_during_the_start_answers_waiting_callers(self) -> None:
        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            await _restart(entry)
            await _wait_until_it_listens(entry)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_and_stop, process_fleet, entry)
            await entry.wait_ended()
            self._assert_clean_exit(entry, [])
            self.assertEqual(process_fleet.fleet.ledger.check(), [])

        run(test)

    async def _send_and_stop(self, process_fleet: ProcessFleet, entry: EntryProcess) -> None:
        """Request a stop while requests wait for a process that is still starting."""
        async with trio.open_nursery() as nursery:
            sent: list[SentRequest] = []
            for _ in range(5):
                nursery.start_soon(self._send_and_record, process_fleet, entry, sent)
            await trio.sleep(POLL_INTERVAL_S)
            entry.signal(signal.SIGTERM)
        self.assertEqual([s for s in sent if s.status is None], [])

    async def _send_and_record(
        self,
        process_fleet: ProcessFleet,
        entry: EntryProcess,
        sent: list[SentRequest],
        kind: Kind = Kind.STREAM,
    ) -> None:
        sent.append(await process_fleet.ask(entry, kind))

    def test_further_signals_during_a_stop_change_nothing(self) -> None:
        hang_up, stop = signal.SIGHUP, signal.SIGTERM
        series = [(stop, stop), (stop, hang_up), (hang_up, stop), (stop, hang_up, stop, hang_up)]
        series.append((stop, signal.SIGINT))

        async def test(process_fleet: ProcessFleet) -> None:
            with process_fleet.streams_of(LONG):
                async with trio.open_nursery() as nursery:
                    for entry, numbers in zip(process_fleet.fleet.entries, series, strict=True):
                        nursery.start_soon(self._stop_with_signals, process_fleet, entry, numbers)

        run(test, len(series))

    async def _stop_with_signals(
        self, process_fleet: ProcessFleet, entry: EntryProcess, numbers: Series
    ) -> None:
        """Send signals at once, and again while the process is stopping, with streams open."""
        async with trio.open_nursery() as nursery:
            streams = await process_fleet.open_streams(nursery, entry, 3)
            requested_s = trio.current_time()
            for number in numbers:
                entry.signal(number)
            await _wait_for_log(entry, "stopping")
            for number in numbers:
                entry.signal(number)
            self.assertTrue(
                await _ends_in_time(entry, requested_s), f"{numbers} {_describe_end(entry)}"
            )
        self._assert_clean_exit(entry, streams)

    def _assert_clean_exit(self, entry: EntryProcess, streams: list[SentRequest]) -> None:
        assert entry.process is not None
        self.assertEqual(entry.process.returncode, 0, _describe_end(entry))
        self.assertIn('"event": "stopped"', entry.log.read_text())
        self.assertEqual([s for s in streams if not _is_served(s)], [])

    def test_a_stop_before_the_host_listens_is_clean(self) -> None:
        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            await _restart(entry)
            await entry.wait_until_handled(signal.SIGTERM)
            entry.signal(signal.SIGTERM)
            await entry.wait_ended()
            self._assert_clean_exit(entry, [])

        run(test)

    def test_a_stop_right_after_the_start_is_clean(self) -> None:
        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            await _restart(entry)
            await _wait_for_log(entry, "started")
            requested_s = trio.current_time()
            entry.signal(signal.SIGTERM)
            self.assertTrue(await _ends_in_time(entry, requested_s), _describe_end(entry))
            self._assert_clean_exit(entry, [])

        run(test)

    def test_a_stop_with_many_open_streams_cuts_off_none(self) -> None:
        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            with process_fleet.streams_of(LONG):
                async with trio.open_nursery() as nursery:
                    streams = await process_fleet.open_streams(nursery, entry, 20)
                    requested_s = trio.current_time()
                    entry.signal(signal.SIGTERM)
                    self.assertTrue(await _ends_in_time(entry, requested_s), _describe_end(entry))
            self._assert_clean_exit(entry, streams)

        run(test)

    def test_a_slowed_process_with_work_that_outlasts_the_grace_ends_within_it(self) -> None:
        run(self._cut_off(12, SLOW_SHARE))

    def test_a_slow_process_with_much_work_that_outlasts_the_grace_ends_within_it(self) -> None:
        run(self._cut_off(100, SLOWEST_SHARE))

    def _cut_off(self, streams: int, share: float) -> Callable[[ProcessFleet], Awaitable[None]]:
        """Return a test that stops a slowed process with streams that must be cut off."""

        async def test(process_fleet: ProcessFleet) -> None:
            entry = process_fleet.fleet.entries[0]
            with process_fleet.streams_of(ENDLESS):
                async with trio.open_nursery() as nursery:
                    await process_fleet.open_streams(nursery, entry, streams)
                    nursery.start_soon(_slow_down, entry, share)
                    requested_s = trio.current_time()
                    entry.signal(signal.SIGTERM)
                    self.assertTrue(await _ends_in_time(entry, requested_s), _describe_end(entry))
                    nursery.cancel_scope.cancel()
            self._assert_clean_exit(entry, [])

        return test
