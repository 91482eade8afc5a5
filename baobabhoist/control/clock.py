"""Read the monotonic clock, the wall clock and the store's clock."""

from __future__ import annotations

import time

import attrs

MS_PER_S = 1000.0


def monotonic_ms() -> float:
    """Return the monotonic clock in ms; it also counts the time that the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


def unix_ms() -> float:
    """Return the wall clock as Unix time in ms; it may jump."""
    return time.time() * MS_PER_S


@attrs.define
class StoreClock:
    """Estimate the store's monotonic clock, which all instances share."""

    offset_ms: float | None = None

    def observe(self, store_ms: float) -> None:
        """Update the estimate; the reading with the least delay gives the largest offset."""
        offset = store_ms - monotonic_ms()
        if self.offset_ms is None or offset > self.offset_ms:
            self.offset_ms = offset

    def now_ms(self) -> int:
        """Return the store's time, or the local time before the first reading."""
        return int(monotonic_ms() + (self.offset_ms or 0.0))

    def to_store_ms(self, local_ms: float) -> float:
        """Convert a time of the local monotonic clock to the store's clock."""
        return local_ms + (self.offset_ms or 0.0)

    def to_local_ms(self, store_ms: float) -> float:
        """Convert a time of the store's clock to the local monotonic clock."""
        return store_ms - (self.offset_ms or 0.0)
