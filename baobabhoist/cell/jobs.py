"""Track the state of jobs: their steps, tasks and current runs."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import attrs

from baobabhoist.cell.approvals import Approvals
from baobabhoist.cell.crash_blame import NO_BLAME, CrashBlame
from baobabhoist.cell.model import (
    FINAL_PHASES,
    AcceptedJob,
    JobPhase,
    Queue,
    Resources,
    Step,
    StepKey,
    TaskKey,
)
from baobabhoist.cell.pace_tracking import RunPace
from baobabhoist.cell.wait_account import WaitAccount
from baobabhoist.cell.wait_reasons import WaitReason

if TYPE_CHECKING:
    from baobabhoist.cell.wasted_work import WasteCause

# A job that ends within this multiple of its objective still earns part of its value.
LATE_LIMIT_FACTOR = 3.0
# A job of which nothing has run for this long is no longer put off for others. It still has to get
# advice before it counts as starved.
MAX_IDLE_MS = 1_500.0
FINAL_PERCENT = 100.0


class RunPhase(enum.Enum):
    """List what the owner may know about a run."""

    # The start command has not been answered yet.
    STARTING = "starting"
    RUNNING = "running"
    # The answer to the start command was lost: the run may be active or still start.
    UNSURE = "unsure"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """Hold a run of a task on a worker; all times are on the owner's clock, in ms."""

    task: TaskState
    number: int
    worker_id: str
    allocation: Resources
    phase: RunPhase
    # The start command has left the owner, or may have left an earlier one.
    is_sent: bool = False
    # When the process of the worker started that was heard last before the run; 0 if none was.
    process_unix_ms: int = 0
    # The start carried a ticket, which holds for one process of the worker.
    has_ticket: bool = False
    # When this owner sent the start command.
    sent_ms: float | None = None
    # When it was sent once more, so that one copy of it may still be on its way.
    repeated_ms: float | None = None
    # A copy of the start had no answer, so that a process that was not heard may carry it out.
    is_start_unanswered: bool = False
    # A worker has confirmed to this owner that it began the run.
    has_begun: bool = False
    # When the start command was answered or a report first listed the run.
    confirmed_ms: float = 0.0
    # A report has listed the run, so that it belongs to a process that was heard.
    is_listed: bool = False
    stop_sent_ms: float = 0.0
    # When the run was stopped first.
    stopped_ms: float = 0.0
    # The last stop command has neither been answered nor timed out.
    is_stop_open: bool = False
    # When the worker answered the stop command.
    stop_answered_ms: float = 0.0
    progress_percent: float = 0.0
    last_progress_ms: float = 0.0
    # How long the run takes for one percent, as far as is known.
    ms_per_percent: float = 0.0
    # When this owner decided to start or adopt the run.
    decided_ms: float = 0.0
    # When the run will probably end; infinity if nothing tells.
    expected_end_ms: float = float("inf")
    pace: RunPace = attrs.Factory(RunPace)
    # This owner started the run, and not from a checkpoint.
    is_fresh_start: bool = False
    # Since when its work is neither saved by a checkpoint nor counted as wasted.
    unsaved_since_ms: float = 0.0
    # Why this owner stopped the run.
    stop_cause: WasteCause | None = None

    @property
    def belongs_to_heard_process(self) -> bool:
        """Return whether no process but those that have reported can have begun the run."""
        return self.is_listed and self.repeated_ms is None

    @property
    def may_start_late(self) -> bool:
        """Return whether a process that was not heard may still carry out the start."""
        return self.is_start_unanswered and not self.belongs_to_heard_process

    def confirm(self, now: float) -> None:
        """Record that a worker has confirmed that it began the run."""
        self.has_begun = True
        self.confirmed_ms = self.confirmed_ms or now
        self.task.step.job.mark_running()

    def log_fields(self) -> dict[str, Any]:
        """Return the fields that name the run in log lines, as those of `StartTask` do."""
        return {"task": self.task.key.to_text(), "run": self.number, "worker": self.worker_id}


@attrs.define(eq=False)
class TaskState:
    """Hold the state of one task."""

    step: StepState
    index: int
    run: Run | None = None
    is_done: bool = False
    last_run_number: int = 0
    failed_runs: set[int] = attrs.Factory(set)
    # Workers on which the task failed.
    failed_worker_ids: set[str] = attrs.Factory(set)
    crash_blame: CrashBlame = NO_BLAME
    checkpoint: str = ""

    @property
    def key(self) -> TaskKey:
        """Return the key of the task."""
        step = self.step.key
        return TaskKey(step.job_id, step.occurrence, step.step, self.index)


