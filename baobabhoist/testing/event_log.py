"""Write a stand-in's own log, from which the soak judges the guarantees."""

from __future__ import annotations

import os
import time
from typing import Any

import orjson


class EventLog:
    """Append one JSON line per event with its Unix time; an empty path discards them."""

    def __init__(self, path: str) -> None:
        self._file = None
        if path:
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, event: str, worker: str, **fields: Any) -> None:
        """Append an event; one system call a line, so that a kill tears no line."""
        if self._file is not None:
            entry = {"t": time.time(), "event": event, "worker": worker, **fields}
            os.write(self._file, orjson.dumps(entry, default=str) + b"\n")
