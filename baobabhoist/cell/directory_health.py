"""Tell whether the directory leaves out only workers that have gone.

A worker enters the directory as its process starts, and its entry lapses when the process has been
silent for some heartbeats. Entries also lapse while the store is away, and those of living workers
are back soon after its return.
"""

from __future__ import annotations

import attrs

# Live workers are listed in the directory again within this time after a store outage.
DIRECTORY_RECOVERY_MS = 2_500.0
# The store counts as having been away if the directory was not read for this long.
MAX_READ_GAP_MS = 2_000.0


@attrs.define
class DirectoryHealth:
    """Track the reads of the directory; times are on the owner's clock, in ms."""

    _last_read_ms: float = float("-inf")
    _read_since_ms: float = float("inf")

    def record_read(self, now: float) -> None:
        """Record that all entries are known as of now."""
        if now - self._last_read_ms > MAX_READ_GAP_MS:
            self._read_since_ms = now
        self._last_read_ms = now

    def is_complete(self, now: float) -> bool:
        """Return whether each worker that lives and reaches the store is listed."""
        is_current = now - self._last_read_ms <= MAX_READ_GAP_MS
        return is_current and now - self._read_since_ms >= DIRECTORY_RECOVERY_MS

    def is_complete_since(self, since_ms: float, now: float) -> bool:
        """Return whether no read has failed since a time, and each living worker is listed."""
        return self._read_since_ms <= since_ms and self.is_complete(now)
