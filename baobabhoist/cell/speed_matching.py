"""Match jobs to workers of different speed: jobs with slack go to slow workers.

A job earns its full value whenever it meets its latency objective. Jobs with slack therefore take
slow workers, and fast ones stay free for jobs that would be late on any other worker.
"""

from __future__ import annotations

from baobabhoist.cell.jobs import JobState

# Only this fraction of a job's remaining time is planned for, because declared durations are
# inaccurate.
PLANNED_TIME_FRACTION = 0.5
# A job whose remaining time is less than this multiple of its remaining work takes the fastest
# worker.
MIN_TOLERANCE_FOR_SLOW_WORKERS = 3.0
# Ranks every worker that is too slow behind every one that is fast enough.
TOO_SLOW_COST = 10.0


def slowdown_tolerance(job: JobState, duration_ratio: float, now: float) -> float:
    """Return how many times longer than on the mean worker the rest of a job may take."""
    work_ms = max(1.0, job.remaining_critical_path_ms() * duration_ratio)
    return (job.objective_ms - now) / work_ms


def speed_cost(slowdown: float, tolerance: float) -> float:
    """Return the placement cost of a worker with this slowdown; the lowest is preferred."""
    if tolerance < MIN_TOLERANCE_FOR_SLOW_WORKERS:
        return slowdown
    limit = tolerance * PLANNED_TIME_FRACTION
    return limit - slowdown if slowdown <= limit else TOO_SLOW_COST + slowdown
