"""Write log lines to a pipe without ever blocking: a full pipe drops lines and counts them."""

from __future__ import annotations

import logging
import os
from typing import TextIO

# Lines of one event beyond this many a second are left out and counted.
MAX_EVENT_LINES_PER_S = 400


class NonBlockingHandler(logging.Handler):
    """Write each record as one line with one system call."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._fd = stream.fileno()
        os.set_blocking(self._fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
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
    """Bound the lines of each event a second and say how many were left out."""

    def __init__(self, attribute: str, per_second: int = MAX_EVENT_LINES_PER_S) -> None:
        super().__init__()
        self.suppressed_lines = 0
        self._attribute = attribute
        self._per_second = per_second
        self._second = 0
        self._counts: dict[object, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a record is written; warnings and errors always are."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._counts.clear()
        event = getattr(record, self._attribute, record.name)
        count = self._counts[event] = self._counts.get(event, 0) + 1
        if count <= self._per_second or record.levelno >= logging.WARNING:
            return True
        self.suppressed_lines += 1
        return False
