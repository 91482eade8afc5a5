"""Reconcile the tracked runs with the reports and replies of workers."""

from __future__ import annotations

import logging

from baobabhoist.cell import quarantine
from baobabhoist.cell.crashes import CrashHandler, describe_runs
from baobabhoist.cell.given_up_runs import GivenUpRun
from baobabhoist.cell.jobs import FINAL_PERCENT, Run, RunPhase, StepState
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
from baobabhoist.cell.pace_tracking import RunPace
from baobabhoist.cell.run_ends import RunEndHandler, close_lost_run
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wasted_work import WasteCause, mark_saved
from baobabhoist.cell.workers import WorkerState, last_start_ms
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# A worker that refused a start or did not answer it gets no other one for this long.
FAILED_START_BACKOFF_MS = 150.0


class WorkerReportHandler:
    """Apply reports and command outcomes; all times are on the owner's clock, in ms."""

    def __init__(self, state: CellState, run_ends: RunEndHandler, crashes: CrashHandler) -> None:
        self._state = state
        self._run_ends = run_ends
        self._crashes = crashes

    def handle_report(
        self, worker: WorkerState, report: WorkerReport, requested_ms: float, now: float
    ) -> None:
        """Apply a report; `requested_ms` is when it was requested."""
        is_restarted = _has_restarted(worker, report)
        self._crashes.handle_report(worker, is_restarted, now)
        if is_restarted:
            self._handle_restart(worker, report, requested_ms, now)
        worker.started_unix_ms = report.started_unix_ms or worker.started_unix_ms
        worker.lease.update_clock(report.clock_ms, now)
        worker.last_report_ms = worker.last_heard_ms = now
        worker.has_unlisted_ends = report.has_more_ends
        if not worker.has_accepted_token:
            worker.has_accepted_token = True
            emit(
                log,
                Event.WORKER_FENCED,
                worker=worker.worker_id,
                running=len(report.running),
                ended=len(report.ended),
            )
            self._crashes.handle_successor(worker, requested_ms, now)
        for ended_run in report.ended:
            if ended_run.sequence_number > worker.last_seen_end:
                worker.last_seen_end = ended_run.sequence_number
                self._apply_end(worker, ended_run, now)
        # First, because the worker may have begun an earlier run of the same task late.
        self._close_missing_runs(worker, report, requested_ms, now)
        for active_run in report.running:
            self._apply_active_run(worker, active_run, now)
            if self._state.policy.tracks_pace:
                self._observe_pace(worker, active_run, report.clock_ms, now)

    def handle_start_result(self, command: StartTask, outcome: CommandOutcome, now: float) -> None:
        """Apply the outcome of a start command."""
        run = self._find_run(command)
        worker = self._state.workers.get(command.worker_id)
        if run is None or worker is None:
            return
        if outcome is CommandOutcome.OK:
            worker.last_heard_ms = now
            if not run.confirmed_ms:
                run.last_progress_ms = now
            self._confirm(run, now)
            run.task.step.mark_start_confirmed()
            if run.phase in (RunPhase.STARTING, RunPhase.UNSURE) and not run.stop_sent_ms:
                run.phase = RunPhase.RUNNING
            return
        if outcome is CommandOutcome.UNKNOWN:
            if run.sent_ms is not None:
                # The next owner has to know it, if it does not hear the worker either.
                run.is_start_unanswered = True
                self._state.dirty.add(command.task.job_id)
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNSURE
                worker.backoff_until_ms = now + FAILED_START_BACKOFF_MS
                emit(
                    log,
                    Event.START_UNANSWERED,
                    **command.log_fields(),
                )
                self._state.stop_run(run, now, WasteCause.START_UNANSWERED)
                if run.task.step.spec.gang:
                    self._run_ends.stop_gang_run(run.task.step, run.number, now)
            return
        if outcome in REJECTED_OUTCOMES:
            self._handle_refusal(run, worker, command, outcome, now)

    def handle_stop_result(self, command: StopTask, outcome: CommandOutcome, now: float) -> None:
        """Apply the outcome of a stop command."""
        run = self._find_run(command)
        if run is None:
            return
        run.is_stop_open = False
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
        step = run.task.step
        emit(
            log,
            Event.START_REFUSED,
            **command.log_fields(),
            reason=outcome.value,
            ticket_left_ms=_ticket_left_ms(step, command, now),
            decided_ms_ago=round(now - run.decided_ms),
        )
        if outcome is CommandOutcome.NO_TICKET:
            step.approvals.invalidate_ticket(worker.worker_id)
        else:
            worker.backoff_until_ms = now + FAILED_START_BACKOFF_MS
        if outcome is CommandOutcome.UNHEALTHY:
            quarantine.record_refusal(self._state, worker, step.job.job_id, now)
        self._state.close_run(run)
        if step.spec.gang and not step.is_done:
            self._run_ends.stop_gang_run(step, run.number, now)

    def _apply_end(self, worker: WorkerState, ended_run: EndedRun, now: float) -> None:
        worker.orphan_runs.pop(ended_run.task, None)
        job = self._state.jobs.get(ended_run.task.job_id)
        task = job.find_task(ended_run.task) if job is not None else None
        if job is None or task is None:
            return
        run = worker.runs.get(ended_run.task)
        ends_tracked_run = run is not None and run.number <= ended_run.run
        if ends_tracked_run and run is not None:
            self._state.waste.record_end(run, ended_run.outcome, ended_run.checkpoint, now)
            # Close the run only afterwards, because its duration updates the speed estimates.
            self._run_ends.record_end(
                task, ended_run.run, ended_run.outcome, ended_run.checkpoint, now
            )
            if ended_run.outcome is RunOutcome.FAILED:
                quarantine.record_failure(self._state, worker, task, now)
            self._state.close_run(run)
            return
        if not job.is_final:
            self._run_ends.record_end(
                task, ended_run.run, ended_run.outcome, ended_run.checkpoint, now
            )
            other_run = task.run
            if task.is_done and other_run is not None and other_run.phase is not RunPhase.STOPPING:
                self._state.stop_run(other_run, now, WasteCause.DUPLICATE)

    def _apply_active_run(self, worker: WorkerState, active_run: ActiveRun, now: float) -> None:
        run = worker.runs.get(active_run.task)
        if run is not None and run.number == active_run.run:
            self._update_progress(run, active_run, now)
            if run.task.crash_blame.by_crash:
                self._crashes.note_alive(worker, run, now)
            return
        if run is not None and run.number > active_run.run:
            # The report was made before a later run replaced this one.
            return
        job = self._state.jobs.get(active_run.task.job_id)
        task = job.find_task(active_run.task) if job is not None else None
        self._log_given_up(worker, active_run, now)
        if job is None or task is None or job.is_final or task.is_done or task.run is not None:
            self._state.stop_orphan_run(worker, active_run.task, active_run.run)
            return
        adopted_run = self._state.adopt_run(task, worker, active_run.run, now)
        self._update_progress(adopted_run, active_run, now)

    def _log_given_up(self, worker: WorkerState, active_run: ActiveRun, now: float) -> None:
        """Log that a run goes on that was given up, once for each."""
        task, number = active_run.task, active_run.run
        given_up = self._state.given_up_runs.find(task, number, worker.worker_id)
        if given_up is None or worker.orphan_runs.get(task) == number:
            return
        emit(
            log,
            Event.GIVEN_UP_RUN_LISTED,
            task=task.to_text(),
            run=number,
            worker=worker.worker_id,
            reason=given_up.reason,
            ms_ago=round(now - given_up.given_up_ms),
            same_process=given_up.started_unix_ms == worker.started_unix_ms,
        )

    def _update_progress(self, run: Run, active_run: ActiveRun, now: float) -> None:
        self._confirm(run, now)
        run.is_listed = True
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.task.step.mark_start_confirmed()
        if active_run.progress_percent != run.progress_percent:
            _forecast_end(run, active_run.progress_percent, now)
            run.progress_percent, run.last_progress_ms = active_run.progress_percent, now
        if active_run.checkpoint and run.task.step.spec.checkpoints:
            if active_run.checkpoint != run.task.checkpoint:
                mark_saved(run, now)
            run.task.checkpoint = active_run.checkpoint

    def _confirm(self, run: Run, now: float) -> None:
        is_first = not run.confirmed_ms
        run.confirm(now)
        if is_first and run.task.step.spec.gang:
            self._state.waste.record_gang_start(run.task.step)

    def _observe_pace(
        self, worker: WorkerState, active_run: ActiveRun, clock_ms: int, now: float
    ) -> None:
        run = worker.runs.get(active_run.task)
        if run is None or run.number != active_run.run:
            return
        if run.task.step.spec.gang or run.task.step.spec.lasting:
            return
        if worker.is_cold(now):
            # The pace of a worker that warms up is no measure for its later pace.
            run.pace = RunPace()
            return
        speeds, percent = self._state.speeds, active_run.progress_percent
        if run.pace.observe(speeds, worker.worker_id, percent, clock_ms):
            slowdown = round(speeds.worker_slowdown(worker.worker_id), 2)
            emit(log, Event.SPEED_CHANGED, worker=worker.worker_id, slowdown=slowdown)

    def _close_missing_runs(
        self, worker: WorkerState, report: WorkerReport, requested_ms: float, now: float
    ) -> None:
        """Close the runs and orphans that a report shows to have ended by not listing them."""
        listed = {(active_run.task, active_run.run) for active_run in report.running}
        for task_key, run_number in list(worker.orphan_runs.items()):
            if (task_key, run_number) not in listed:
                del worker.orphan_runs[task_key]
        if report.has_more_ends:
            # A run may be missing because its end is not listed yet.
            return
        for run in list(worker.runs.values()):
            if (run.task.key, run.number) in listed:
                continue
            if _was_stopped(run, requested_ms):
                cause = run.stop_cause or WasteCause.OTHER
                given_up = GivenUpRun(now, "it was stopped", worker.started_unix_ms)
                self._state.given_up_runs.add(run, given_up)
                self._state.waste.record_loss(run, cause, now)
                self._state.close_run(run)
            elif _was_confirmed(run, requested_ms) and run.phase is RunPhase.RUNNING:
                close_lost_run(
                    self._state, self._run_ends, run, now, "its worker does not list it"
                )
            elif _has_never_begun(run, requested_ms):
                close_lost_run(
                    self._state,
                    self._run_ends,
                    run,
                    now,
                    "its start can't be carried out any more",
                )

    def _handle_restart(
        self, worker: WorkerState, report: WorkerReport, requested_ms: float, now: float
    ) -> None:
        emit(
            log,
            Event.WORKER_RESTARTED,
            worker=worker.worker_id,
            runs=len(worker.runs),
            drained=worker.info.is_draining,
            ages_ms=describe_runs(worker),
        )
        self._crashes.handle_restart(worker, report, now)
        worker.last_seen_end = worker.last_acked_end = 0
        worker.orphan_runs.clear()
        worker.lease.reset()
        for step in self._state.ready_steps.values():
            step.approvals.remove_worker(worker.worker_id)
        listed_runs = report.listed_runs()
        for run in list(worker.runs.values()):
            if (
                run.phase in (RunPhase.RUNNING, RunPhase.STOPPING)
                and run.confirmed_ms < requested_ms
                and (run.task.key, run.number) not in listed_runs
            ):
                close_lost_run(self._state, self._run_ends, run, now, "its worker started again")

    def _find_run(self, command: StartTask | StopTask) -> Run | None:
        worker = self._state.workers.get(command.worker_id)
        run = worker.runs.get(command.task) if worker is not None else None
        return run if run is not None and run.number == command.run else None


