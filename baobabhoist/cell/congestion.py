"""Congestion of a pool: whether the waits for it are published, with hysteresis."""

from __future__ import annotations

import attrs

from baobabhoist.cell.expected_waits import BEGIN_WAIT_MS, END_WAIT_MS
from baobabhoist.cell.pool_loads import PoolLoad

# A pool counts as congested once it has been full for this long on end.
SUSTAINED_MS = 1_500.0
# Updates that find room do not end the congestion before this time has passed.
GAP_MS = 1_000.0
# Weight of the newest update in the moving average of the used part.
USE_WEIGHT = 0.3
# A pool is expected to have at least this part in use: gangs leave some of it idle.
MIN_USED_PART = 0.5


@attrs.define
class Congestion:
    """Decide with hysteresis whether waits for one pool are published; all times are in ms."""

    is_on: bool = False
    used_part: float = 0.0
    _full_since_ms: float | None = None
    _last_full_ms: float = float("-inf")

    def update(self, load: PoolLoad, now: float) -> None:
        """Record whether the pool is full now, and how much of it is in use."""
        self.used_part += USE_WEIGHT * (load.used_part - self.used_part)
        if load.has_shortage:
            self._last_full_ms = now
            if self._full_since_ms is None:
                self._full_since_ms, self.used_part = now, load.used_part
        elif now - self._last_full_ms > GAP_MS:
            self._full_since_ms, self.is_on = None, False

    def is_sustained(self, now: float) -> bool:
        """Return whether the pool has been full for long enough to count as congested."""
        return self._full_since_ms is not None and now - self._full_since_ms >= SUSTAINED_MS

    def judge(self, longest_wait_ms: float, now: float) -> bool:
        """Return whether the waits are published, given the longest of them."""
        threshold_ms = END_WAIT_MS if self.is_on else BEGIN_WAIT_MS
        self.is_on = self.is_sustained(now) and longest_wait_ms >= threshold_ms
        return self.is_on

    @property
    def expected_used_part(self) -> float:
        """Return the part of the pool that is expected to stay in use."""
        return min(1.0, max(MIN_USED_PART, self.used_part))
