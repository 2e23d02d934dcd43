"""The listening socket for callers, opened before the program's long imports.

A starting host needs about 1 s until it serves: with half a core, 0.5 s of processor time, nearly
all of it for imports. A caller whose connection is refused meanwhile has used up one of its few
attempts; a connection that waits in the accept queue is served once the host is ready.

On a busy or slow system the start takes many times as long, and a caller that waited for it would
use up its whole timeout here. Therefore a system timer interrupts the start repeatedly, and a
request that has waited for a certain share of its timeout is rejected with 503 and Retry-After, so
that its caller can try another host. So is each request once a stop was requested and a running
host would accept no more: the process may end before the program can answer.
"""

import configparser
import re
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from types import FrameType

from yewloom.addresses import split_address
from yewloom.boot_time import boot_s
from yewloom.ini_files import new_parser
from yewloom.planned_stop import DEREGISTRATION_DELAY_S
from yewloom.socket_ages import received_ago_s

LISTEN_BACKLOG = 512
"""Size of the accept queue; when it is full, connecting takes seconds."""

MAX_WAIT_SHARE = 1 / 3
"""Share of a request's timeout for which it may wait here; the rest is for a retry elsewhere."""

DEFAULT_MAX_WAIT_S = 0.8
"""Maximum wait of a request without a timeout: callers give up if it is not read within 1 s."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks for requests that have waited too long."""

NOT_READY_RETRY_AFTER_S = 0.5
"""Retry-After value sent by a host that can't serve yet."""

PEEK_BYTES = 65536
"""Maximum size of a request that can be rejected before the program runs; longer ones wait."""

_REJECTION = (
    "HTTP/1.1 503 Service Unavailable\r\n"
    f"retry-after: {NOT_READY_RETRY_AFTER_S:g}\r\n"
    "connection: close\r\ncontent-length: 0\r\n\r\n"
).encode()

_HEAD_END = b"\r\n\r\n"
_TIMEOUT_PATTERN = rb"\r\n%s:[ \t]*(\d{1,9})[ \t]*\r\n"
"""Pattern of a header line with a number of milliseconds."""

_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.IGNORECASE)
_UNKNOWN_LENGTH = re.compile(rb"\r\n(transfer-encoding|expect):", re.IGNORECASE)


