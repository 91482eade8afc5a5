"""Tell when an owner is given more work than it can start, although workers have room.

Accepted work would then wait behind a backlog that only grows. New jobs are refused until the
backlog is short again: their callers can come back, and what was accepted starts in time.
"""

from __future__ import annotations

import attrs

# A backlog that takes longer than this to start is too long.
MAX_WAIT_MS = 2_000.0
# It counts once starts have been held back for this long on end, so not right after a takeover.
SUSTAINED_MS = 3_000.0
# Rounds without a start that is held back do not end a backlog before this time has passed.
GAP_MS = 500.0
RATE_WINDOW_MS = 500.0
# Weight of the last window in the rate of starts.
RATE_WEIGHT = 0.5


@attrs.define
class StartBacklog:
    """Track the tasks that only the limit on starts holds back; all times in ms."""

    held_back_tasks: int = 0
    # Starts per ms, lately.
    rate: float = 0.0
    _held_back_since_ms: float | None = None
    _last_held_back_ms: float = float("-inf")
    _window_started_ms: float = 0.0
    _window_starts: int = 0

    def record_round(self, starts: int, held_back_tasks: int, now: float) -> None:
        """Record a scheduling round: how many tasks started, and how many were held back."""
        self._count_starts(starts, now)
        self.held_back_tasks = held_back_tasks
        if held_back_tasks:
            self._last_held_back_ms = now
            if self._held_back_since_ms is None:
                self._held_back_since_ms = now
        elif now - self._last_held_back_ms > GAP_MS:
            self._held_back_since_ms = None

    def _count_starts(self, starts: int, now: float) -> None:
        self._window_starts += starts
        elapsed_ms = now - self._window_started_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return
        self.rate += RATE_WEIGHT * (self._window_starts / elapsed_ms - self.rate)
        self._window_started_ms, self._window_starts = now, 0

    def refuse_jobs_ms(self, now: float) -> float:
        """Return for how long new jobs should be refused, or 0."""
        since_ms = self._held_back_since_ms
        if since_ms is None or now - since_ms < SUSTAINED_MS:
            return 0.0
        return max(0.0, self._expected_wait_ms() - MAX_WAIT_MS)

    def _expected_wait_ms(self) -> float:
        if not self.held_back_tasks:
            return 0.0
        return self.held_back_tasks / self.rate if self.rate > 0.0 else 2 * MAX_WAIT_MS
