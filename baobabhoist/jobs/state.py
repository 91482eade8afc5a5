"""Implement the progress of one job as a pure state machine."""

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
    """List the states of an attempt to run a task, as the coordinator of its job sees them."""

    WAITING = "waiting"
    SENT = "sent"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


OPEN_ATTEMPTS = frozenset({AttemptState.WAITING, AttemptState.SENT})

# The worst attempt determines the state of a finished job; the worst comes first. An unknown
# outcome fails the job, because its submitter has to check whether the task took effect.
_STATE_BY_WORST_ATTEMPT = (
    (AttemptState.UNKNOWN, JobState.FAILED),
    (AttemptState.FAILED, JobState.FAILED),
    (AttemptState.CANCELLED, JobState.CANCELLED),
    (AttemptState.SUCCEEDED, JobState.SUCCEEDED),
)

_TASK_STATE_BY_ATTEMPT = {
    AttemptState.WAITING: TaskState.QUEUED,
    AttemptState.SENT: TaskState.QUEUED,
    AttemptState.SUCCEEDED: TaskState.SUCCEEDED,
    AttemptState.FAILED: TaskState.FAILED,
    AttemptState.CANCELLED: TaskState.CANCELLED,
    AttemptState.UNKNOWN: TaskState.UNKNOWN,
}

