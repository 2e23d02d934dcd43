"""Structured logs on standard output, written without blocking the program.

Lines that the reader of the pipe does not accept yet are buffered up to ``MAX_PENDING_BYTES``;
further lines are dropped and counted.
"""

import logging
import os
from collections import deque
from collections.abc import Callable

import structlog

MAX_PENDING_BYTES = 262144
"""Maximum size of the buffered log lines; enough for the lines of a few hundred requests."""


class LogSink:
    """A file-like object for structlog that writes to a file descriptor without blocking."""

    def __init__(self, descriptor: int, on_line_dropped: Callable[[], None]) -> None:
        self._descriptor = descriptor
        self._on_line_dropped = on_line_dropped
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line now, buffer it, or drop it if the buffer is full."""
        data = text.encode()
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.flush()
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self._on_line_dropped()
            return len(text)
        self._pending.append(data)
        self._pending_bytes += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write buffered lines until the reader accepts no more."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is nowhere else to log this.
                self._on_line_dropped()
                written = len(self._pending[0])
            self._pending_bytes -= written
            remainder = self._pending.popleft()[written:]
            if remainder:
                self._pending.appendleft(remainder)


def configure_logs(level: str, sink: LogSink, host: str = "") -> None:
    """Configure structlog to write events at or above a level to a sink, with the host's name."""

    def add_host(
        logger: structlog.typing.WrappedLogger, method: str, fields: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        fields["host"] = host
        return fields

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            add_host,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.ExceptionRenderer(),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(sink),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
