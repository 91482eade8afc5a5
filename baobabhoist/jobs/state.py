"""Hold the progress of one job as a pure state machine."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import (
    FINAL_JOB_STATES,
    Answer,
    JobSpec,
    JobState,
    JobStatus,
    Outcome,
    Request,
    Task,
    TaskState,
    WorkKind,
)
from baobabhoist.ownership.rendezvous import home_shard
from baobabhoist.records.view import DEFAULT_POLICY

RETRY_BACKOFF_MIN_S = 0.5
RETRY_BACKOFF_MAX_S = 30.0


class AttemptState(enum.StrEnum):
    """Name the states of a task of a job as its coordinator sees them."""

    WAITING = "waiting"
    SENT = "sent"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


OPEN_ATTEMPTS = frozenset({AttemptState.WAITING, AttemptState.SENT})

# The worst task decides a finished job, in this order. An unknown outcome fails the job,
# because its submitter has to check what became of the task.
_VERDICTS = (
    (AttemptState.UNKNOWN, JobState.FAILED),
    (AttemptState.FAILED, JobState.FAILED),
    (AttemptState.CANCELLED, JobState.CANCELLED),
    (AttemptState.SUCCEEDED, JobState.SUCCEEDED),
)

_REPORTED = {
    AttemptState.WAITING: TaskState.QUEUED,
    AttemptState.SENT: TaskState.QUEUED,
    AttemptState.SUCCEEDED: TaskState.SUCCEEDED,
    AttemptState.FAILED: TaskState.FAILED,
    AttemptState.CANCELLED: TaskState.CANCELLED,
    AttemptState.UNKNOWN: TaskState.UNKNOWN,
}

# Refusals that no later attempt can change.
_HOPELESS = frozenset(
    {
        ErrorKind.NEVER_FITS,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.DEADLINE_TOO_FAR,
        ErrorKind.NOT_FOUND,
        ErrorKind.FORBIDDEN,
    }
)


@attrs.define
class TaskProgress:
    """Hold the state of one task; `not_before` is in Unix seconds.

    `generation` counts the ids under which the task was sent: a refused or failed id never
    runs again, so that a retry needs a new one. `marked` says that the table knows of the
    present id, and `attempted` that it was or may have been sent. `shard` is set where a gang's
    hold chose the shard.
    """

    state: AttemptState = AttemptState.WAITING
    generation: int = 0
    failures: int = 0
    backoffs: int = 0
    not_before: float = 0.0
    has_intent: bool = False
    possibly_sent: bool = False
    shard: str = ""
    reason: str = ""


@attrs.define
class JobRun:
    """Hold the progress of one job; `home` is the shard whose owner coordinates it.

    `retries` bounds how often a failed task runs again; the policy in force may change it.
    """

    spec: JobSpec
    home: str
    shards: tuple[str, ...]
    submitted_at: float
    tasks: list[TaskProgress] = attrs.field()
    retries: int = DEFAULT_POLICY.retries
    cancel_requested: bool = False
    revision: int = 0
    dirty: bool = False
    _first_open: int = 0

    @tasks.default
    def _new_tasks(self) -> list[TaskProgress]:
        return [TaskProgress() for _ in self.spec.tasks]

    def task_id(self, index: int) -> str:
        """Return the id under which a task is sent now."""
        return f"{self.spec.job_id}.{index}.{self.tasks[index].generation}"

    def shard_of(self, index: int) -> str:
        """Return the shard of a task; it depends on stored state alone.

        A successor that lost the coordinator's memory then asks the shard that may already
        run the task, instead of starting it a second time elsewhere.
        """
        return self.tasks[index].shard or home_shard(self.task_id(index), self.shards)

    def due_tasks(self, now: float, limit: int) -> list[int]:
        """Return the tasks to send now."""
        if self.cancel_requested:
            return []
        found = []
        for index in self._open_tasks():
            task = self.tasks[index]
            if task.state is AttemptState.WAITING and task.not_before <= now:
                found.append(index)
                if len(found) == limit:
                    break
        return found

    def place_gang(self, shards: dict[int, str]) -> None:
        """Record the shards that hold capacity for the tasks of a gang."""
        for index, shard in shards.items():
            self.tasks[index].shard = shard
            self.set_intent(index)

    def clear_placement(self, now: float) -> None:
        """Forget the shards of a gang whose placement could not be stored."""
        for task in self.tasks:
            task.shard = ""
            task.has_intent = False
        self.retry_gang_later(now)

    def retry_gang_later(self, now: float) -> None:
        """Let a gang try again later, under the same ids."""
        for index in self._open_tasks():
            self.tasks[index].reason = "not enough free capacity for all tasks at once"
            self._wait(self.tasks[index], now)

    def abandon_gang_attempt(self, now: float) -> None:
        """Give every open task of a gang a new id after a commit that failed in part."""
        for index in self._open_tasks():
            self._next_generation(self.tasks[index], now)
        self.dirty = True

    def needs_intent(self, index: int) -> bool:
        """Tell whether the table must know of this attempt before it is sent.

        Without the mark a successor would repeat a task that may run only once, or use an
        earlier id while a later one runs.
        """
        task = self.tasks[index]
        return not task.has_intent and (not self.spec.idempotent or task.generation > 0)

    def set_intent(self, index: int) -> None:
        """Record that the table knows of the attempt."""
        self.tasks[index].has_intent = True
        self.dirty = True

    def clear_intent(self, index: int) -> None:
        """Record that the mark could not be stored; the task waits for the table."""
        self.tasks[index].has_intent = False

    def build_request(self, index: int, now: float) -> Request:
        """Return the request that runs a task."""
        spec = self.spec.tasks[index]
        progress = self.tasks[index]
        task = Task(
            task_id=self.task_id(index),
            team=self.spec.team,
            queue=self.spec.queue,
            kind=self.spec.kind,
            resources=spec.resources,
            deadline=self.spec.deadline,
            submitted_at=self.submitted_at,
            idempotent=self.spec.idempotent,
            urgency=self.spec.urgency,
            job_id=self.spec.job_id,
            expected_run_s=spec.expected_run_s,
            payload=spec.payload,
        )
        return Request(
            task.task_id,
            self.shard_of(index),
            self.submitted_at,
            task,
            first_attempt=not progress.possibly_sent,
        )

    def record_sent(self, index: int) -> None:
        """Record that a task is on its way."""
        self.tasks[index].state = AttemptState.SENT
        self.tasks[index].possibly_sent = True

    def apply_result(self, index: int, result: Answer | Refusal, now: float) -> None:
        """Apply the result of an attempt."""
        task = self.tasks[index]
        self.dirty = True
        if isinstance(result, Answer):
            self._ended(task, now, succeeded=True, reason="")
        elif result.kind is ErrorKind.PREEMPTED and self._may_retry and not self.cancel_requested:
            # The owner stopped the task, which says nothing about the task itself.
            task.reason = result.message
            self._next_generation(task, now)
        elif result.outcome is Outcome.RAN:
            self._ended(task, now, succeeded=False, reason=result.message)
        elif result.outcome is Outcome.NOT_RUN:
            self._refused(task, result, now)
        elif self.spec.idempotent:
            # The same id goes to the same shard, whose owner knows whether the task runs.
            self._wait(task, now)
        else:
            task.state = AttemptState.UNKNOWN
            task.reason = result.message

    def cancel(self) -> None:
        """Stop sending tasks; those that were never sent are cancelled at once."""
        self.cancel_requested = True
        self.dirty = True
        for task in self.tasks:
            if task.state is AttemptState.WAITING and not task.possibly_sent:
                task.state = AttemptState.CANCELLED

    def tasks_to_cancel(self) -> list[int]:
        """Return the tasks that their shards still have to cancel."""
        return list(self._open_tasks()) if self.cancel_requested else []

    def record_cancelled(self, index: int) -> None:
        """Record that a shard will never run a task whose request has no reply pending."""
        task = self.tasks[index]
        if task.state is AttemptState.WAITING:
            task.state = AttemptState.CANCELLED
            self.dirty = True

    def expire_waiting_tasks(self, now: float) -> None:
        """Give up the waiting tasks of a job whose deadline has passed."""
        if now < self.spec.deadline:
            return
        for task in self.tasks:
            if task.state is AttemptState.WAITING:
                task.state = AttemptState.UNKNOWN if task.possibly_sent else AttemptState.FAILED
                task.reason = "the deadline of the job has passed"
                self.dirty = True

    @property
    def is_placed(self) -> bool:
        """Tell whether a hold has chosen the shards of a gang's open tasks."""
        return all(self.tasks[index].shard for index in self._open_tasks())

    def is_open(self, index: int) -> bool:
        """Tell whether a task may still change."""
        return self.tasks[index].state in OPEN_ATTEMPTS

    def open_tasks(self) -> list[int]:
        """Return the tasks that may still change."""
        return list(self._open_tasks())

    def possibly_sent_tasks(self) -> list[int]:
        """Return the tasks that were or may have been sent and have no result."""
        return [i for i in self._open_tasks() if self.tasks[i].possibly_sent]

    def tasks_of_shard(self, shard: str) -> list[int]:
        """Return the tasks that belong to a shard."""
        return [index for index in range(len(self.tasks)) if self.shard_of(index) == shard]

    def group_by_shard(self, indexes: list[int]) -> dict[str, list[int]]:
        """Group tasks by their shard."""
        groups: dict[str, list[int]] = {}
        for index in indexes:
            groups.setdefault(self.shard_of(index), []).append(index)
        return groups

    @property
    def state(self) -> JobState:
        """Return the state of the job."""
        if any(True for _ in self._open_tasks()):
            started = any(task.state is not AttemptState.WAITING for task in self.tasks)
            return JobState.RUNNING if started else JobState.QUEUED
        states = {task.state for task in self.tasks}
        return next(verdict for state, verdict in _VERDICTS if state in states)

    @property
    def is_finished(self) -> bool:
        """Tell whether no task can change any more."""
        return self.state in FINAL_JOB_STATES

    def status(
        self, running: frozenset[str] | None = None, silent: frozenset[str] = frozenset()
    ) -> JobStatus:
        """Describe the job; `running` holds the ids of tasks that run on workers now.

        Shards in `silent` did not report, and None means that no shard was asked; then a task
        that was sent counts as started.
        """
        counts: Counter[TaskState] = Counter()
        for index, task in enumerate(self.tasks):
            runs = task.state in OPEN_ATTEMPTS and self.task_id(index) in (running or ())
            counts[TaskState.RUNNING if runs else _REPORTED[task.state]] += 1
        state, reason = self.state, next((task.reason for task in self.tasks if task.reason), "")
        mine = {self.shard_of(index) for index in self.possibly_sent_tasks()} & silent
        if mine:
            reason = f"the owner of shard {min(mine)} did not report which tasks run"
        elif running is not None and state not in FINAL_JOB_STATES:
            # Tasks that wait in the queue of a shard were sent as well.
            begun = set(counts) != {TaskState.QUEUED}
            state = JobState.RUNNING if begun else JobState.QUEUED
        return JobStatus(
            self.spec.job_id,
            state,
            dict(counts),
            reason,
            self._refusal(),
            self.spec.team,
            self.spec.queue,
            self.spec.kind,
        )

    def _refusal(self) -> Refusal | None:
        unknown = sum(task.state is AttemptState.UNKNOWN for task in self.tasks)
        if not unknown:
            return None
        return Refusal(
            ErrorKind.OUTCOME_UNKNOWN,
            f"the outcome of {unknown} tasks is unknown",
            Outcome.UNKNOWN,
            "check the effect of these tasks before submitting them again",
        )

    def progress_to_row(self) -> list[list[Any]]:
        """Return the progress as it is stored in the table."""
        return [
            [
                task.state.value,
                task.generation,
                task.failures,
                task.has_intent,
                task.shard,
                task.reason,
            ]
            for task in self.tasks
        ]

    def restore_progress(self, row: list[list[Any]]) -> None:
        """Take over the stored progress; attempts that may be under way are asked again."""
        for task, stored in zip(self.tasks, row, strict=True):
            task.state = AttemptState(stored[0])
            task.generation, task.failures, task.has_intent, task.shard, task.reason = stored[1:]

    def resume(self) -> None:
        """Prepare to ask for the outcome of each attempt that may be under way.

        An idempotent first attempt is sent without a mark, so each waiting one may be under
        way as well.
        """
        for index in self._open_tasks():
            task = self.tasks[index]
            task.possibly_sent = (
                task.has_intent
                or task.state is AttemptState.SENT
                or self._sent_without_intent(task)
            )
            task.state = AttemptState.WAITING

    def _sent_without_intent(self, task: TaskProgress) -> bool:
        gang = self.spec.kind is WorkKind.GANG
        return self.spec.idempotent and task.generation == 0 and not gang

    def _open_tasks(self) -> Iterator[int]:
        for index in range(self._first_open, len(self.tasks)):
            if self.tasks[index].state in OPEN_ATTEMPTS:
                yield index
            elif index == self._first_open:
                # Tasks end roughly in order; a scan need not pass the ended ones again.
                self._first_open += 1

    def _ended(self, task: TaskProgress, now: float, succeeded: bool, reason: str) -> None:
        task.reason = "" if self.cancel_requested else reason
        if self.cancel_requested:
            task.state = AttemptState.SUCCEEDED if succeeded else AttemptState.CANCELLED
        elif self.spec.kind is WorkKind.SERVICE:
            self._next_generation(task, now)
        elif succeeded:
            task.state = AttemptState.SUCCEEDED
        else:
            task.failures += 1
            if self._may_retry and task.failures <= self.retries:
                self._next_generation(task, now)
            else:
                task.state = AttemptState.FAILED

    @property
    def _may_retry(self) -> bool:
        # A task of a gang cannot start again while the others go on: it needs a new hold.
        return self.spec.idempotent and self.spec.kind is not WorkKind.GANG

    def _refused(self, task: TaskProgress, refusal: Refusal, now: float) -> None:
        task.reason = refusal.message
        if self.cancel_requested or refusal.kind is ErrorKind.CANCELLED:
            task.state = AttemptState.CANCELLED
        elif refusal.kind in _HOPELESS or self.spec.kind is WorkKind.GANG:
            task.state = AttemptState.FAILED
        else:
            self._next_generation(task, now)

    def _next_generation(self, task: TaskProgress, now: float) -> None:
        task.generation += 1
        task.has_intent = False
        task.possibly_sent = False
        task.shard = ""
        self._wait(task, now)

    def _wait(self, task: TaskProgress, now: float) -> None:
        task.backoffs += 1
        delay = min(RETRY_BACKOFF_MIN_S * 2 ** min(task.backoffs - 1, 10), RETRY_BACKOFF_MAX_S)
        task.state = AttemptState.WAITING
        task.not_before = now + delay