def _was_confirmed(run: Run, requested_ms: float) -> bool:
    """Return whether a run was known to have begun when a report was requested."""
    return 0 < run.confirmed_ms < requested_ms


def _was_stopped(run: Run, requested_ms: float) -> bool:
    """Return whether a stopped run was known to have begun, or not to begin, at that time."""
    is_answered = 0 < run.stop_answered_ms < requested_ms
    return run.phase is RunPhase.STOPPING and (is_answered or _was_confirmed(run, requested_ms))


def _has_never_begun(run: Run, requested_ms: float) -> bool:
    """Return whether no process could begin a run any more when a report was requested."""
    if run.phase not in (RunPhase.UNSURE, RunPhase.STOPPING) or run.sent_ms is None:
        return False
    return requested_ms > max(run.confirmed_ms, last_start_ms(run))


def _has_restarted(worker: WorkerState, report: WorkerReport) -> bool:
    """Return whether a report comes from a later process than the last one."""
    known_start, start = worker.started_unix_ms, report.started_unix_ms
    return bool(known_start and start and start != known_start)


def _forecast_end(run: Run, progress_percent: float, now: float) -> None:
    """Derive when a run will end from its progress since the last report."""
    gained_percent = progress_percent - run.progress_percent
    if run.task.step.spec.lasting or gained_percent <= 0.0:
        return
    # The first progress of a run that did not begin at 0 % says nothing of its pace.
    if run.is_fresh_start or run.progress_percent:
        run.ms_per_percent = (now - run.last_progress_ms) / gained_percent
    run.expected_end_ms = now + (FINAL_PERCENT - progress_percent) * run.ms_per_percent


def _ticket_left_ms(step: StepState, command: StartTask, now: float) -> int | None:
    """Return for how long the ticket of a command is still valid, or None if it was replaced."""
    ticket = step.approvals.tickets.get(command.worker_id)
    if ticket is None or ticket.text != command.ticket:
        return None
    return round(ticket.expires_ms - now)
