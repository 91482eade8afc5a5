"""Apply the ends of runs to tasks, gangs and jobs."""

from __future__ import annotations

import logging

from baobabhoist.cell.jobs import Run, RunPhase, StepState, TaskState
from baobabhoist.cell.model import JobPhase, RunOutcome
from baobabhoist.cell.state import CellState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)


class RunEndHandler:
    """Decide what the end of a run means for its task and its job."""

    def __init__(self, state: CellState) -> None:
        self._state = state

    def ended(
        self, task: TaskState, number: int, kind: RunOutcome, checkpoint: str, now: float
    ) -> None:
        """Take note of an end that a worker listed; the run itself is closed by the caller."""
        job = task.step.job
        if checkpoint and not task.done and task.step.spec.checkpoints:
            self._keep_checkpoint(task, checkpoint)
        if kind is RunOutcome.DONE:
            self._done(task, now)
            return
        emit(
            log,
            Event.RUN_ENDED_EARLY,
            task=task.key.to_text(),
            run=number,
            kind=kind.value,
            checkpoint=checkpoint,
        )
        if kind is RunOutcome.FAILED and number not in task.failed_runs and not task.done:
            task.failed_runs.add(number)
            if task.run is not None and task.run.number == number:
                task.step.failed_on.add(task.run.worker_id)
            self._state.dirty.add(job.job_id)
            self._check_attempts(task, now)
        if task.step.spec.gang and not task.step.done:
            self.break_gang(task.step, number, now)

    def break_gang(self, step: StepState, number: int, now: float) -> None:
        """Stop what still runs of a gang's run, so that the gang can start again whole."""
        for member in step.tasks:
            run = member.run
            if run is not None and run.number == number and run.phase is not RunPhase.STOPPING:
                self._state.stop(run, now)

    def _done(self, task: TaskState, now: float) -> None:
        step, job = task.step, task.step.job
        if step.spec.lasting:
            return
        members = step.tasks if step.spec.gang else [task]
        changed = [member for member in members if step.mark_done(member)]
        if not changed:
            return
        self._state.dirty.add(job.job_id)
        for member in members:
            self._time(member, now)
        if step.done:
            self._state.refresh_ready(job, now)
        if not job.is_final and job.all_done():
            self._state.finish(job, JobPhase.COMPLETED, now, "all tasks are done")

    def _time(self, task: TaskState, now: float) -> None:
        run = task.run
        worker = self._state.workers.get(run.worker_id) if run is not None else None
        if run is None or worker is None:
            return
        worker.health.succeeded()
        spec = task.step.spec
        # A gang runs at the pace of its slowest member, and a resumed run not from the start.
        if run.whole and not spec.gang and run.confirmed_ms:
            queue = task.step.job.accepted.queue
            took_ms = now - run.confirmed_ms
            self._state.speeds.observe(run.worker_id, queue, took_ms, spec.expected_ms)

    def _check_attempts(self, task: TaskState, now: float) -> None:
        job = task.step.job
        queue = self._state.queue_of(job)
        attempts = task.step.failures(task)
        if queue is None or task.step.spec.lasting or attempts < queue.max_attempts:
            return
        self._state.finish(
            job, JobPhase.FAILED, now, f"task {task.key.to_text()} failed {attempts} times"
        )

    def _keep_checkpoint(self, task: TaskState, checkpoint: str) -> None:
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        self._state.dirty.add(task.step.job.job_id)


def lost(state: CellState, ends: RunEndHandler, run: Run, now: float, reason: str) -> None:
    """Close a run that is certain to be gone without an end in any list."""
    emit(
        log,
        Event.RUN_LOST,
        task=run.task.key.to_text(),
        run=run.number,
        worker=run.worker_id,
        reason=reason,
    )
    state.close(run)
    if run.task.step.spec.gang and not run.task.step.done:
        ends.break_gang(run.task.step, run.number, now)
