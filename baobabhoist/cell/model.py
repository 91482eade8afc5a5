"""Define the jobs, queues, teams and workers of a cell."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Resources:
    """Hold an amount of each resource; `cpu` is in thousandths of a core, memory in MiB."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits_into(self, other: Resources) -> bool:
        """Tell whether this amount fits into another."""
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
        """Return this amount for several tasks."""
        return Resources(self.cpu * count, self.memory_mb * count, self.gpu * count)


NO_RESOURCES = Resources()


@attrs.frozen
class Step:
    """Describe the equal tasks of one step of a job.

    `after` holds the numbers of earlier steps that must be done first. `label` is one that the
    worker must have, `data_rack` the rack that holds the data, `most_per_worker` 0 for no bound.
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
        """Return what one task takes of a worker's capacity; fill-in tasks use spare cores."""
        return attrs.evolve(self.need, cpu=0) if self.fills else self.need


@attrs.frozen
class JobSpec:
    """Describe a job; `repeats` 0 means that its steps run once, at once.

    Repetition K is due at `first_due_ms` + K * `interval_ms` in Unix milliseconds.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repeats)

    def due_ms(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence may run; a plain job runs at once."""
        if not self.repeats:
            return float("-inf")
        return self.first_due_ms + occurrence * self.interval_ms


@attrs.frozen
class AcceptedJob:
    """Hold a job as it was stored; `accepted_ms` is on the store's steady clock.

    `version` is the store's version of the row, which orders it against claims of the cell.
    """

    job_id: str
    queue: str
    service: str
    team: str
    accepted_ms: int
    spec: JobSpec
    version: int = 0


class JobPhase(enum.StrEnum):
    """Name the states of a job that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


@attrs.frozen
class AdviceTerms:
    """State what asking the placement adviser costs and how long a ticket lasts."""

    call_ms: float
    per_worker_ms: float
    valid_ms: int

    def cost_ms(self, workers: int) -> float:
        """Return how long the adviser works on a question."""
        return self.call_ms + self.per_worker_ms * workers


@attrs.frozen
class Queue:
    """Describe a queue; priority 0 comes first.

    The objective of a job is `slack_factor` times its longest chain of work plus
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
    """Describe a team; a limit of 0 means none for that resource."""

    name: str
    weight: float = 1.0
    limit: Resources = NO_RESOURCES

    def allows(self, total: Resources) -> bool:
        """Tell whether the team may have this much running."""
        return (
            (not self.limit.cpu or total.cpu <= self.limit.cpu)
            and (not self.limit.memory_mb or total.memory_mb <= self.limit.memory_mb)
            and (not self.limit.gpu or total.gpu <= self.limit.gpu)
        )


@attrs.frozen
class CellRules:
    """Hold the part of the configuration that decides where and when work runs."""

    version: int
    queues: dict[str, Queue]
    teams: dict[str, Team]


@attrs.frozen
class WorkerInfo:
    """Describe a worker as the directory shows it."""

    worker_id: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...]
    is_draining: bool = False
    started_unix_ms: int = 0
    leaves_in_ms: int = 0

    @property
    def rack(self) -> str:
        """Return the rack, which is the last label."""
        return self.labels[-1] if self.labels else ""

    @property
    def hardware_kind(self) -> str:
        """Return the hardware kind, which is the first label."""
        return self.labels[0] if self.labels else ""


@attrs.frozen(order=True)
class StepKey:
    """Name one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@attrs.frozen(order=True)
class TaskKey:
    """Name one task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Return the step of the task."""
        return StepKey(self.job_id, self.occurrence, self.step)

    def to_text(self) -> str:
        """Return the name that workers use."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskKey | None:
        """Return the key in a worker's name of a task, or None if it is none."""
        parts = text.split(".")
        if len(parts) != len(attrs.fields(cls)) or not all(p.isdigit() for p in parts[1:]):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class RunOutcome(enum.StrEnum):
    """Name how a run ended, as its worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class ActiveRun:
    """Report one run on a worker; `usage` is its rough load of the last half second."""

    task: TaskKey
    run: int
    checkpoint: str
    percent: float
    usage: float = 0.0


@attrs.frozen
class EndedRun:
    """Report one end on a worker; `number` rises by one with each end of its lifetime."""

    sequence: int
    task: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """Hold a worker's answer to a renewal of its lease.

    `clock_ms` is on the worker's own steady clock, `born_ms` the Unix time of its start.
    """

    clock_ms: int
    started_unix_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class CommandOutcome(enum.StrEnum):
    """Name what became of an order to a worker."""

    OK = "ok"
    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # A later run of the task was stopped or ended there.
    OLD = "old"
    # The lease that the order carried has passed.
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    BAD = "bad"
    # The worker has done nothing, because it is not healthy.
    UNHEALTHY = "unhealthy"
    # Another lifetime of the worker answered.
    WRONG_LIFETIME = "wrong_lifetime"
    # No answer came: the order may have been carried out, or may be later.
    UNKNOWN = "unknown"


REJECTED_OUTCOMES = frozenset(CommandOutcome) - {CommandOutcome.OK, CommandOutcome.UNKNOWN}


@attrs.frozen
class StartTask:
    """Order a worker to start a run."""

    worker_id: str
    task: TaskKey
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopTask:
    """Order a worker to stop a run."""

    worker_id: str
    task: TaskKey
    run: int


@attrs.frozen
class RequestAdvice:
    """Ask which workers may run a step."""

    step: StepKey
    workers: tuple[str, ...]
    cost_ms: float


Command = StartTask | StopTask | RequestAdvice
