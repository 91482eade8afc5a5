"""Define the data types that several packages share."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.outcome import Outcome as Outcome


class WorkKind(enum.StrEnum):
    """Enumerate the kinds of work."""

    REQUEST = "request"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class Urgency(enum.StrEnum):
    """Enumerate the urgency classes; urgent work may preempt other work."""

    NORMAL = "normal"
    URGENT = "urgent"


@attrs.frozen
class Resources:
    """Hold an amount of each resource, in millicores, MiB, devices and slots."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 1

    def fits_in(self, other: Resources) -> bool:
        """Return whether another amount has at least this much of each resource."""
        return (
            self.cpu_milli <= other.cpu_milli
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
            and self.slots <= other.slots
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum of this amount and another."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def minus(self, other: Resources) -> Resources:
        """Return this amount minus another; the result may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )


@attrs.frozen
class WorkerSpec:
    """Describe one worker of a shard record."""

    name: str
    host: str
    port: int
    rack: str
    capacity: Resources


@attrs.frozen
class Task:
    """Describe one task to place; times are Unix seconds."""

    task_id: str
    team: str
    queue: str
    kind: WorkKind
    resources: Resources
    deadline: float
    submitted_at: float
    idempotent: bool = False
    urgency: Urgency = Urgency.NORMAL
    job_id: str = ""
    expected_run_s: float = 1.0
    payload: bytes = b""


@attrs.frozen
class Request:
    """Describe a caller's request that is routed to the owner of its key's home shard.

    `first_attempt` is true only if the entry VM generated the id and sends it for the first time,
    so that no other owner can have seen it.
    """

    request_id: str
    shard: str
    first_sent_at: float
    task: Task
    first_attempt: bool = False


@attrs.frozen
class Answer:
    """Hold the complete answer to a request."""

    request_id: str
    status: int
    body: bytes
    content_type: str = "application/octet-stream"


@attrs.frozen
class RunningTask:
    """Describe a task that a worker reports as running."""

    task_id: str
    team: str
    resources: Resources
    kind: WorkKind = WorkKind.BATCH


@attrs.frozen
class EndedTask:
    """Describe a task that a worker reports as ended, with its stored answer.

    An inventory may omit a large body; `QueryOutcome` returns it.
    """

    task_id: str
    team: str
    succeeded: bool
    body: bytes = b""
    body_omitted: bool = False


class JobState(enum.StrEnum):
    """Enumerate the states of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(enum.StrEnum):
    """Enumerate the states of one task of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


FINAL_JOB_STATES = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED})


@attrs.frozen
class TaskSpec:
    """Describe one task, gang member or replica of a job as submitted."""

    payload: bytes
    resources: Resources
    expected_run_s: float = 1.0


@attrs.frozen
class JobSpec:
    """Describe a job as submitted by a team; the deadline is in Unix seconds.

    The tasks of a service are its replicas. A service has no deadline: the value is infinity.
    """

    job_id: str
    team: str
    queue: str
    kind: WorkKind
    tasks: tuple[TaskSpec, ...]
    idempotent: bool
    deadline: float
    urgency: Urgency = Urgency.NORMAL


@attrs.frozen
class JobStatus:
    """Report the state of a job; `counts` holds the number of tasks in each state.

    `reason` says why the job is in its state, and `refusal` why it ended without success.
    """

    job_id: str
    state: JobState
    counts: dict[TaskState, int] = attrs.Factory(dict)
    reason: str = ""
    refusal: Refusal | None = None
    team: str = ""
    queue: str = ""
    kind: WorkKind = WorkKind.BATCH


@attrs.frozen
class JobExplanation:
    """Explain a job's state; `waiting` counts its waiting tasks by what they wait for."""

    job_id: str
    state: JobState
    reason: str
    waiting: dict[str, int] = attrs.Factory(dict)
