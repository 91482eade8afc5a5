"""Spread the times at which refused callers return, so that each finds room for its job."""

from __future__ import annotations

import math

import attrs

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0
# Entries of the past are dropped once there are this many.
MAX_ENTRIES = 256


@attrs.define
class ReturnTimes:
    """Assign one return time after the other for each team and priority.

    Callers that were refused earlier return earlier. Callers of urgent queues wait behind less
    work, so they return before others.
    """

    # When the next caller should return, on the local clock in ms.
    _next_ms: dict[tuple[str, int], float] = attrs.Factory(dict)

    def copy(self) -> ReturnTimes:
        """Return a copy, which assigns times that no caller gets."""
        return ReturnTimes(dict(self._next_ms))

    def assign(self, key: tuple[str, int], excess_ms: float, job_ms: float, now: float) -> float:
        """Return in how many whole seconds a caller should return.

        Its job is accepted once the wait has fallen by `excess_ms`, and takes `job_ms` of the
        pool's time.
        """
        latest_ms = now + MAX_RETRY_AFTER_S * 1000
        return_ms = min(latest_ms, max(now + excess_ms, self._next_ms.get(key, now)))
        if len(self._next_ms) >= MAX_ENTRIES:
            self._next_ms = {k: at for k, at in self._next_ms.items() if at > now}
        self._next_ms[key] = min(latest_ms, return_ms + job_ms)
        return max(MIN_RETRY_AFTER_S, float(math.ceil((return_ms - now) / 1000)))
