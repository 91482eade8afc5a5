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


@attrs.define
class RunPace:
    """Hold the pace of a run since its last change, and the slowdown of its worker then."""

    ms_per_percent: float = 0.0
    worker_slowdown: float = 1.0
    # The progress that was reported last, and when, on the worker's own clock.
    percent: float = 0.0
    clock_ms: float = 0.0

    def observe(
        self, speeds: SpeedEstimates, worker_id: str, percent: float, clock_ms: float
    ) -> bool:
        """Record progress; return whether it shows that the worker's speed has changed."""
        pace = self._next_pace(percent, clock_ms)
        if not pace:
            return False
        if not self.ms_per_percent:
            self.ms_per_percent = pace
            self.worker_slowdown = speeds.worker_slowdown(worker_id)
            return False
        ratio = pace / self.ms_per_percent
        if 1.0 / CHANGE_FACTOR < ratio < CHANGE_FACTOR:
            return False
        # Runs on the same worker give the same result, so it does not matter how many report it.
        self.ms_per_percent = pace
        self.worker_slowdown *= ratio
        speeds.reset_worker(worker_id, self.worker_slowdown)
        return True

    def _next_pace(self, percent: float, clock_ms: float) -> float:
        """Return the pace since the last report that counted, or 0 if this one doesn't count."""
        gained_percent, took_ms = percent - self.percent, clock_ms - self.clock_ms
        # The clock of the worker was set back.
        is_set_back = took_ms < 0.0
        if gained_percent <= 0.0 or (self.percent and 0.0 <= took_ms < MIN_INTERVAL_MS):
            return 0.0
        # The first percents include the start of the task.
        is_first = not self.percent
        self.percent, self.clock_ms = percent, clock_ms
        return 0.0 if is_first or is_set_back else took_ms / gained_percent
