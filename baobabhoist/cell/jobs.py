"""Hold the progress of jobs: steps, tasks and the run that each task may have."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from baobabhoist.cell.approvals import Approvals
from baobabhoist.cell.model import (
    FINAL_PHASES,
    AcceptedJob,
    JobPhase,
    Resources,
    Step,
    StepKey,
    TaskKey,
)

# A job that is late by up to this factor of its objective is still worth something.
LATE_LIMIT_FACTOR = 3.0


class RunPhase(enum.Enum):
    """Name what the owner knows of a run."""

    # Ordered; no answer has come yet.
    STARTING = "starting"
    RUNNING = "running"
    # Ordered, but the answer was lost: it may run, now or later.
    UNSURE = "unsure"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """Hold one run of a task on a worker; all times are on the owner's clock, in ms."""

    task: TaskState
    number: int
    worker_id: str
    allocation: Resources
    phase: RunPhase
    # When the order to start was answered or the run was first listed.
    confirmed_ms: float = 0.0
    stop_sent_ms: float = 0.0
    # When the worker answered the order to stop.
    stop_answered_ms: float = 0.0
    percent: float = 0.0
    last_progress_ms: float = 0.0
    # It began at the start of the task under this owner, not from a checkpoint.
    is_from_start: bool = False


@attrs.define(eq=False)
class TaskState:
    """Hold one task."""

    step: StepState
    index: int
    run: Run | None = None
    is_done: bool = False
    last_run: int = 0
    failed_runs: set[int] = attrs.Factory(set)
    checkpoint: str = ""

    @property
    def key(self) -> TaskKey:
        """Return the name of the task."""
        step = self.step.key
        return TaskKey(step.job_id, step.occurrence, step.step, self.index)


@attrs.define(eq=False)
class StepState:
    """Hold one step of one occurrence."""

    job: JobState
    key: StepKey
    spec: Step
    tasks: list[TaskState] = attrs.Factory(list)
    idle_count: int = 0
    pending_count: int = 0
    approvals: Approvals = attrs.Factory(Approvals)
    # Workers on which a task of the step failed.
    failed_worker_ids: set[str] = attrs.Factory(set)
    # When the step could first run, on the owner's clock in ms.
    ready_since_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Make the tasks."""
        self.tasks = [TaskState(self, index) for index in range(self.spec.count)]
        self.idle_count = self.pending_count = self.spec.count

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks have ended as done."""
        return self.pending_count == 0

    def discard_approvals(self) -> None:
        """Forget the tickets, once no task will start any more."""
        self.approvals = Approvals()

    def idle_tasks(self) -> Iterator[TaskState]:
        """Yield the tasks that are neither done nor running."""
        return (task for task in self.tasks if task.run is None and not task.is_done)

    def mark_done(self, task: TaskState) -> bool:
        """Note that a task is done; tell whether that is new."""
        if task.is_done:
            return False
        task.is_done = True
        self.pending_count -= 1
        if self.is_done:
            self.job.invalidate_critical_path()
        if task.run is None:
            self.idle_count -= 1
        return True

    def attach_run(self, run: Run) -> None:
        """Give a task its run."""
        if run.task.run is None and not run.task.is_done:
            self.idle_count -= 1
        run.task.run = run
        run.task.last_run = max(run.task.last_run, run.number)

    def detach_run(self, run: Run) -> None:
        """Take the ended run from its task."""
        if run.task.run is run:
            run.task.run = None
            if not run.task.is_done:
                self.idle_count += 1

    def failed_attempts(self, task: TaskState) -> int:
        """Return the failed attempts that count against a task: those of a gang are shared."""
        if not self.spec.gang:
            return len(task.failed_runs)
        return len(set().union(*(member.failed_runs for member in self.tasks)))