@attrs.define(eq=False)
class StepState:
    """Hold the state of one step of one occurrence of a job."""

    job: JobState
    key: StepKey
    spec: Step
    tasks: list[TaskState] = attrs.Factory(list)
    # Tasks that are neither done nor running.
    waiting_count: int = 0
    # Tasks that are not done.
    unfinished_count: int = 0
    approvals: Approvals = attrs.Factory(Approvals)
    # Workers on which a task of the step failed.
    failed_worker_ids: set[str] = attrs.Factory(set)
    # When the step became ready to run, on the owner's clock.
    ready_since_ms: float = 0.0
    # Since when tasks have waited without a break that a worker confirmed.
    waiting_since_ms: float | None = None
    wait_reason: WaitReason | None = None
    # How the wait since then was spent.
    wait_account: WaitAccount = attrs.Factory(WaitAccount)

    def __attrs_post_init__(self) -> None:
        """Create the tasks."""
        self.tasks = [TaskState(self, index) for index in range(self.spec.count)]
        self.waiting_count = self.unfinished_count = self.spec.count

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.unfinished_count == 0

    def discard_approvals(self) -> None:
        """Free the tickets of a step that will start no more tasks."""
        self.approvals = Approvals()

    def mark_start_confirmed(self) -> None:
        """Record that a worker confirmed a start, which ends the wait if no other task waits."""
        if not self.waiting_count:
            self.waiting_since_ms = None
            self.wait_account = WaitAccount()

    def waiting_tasks(self) -> Iterator[TaskState]:
        """Yield the tasks that are neither done nor running."""
        return (task for task in self.tasks if task.run is None and not task.is_done)

    def count_tasks_on(self, worker_id: str) -> int:
        """Return how many tasks of the step have a run on a worker."""
        return sum(t.run is not None and t.run.worker_id == worker_id for t in self.tasks)

    def mark_done(self, task: TaskState) -> bool:
        """Mark a task as done; return whether it was not before."""
        if task.is_done:
            return False
        task.is_done = True
        self.unfinished_count -= 1
        if self.is_done:
            self.job.invalidate_critical_path()
        if task.run is None:
            self.waiting_count -= 1
        return True

    def attach_run(self, run: Run) -> None:
        """Make a run the current run of its task."""
        if run.task.run is None:
            if not run.task.is_done:
                self.waiting_count -= 1
            self.job.active_run_count += 1
            self.job.idle_since_ms = None
        run.task.run = run
        run.task.last_run_number = max(run.task.last_run_number, run.number)

    def detach_run(self, run: Run) -> None:
        """Remove an ended run from its task."""
        if run.task.run is run:
            run.task.run = None
            self.job.active_run_count -= 1
            if not run.task.is_done:
                self.waiting_count += 1

    def failed_attempts(self, task: TaskState) -> int:
        """Return the number of failed attempts of a task; members of a gang share theirs."""
        if not self.spec.gang:
            return len(task.failed_runs)
        return len(set().union(*(member.failed_runs for member in self.tasks)))


