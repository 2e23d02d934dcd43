"""Tests of what a host concludes after its machine was suspended."""

import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import trio
from result import Ok

from yewloom.boot_clock import BootClock
from yewloom.boot_time import KEEP_S, SuspendedTime
from yewloom.configuration import ConfigurationBook
from yewloom.daemon import run as run_daemon
from yewloom.early_signals import EarlySignals
from yewloom.ids import AttemptId, EntryHostId
from yewloom.key_trust import KeyTrust
from yewloom.leases import LeaseKeeper, LeaseTiming, WriteLease
from yewloom.loop_lateness import LoopLateness
from yewloom.platform import program
from yewloom.socket_ages import ReadAges
from yewloom.tests.entry_support import make_configuration

SUSPENDED_S = 20.0
"""Longer than any lease, deadline or proof of these tests holds."""

REAL_CLOCK = time.clock_gettime

BASE_SETTINGS = """
[host]
id = e
data_centre = a
caller_address = 127.0.0.1:1
readiness_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
[store]
address = 127.0.0.1:4
"""


class Machine:
    """A machine that may be suspended: its time since boot goes ahead of its steady clock."""

    def __init__(self) -> None:
        self._suspended_s = 0.0

    def suspend(self) -> None:
        """Be suspended and go on."""
        self._suspended_s += SUSPENDED_S

    def read(self, clock: int) -> float:
        """Return the time of one of the system's clocks."""
        ahead_s = self._suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return REAL_CLOCK(clock) + ahead_s


def play(test: Callable[[Machine], Awaitable[None]]) -> None:
    """Run a test as the programs run, on a machine that may be suspended."""
    machine = Machine()
    with mock.patch("yewloom.boot_time.time.clock_gettime", machine.read):
        trio.run(test, machine, clock=BootClock())


class TestSuspendedMachine(unittest.TestCase):
    """What was true before is true no more."""

    def test_keys_are_not_accepted_by_a_configuration_from_before(self) -> None:
        """Guards against keys that were taken away while the machine was suspended."""

        async def test(machine: Machine) -> None:
            book = ConfigurationBook()
            trust = KeyTrust(book, 5.0, 2.0, needs_proof=True)
            book.apply(make_configuration(), trio.current_time())
            self.assertTrue(trust.may_accept(trio.current_time()))
            machine.suspend()
            self.assertFalse(trust.may_accept(trio.current_time()))

        play(test)

    def test_a_lease_has_lapsed(self) -> None:
        """Guards against two coordinators, of which one was suspended."""

        async def test(machine: Machine) -> None:
            lease = LeaseKeeper(EntryHostId("me"), LeaseTiming(3.0, 0.6, 0.6))
            now_s = trio.current_time()
            lease.next_action(now_s, AttemptId("a"))
            lease.on_read(None, 0, now_s)
            now_s += 1.0
            step = lease.next_action(now_s, AttemptId("a"))
            assert isinstance(step, WriteLease)
            lease.on_written(step.lease, 1, now_s, now_s)
            machine.suspend()
            self.assertFalse(lease.holds(trio.current_time()))

        play(test)

    def test_deadlines_have_passed(self) -> None:
        async def test(machine: Machine) -> None:
            with trio.move_on_after(SUSPENDED_S / 2) as limit:
                machine.suspend()
                await trio.sleep(0.01)
                await trio.sleep(0.01)
            self.assertTrue(limit.cancelled_caught)

        play(test)

    def test_the_loop_was_held_up(self) -> None:
        async def test(machine: Machine) -> None:
            lateness = LoopLateness()
            lateness.watch_this_run()
            await trio.sleep(0.01)
            machine.suspend()
            await trio.sleep(0.01)
            self.assertGreaterEqual(lateness.late_s(), SUSPENDED_S)

        play(test)

    def test_bytes_from_before_have_waited_meanwhile(self) -> None:
        """Guards against requests that run after their deadline, as the system counts their age."""
        steady_s, boot_s = [100.0], [100.0]
        suspended = SuspendedTime(lambda: steady_s[0], lambda: boot_s[0])
        self.assertEqual(suspended.since(0.5), 0.0)
        steady_s[0] += 1.0
        boot_s[0] += 1.0 + SUSPENDED_S
        self.assertEqual(suspended.since(0.5), SUSPENDED_S)
        steady_s[0] += 1.0
        boot_s[0] += 1.0
        self.assertEqual(suspended.since(0.5), 0.0)
        self.assertEqual(suspended.since(1.5), SUSPENDED_S)
        steady_s[0] += KEEP_S
        boot_s[0] += KEEP_S
        self.assertEqual(suspended.since(KEEP_S + 1.5), 0.0)

    def test_a_reader_that_is_interrupted_between_the_clocks_takes_nothing_for_a_suspension(
        self,
    ) -> None:
        now_s, interruptions = [0.0], iter([3.0, 0.0, 5.0, 0.0, 0.0])

        def boot_s() -> float:
            read_s = now_s[0]
            now_s[0] += next(interruptions)  # Between the reads of the two clocks.
            return read_s

        suspended = SuspendedTime(lambda: now_s[0], boot_s)
        for age_s in (0.5, 20.0, 20.0, 20.0):
            self.assertEqual(suspended.since(age_s), 0.0)

    def test_the_ages_of_requests_are_corrected(self) -> None:
        suspended = mock.Mock(spec=SuspendedTime)
        suspended.since.return_value = SUSPENDED_S
        stream = mock.Mock()
        stream.socket.getsockopt.return_value = b"\0" * 52 + (250).to_bytes(4, "little")
        ages = ReadAges(lambda: 0.0, suspended)
        self.assertEqual(ages.of(stream), 0.25 + SUSPENDED_S)


class TestPrograms(unittest.TestCase):
    """Both programs count by that clock."""

    def test_the_entry_host_on_the_users_platform_runs_by_it(self) -> None:
        """Guards against a host that takes what it knew before a suspension for fresh."""
        with (
            mock.patch.object(Path, "read_text", return_value=BASE_SETTINGS),
            mock.patch.object(program, "ProcessSignals"),
            mock.patch.object(program, "set_up_logs"),
            mock.patch("yewloom.platform.program.trio.run") as run,
        ):
            program.main(Path("settings.ini"), EarlySignals(), None, lambda code: None)
        self.assertIsInstance(run.call_args.kwargs["clock"], BootClock)

    def test_yewloomd_runs_by_it(self) -> None:
        with (
            mock.patch("yewloom.daemon.ProcessSignals"),
            mock.patch("yewloom.daemon.read_settings", return_value=Ok(mock.MagicMock())),
            mock.patch("yewloom.daemon.Daemon"),
            mock.patch("yewloom.daemon.log.set_up"),
            mock.patch("yewloom.daemon.trio.run") as run,
        ):
            run_daemon(Path("settings.ini"))
        self.assertIsInstance(run.call_args.kwargs["clock"], BootClock)
