"""Handle log records without blocking on a full pipe and without flooding the log."""

from __future__ import annotations

import logging
import os
from typing import TextIO

# Further lines of the same event within one second are suppressed and counted.
MAX_EVENT_LINES_PER_S = 400


class NonBlockingHandler(logging.Handler):
    """Write each record with one non-blocking system call; drop lines that a full pipe refuses."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._fd = stream.fileno()
        os.set_blocking(self._fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped if the pipe is full or closed."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        try:
            if os.write(self._fd, line) < len(line):
                self.dropped_lines += 1
        except (BlockingIOError, BrokenPipeError):
            self.dropped_lines += 1


class RateLimitFilter(logging.Filter):
    """Limit the lines per second of each event and count the suppressed ones."""

    def __init__(self, attribute: str, max_per_second: int = MAX_EVENT_LINES_PER_S) -> None:
        super().__init__()
        self.suppressed_lines = 0
        self._attribute = attribute
        self._max_per_second = max_per_second
        self._current_second = 0
        self._counts: dict[object, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is to be written; warnings and errors always are."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second = second
            self._counts.clear()
        event = getattr(record, self._attribute, record.name)
        count = self._counts[event] = self._counts.get(event, 0) + 1
        if count <= self._max_per_second or record.levelno >= logging.WARNING:
            return True
        self.suppressed_lines += 1
        return False