@attrs.define(eq=False)
class JobState:
    """Hold the state of one job; all times are on the owner's clock, in ms."""

    accepted: AcceptedJob
    accepted_local_ms: float
    objective_ms: float = 0.0
    phase: JobPhase = JobPhase.QUEUED
    steps: dict[tuple[int, int], StepState] = attrs.Factory(dict)
    # Its team had sent more jobs a second than it is entitled to.
    is_beyond_entitlement: bool = False
    # An earlier owner may have started tasks of this job.
    is_inherited: bool = False
    ended_ms: float = 0.0
    # The final phase is stored, so that no later owner can run the job again.
    is_end_stored: bool = False
    # The occurrences that are due; an earlier owner may have opened more of them.
    due_count: int = 0
    opened_count: int = 0
    # This owner has stopped runs of this job in favour of another one.
    was_preempted: bool = False
    # Runs of its tasks that have not ended as far as this owner knows.
    active_run_count: int = 0
    # Since when none of its tasks has run, if tasks wait.
    idle_since_ms: float | None = None
    # Cached until a step is opened or done.
    _remaining_critical_path_ms: float | None = None

    @property
    def job_id(self) -> str:
        """Return the id, which the caller chose."""
        return self.accepted.job_id

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.phase in FINAL_PHASES

    @property
    def confirmed_phase(self) -> JobPhase:
        """Return the phase that callers may see: a final one only once it is stored."""
        return self.phase if self.is_end_stored or not self.is_final else JobPhase.RUNNING

    @property
    def late_limit_ms(self) -> float:
        """Return the time after which the job has no value any more."""
        return self.accepted_local_ms + LATE_LIMIT_FACTOR * (
            self.objective_ms - self.accepted_local_ms
        )

    def mark_idle(self, since_ms: float) -> None:
        """Record that nothing of the job has run since a time, unless it has runs."""
        if self.idle_since_ms is None and not self.active_run_count:
            self.idle_since_ms = since_ms

    def is_overdue(self, now: float) -> bool:
        """Return whether nothing of the job has run for so long that it is not put off."""
        return self.idle_since_ms is not None and now - self.idle_since_ms >= MAX_IDLE_MS

    def mark_running(self) -> None:
        """Record that a task has started."""
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def drop_payload(self) -> None:
        """Free the payload of an ended job, which may be large."""
        spec = attrs.evolve(self.accepted.spec, payload="")
        self.accepted = attrs.evolve(self.accepted, spec=spec)

    def open_occurrence(self) -> list[StepState]:
        """Create and return the steps of the next occurrence."""
        occurrence = self.opened_count
        self.opened_count += 1
        self.invalidate_critical_path()
        opened = []
        for step_number, spec in enumerate(self.accepted.spec.steps):
            step = StepState(self, StepKey(self.job_id, occurrence, step_number), spec)
            self.steps[(occurrence, step_number)] = step
            opened.append(step)
        return opened

    def open_due_occurrences(self, unix_ms: float) -> bool:
        """Open the occurrences that are due; return whether there was any."""
        spec, before = self.accepted.spec, self.due_count
        while self.due_count < spec.occurrence_count and unix_ms >= spec.due_unix_ms(
            self.due_count
        ):
            self.due_count += 1
        self.open_occurrences(self.due_count)
        return self.due_count > before

    def open_occurrences(self, count: int) -> None:
        """Open the first `count` occurrences; those that are not due yet start nothing."""
        while self.opened_count < min(count, self.accepted.spec.occurrence_count):
            self.open_occurrence()

    def find_step(self, key: StepKey | TaskKey) -> StepState | None:
        """Return a step, or None if its occurrence is not open."""
        return self.steps.get((key.occurrence, key.step))

    def find_task(self, key: TaskKey) -> TaskState | None:
        """Return a task, or None if its occurrence is not open."""
        step = self.find_step(key)
        if step is None or not 0 <= key.index < len(step.tasks):
            return None
        return step.tasks[key.index]

    def is_step_ready(self, step: StepState) -> bool:
        """Return whether a step is due and all steps that it depends on are done."""
        occurrence = step.key.occurrence
        return occurrence < self.due_count and all(
            self.steps[(occurrence, step_number)].is_done for step_number in step.spec.after
        )

    def are_all_tasks_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        if self.opened_count < self.accepted.spec.occurrence_count:
            return False
        return all(step.is_done for step in self.steps.values())

    def invalidate_critical_path(self) -> None:
        """Discard the cached critical path after a step was opened or done."""
        self._remaining_critical_path_ms = None

    def remaining_critical_path_ms(self) -> float:
        """Return the declared duration of the longest chain of unfinished steps, in ms."""
        if self._remaining_critical_path_ms is None:
            self._remaining_critical_path_ms = self._compute_critical_path_ms()
        return self._remaining_critical_path_ms

    def _compute_critical_path_ms(self) -> float:
        steps = self.accepted.spec.steps
        longest_ms = [0.0] * len(steps)
        for step_number, spec in enumerate(steps):
            state = self.steps.get((max(0, self.opened_count - 1), step_number))
            own_ms = 0.0 if state is not None and state.is_done else float(spec.expected_ms)
            before_ms = max((longest_ms[other] for other in spec.after), default=0.0)
            longest_ms[step_number] = before_ms + own_ms
        return max(longest_ms, default=0.0)


def critical_path_ms(accepted: AcceptedJob) -> float:
    """Return the declared duration of the longest chain of steps of one occurrence, in ms."""
    return JobState(accepted, 0.0).remaining_critical_path_ms()


def objective_after_ms(accepted: AcceptedJob, queue: Queue | None) -> float:
    """Return the time from the acceptance of a job to its latency objective."""
    slack_factor = queue.slack_factor if queue is not None else 1.0
    target_ms = queue.target_latency_ms if queue is not None else 0
    return slack_factor * critical_path_ms(accepted) + target_ms
