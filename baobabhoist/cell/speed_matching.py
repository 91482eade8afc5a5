"""Match work to workers of unlike speed: patient work goes to slow ones.

A job is worth the same whenever it meets its objective. So work with time to spare takes slow
workers, and the fast ones stay free for work that would be late anywhere else.
"""

from __future__ import annotations

from baobabhoist.cell.jobs import JobState

# Of the time that a job has left, this part may be planned for: declared times are far off.
USABLE_SLACK_FRACTION = 0.5
# A job with less than this many times its work left takes the fastest worker.
MIN_TOLERANCE_FOR_SLOW_WORKERS = 3.0
# Keeps every worker that is too slow behind every one that is fast enough.
TOO_SLOW_COST = 10.0


def slowdown_tolerance(job: JobState, duration_ratio: float, now: float) -> float:
    """Return how many times longer than on a mean worker the rest of a job may take."""
    work_ms = max(1.0, job.remaining_critical_path_ms() * duration_ratio)
    return (job.objective_ms - now) / work_ms


def speed_cost(slowdown: float, tolerance: float) -> float:
    """Return how little a worker of this slowness suits; the least comes first."""
    if tolerance < MIN_TOLERANCE_FOR_SLOW_WORKERS:
        return slowdown
    limit = tolerance * USABLE_SLACK_FRACTION
    return limit - slowdown if slowdown <= limit else TOO_SLOW_COST + slowdown
