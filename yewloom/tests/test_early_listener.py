"""Tests of the callers' listening socket while the program starts."""

import signal
import socket
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from yewloom.addresses import split_address
from yewloom.boot_time import boot_s
from yewloom.early_listener import DEFAULT_MAX_WAIT_S, EarlyListener, listen
from yewloom.planned_stop import DEREGISTRATION_DELAY_S
from yewloom.tests.free_ports import allocate_address

HEAD = b"POST /x HTTP/1.1\r\nhost: x.example\r\nContent-Length: 4\r\n"
COMPLETE = HEAD + b"\r\nbody"
READ_BYTES = 1000
RESPONSE_LIMIT_S = 5.0
"""Maximum wait for a response; reaching it fails a test."""


class TestEarlyListener(unittest.TestCase):
    """Which requests are rejected before the program runs, and which wait for it."""

    def setUp(self) -> None:
        address = allocate_address()
        self.address = split_address(address)
        self.waited_s = 10.0
        self.stop_requested_s: float | None = None
        self.early = EarlyListener(
            listen(address),
            b"x-time-ms",
            lambda connection: self.waited_s,
            lambda: self.stop_requested_s,
        )
        self.addCleanup(self._close)

    def _close(self) -> None:
        listener, accepted = self.early.hand_over()
        for one in (listener, *accepted):
            one.close()

    @contextmanager
    def _caller(self, data: bytes) -> Iterator[socket.socket]:
        with socket.create_connection(self.address, timeout=RESPONSE_LIMIT_S) as caller:
            caller.sendall(data)
            yield caller

    def _read_all(self, caller: socket.socket) -> bytes:
        response = b""
        while data := caller.recv(READ_BYTES):
            response += data
        return response

    def test_a_complete_request_gets_503(self) -> None:
        with self._caller(COMPLETE) as caller:
            self.early.reject_overdue()
            response = self._read_all(caller)
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn(b"\r\nretry-after: 0.5\r\n", response)
        self.assertEqual((self.early.rejected_count, self.early.errors), (1, []))

    def test_an_incomplete_request_is_left_unread_for_the_program(self) -> None:
        parts = (b"", HEAD, COMPLETE[:-1], HEAD + b"Expect: 100-continue\r\n\r\nbody")
        for data in parts:
            with self.subTest(data=data), self._caller(data):
                self.early.reject_overdue()
                _, accepted = self.early.hand_over()
                kept = accepted.pop()
                self.addCleanup(kept.close)
                if data:
                    self.assertEqual(kept.recv(READ_BYTES), data)
        self.assertEqual(self.early.rejected_count, 0)

    def test_a_nested_alarm_changes_nothing(self) -> None:
        """Guards against a timer signal that ends a starting process while callers wait."""

        def alarm_again(connection: socket.socket) -> float:
            if not alarms:
                alarms.append(connection)
                signal.raise_signal(signal.SIGALRM)
            return self.waited_s

        alarms: list[socket.socket] = []
        self.early = EarlyListener(self.early.hand_over()[0], b"x-time-ms", alarm_again)
        previous_handler = signal.getsignal(signal.SIGALRM)
        self.addCleanup(signal.signal, signal.SIGALRM, previous_handler)
        with mock.patch("signal.setitimer"):
            self.early.start()
        with self._caller(COMPLETE) as caller:
            signal.raise_signal(signal.SIGALRM)
            self.assertTrue(self._read_all(caller).startswith(b"HTTP/1.1 503 "))
        self.assertEqual((len(alarms), self.early.rejected_count, self.early.errors), (1, 1, []))

    def test_an_alarm_after_the_handover_accepts_no_connection(self) -> None:
        """Guards against accepting a connection that the program never gets."""
        previous_handler = signal.getsignal(signal.SIGALRM)
        self.addCleanup(signal.signal, signal.SIGALRM, previous_handler)
        with mock.patch("signal.setitimer"):
            self.early.start()
            listener, _ = self.early.hand_over()
        with self._caller(COMPLETE):
            signal.raise_signal(signal.SIGALRM)
            accepted, _ = listener.accept()
            with accepted:
                self.assertEqual(accepted.recv(READ_BYTES), COMPLETE)

    def test_an_error_in_an_alarm_does_not_end_the_start(self) -> None:
        def fail(connection: socket.socket) -> float:
            raise RuntimeError("unforeseen")

        self.early = EarlyListener(self.early.hand_over()[0], b"x-time-ms", fail)
        previous_handler = signal.getsignal(signal.SIGALRM)
        self.addCleanup(signal.signal, signal.SIGALRM, previous_handler)
        with mock.patch("signal.setitimer"):
            self.early.start()
        with self._caller(COMPLETE):
            signal.raise_signal(signal.SIGALRM)
        self.assertEqual([str(error) for error in self.early.errors], ["unforeseen"])

    def test_a_request_that_is_completed_later_is_rejected_then(self) -> None:
        with self._caller(HEAD) as caller:
            self.early.reject_overdue()
            caller.sendall(b"\r\nbody")
            self.early.reject_overdue()
            self.assertTrue(self._read_all(caller).startswith(b"HTTP/1.1 503 "))

    def test_a_request_waits_for_a_share_of_its_timeout(self) -> None:
        timed = HEAD + b"X-Time-Ms: 6000\r\n\r\nbody"
        for data, limit_s in ((timed, 2.0), (COMPLETE, DEFAULT_MAX_WAIT_S)):
            with self.subTest(data=data), self._caller(data) as caller:
                before = self.early.rejected_count
                self.waited_s = limit_s - 0.01
                self.early.reject_overdue()
                self.assertEqual(self.early.rejected_count, before)
                self.waited_s = limit_s
                self.early.reject_overdue()
                self.assertEqual(self.early.rejected_count, before + 1)
                self.assertTrue(self._read_all(caller).startswith(b"HTTP/1.1 503 "))

    # Guards against resets of all waiting callers when a slow start is stopped before its end.
    def test_no_request_waits_for_a_host_that_was_told_to_stop_and_would_have_closed(self) -> None:
        self.waited_s = 0.0
        timed = HEAD + b"X-Time-Ms: 6000\r\n\r\nbody"
        with self._caller(timed) as caller, self._caller(HEAD):
            self.early.reject_overdue()
            self.stop_requested_s = boot_s()
            self.early.reject_overdue()
            self.assertEqual(self.early.rejected_count, 0)
            self.stop_requested_s = boot_s() - DEREGISTRATION_DELAY_S
            self.early.reject_overdue()
            self.assertTrue(self._read_all(caller).startswith(b"HTTP/1.1 503 "))
        self.assertEqual((self.early.rejected_count, self.early.errors), (1, []))

    def test_a_disconnected_caller_is_dropped(self) -> None:
        with self._caller(b""):
            pass
        self.early.reject_overdue()
        self.assertEqual(self.early.hand_over()[1], [])

    def test_no_request_waits_long_for_a_slow_start(self) -> None:
        """Guards against callers waiting for a host that can't read their requests yet."""
        previous_handler = signal.getsignal(signal.SIGALRM)
        self.addCleanup(signal.signal, signal.SIGALRM, previous_handler)
        with self._caller(COMPLETE) as caller:
            self.early.start()
            time.sleep(0.3)  # Stands for the program's imports.
            self.early.hand_over()
            self.assertEqual(self.early.rejected_count, 1)
            self.assertTrue(self._read_all(caller).startswith(b"HTTP/1.1 503 "))

    def test_without_a_timer_callers_wait_and_the_program_starts(self) -> None:
        previous_handler = signal.getsignal(signal.SIGALRM)
        self.addCleanup(signal.signal, signal.SIGALRM, previous_handler)
        error = OSError("no timer")
        with mock.patch("yewloom.early_listener.signal.setitimer", side_effect=error):
            self.early.start()
            self.early.hand_over()
        self.assertEqual(self.early.errors, [error])

    def test_a_request_of_unknown_age_counts_from_when_it_was_accepted(self) -> None:
        self.waited_s = 0.0
        with self._caller(HEAD + b"X-Time-Ms: 300\r\n\r\nbody") as caller:
            self.early.reject_overdue()
            self.assertEqual(self.early.rejected_count, 0)
            time.sleep(0.1)  # A third of its timeout.
            self.early.reject_overdue()
            self.assertTrue(self._read_all(caller).startswith(b"HTTP/1.1 503 "))

    def test_accepted_connections_are_handed_to_the_program(self) -> None:
        with self._caller(HEAD):
            self.early.reject_overdue()
        listener, accepted = self.early.hand_over()
        self.assertEqual(len(accepted), 1)
        self.assertGreaterEqual(listener.fileno(), 0)
