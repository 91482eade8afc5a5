"""Match work to workers of unlike speed: patient work goes to slow ones.

A job is worth the same whenever it meets its objective. So work with time to spare takes slow
workers, and the fast ones stay free for work that would be late anywhere else.
"""

from __future__ import annotations

from baobabhoist.cell.jobs import JobState

# Of the time that a job has left, this part may be planned for: declared times are far off.
PLANNED_PART = 0.5
# A job with less than this many times its work left takes the fastest worker.
PATIENT_FROM = 3.0
# Keeps every worker that is too slow behind every one that is fast enough.
TOO_SLOW_COST = 10.0


def tolerance(job: JobState, stretch: float, now: float) -> float:
    """Return how many times longer than on a mean worker the rest of a job may take."""
    work_ms = max(1.0, job.remaining_ms() * stretch)
    return (job.objective_ms - now) / work_ms


def speed_cost(factor: float, tolerated: float) -> float:
    """Return how little a worker of this slowness suits; the least comes first."""
    if tolerated < PATIENT_FROM:
        return factor
    limit = tolerated * PLANNED_PART
    return limit - factor if factor <= limit else TOO_SLOW_COST + factor
