"""Define the jobs, queues, teams, workers and commands of a cell."""

from __future__ import annotations

import enum
import functools
import re
from typing import Any

import attrs


@attrs.frozen
class Resources:
    """Hold an amount of each resource; `cpu` is in thousandths of a core, memory in MiB."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits_into(self, other: Resources) -> bool:
        """Return whether this amount fits into another."""
        return (
            self.cpu <= other.cpu and self.memory_mb <= other.memory_mb and self.gpu <= other.gpu
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference."""
        return Resources(
            self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpu - other.gpu
        )

    def times(self, count: int) -> Resources:
        """Return this amount multiplied by a count."""
        return Resources(self.cpu * count, self.memory_mb * count, self.gpu * count)

    def by_name(self) -> dict[str, int]:
        """Return the amounts by the names of the resources."""
        return {"cpu": self.cpu, "memory": self.memory_mb, "gpu": self.gpu}


NO_RESOURCES = Resources()


@attrs.frozen
class Step:
    """Describe a step of a job, which consists of identical tasks.

    `after` holds the numbers of the earlier steps that this one depends on. `label` must be among
    the labels of the worker, `data_rack` is the rack that stores the data, and `most_per_worker`
    limits the tasks on one worker unless it is 0.
    """

    count: int
    need: Resources
    expected_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def allocation(self) -> Resources:
        """Return what a task reserves on its worker; fill-in tasks only use spare cores."""
        return attrs.evolve(self.need, cpu=0) if self.fills else self.need

    @property
    def least_need(self) -> Resources:
        """Return the need of the fewest tasks that start at once: one, or a whole gang."""
        return self.need.times(self.count if self.gang else 1)