# Refusals for which a retry cannot succeed.
_PERMANENT_REFUSALS = frozenset(
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

    `generation` counts the ids under which the task was sent: an id that was refused or failed
    never runs again, so each retry needs a new one. `has_intent` is true if the intent to send
    the current id is stored in the table, and `possibly_sent` if that id was or may have been
    sent. `shard` is set if the hold of a gang has determined the shard.
    """

    state: AttemptState = AttemptState.WAITING
    generation: int = 0
    failure_count: int = 0
    backoff_count: int = 0
    not_before: float = 0.0
    has_intent: bool = False
    possibly_sent: bool = False
    shard: str = ""
    reason: str = ""


@attrs.define
class JobRun:
    """Hold the progress of one job; `home` is the shard whose owner coordinates it.

    `retries` limits how often a failed task is run again. It follows the policy of the queue.
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
    _first_open_index: int = 0

    @tasks.default
    def _new_tasks(self) -> list[TaskProgress]:
        return [TaskProgress() for _ in self.spec.tasks]

    def task_id(self, index: int) -> str:
        """Return the id of the current attempt of a task."""
        return f"{self.spec.job_id}.{index}.{self.tasks[index].generation}"

    def shard_of(self, index: int) -> str:
        """Return the shard of a task, which depends on stored state alone.

        After a change of coordinator, the next one therefore asks the shard that may already run
        the task instead of starting it a second time in another shard.
        """
        return self.tasks[index].shard or home_shard(self.task_id(index), self.shards)

    def due_tasks(self, now: float, limit: int) -> list[int]:
        """Return the indexes of up to `limit` tasks to send now."""
        if self.cancel_requested:
            return []
        due = []
        for index in self._open_tasks():
            task = self.tasks[index]
            if task.state is AttemptState.WAITING and task.not_before <= now:
                due.append(index)
                if len(due) == limit:
                    break
        return due

    def place_gang(self, shards: dict[int, str]) -> None:
        """Assign the tasks of a gang to the shards that hold capacity for them."""
        for index, shard in shards.items():
            self.tasks[index].shard = shard
            self.set_intent(index)

    def clear_placement(self, now: float) -> None:
        """Clear the placement of a gang that could not be stored."""
        for task in self.tasks:
            task.shard = ""
            task.has_intent = False
        self.retry_gang_later(now)

    def retry_gang_later(self, now: float) -> None:
        """Schedule a retry of a gang under the same ids, after a back-off."""
        for index in self._open_tasks():
            self.tasks[index].reason = "not enough free capacity for all tasks at once"
            self._back_off(self.tasks[index], now)

    def abandon_gang_attempt(self, now: float) -> None:
        """Give every open task of a gang a new id after its holds were committed in part only."""
        for index in self._open_tasks():
            self._schedule_next_attempt(self.tasks[index], now)
        self.dirty = True

    def needs_intent(self, index: int) -> bool:
        """Return whether the intent to send an attempt must be stored before it is sent.

        Without it, the next coordinator might repeat a task that is not idempotent, or use an
        earlier id while a later one is running.
        """
        task = self.tasks[index]
        return not task.has_intent and (not self.spec.idempotent or task.generation > 0)

    def set_intent(self, index: int) -> None:
        """Set the intent to send a task; it takes effect when the progress is stored."""
        self.tasks[index].has_intent = True
        self.dirty = True

    def clear_intent(self, index: int) -> None:
        """Clear an intent that could not be stored, so that the task waits for the table."""
        self.tasks[index].has_intent = False

    def build_request(self, index: int, now: float) -> Request:
        """Return the request to run a task."""
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
        """Record that a task is being sent."""
        self.tasks[index].state = AttemptState.SENT
        self.tasks[index].possibly_sent = True

    def apply_result(self, index: int, result: Answer | Refusal, now: float) -> None:
        """Apply the result of an attempt."""
        task = self.tasks[index]
        self.dirty = True
        if isinstance(result, Answer):
            self._record_end(task, now, succeeded=True, reason="")
        elif (
            result.kind is ErrorKind.PREEMPTED
            and self._can_retry_tasks
            and not self.cancel_requested
        ):
            # A preemption by the shard owner does not count as a failure of the task.
            task.reason = result.message
            self._schedule_next_attempt(task, now)
        elif result.outcome is Outcome.RAN:
            self._record_end(task, now, succeeded=False, reason=result.message)
        elif result.outcome is Outcome.NOT_RUN:
            self._record_refusal(task, result, now)
        elif self.spec.idempotent:
            # A retry under the same id goes to the same shard, whose owner deduplicates it.
            self._back_off(task, now)
        else:
            task.state = AttemptState.UNKNOWN
            task.reason = result.message

    def cancel(self) -> None:
        """Stop sending tasks, and cancel at once those that were never sent."""
        self.cancel_requested = True
        self.dirty = True
        for task in self.tasks:
            if task.state is AttemptState.WAITING and not task.possibly_sent:
                task.state = AttemptState.CANCELLED

    def tasks_to_cancel(self) -> list[int]:
        """Return the indexes of the tasks that their shards still have to cancel."""
        return list(self._open_tasks()) if self.cancel_requested else []

    def record_cancelled(self, index: int) -> None:
        """Record that a shard has cancelled a task, unless the reply to its request is pending."""
        task = self.tasks[index]
        if task.state is AttemptState.WAITING:
            task.state = AttemptState.CANCELLED
            self.dirty = True

    def expire_waiting_tasks(self, now: float) -> None:
        """End the waiting tasks of a job whose deadline has passed."""
        if now < self.spec.deadline:
            return
        for task in self.tasks:
            if task.state is AttemptState.WAITING:
                task.state = AttemptState.UNKNOWN if task.possibly_sent else AttemptState.FAILED
                task.reason = "the deadline of the job has passed"
                self.dirty = True

    @property
    def is_placed(self) -> bool:
        """Return whether every open task of a gang is assigned to a shard."""
        return all(self.tasks[index].shard for index in self._open_tasks())

    def is_open(self, index: int) -> bool:
        """Return whether a task has no final state yet."""
        return self.tasks[index].state in OPEN_ATTEMPTS

    def open_tasks(self) -> list[int]:
        """Return the indexes of the tasks without a final state."""
        return list(self._open_tasks())

    def possibly_sent_tasks(self) -> list[int]:
        """Return the indexes of the open tasks that were or may have been sent."""
        return [i for i in self._open_tasks() if self.tasks[i].possibly_sent]

    def tasks_of_shard(self, shard: str) -> list[int]:
        """Return the indexes of the tasks of a shard."""
        return [index for index in range(len(self.tasks)) if self.shard_of(index) == shard]

    def group_by_shard(self, indexes: list[int]) -> dict[str, list[int]]:
        """Group the indexes of tasks by shard."""
        groups: dict[str, list[int]] = {}
        for index in indexes:
            groups.setdefault(self.shard_of(index), []).append(index)
        return groups

    @property
    def state(self) -> JobState:
        """Return the state of the job."""
        if any(True for _ in self._open_tasks()):
            has_started = any(task.state is not AttemptState.WAITING for task in self.tasks)
            return JobState.RUNNING if has_started else JobState.QUEUED
        states = {task.state for task in self.tasks}
        return next(job_state for state, job_state in _STATE_BY_WORST_ATTEMPT if state in states)

    @property
    def is_finished(self) -> bool:
        """Return whether every task has a final state."""
        return self.state in FINAL_JOB_STATES

    def status(
        self, running: frozenset[str] | None = None, unresponsive: frozenset[str] = frozenset()
    ) -> JobStatus:
        """Return the status of the job; `running` holds the ids of tasks running on workers.

        Shards in `unresponsive` did not report. If `running` is None, no shard was asked, and
        a task that was sent counts as started.
        """
        counts: Counter[TaskState] = Counter()
        for index, task in enumerate(self.tasks):
            is_running = task.state in OPEN_ATTEMPTS and self.task_id(index) in (running or ())
            counts[TaskState.RUNNING if is_running else _TASK_STATE_BY_ATTEMPT[task.state]] += 1
        state, reason = self.state, next((task.reason for task in self.tasks if task.reason), "")
        own_unresponsive = {
            self.shard_of(index) for index in self.possibly_sent_tasks()
        } & unresponsive
        if own_unresponsive:
            reason = f"the owner of shard {min(own_unresponsive)} did not report which tasks run"
        elif running is not None and state not in FINAL_JOB_STATES:
            # A task that was sent may still be waiting in the queue of its shard.
            has_started = set(counts) != {TaskState.QUEUED}
            state = JobState.RUNNING if has_started else JobState.QUEUED
        return JobStatus(
            self.spec.job_id,
            state,
            dict(counts),
            reason,
            self._unknown_outcome_refusal(),
            self.spec.team,
            self.spec.queue,
            self.spec.kind,
        )

    def _unknown_outcome_refusal(self) -> Refusal | None:
        unknown_count = sum(task.state is AttemptState.UNKNOWN for task in self.tasks)
        if not unknown_count:
            return None
        return Refusal(
            ErrorKind.OUTCOME_UNKNOWN,
            f"the outcome of {unknown_count} tasks is unknown",
            Outcome.UNKNOWN,
            "check the effect of these tasks before submitting them again",
        )

    def progress_to_row(self) -> list[list[Any]]:
        """Return the progress as it is stored in the table."""
        return [
            [
                task.state.value,
                task.generation,
                task.failure_count,
                task.has_intent,
                task.shard,
                task.reason,
            ]
            for task in self.tasks
        ]

    def restore_progress(self, rows: list[list[Any]]) -> None:
        """Restore the stored progress; `resume` handles attempts that may be in flight."""
        for task, row in zip(self.tasks, rows, strict=True):
            task.state = AttemptState(row[0])
            task.generation, task.failure_count, task.has_intent, task.shard, task.reason = row[1:]

    def resume(self) -> None:
        """Set every attempt that may be in flight to be sent again, which returns its outcome."""
        self.mark_possibly_sent()
        for index in self._open_tasks():
            self.tasks[index].state = AttemptState.WAITING

    def mark_possibly_sent(self) -> None:
        """Mark every restored attempt that may be in flight.

        The first attempt of an idempotent task is sent without a stored intent, so each one that
        is waiting may be in flight as well.
        """
        for index in self._open_tasks():
            task = self.tasks[index]
            task.possibly_sent = (
                task.has_intent
                or task.state is AttemptState.SENT
                or self._sent_without_intent(task)
            )

    def _sent_without_intent(self, task: TaskProgress) -> bool:
        is_gang = self.spec.kind is WorkKind.GANG
        return self.spec.idempotent and task.generation == 0 and not is_gang

    def _open_tasks(self) -> Iterator[int]:
        for index in range(self._first_open_index, len(self.tasks)):
            if self.tasks[index].state in OPEN_ATTEMPTS:
                yield index
            elif index == self._first_open_index:
                # Tasks end roughly in order, so later scans can skip the leading ended ones.
                self._first_open_index += 1

    def _record_end(self, task: TaskProgress, now: float, succeeded: bool, reason: str) -> None:
        task.reason = "" if self.cancel_requested else reason
        if self.cancel_requested:
            task.state = AttemptState.SUCCEEDED if succeeded else AttemptState.CANCELLED
        elif self.spec.kind is WorkKind.SERVICE:
            self._schedule_next_attempt(task, now)
        elif succeeded:
            task.state = AttemptState.SUCCEEDED
        else:
            task.failure_count += 1
            if self._can_retry_tasks and task.failure_count <= self.retries:
                self._schedule_next_attempt(task, now)
            else:
                task.state = AttemptState.FAILED

    @property
    def _can_retry_tasks(self) -> bool:
        # A task of a gang cannot be restarted alone while the others run: it needs a new hold.
        return self.spec.idempotent and self.spec.kind is not WorkKind.GANG

    def _record_refusal(self, task: TaskProgress, refusal: Refusal, now: float) -> None:
        task.reason = refusal.message
        if self.cancel_requested or refusal.kind is ErrorKind.CANCELLED:
            task.state = AttemptState.CANCELLED
        elif refusal.kind in _PERMANENT_REFUSALS or self.spec.kind is WorkKind.GANG:
            task.state = AttemptState.FAILED
        else:
            self._schedule_next_attempt(task, now)

    def _schedule_next_attempt(self, task: TaskProgress, now: float) -> None:
        task.generation += 1
        task.has_intent = False
        task.possibly_sent = False
        task.shard = ""
        self._back_off(task, now)

    def _back_off(self, task: TaskProgress, now: float) -> None:
        task.backoff_count += 1
        delay = min(
            RETRY_BACKOFF_MIN_S * 2 ** min(task.backoff_count - 1, 10), RETRY_BACKOFF_MAX_S
        )
        task.state = AttemptState.WAITING
        task.not_before = now + delay
