"""Merge the answers of workers into what the owner knows of its runs."""

from __future__ import annotations

import logging

from baobabhoist.cell.jobs import Run, RunPhase
from baobabhoist.cell.model import (
    REJECTED_OUTCOMES,
    ActiveRun,
    CommandOutcome,
    EndedRun,
    RunOutcome,
    StartTask,
    StopTask,
    WorkerReport,
)
from baobabhoist.cell.run_ends import RunEndHandler, close_lost_run
from baobabhoist.cell.state import CellState
from baobabhoist.cell.workers import WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# A worker that refused a start gets no other for this long.
PAUSE_AFTER_REFUSAL_MS = 150.0


class WorkerReportHandler:
    """Take reports and answers to orders; all times are on the owner's clock, in ms."""

    def __init__(self, state: CellState, run_ends: RunEndHandler) -> None:
        self._state = state
        self._run_ends = run_ends

    def handle_report(
        self, worker: WorkerState, report: WorkerReport, sent_ms: float, now: float
    ) -> None:
        """Merge a report; `sent_ms` is when it was asked for."""
        if (
            worker.started_unix_ms
            and report.started_unix_ms
            and report.started_unix_ms != worker.started_unix_ms
        ):
            self._handle_restart(worker, sent_ms, now)
        worker.started_unix_ms = report.started_unix_ms or worker.started_unix_ms
        worker.lease.update_clock(report.clock_ms, now)
        worker.last_report_ms = now
        if not worker.is_fenced:
            worker.is_fenced = True
            emit(
                log,
                Event.WORKER_FENCED,
                worker=worker.worker_id,
                running=len(report.running),
                ended=len(report.ended),
            )
        for end in report.ended:
            if end.sequence_number > worker.last_seen_end:
                worker.last_seen_end = end.sequence_number
                self._apply_end(worker, end, now)
        for row in report.running:
            self._apply_active_run(worker, row, now)
        self._close_missing_runs(worker, report, sent_ms, now)

    def handle_start_result(self, command: StartTask, outcome: CommandOutcome, now: float) -> None:
        """Take the answer to a start."""
        run = self._find_run(command)
        worker = self._state.workers.get(command.worker_id)
        if run is None or worker is None:
            return
        if outcome is CommandOutcome.OK:
            run.confirmed_ms = run.confirmed_ms or now
            if run.phase in (RunPhase.STARTING, RunPhase.UNSURE) and not run.stop_sent_ms:
                run.phase = RunPhase.RUNNING
            return
        if outcome is CommandOutcome.UNKNOWN:
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNSURE
                worker.paused_until_ms = now + PAUSE_AFTER_REFUSAL_MS
                emit(
                    log,
                    Event.START_UNANSWERED,
                    task=command.task.to_text(),
                    run=command.run,
                    worker=command.worker_id,
                )
                self._state.stop_run(run, now)
                if run.task.step.spec.gang:
                    self._run_ends.stop_gang_run(run.task.step, run.number, now)
            return
        if outcome in REJECTED_OUTCOMES:
            self._handle_refusal(run, worker, command, outcome, now)

    def handle_stop_result(self, command: StopTask, outcome: CommandOutcome, now: float) -> None:
        """Take the answer to a stop."""
        run = self._find_run(command)
        if run is None:
            return
        if outcome is CommandOutcome.OK:
            run.stop_answered_ms = run.stop_answered_ms or now
            run.phase = RunPhase.STOPPING

    def _handle_refusal(
        self,
        run: Run,
        worker: WorkerState,
        command: StartTask,
        outcome: CommandOutcome,
        now: float,
    ) -> None:
        emit(
            log,
            Event.START_REFUSED,
            task=command.task.to_text(),
            run=command.run,
            worker=command.worker_id,
            reason=outcome.value,
        )
        step = run.task.step
        if outcome is CommandOutcome.NO_TICKET:
            step.approvals.invalidate_ticket(worker.worker_id)
        else:
            worker.paused_until_ms = now + PAUSE_AFTER_REFUSAL_MS
        if outcome is CommandOutcome.UNHEALTHY:
            worker.health.record_failure(step.job.job_id, now)
        self._state.close_run(run)
        if step.spec.gang and not step.is_done:
            self._run_ends.stop_gang_run(step, run.number, now)

    def _apply_end(self, worker: WorkerState, end: EndedRun, now: float) -> None:
        worker.orphan_runs.pop(end.task, None)
        job = self._state.jobs.get(end.task.job_id)
        task = job.find_task(end.task) if job is not None else None
        if job is None or task is None:
            return
        run = worker.runs.get(end.task)
        mine = run is not None and run.number <= end.run
        if mine and run is not None:
            # Keep the run while its end is applied, so that its time is learned.
            self._run_ends.record_end(task, end.run, end.outcome, end.checkpoint, now)
            if end.outcome is RunOutcome.FAILED and worker.health.record_failure(job.job_id, now):
                emit(log, Event.WORKER_SET_ASIDE, worker=worker.worker_id, reason="failures")
            self._state.close_run(run)
            return
        if not job.is_final:
            self._run_ends.record_end(task, end.run, end.outcome, end.checkpoint, now)
            other = task.run
            if task.is_done and other is not None and other.phase is not RunPhase.STOPPING:
                self._state.stop_run(other, now)

    def _apply_active_run(self, worker: WorkerState, row: ActiveRun, now: float) -> None:
        run = worker.runs.get(row.task)
        if run is not None and run.number == row.run:
            self._update_progress(run, row, now)
            return
        if run is not None and run.number > row.run:
            # The list was made before a later run replaced this one.
            return
        job = self._state.jobs.get(row.task.job_id)
        task = job.find_task(row.task) if job is not None else None
        if job is None or task is None or job.is_final or task.is_done or task.run is not None:
            self._state.stop_orphan_run(worker, row.task, row.run)
            return
        adopted = self._state.adopt_run(task, worker, row.run, now)
        self._update_progress(adopted, row, now)

    def _update_progress(self, run: Run, row: ActiveRun, now: float) -> None:
        run.confirmed_ms = run.confirmed_ms or now
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if row.percent != run.percent:
            run.percent, run.last_progress_ms = row.percent, now
        if row.checkpoint and run.task.step.spec.checkpoints:
            run.task.checkpoint = row.checkpoint

    def _close_missing_runs(
        self, worker: WorkerState, report: WorkerReport, sent_ms: float, now: float
    ) -> None:
        """Close the runs and orphans that the report shows to be gone."""
        listed = {(row.task, row.run) for row in report.running}
        for key, number in list(worker.orphan_runs.items()):
            if (key, number) not in listed:
                del worker.orphan_runs[key]
        for run in list(worker.runs.values()):
            if (run.task.key, run.number) in listed:
                continue
            if run.phase is RunPhase.STOPPING and 0 < run.stop_answered_ms < sent_ms:
                self._state.close_run(run)
            elif run.phase is RunPhase.RUNNING and 0 < run.confirmed_ms < sent_ms:
                close_lost_run(
                    self._state, self._run_ends, run, now, "its worker does not list it"
                )

    def _handle_restart(self, worker: WorkerState, sent_ms: float, now: float) -> None:
        emit(log, Event.WORKER_RESTARTED, worker=worker.worker_id, runs=len(worker.runs))
        worker.last_seen_end = worker.last_acked_end = 0
        worker.orphan_runs.clear()
        worker.lease.reset()
        for step in self._state.ready_steps.values():
            step.approvals.remove_worker(worker.worker_id)
        for run in list(worker.runs.values()):
            if run.phase in (RunPhase.RUNNING, RunPhase.STOPPING) and run.confirmed_ms < sent_ms:
                close_lost_run(self._state, self._run_ends, run, now, "its worker started again")

    def _find_run(self, command: StartTask | StopTask) -> Run | None:
        worker = self._state.workers.get(command.worker_id)
        run = worker.runs.get(command.task) if worker is not None else None
        return run if run is not None and run.number == command.run else None
