"""Tests of a host's behaviour after its machine was suspended."""

import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import trio
from result import Ok

from yewloom.boot_clock import BootClock
from yewloom.boot_time import RETENTION_S, SuspensionTracker
from yewloom.configuration import ConfigurationState
from yewloom.daemon import run as run_daemon
from yewloom.early_signals import EarlySignals
from yewloom.ids import AttemptId, EntryHostId
from yewloom.key_trust import KeyTrust
from yewloom.leases import LeaseKeeper, LeaseTiming, WriteLease
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.platform import program
from yewloom.socket_ages import ReadAges
from yewloom.tests.entry_support import make_configuration

SUSPENDED_S = 20.0
"""Longer than any lease, deadline or configuration age in these tests."""

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
    """A machine that can be suspended: its time since boot runs ahead of its monotonic clock."""

    def __init__(self) -> None:
        self._suspended_s = 0.0

    def suspend(self) -> None:
        """Simulate a suspension."""
        self._suspended_s += SUSPENDED_S

    def read(self, clock: int) -> float:
        """Return the time of one of the system's clocks."""
        ahead_s = self._suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return REAL_CLOCK(clock) + ahead_s


def run_on_machine(test: Callable[[Machine], Awaitable[None]]) -> None:
    """Run a test with the clock that the programs use, on a machine that can be suspended."""
    machine = Machine()
    with mock.patch("yewloom.boot_time.time.clock_gettime", machine.read):
        trio.run(test, machine, clock=BootClock())


class TestSuspendedMachine(unittest.TestCase):
    """Data and deadlines from before a suspension have expired."""

    def test_keys_of_an_older_configuration_are_not_accepted(self) -> None:
        """Guards against accepting API keys that were revoked while the machine was suspended."""

        async def test(machine: Machine) -> None:
            configuration_state = ConfigurationState()
            trust = KeyTrust(configuration_state, 5.0, 2.0, requires_confirmation=True)
            configuration_state.apply(make_configuration(), trio.current_time())
            self.assertTrue(trust.may_accept(trio.current_time()))
            machine.suspend()
            self.assertFalse(trust.may_accept(trio.current_time()))

        run_on_machine(test)

    def test_a_lease_has_expired(self) -> None:
        """Guards against two coordinators, one of which was suspended."""

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

        run_on_machine(test)

    def test_deadlines_have_passed(self) -> None:
        async def test(machine: Machine) -> None:
            with trio.move_on_after(SUSPENDED_S / 2) as limit:
                machine.suspend()
                await trio.sleep(0.01)
                await trio.sleep(0.01)
            self.assertTrue(limit.cancelled_caught)

        run_on_machine(test)

    def test_the_loop_counts_as_blocked(self) -> None:
        async def test(machine: Machine) -> None:
            loop_delay = LoopDelayMonitor()
            loop_delay.start()
            await trio.sleep(0.01)
            machine.suspend()
            await trio.sleep(0.01)
            self.assertGreaterEqual(loop_delay.delay_s(), SUSPENDED_S)

        run_on_machine(test)

    def test_a_suspension_adds_to_the_age_of_earlier_bytes(self) -> None:
        """Guards against running expired requests: the system's age excludes suspension."""
        monotonic_s, boot_s = [100.0], [100.0]
        suspensions = SuspensionTracker(lambda: monotonic_s[0], lambda: boot_s[0])
        self.assertEqual(suspensions.suspended_since_s(0.5), 0.0)
        monotonic_s[0] += 1.0
        boot_s[0] += 1.0 + SUSPENDED_S
        self.assertEqual(suspensions.suspended_since_s(0.5), SUSPENDED_S)
        monotonic_s[0] += 1.0
        boot_s[0] += 1.0
        self.assertEqual(suspensions.suspended_since_s(0.5), 0.0)
        self.assertEqual(suspensions.suspended_since_s(1.5), SUSPENDED_S)
        monotonic_s[0] += RETENTION_S
        boot_s[0] += RETENTION_S
        self.assertEqual(suspensions.suspended_since_s(RETENTION_S + 1.5), 0.0)

    def test_an_interruption_between_clock_reads_is_not_detected_as_suspension(
        self,
    ) -> None:
        now_s, interruptions = [0.0], iter([3.0, 0.0, 5.0, 0.0, 0.0])

        def boot_s() -> float:
            read_s = now_s[0]
            now_s[0] += next(interruptions)  # Time that passes between reading the two clocks.
            return read_s

        suspensions = SuspensionTracker(lambda: now_s[0], boot_s)
        for age_s in (0.5, 20.0, 20.0, 20.0):
            self.assertEqual(suspensions.suspended_since_s(age_s), 0.0)

    def test_request_ages_include_suspension(self) -> None:
        suspensions = mock.Mock(spec=SuspensionTracker)
        suspensions.suspended_since_s.return_value = SUSPENDED_S
        stream = mock.Mock()
        stream.socket.getsockopt.return_value = b"\0" * 52 + (250).to_bytes(4, "little")
        ages = ReadAges(lambda: 0.0, suspensions)
        self.assertEqual(ages.of(stream), 0.25 + SUSPENDED_S)


class TestPrograms(unittest.TestCase):
    """Both programs use the boot clock."""

    def test_the_platform_entry_host_uses_the_boot_clock(self) -> None:
        """Guards against treating data from before a suspension as fresh."""
        with (
            mock.patch.object(Path, "read_text", return_value=BASE_SETTINGS),
            mock.patch.object(program, "ProcessSignals"),
            mock.patch.object(program, "configure_logs"),
            mock.patch("yewloom.platform.program.trio.run") as run,
        ):
            program.main(Path("settings.ini"), EarlySignals(), None, lambda code: None)
        self.assertIsInstance(run.call_args.kwargs["clock"], BootClock)

    def test_yewloomd_uses_the_boot_clock(self) -> None:
        with (
            mock.patch("yewloom.daemon.ProcessSignals"),
            mock.patch("yewloom.daemon.read_settings", return_value=Ok(mock.MagicMock())),
            mock.patch("yewloom.daemon.Daemon"),
            mock.patch("yewloom.daemon.log.configure_logs"),
            mock.patch("yewloom.daemon.trio.run") as run,
        ):
            run_daemon(Path("settings.ini"))
        self.assertIsInstance(run.call_args.kwargs["clock"], BootClock)
