"""Define the messages about jobs that instances exchange."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.model import JobExplanation, JobStatus, Task


class JobVerb(enum.StrEnum):
    """List the operations on a job that its coordinator supports."""

    ADOPT = "adopt"
    STATUS = "status"
    CANCEL = "cancel"
    EXPLAIN = "explain"


@attrs.frozen
class JobCall:
    """Request an operation on a job from the owner of its home shard."""

    home: str
    job_id: str
    verb: JobVerb


@attrs.frozen
class JobReply:
    """Reply to a call about a job; exactly one field is set."""

    status: JobStatus | None = None
    explanation: JobExplanation | None = None
    refusal: Refusal | None = None


@attrs.frozen
class TasksQuery:
    """Ask the owner of a shard which of these tasks are running on workers."""

    shard: str
    task_ids: tuple[str, ...]


@attrs.frozen
class TasksReport:
    """Report the tasks that are running on workers, and why each of the others is waiting.

    `elsewhere` names the shard that each forwarded task was sent to.
    """

    running: tuple[str, ...]
    waiting: dict[str, str]
    elsewhere: dict[str, str] = attrs.Factory(dict)


@attrs.frozen
class CancelTasks:
    """Ask the owner of a shard to cancel tasks that are queued, running or yet to arrive."""

    shard: str
    task_ids: tuple[str, ...]


@attrs.frozen
class CancelTasksReply:
    """Confirm that none of the cancelled tasks will start in this shard.

    `elsewhere` names the shard that each forwarded task was sent to, where it must be
    cancelled as well.
    """

    elsewhere: dict[str, str] = attrs.Factory(dict)


@attrs.frozen
class HoldRequest:
    """Ask a shard to hold capacity for as many of these tasks as it can before the deadline.

    A repeated request returns the state of the existing hold.
    """

    shard: str
    job_id: str
    tasks: tuple[Task, ...]
    deadline: float


@attrs.frozen
class HoldReply:
    """Report the tasks that a hold covers until its deadline.

    While `ready` is false, some of the capacity is still in use and is added as tasks end.
    """

    held: tuple[str, ...]
    ready: bool = False


@attrs.frozen
class HoldCommit:
    """Start every task of a hold."""

    shard: str
    job_id: str


@attrs.frozen
class HoldRelease:
    """Release the capacity of a hold."""

    shard: str
    job_id: str


@attrs.frozen
class HoldAck:
    """Report whether a hold still existed when it was committed; true for each release."""

    done: bool


@attrs.frozen
class JobsQuery:
    """Ask the owner of a home shard for the states of several of its jobs."""

    home: str
    job_ids: tuple[str, ...]


@attrs.frozen
class JobsReport:
    """Report the states of jobs, without those whose state could not be read."""

    statuses: tuple[JobStatus, ...]


JOB_MESSAGES: tuple[type, ...] = (
    JobCall,
    JobReply,
    TasksQuery,
    TasksReport,
    CancelTasks,
    CancelTasksReply,
    HoldRequest,
    HoldReply,
    HoldCommit,
    HoldRelease,
    HoldAck,
    JobsQuery,
    JobsReport,
)
