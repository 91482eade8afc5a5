"""Read the clocks: one that goes on while the machine is suspended, and the time of day."""

from __future__ import annotations

import time

import attrs

MS_PER_S = 1000.0


def boot_ms() -> float:
    """Return the steady clock that also counts suspended time, in ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


def unix_ms() -> float:
    """Return the time of day in Unix ms; it may jump."""
    return time.time() * MS_PER_S


@attrs.define
class SharedClock:
    """Follow the store's steady clock, which all instances can read."""

    ahead_ms: float | None = None

    def heard(self, now_ms: float) -> None:
        """Take over a reading; the least delayed one counts."""
        ahead = now_ms - boot_ms()
        if self.ahead_ms is None or ahead > self.ahead_ms:
            self.ahead_ms = ahead

    def now_ms(self) -> int:
        """Return the store's time, or the local one before any reading."""
        return int(boot_ms() + (self.ahead_ms or 0.0))

    def local_ms(self, shared_ms: float) -> float:
        """Return a moment of the store's clock on the local steady clock."""
        return shared_ms - (self.ahead_ms or 0.0)
