"""Read the clocks: one that goes on while the machine is suspended, and the time of day."""

from __future__ import annotations

import time

import attrs

MS_PER_S = 1000.0


def monotonic_ms() -> float:
    """Return the steady clock that also counts suspended time, in ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


def unix_ms() -> float:
    """Return the time of day in Unix ms; it may jump."""
    return time.time() * MS_PER_S


@attrs.define
class StoreClock:
    """Follow the store's steady clock, which all instances can read."""

    offset_ms: float | None = None

    def observe(self, now_ms: float) -> None:
        """Take over a reading; the least delayed one counts."""
        offset = now_ms - monotonic_ms()
        if self.offset_ms is None or offset > self.offset_ms:
            self.offset_ms = offset

    def now_ms(self) -> int:
        """Return the store's time, or the local one before any reading."""
        return int(monotonic_ms() + (self.offset_ms or 0.0))

    def to_local_ms(self, shared_ms: float) -> float:
        """Return a moment of the store's clock on the local steady clock."""
        return shared_ms - (self.offset_ms or 0.0)
