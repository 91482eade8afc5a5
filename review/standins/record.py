"""Write what was sent, answered and run to record.txt, with seconds since the start."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, TextIO


class Record:
    """Append events to a file."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def add(self, event: str, **fields: Any) -> None:
        """Append one event."""
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{self.now_s():9.3f} {event} {text}\n")
        self._file.flush()
