"""Apply the outcomes of ended runs to tasks, gangs and jobs."""

from __future__ import annotations

import logging

from baobabhoist.cell.given_up_runs import GivenUpRun
from baobabhoist.cell.jobs import JobState, Run, RunPhase, StepState, TaskState
from baobabhoist.cell.model import JobPhase, RunOutcome
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wasted_work import WasteCause
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)


class RunEndHandler:
    """Update the tasks and jobs of ended runs; all times are on the owner's clock, in ms."""

    def __init__(self, state: CellState) -> None:
        self._state = state

    def record_end(
        self, task: TaskState, run_number: int, outcome: RunOutcome, checkpoint: str, now: float
    ) -> None:
        """Apply the reported outcome of a run to its task; the caller closes the run itself."""
        job = task.step.job
        job.mark_running()
        if checkpoint and not task.is_done and task.step.spec.checkpoints:
            self._save_checkpoint(task, checkpoint)
        if outcome is RunOutcome.DONE:
            self._mark_done(task, now)
            return
        emit(
            log,
            Event.RUN_ENDED_EARLY,
            task=task.key.to_text(),
            run=run_number,
            kind=outcome.value,
            checkpoint=checkpoint,
        )
        if (
            outcome is RunOutcome.FAILED
            and run_number not in task.failed_runs
            and not task.is_done
        ):
            task.failed_runs.add(run_number)
            if task.run is not None and task.run.number == run_number:
                task.failed_worker_ids.add(task.run.worker_id)
                task.step.failed_worker_ids.add(task.run.worker_id)
            self._state.dirty.add(job.job_id)
            self._fail_job_after_max_attempts(task, now)
        if task.step.spec.gang and not task.step.is_done:
            self.stop_gang_run(task.step, run_number, now)

    def stop_gang_run(self, step: StepState, run_number: int, now: float) -> None:
        """Stop the other members of a gang's run, so that the gang can restart as a whole."""
        for member in step.tasks:
            run = member.run
            if run is not None and run.number == run_number and run.phase is not RunPhase.STOPPING:
                self._state.stop_run(run, now, WasteCause.GANG_BROKEN)

    def _mark_done(self, task: TaskState, now: float) -> None:
        step, job = task.step, task.step.job
        if step.spec.lasting:
            return
        members = step.tasks if step.spec.gang else [task]
        changed = [member for member in members if step.mark_done(member)]
        if not changed:
            return
        self._state.dirty.add(job.job_id)
        for member in members:
            self._record_success(member, now)
        if step.is_done:
            self._state.update_ready_steps(job, now)
        if not job.is_final and job.are_all_tasks_done():
            self._state.finish_job(job, JobPhase.COMPLETED, now, "all tasks are done")

    def _record_success(self, task: TaskState, now: float) -> None:
        run = task.run
        worker = self._state.workers.get(run.worker_id) if run is not None else None
        if run is None or worker is None:
            return
        worker.health.record_success()
        spec = task.step.spec
        # Gangs run at the pace of their slowest member and resumed runs skip part of the work,
        # so neither tells the speed of this worker; nor does a run that began while it was cold.
        is_warm = not worker.is_cold(run.confirmed_ms)
        if run.is_fresh_start and not spec.gang and run.confirmed_ms and is_warm:
            queue = task.step.job.accepted.queue
            took_ms = now - run.confirmed_ms
            self._state.speeds.observe(run.worker_id, queue, took_ms, spec.expected_ms)

    def _fail_job_after_max_attempts(self, task: TaskState, now: float) -> None:
        job = task.step.job
        attempts = task.step.failed_attempts(task)
        if task.step.spec.lasting or attempts < self._state.max_attempts_of(job):
            return
        self._state.finish_job(
            job, JobPhase.FAILED, now, f"task {task.key.to_text()} failed {attempts} times"
        )

    def fail_exhausted_job(self, job: JobState, now: float) -> None:
        """Fail a job if a task has no attempt left, as stored progress may show."""
        for step in job.steps.values():
            for task in step.tasks:
                if task.failed_runs and not task.is_done:
                    self._fail_job_after_max_attempts(task, now)

    def _save_checkpoint(self, task: TaskState, checkpoint: str) -> None:
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        self._state.dirty.add(task.step.job.job_id)


def close_lost_run(
    state: CellState,
    run_ends: RunEndHandler,
    run: Run,
    now: float,
    reason: str,
    cause: WasteCause = WasteCause.WORKER_LOST,
) -> None:
    """Close a run that has certainly ended although no worker reported its end."""
    emit(
        log,
        Event.RUN_LOST,
        **run.log_fields(),
        reason=reason,
    )
    worker = state.workers.get(run.worker_id)
    started_unix_ms = worker.started_unix_ms if worker is not None else 0
    state.given_up_runs.add(run, GivenUpRun(now, reason, started_unix_ms))
    state.waste.record_loss(run, run.stop_cause or cause, now)
    state.close_run(run)
    if worker is not None:
        run.task.step.job.mark_idle(max(worker.last_report_ms, run.decided_ms))
    if run.task.step.spec.gang and not run.task.step.is_done:
        run_ends.stop_gang_run(run.task.step, run.number, now)