class EarlyListener:
    """The callers' listening socket until the program takes it over; for the main thread only.

    ``deadline_header`` is the lower-case name of the header with the caller's timeout, and
    ``stop_requested_s`` returns when a stop was requested, in seconds since boot, if it was.
    ``rejected_count`` is the number of rejected requests, and ``errors`` holds errors; the program
    logs both.
    """

    def __init__(
        self,
        listener: socket.socket,
        deadline_header: bytes,
        waited_s: Callable[[socket.socket], float] = received_ago_s,
        stop_requested_s: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._listener = listener
        self._listener.setblocking(False)
        self._timeout_pattern = re.compile(
            _TIMEOUT_PATTERN % re.escape(deadline_header), re.IGNORECASE
        )
        self._waited_s = waited_s
        self._stop_requested_s = stop_requested_s
        self._accepted_s: dict[socket.socket, float] = {}  # When each connection was accepted.
        self._has_timer = False
        self._is_checking = False
        self._is_handed_over = False
        self.rejected_count = 0
        self.errors: list[Exception] = []

    def start(self) -> None:
        """Start rejecting requests that have waited too long."""
        signal.signal(signal.SIGALRM, self._on_alarm)
        try:
            signal.setitimer(signal.ITIMER_REAL, CHECK_INTERVAL_S, CHECK_INTERVAL_S)
            self._has_timer = True
        except OSError as error:
            self.errors.append(error)  # Callers then wait for the program, as on a fast start.

    def hand_over(self) -> tuple[socket.socket, list[socket.socket]]:
        """Return the socket, and the connections that were accepted but not answered."""
        self._stop_timer()
        self._is_handed_over = True  # The handler may still run for an earlier signal.
        return self._listener, list(self._accepted_s)

    def reject_overdue(self) -> None:
        """Reject the requests that have arrived completely and waited too long."""
        self._accept_waiting()
        for connection in list(self._accepted_s):
            if self._reject_if_overdue(connection):
                del self._accepted_s[connection]

    def _stop_timer(self) -> None:
        if self._has_timer:
            signal.setitimer(signal.ITIMER_REAL, 0)

    def _on_alarm(self, number: int, frame: FrameType | None) -> None:
        """Handle the timer signal, which may interrupt an import: it must not raise.

        In a process that gets little processor time, it may even interrupt the previous call of
        itself.
        """
        if self._is_checking or self._is_handed_over:
            return
        self._is_checking = True
        try:
            self.reject_overdue()
        except OSError as error:
            self.errors.append(error)
        except Exception as error:
            self.errors.append(error)
            self._stop_timer()  # Callers then wait for the program, as on a fast start.
        finally:
            self._is_checking = False

    def _accept_waiting(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return  # The accept queue is empty.
            connection.setblocking(False)
            self._accepted_s[connection] = boot_s()

    def _reject_if_overdue(self, connection: socket.socket) -> bool:
        """Reject a request if it is overdue; return whether the connection is finished."""
        try:
            data = connection.recv(PEEK_BYTES, socket.MSG_PEEK)
            if data and not self._is_overdue(connection, data):
                return False
            if data:
                # Closing with unread bytes would reset the connection before the response is read.
                connection.recv(len(data))
                connection.send(_REJECTION)
                self.rejected_count += 1
        except BlockingIOError:
            return False  # The caller has sent nothing yet.
        except OSError as error:
            self.errors.append(error)
        connection.close()
        return True

    def _is_overdue(self, connection: socket.socket, data: bytes) -> bool:
        """Return whether a complete request has waited long enough, or comes late in a stop."""
        if not _is_complete(data):
            return False
        if self._is_late_in_stop():
            return True
        timeout_match = self._timeout_pattern.search(data)
        limit_s = (
            int(timeout_match[1]) / 1000 * MAX_WAIT_SHARE
            if timeout_match is not None
            else DEFAULT_MAX_WAIT_S
        )
        accepted_ago_s = boot_s() - self._accepted_s[connection]
        return max(self._waited_s(connection), accepted_ago_s) >= limit_s

    def _is_late_in_stop(self) -> bool:
        """Return whether a stop was requested so long ago that a host accepts no more requests."""
        requested_s = self._stop_requested_s()
        return requested_s is not None and boot_s() - requested_s >= DEREGISTRATION_DELAY_S


def open_early_listener(
    settings: Path, deadline_header: bytes, stop_requested_s: Callable[[], float | None]
) -> EarlyListener | None:
    """Listen at the callers' address in a settings file; return None if that fails.

    The program reads and validates the settings later, and opens the socket itself if this failed.
    """
    address = _caller_address(settings)
    if address is None:
        return None
    try:
        return EarlyListener(listen(address), deadline_header, stop_requested_s=stop_requested_s)
    except (OSError, ValueError):
        return None  # The program tries again and reports the error.


def listen(address: str) -> socket.socket:
    """Open a socket that listens at ``ip:port``; raises OSError, or ValueError if invalid."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(address))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def _is_complete(data: bytes) -> bool:
    """Return whether the bytes are a complete HTTP/1.1 request of known length."""
    head, end, body = data.partition(_HEAD_END)
    if not end or _UNKNOWN_LENGTH.search(head):
        return False
    length = _CONTENT_LENGTH.search(head + _HEAD_END[:2])
    return len(body) >= (int(length[1]) if length is not None else 0)


def _caller_address(settings: Path) -> str | None:
    parser = new_parser()
    try:
        parser.read_string(settings.read_text(encoding="utf-8"))
        return parser.get("host", "caller_address")
    except (OSError, ValueError, configparser.Error):
        return None  # The program reports the error.