@attrs.frozen
class JobSpec:
    """Describe a job; if `repeats` is 0, its steps run once and immediately.

    Occurrence K is due at `first_due_ms` + K * `interval_ms` in Unix milliseconds.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeats)

    def due_unix_ms(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence may run, or -inf for immediately."""
        if not self.repeats:
            return float("-inf")
        return self.first_due_ms + occurrence * self.interval_ms

    def count_due_tasks(self, unix_ms: float) -> int:
        """Return how many tasks belong to the occurrences that are due at a Unix time."""
        return self._count_due_occurrences(unix_ms) * sum(step.count for step in self.steps)

    def _count_due_occurrences(self, unix_ms: float) -> int:
        waited_ms = unix_ms - self.due_unix_ms(0)
        if waited_ms < 0:
            return 0
        if not self.repeats or not self.interval_ms:
            return self.occurrence_count
        return min(self.occurrence_count, int(waited_ms // self.interval_ms) + 1)


@attrs.frozen
class AcceptedJob:
    """Hold a job as it was stored; `accepted_ms` is on the store's monotonic clock.

    `version` is the store's version of the row. It tells whether the job was stored before or
    after the cell was claimed. `max_attempts` is that of its queue at the time, or 0 if an earlier
    release has stored the job.
    """

    job_id: str
    queue: str
    service: str
    team: str
    accepted_ms: int
    spec: JobSpec
    version: int = 0
    max_attempts: int = 0


class JobPhase(enum.StrEnum):
    """List the states of a job that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


@attrs.frozen
class AdviceTerms:
    """Describe the cost of an advice request and the validity of its tickets."""

    base_cost_ms: float
    cost_per_worker_ms: float
    ticket_valid_ms: int

    def cost_ms(self, worker_count: int) -> float:
        """Return how long the adviser takes for a request about this many workers."""
        return self.base_cost_ms + self.cost_per_worker_ms * worker_count


@attrs.frozen
class Queue:
    """Describe a queue; priority 0 is the highest.

    The latency objective of a job is `slack_factor` times the length of its critical path plus
    `target_latency_ms`.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: int = 0
    is_public: bool = False
    advice: AdviceTerms | None = None


@attrs.frozen
class Team:
    """Describe a team; a resource whose limit is 0 is not limited.

    The weight is how many jobs a second the team may send when the cell is full, and its part of
    the cell among those of the others. It is 0 if none is configured.
    """

    name: str
    weight: float = 0.0
    limit: Resources = NO_RESOURCES

    @property
    def is_limited(self) -> bool:
        """Return whether any resource is limited."""
        return self.limit != NO_RESOURCES

    def is_half_used(self, used: Resources) -> bool:
        """Return whether an allocation takes half of the limit of any resource."""
        limit = self.limit
        return any(
            amount and 2 * in_use >= amount
            for in_use, amount in (
                (used.cpu, limit.cpu),
                (used.memory_mb, limit.memory_mb),
                (used.gpu, limit.gpu),
            )
        )

    def allows(self, total: Resources) -> bool:
        """Return whether a total allocation stays within the limit."""
        return (
            (not self.limit.cpu or total.cpu <= self.limit.cpu)
            and (not self.limit.memory_mb or total.memory_mb <= self.limit.memory_mb)
            and (not self.limit.gpu or total.gpu <= self.limit.gpu)
        )


@attrs.frozen
class CellRules:
    """Hold the part of the configuration that governs scheduling."""

    version: int
    queues: dict[str, Queue]
    teams: dict[str, Team]

    @functools.cached_property
    def priorities(self) -> set[int]:
        """Return the priorities of all queues."""
        return {queue.priority for queue in self.queues.values()}

    @functools.cached_property
    def priorities_by_service(self) -> dict[str, set[int]]:
        """Return the priorities of the queues of each service."""
        priorities: dict[str, set[int]] = {}
        for queue in self.queues.values():
            priorities.setdefault(queue.service, set()).add(queue.priority)
        return priorities


@attrs.frozen
class WorkerInfo:
    """Describe a worker by its entry in the directory."""

    worker_id: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...]
    is_draining: bool = False
    started_unix_ms: int = 0
    leaves_in_ms: int = 0
    # For how much longer the worker runs tasks more slowly, as of its entry.
    cold_for_ms: int = 0

    def has_label(self, label: str) -> bool:
        """Return whether the worker has a label; every worker has the empty one."""
        return not label or label in self.labels

    @property
    def rack(self) -> str:
        """Return the rack, which is the last label."""
        return self.labels[-1] if self.labels else ""

    @property
    def hardware_kind(self) -> str:
        """Return the hardware kind, which is the first label."""
        return self.labels[0] if self.labels else ""


# Job, occurrence, step and index.
_TASK_NAME = re.compile(r"([^.]*)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})")


@attrs.frozen(order=True)
class StepKey:
    """Identify one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@attrs.frozen(order=True)
class TaskKey:
    """Identify one task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Return the key of the task's step."""
        return StepKey(self.job_id, self.occurrence, self.step)

    def to_text(self) -> str:
        """Return the task name that is sent to workers."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskKey | None:
        """Return the key for a task name, or None if the name is malformed."""
        match = _TASK_NAME.fullmatch(text)
        if match is None:
            return None
        return cls(match[1], int(match[2]), int(match[3]), int(match[4]))


class RunOutcome(enum.StrEnum):
    """List how a run may end, as its worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # The lease of the worker expired.
    LAPSED = "lapsed"
    # Another member of the gang ended without success.
    BROKEN = "broken"
    # The other members of the gang did not start in time.
    ALONE = "alone"


@attrs.frozen
class ActiveRun:
    """Describe a run in progress; `usage` is its approximate load over the last 500 ms."""

    task: TaskKey
    run: int
    checkpoint: str
    progress_percent: float
    usage: float = 0.0


@attrs.frozen
class EndedRun:
    """Describe an ended run.

    `sequence_number` counts the ended runs of one incarnation of the worker.
    """

    sequence_number: int
    task: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """Hold the reply of a worker to a lease renewal.

    `clock_ms` is on the worker's own monotonic clock. `started_unix_ms`, when the worker process
    started, identifies its incarnation. If `has_more_ends` is set, the worker may list others once
    these ends are acknowledged.
    """

    clock_ms: int
    started_unix_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    has_more_ends: bool = False

    def listed_runs(self) -> set[tuple[TaskKey, int]]:
        """Return the runs in progress and the ended ones, by task and number."""
        running = {(run.task, run.run) for run in self.running}
        return running | {(run.task, run.run) for run in self.ended}


class CommandOutcome(enum.StrEnum):
    """List the possible outcomes of a command to a worker."""

    OK = "ok"
    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # This or a later run of the task has already ended or been stopped on the worker.
    OLD = "old"
    # The lease deadline in the command has passed.
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    BAD = "bad"
    # The worker is unhealthy and has done nothing.
    UNHEALTHY = "unhealthy"
    # Another incarnation of the worker answered.
    WRONG_LIFETIME = "wrong_lifetime"
    # No answer came: the command may have been executed or may still be.
    UNKNOWN = "unknown"


# Outcomes after which it is certain that the command had no effect.
REJECTED_OUTCOMES = frozenset(CommandOutcome) - {CommandOutcome.OK, CommandOutcome.UNKNOWN}


@attrs.frozen
class StartTask:
    """Command a worker to start a run; the ticket expires on the owner's clock."""

    worker_id: str
    task: TaskKey
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""
    ticket_expires_ms: float = float("inf")

    def log_fields(self) -> dict[str, Any]:
        """Return the fields that name the run in log lines, as those of `Run` do."""
        return {"task": self.task.to_text(), "run": self.run, "worker": self.worker_id}


@attrs.frozen
class StopTask:
    """Command a worker to stop a run."""

    worker_id: str
    task: TaskKey
    run: int


@attrs.frozen
class RequestAdvice:
    """Request the placement adviser's verdict on the workers for a step."""

    step: StepKey
    workers: tuple[str, ...]
    cost_ms: float


Command = StartTask | StopTask | RequestAdvice
