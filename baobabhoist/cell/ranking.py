"""Rank waiting steps when the cell is full: who can still be served in time comes first."""

from __future__ import annotations

import enum
from typing import NamedTuple

from baobabhoist.cell.jobs import JobState, StepState
from baobabhoist.cell.model import Queue


class Timeliness(enum.IntEnum):
    """Name how much of a job's worth can still be had."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class Rank(NamedTuple):
    """Order waiting steps; the lowest comes first."""

    timeliness: Timeliness
    priority: int
    slack_ms: float
    accepted_ms: float


def timeliness_of(job: JobState, now: float) -> Timeliness:
    """Return what can still be had of a job if it started now."""
    done_at = now + job.remaining_critical_path_ms()
    if done_at <= job.objective_ms:
        return Timeliness.ON_TIME
    return Timeliness.LATE if done_at <= job.late_limit_ms else Timeliness.EXPIRED


def rank_step(step: StepState, queue: Queue | None, now: float) -> Rank:
    """Return the rank of a waiting step."""
    job = step.job
    priority = queue.priority if queue is not None else 0
    # How long the job can still wait and meet its objective.
    slack_ms = job.objective_ms - now - job.remaining_critical_path_ms()
    return Rank(timeliness_of(job, now), priority, slack_ms, job.accepted_local_ms)
