"""Rank waiting steps for a full cell: steps that can still meet their objective come first."""

from __future__ import annotations

import enum
from typing import NamedTuple

from baobabhoist.cell.jobs import JobState, StepState
from baobabhoist.cell.model import Queue

# Before that of all queues.
FIRST_PRIORITY = -1


class Timeliness(enum.IntEnum):
    """List how much of its value a job can still earn: all, part or none."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class Rank(NamedTuple):
    """Hold the sort key of a waiting step; the lowest comes first."""

    timeliness: Timeliness
    priority: int
    slack_ms: float
    accepted_ms: float


def timeliness_of(job: JobState, now: float) -> Timeliness:
    """Return how timely a job would end if the rest of it started now."""
    done_ms = now + job.remaining_critical_path_ms()
    if done_ms <= job.objective_ms:
        return Timeliness.ON_TIME
    return Timeliness.LATE if done_ms <= job.late_limit_ms else Timeliness.EXPIRED


def rank_step(step: StepState, queue: Queue | None, now: float) -> Rank:
    """Return the rank of a waiting step; tasks that last come first, as they earn all the time."""
    job = step.job
    if step.spec.lasting:
        return Rank(Timeliness.ON_TIME, FIRST_PRIORITY, 0.0, job.accepted_local_ms)
    priority = queue.priority if queue is not None else 0
    # How long the job can still wait without missing its objective.
    slack_ms = job.objective_ms - now - job.remaining_critical_path_ms()
    return Rank(timeliness_of(job, now), priority, slack_ms, job.accepted_local_ms)
