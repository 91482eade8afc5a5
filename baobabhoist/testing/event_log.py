"""Write the event log of a fake, against which the soak checks the guarantees."""

from __future__ import annotations

import os
import time
from typing import Any

import orjson


class EventLog:
    """Append events to a file as JSON lines with their Unix time; an empty path discards them."""

    def __init__(self, path: str) -> None:
        self._file = None
        if path:
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, event: str, worker: str, **fields: Any) -> None:
        """Append an event in a single system call, so that a kill cannot truncate a line."""
        if self._file is not None:
            entry = {"t": time.time(), "event": event, "worker": worker, **fields}
            os.write(self._file, orjson.dumps(entry, default=str) + b"\n")
