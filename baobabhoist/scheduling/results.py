"""Define the results that the scheduler returns to the owner of a shard."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.model import Task
from baobabhoist.scheduling.policy import PreemptionAction


@attrs.frozen
class Placement:
    """Bind a task to a worker; its capacity and its place are already allocated.

    The task's resources are those that were granted, which may differ from the declared ones.
    """

    task: Task
    worker: str
    placed_at: float = 0.0


class Verdict(enum.StrEnum):
    """Define what to do with a task that ended."""

    DONE = "done"
    RETRY = "retry"
    GIVE_UP = "give_up"


@attrs.frozen
class Preemption:
    """Ask a worker to preempt a task, whose capacity is free once its end is reported.

    `for_task_id` is the urgent task, or for a backfilled task the id of the delayed reservation.
    For a throttle, `cpu_milli` is what the task may keep, and `Scheduler.task_throttled` reports
    that the worker did so.
    """

    task_id: str
    worker: str
    action: PreemptionAction
    for_task_id: str
    cpu_milli: int = 0


@attrs.frozen
class Hold:
    """Describe a hold of capacity for all tasks of a job on this shard's workers.

    While `ready` is false the capacity is still being collected and is expected to be
    complete at `start_at`; call `hold` again to poll it. It is released at `expires_at`.
    """

    job_id: str
    workers: dict[str, str]
    start_at: float
    expires_at: float
    ready: bool


class WaitReason(enum.StrEnum):
    """List the reasons why a task waits, and two states of a task that does not."""

    TEAM_LIMIT = "limit"
    SHARE = "share"
    CAPACITY = "capacity"
    HOLD = "hold"
    QUARANTINE = "quarantine"
    RUNNING = "running"
    NOT_FOUND = "not_found"


@attrs.frozen
class Explanation:
    """Explain to operators and callers why a task waits."""

    task_id: str
    reason: WaitReason
    message: str
    waited_s: float = 0.0
