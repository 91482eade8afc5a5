"""Define the messages between instances that concern jobs."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.model import JobExplanation, JobStatus, Task


class JobVerb(enum.StrEnum):
    """Name what the owner of a job's home shard is asked to do."""

    ADOPT = "adopt"
    STATUS = "status"
    CANCEL = "cancel"
    EXPLAIN = "explain"


@attrs.frozen
class JobCall:
    """Ask the owner of a job's home shard about the job."""

    home: str
    job_id: str
    verb: JobVerb


@attrs.frozen
class JobReply:
    """Answer a call about a job; exactly one field is set."""

    status: JobStatus | None = None
    explanation: JobExplanation | None = None
    refusal: Refusal | None = None


@attrs.frozen
class TasksQuery:
    """Ask a shard's owner which of these tasks run on workers now."""

    shard: str
    task_ids: tuple[str, ...]


@attrs.frozen
class TasksReport:
    """Report the tasks that run on workers, and why each other one waits.

    `elsewhere` names the shard that each forwarded task was sent to.
    """

    running: tuple[str, ...]
    waiting: dict[str, str]
    elsewhere: dict[str, str] = attrs.Factory(dict)


@attrs.frozen
class CancelTasks:
    """Ask a shard's owner to cancel tasks, whether queued, running or not yet arrived."""

    shard: str
    task_ids: tuple[str, ...]


@attrs.frozen
class CancelTasksReply:
    """Confirm that no cancelled task starts here any more.

    `elsewhere` names the shard that each forwarded task was sent to, where it has to be
    cancelled as well.
    """

    elsewhere: dict[str, str] = attrs.Factory(dict)


@attrs.frozen
class HoldRequest:
    """Ask a shard to hold capacity for as many of these tasks as it can before the deadline.

    A repeated request returns the state of the hold that stands.
    """

    shard: str
    job_id: str
    tasks: tuple[Task, ...]
    deadline: float


@attrs.frozen
class HoldReply:
    """Report the tasks that a hold covers until its deadline.

    While `ready` is false their capacity is still in use and is collected as tasks end.
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
    """Give the capacity of a hold back."""

    shard: str
    job_id: str


@attrs.frozen
class HoldAck:
    """Report whether a hold still stood when it was committed or released."""

    done: bool


@attrs.frozen
class JobsQuery:
    """Ask the owner of a home shard for the states of several of its jobs."""

    home: str
    job_ids: tuple[str, ...]


@attrs.frozen
class JobsReport:
    """Report the states of jobs; those without a readable state are left out."""

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
