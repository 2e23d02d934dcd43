"""The socket for callers, opened before the program's long imports.

A host that starts needs a second until it serves: half a second of processor time on half a core,
nearly all of it for imports. A caller that is refused a connection meanwhile has spent one of its
few tries; one whose connection waits is answered once the host serves.

A busy or slow machine needs many times as long. A caller that waited for that would spend all of
its time here, so a timer of the system interrupts the start again and again, and a request that has
waited for a part of its time is told to come back, which lets its caller go elsewhere.
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
from yewloom.socket_ages import received_ago_s

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted; a full queue costs a caller seconds."""

WAIT_SHARE = 1 / 3
"""Part of a request's time for which it may wait; the rest is for its caller to go elsewhere."""

USUAL_WAIT_S = 0.8
"""The same for a request that names no time: callers give up what was not read in a second."""

LOOK_S = 0.1
"""Time between two looks for requests that have waited for too long."""

NOT_READY_RETRY_AFTER_S = 0.5
"""When a caller should come back to a host that can't serve yet."""

PEEK_BYTES = 65536
"""Longest request that is refused before the program runs; longer ones wait for it."""

_REFUSAL = (
    "HTTP/1.1 503 Service Unavailable\r\n"
    f"retry-after: {NOT_READY_RETRY_AFTER_S:g}\r\n"
    "connection: close\r\ncontent-length: 0\r\n\r\n"
).encode()

_HEAD_END = b"\r\n\r\n"
_DEADLINE = rb"\r\n%s:[ \t]*(\d{1,9})[ \t]*\r\n"
"""Pattern of a header line with a number of milliseconds."""

_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.IGNORECASE)
_UNKNOWN_LENGTH = re.compile(rb"\r\n(transfer-encoding|expect):", re.IGNORECASE)


class EarlyListener:
    """The socket for callers until the program takes it over; for the main thread alone.

    ``deadline_header`` is the lower-case name of the header in which callers state their time.
    ``refused`` counts the requests that were refused, and ``errors`` holds what went wrong, for the
    program's log.
    """

    def __init__(
        self,
        listener: socket.socket,
        deadline_header: bytes,
        waited_s: Callable[[socket.socket], float] = received_ago_s,
    ) -> None:
        self._listener = listener
        self._listener.setblocking(False)
        self._deadline = re.compile(_DEADLINE % re.escape(deadline_header), re.IGNORECASE)
        self._waited_s = waited_s
        self._seen_s: dict[socket.socket, float] = {}  # Accepted connections, and since when.
        self._has_timer = False
        self._is_looking = False
        self._is_taken_over = False
        self.refused = 0
        self.errors: list[Exception] = []

    def start(self) -> None:
        """Begin to refuse what waits too long."""
        signal.signal(signal.SIGALRM, self._on_alarm)
        try:
            signal.setitimer(signal.ITIMER_REAL, LOOK_S, LOOK_S)
            self._has_timer = True
        except OSError as error:
            self.errors.append(error)  # Callers wait for the program, as they do on a quick start.

    def take_over(self) -> tuple[socket.socket, list[socket.socket]]:
        """Return the socket, and the connections that were accepted but not answered."""
        self._stop_timer()
        self._is_taken_over = True  # An alarm may have come before that and be run behind it.
        return self._listener, list(self._seen_s)

    def refuse_late(self) -> None:
        """Refuse the requests that have come whole and waited for too long."""
        self._accept_waiting()
        for connection in list(self._seen_s):
            if self._has_refused(connection):
                del self._seen_s[connection]

    def _stop_timer(self) -> None:
        if self._has_timer:
            signal.setitimer(signal.ITIMER_REAL, 0)

    def _on_alarm(self, number: int, frame: FrameType | None) -> None:
        """Run in the middle of whatever the program imports: no error may come out of here.

        On a process that is let wait that may be the alarm before, which is then at work.
        """
        if self._is_looking or self._is_taken_over:
            return
        self._is_looking = True
        try:
            self.refuse_late()
        except OSError as error:
            self.errors.append(error)
        except Exception as error:
            self.errors.append(error)
            self._stop_timer()  # Callers wait for the program, as they do on a quick start.
        finally:
            self._is_looking = False

    def _accept_waiting(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return  # None waits any more.
            connection.setblocking(False)
            self._seen_s[connection] = boot_s()

    def _has_refused(self, connection: socket.socket) -> bool:
        """Refuse a request if it is due; tell whether the connection is done with."""
        try:
            data = connection.recv(PEEK_BYTES, socket.MSG_PEEK)
            if data and not self._is_due(connection, data):
                return False
            if data:
                # Bytes that were left unread would reset the connection before the answer is read.
                connection.recv(len(data))
                connection.send(_REFUSAL)
                self.refused += 1
        except BlockingIOError:
            return False  # Nothing was sent yet.
        except OSError as error:
            self.errors.append(error)
        connection.close()
        return True

    def _is_due(self, connection: socket.socket, data: bytes) -> bool:
        """Tell whether a request has come whole and has waited for its part of its time."""
        if not _is_whole(data):
            return False
        stated = self._deadline.search(data)
        limit_s = int(stated[1]) / 1000 * WAIT_SHARE if stated is not None else USUAL_WAIT_S
        seen_for_s = boot_s() - self._seen_s[connection]
        return max(self._waited_s(connection), seen_for_s) >= limit_s


def open_early(settings: Path, deadline_header: bytes) -> EarlyListener | None:
    """Listen at the callers' address of a settings file; None if that can't be done yet.

    The program reads and checks the settings later, and listens itself where this did not.
    """
    address = _caller_address(settings)
    if address is None:
        return None
    try:
        return EarlyListener(listen(address), deadline_header)
    except (OSError, ValueError):
        return None  # The program tries again, and tells why it can't.


def listen(address: str) -> socket.socket:
    """Open a socket that listens at ``ip:port``; raises OSError, and ValueError if it is none."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(address))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def _is_whole(data: bytes) -> bool:
    """Tell whether bytes are a whole request of HTTP/1.1 whose length is known."""
    head, end, body = data.partition(_HEAD_END)
    if not end or _UNKNOWN_LENGTH.search(head):
        return False
    length = _LENGTH.search(head + _HEAD_END[:2])
    return len(body) >= (int(length[1]) if length is not None else 0)


def _caller_address(settings: Path) -> str | None:
    parser = new_parser()
    try:
        parser.read_string(settings.read_text(encoding="utf-8"))
        return parser.get("host", "caller_address")
    except (OSError, ValueError, configparser.Error):
        return None  # As above.
