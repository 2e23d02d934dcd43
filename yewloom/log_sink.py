"""Structured logs on standard output that never hold up the program.

Lines are written without waiting. While nobody reads, up to a bound of bytes is held; lines beyond
it are left out and counted.
"""

import logging
import os
from collections import deque
from collections.abc import Callable

import structlog

MAX_HELD_BYTES = 262144
"""Bytes of log lines held while nobody reads: some hundred requests."""


class LogSink:
    """A file for structlog that writes to a descriptor without blocking."""

    def __init__(self, descriptor: int, on_lost: Callable[[], None]) -> None:
        self._descriptor = descriptor
        self._on_lost = on_lost
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take one line; it is written now, later, or left out."""
        data = text.encode()
        if self._held_bytes + len(data) > MAX_HELD_BYTES:
            self.flush()
        if self._held_bytes + len(data) > MAX_HELD_BYTES:
            self._on_lost()
            return len(text)
        self._held.append(data)
        self._held_bytes += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what is held, as far as the reader takes it."""
        while self._held:
            try:
                written = os.write(self._descriptor, self._held[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good, and there is no other place to say so.
                self._on_lost()
                written = len(self._held[0])
            self._held_bytes -= written
            rest = self._held.popleft()[written:]
            if rest:
                self._held.appendleft(rest)


def set_up_logs(level: str, sink: LogSink, host: str = "") -> None:
    """Send all log events at or above a level to a sink as JSON lines that name the host."""

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
