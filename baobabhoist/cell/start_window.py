"""Limit the starts in progress, so that an owner never decides more than it can send in time.

A start that waits behind many others reaches its worker after its ticket has expired, and an
answer that waits as long counts as lost. Both waste work, which delays the next starts even more.
The limit follows the usual rules for congestion windows: a small limit doubles while answers are
quick (slow start); after the first slow answer it grows additively and shrinks multiplicatively.
"""

from __future__ import annotations

import attrs

from baobabhoist.cell.jobs import Run, RunPhase

INITIAL_LIMIT = 32.0
MIN_LIMIT = 16.0
MAX_LIMIT = 4_096.0
# Time from sending a start to its answer above which the owner or its link is overloaded.
SLOW_ANSWER_MS = 250.0
# A start without an answer counts as slow only if none was answered quickly for this long:
# otherwise its worker is silent, and not the owner overloaded.
QUICK_ANSWER_VALID_MS = 1_000.0
DECREASE_FACTOR = 0.7
# Increase per window of quick answers, once the first slow answer has been seen.
INCREASE_PER_WINDOW = 8.0


@attrs.define
class StartWindow:
    """Track the starts in progress and adapt their limit to how quickly they are answered."""

    limit: float = INITIAL_LIMIT
    _starting: list[Run] = attrs.Factory(list)
    _has_decreased: bool = False
    # Answers of starts that were sent before the last decrease do not decrease the limit again.
    _next_decrease_ms: float = 0.0
    _last_quick_answer_ms: float = float("-inf")

    def add(self, run: Run) -> None:
        """Add a run whose start has been decided."""
        self._starting.append(run)

    def refresh(self) -> None:
        """Drop the runs whose start was answered or is no longer wanted."""
        self._starting = [run for run in self._starting if _is_starting(run)]

    @property
    def starting_count(self) -> int:
        """Return how many starts are in progress, as of the last refresh and what was added."""
        return len(self._starting)

    @property
    def remaining(self) -> int:
        """Return how many more starts may be decided now."""
        return max(0, int(self.limit) - len(self._starting))

    def count_remaining(self) -> int:
        """Return how many starts would remain after a refresh, without refreshing."""
        return max(0, int(self.limit) - sum(map(_is_starting, self._starting)))

    def record_answer(self, answer_ms: float, now: float) -> None:
        """Adapt the limit to the time that a worker's answer to a start took."""
        if answer_ms <= SLOW_ANSWER_MS:
            self._last_quick_answer_ms = now
            self._increase()
        else:
            self._decrease(answer_ms, now)

    def record_timeout(self, waited_ms: float, now: float) -> None:
        """Adapt the limit to a start that got no answer in time."""
        if now - self._last_quick_answer_ms > QUICK_ANSWER_VALID_MS:
            self._decrease(waited_ms, now)

    def _decrease(self, answer_ms: float, now: float) -> None:
        if now < self._next_decrease_ms:
            return
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
        self._has_decreased = True
        self._next_decrease_ms = now + answer_ms

    def _increase(self) -> None:
        if len(self._starting) * 2 < self.limit:
            # The limit has not held anything back, so its height is not tested.
            return
        step = INCREASE_PER_WINDOW / self.limit if self._has_decreased else 1.0
        self.limit = min(MAX_LIMIT, self.limit + step)


def _is_starting(run: Run) -> bool:
    return run.phase is RunPhase.STARTING and run.task.run is run