@attrs.define(eq=False)
class JobState:
    """Hold one job; `objective_ms` is on the owner's clock."""

    accepted: AcceptedJob
    accepted_local_ms: float
    objective_ms: float = 0.0
    phase: JobPhase = JobPhase.QUEUED
    steps: dict[tuple[int, int], StepState] = attrs.Factory(dict)
    # An earlier owner may have started tasks of this job.
    is_inherited: bool = False
    ended_ms: float = 0.0
    opened_count: int = 0
    # What `remaining_ms` found, until a step is done or opened.
    _remaining_critical_path_ms: float | None = None

    @property
    def job_id(self) -> str:
        """Return the id that the caller chose."""
        return self.accepted.job_id

    @property
    def is_final(self) -> bool:
        """Tell whether nothing of the job will run any more."""
        return self.phase in FINAL_PHASES

    @property
    def late_limit_ms(self) -> float:
        """Return when the job stops being worth anything."""
        return self.accepted_local_ms + LATE_LIMIT_FACTOR * (
            self.objective_ms - self.accepted_local_ms
        )

    def drop_payload(self) -> None:
        """Forget what the tasks are given, once none will start any more; it may be large."""
        spec = attrs.evolve(self.accepted.spec, payload="")
        self.accepted = attrs.evolve(self.accepted, spec=spec)

    def open_occurrence(self) -> list[StepState]:
        """Make the steps of the next occurrence and return them."""
        occurrence = self.opened_count
        self.opened_count += 1
        self.invalidate_critical_path()
        made = []
        for number, spec in enumerate(self.accepted.spec.steps):
            step = StepState(self, StepKey(self.job_id, occurrence, number), spec)
            self.steps[(occurrence, number)] = step
            made.append(step)
        return made

    def open_due_occurrences(self, unix_ms: float) -> bool:
        """Open the occurrences whose time has come; tell whether there was one."""
        spec, before = self.accepted.spec, self.opened_count
        while self.opened_count < spec.occurrence_count and unix_ms >= spec.due_ms(
            self.opened_count
        ):
            self.open_occurrence()
        return self.opened_count > before

    def find_step(self, key: StepKey | TaskKey) -> StepState | None:
        """Return the state of a step, or None if it is not open."""
        return self.steps.get((key.occurrence, key.step))

    def find_task(self, key: TaskKey) -> TaskState | None:
        """Return the state of a task, or None if it is not open."""
        step = self.find_step(key)
        if step is None or not 0 <= key.index < len(step.tasks):
            return None
        return step.tasks[key.index]

    def is_step_ready(self, step: StepState) -> bool:
        """Tell whether all steps before a step are done."""
        occurrence = step.key.occurrence
        return all(self.steps[(occurrence, number)].is_done for number in step.spec.after)

    def are_all_tasks_done(self) -> bool:
        """Tell whether every task of every occurrence is done."""
        if self.opened_count < self.accepted.spec.occurrence_count:
            return False
        return all(step.is_done for step in self.steps.values())

    def invalidate_critical_path(self) -> None:
        """Note that a step was opened or done."""
        self._remaining_critical_path_ms = None

    def remaining_critical_path_ms(self) -> float:
        """Return the longest chain of declared work that is left, in ms."""
        if self._remaining_critical_path_ms is None:
            self._remaining_critical_path_ms = self._compute_critical_path_ms()
        return self._remaining_critical_path_ms

    def _compute_critical_path_ms(self) -> float:
        steps = self.accepted.spec.steps
        longest = [0.0] * len(steps)
        for number, spec in enumerate(steps):
            state = self.steps.get((max(0, self.opened_count - 1), number))
            own = 0.0 if state is not None and state.is_done else float(spec.expected_ms)
            before = max((longest[other] for other in spec.after), default=0.0)
            longest[number] = before + own
        return max(longest, default=0.0)


def critical_path_ms(accepted: AcceptedJob) -> float:
    """Return the longest chain of declared work of one occurrence, in ms."""
    return JobState(accepted, 0.0).remaining_critical_path_ms()
