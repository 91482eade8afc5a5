"""Notice from the progress of running tasks that a worker has become slower or faster.

The pace of a run is compared with its own pace earlier on, so declared durations don't matter. A
gang runs at the pace of its slowest member, so its progress tells nothing of a single worker.
"""

from __future__ import annotations

import attrs

from baobabhoist.cell.speed_estimates import SpeedEstimates

# Progress over a shorter time is dominated by the delays of reports.
MIN_INTERVAL_MS = 200.0
# A worker has changed its speed if the pace of a run on it differs by this factor.
CHANGE_FACTOR = 2.0
# The percents of a report are rounded, so that a gain may be inaccurate by this much.
PERCENT_ROUNDING = 1.0


@attrs.frozen
class Progress:
    """Hold how many percent of a run were gained in how much time."""

    percent: float = 0.0
    took_ms: float = 0.0

    @property
    def ms_per_percent(self) -> float:
        """Return the time that a percent took as reported."""
        return self.took_ms / self.percent

    @property
    def least_ms_per_percent(self) -> float:
        """Return the time that a percent took at least."""
        return self.took_ms / (self.percent + PERCENT_ROUNDING)

    @property
    def most_ms_per_percent(self) -> float:
        """Return the time that a percent took at most."""
        certain_percent = self.percent - PERCENT_ROUNDING
        return self.took_ms / certain_percent if certain_percent > 0.0 else float("inf")

    def plus(self, other: Progress) -> Progress:
        """Return the progress of both times together."""
        return Progress(self.percent + other.percent, self.took_ms + other.took_ms)

    def is_changed_since(self, earlier: Progress) -> bool:
        """Return whether the pace certainly differs from an earlier one by the change factor."""
        is_slower = self.least_ms_per_percent >= CHANGE_FACTOR * earlier.most_ms_per_percent
        is_faster = self.most_ms_per_percent * CHANGE_FACTOR <= earlier.least_ms_per_percent
        return is_slower or is_faster


@attrs.define
class RunPace:
    """Hold the progress of a run since its last change, and the slowdown of its worker then."""

    steady: Progress | None = None
    worker_slowdown: float = 1.0
    # The progress that was reported last, and when, on the worker's own clock.
    percent: float = 0.0
    clock_ms: float = 0.0

    def observe(
        self, speeds: SpeedEstimates, worker_id: str, percent: float, clock_ms: float
    ) -> bool:
        """Record progress; return whether it shows that the worker's speed has changed."""
        progress = self._next_progress(percent, clock_ms)
        if progress is None:
            return False
        if self.steady is None:
            self.steady = progress
            self.worker_slowdown = speeds.worker_slowdown(worker_id)
            return False
        if not progress.is_changed_since(self.steady):
            self.steady = self.steady.plus(progress)
            return False
        # Runs on the same worker give the same result, so it does not matter how many report it.
        self.worker_slowdown *= progress.ms_per_percent / self.steady.ms_per_percent
        self.steady = progress
        speeds.reset_worker(worker_id, self.worker_slowdown)
        return True

    def _next_progress(self, percent: float, clock_ms: float) -> Progress | None:
        """Return the progress since the last report that counted, if this one counts."""
        gained_percent, took_ms = percent - self.percent, clock_ms - self.clock_ms
        # The clock of the worker was set back.
        is_set_back = took_ms < 0.0
        if gained_percent <= 0.0 or (self.percent and 0.0 <= took_ms < MIN_INTERVAL_MS):
            return None
        # The first percents include the start of the task.
        is_first = not self.percent
        self.percent, self.clock_ms = percent, clock_ms
        return None if is_first or is_set_back else Progress(gained_percent, took_ms)
