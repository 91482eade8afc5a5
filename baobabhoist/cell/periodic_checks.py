"""Run the checks that no message triggers.

They detect expired leases, stalled runs, unanswered stops and broken gangs, and open the
occurrences that are due.
"""

from __future__ import annotations

import logging

from baobabhoist.cell import quarantine
from baobabhoist.cell.crashes import CrashHandler
from baobabhoist.cell.directory_health import DIRECTORY_RECOVERY_MS
from baobabhoist.cell.jobs import FINAL_PERCENT, Run, RunPhase, StepState
from baobabhoist.cell.run_ends import RunEndHandler, close_lost_run
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wasted_work import WasteCause
from baobabhoist.cell.workers import WorkerState, last_start_ms
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

STOP_RETRY_INTERVAL_MS = 400.0
# A stop whose call is still open is repeated later: the repetition would only queue behind it.
OPEN_STOP_RETRY_INTERVAL_MS = 2_000.0
# A run without progress for this long is stopped and started on another worker.
STALL_TIMEOUT_MS = 3_000.0
# A long run is stopped only after the time that it usually takes for this many percents.
STALLED_PERCENTS = 5.0
# A start that was not sent for this long is given up: the task that should send it is gone.
UNSENT_START_TIMEOUT_MS = 5_000.0
# A run in one of these phases has been stopped, and a gang with it.
STOPPED_PHASES = frozenset({RunPhase.UNSURE, RunPhase.STOPPING})


class PeriodicChecks:
    """Run the checks that depend on time; all times are on the owner's clock, in ms."""

    def __init__(self, state: CellState, run_ends: RunEndHandler, crashes: CrashHandler) -> None:
        self._state = state
        self._run_ends = run_ends
        self._crashes = crashes

    def tick(self, now: float, unix_ms: float) -> None:
        """Run all checks once."""
        for worker in list(self._state.workers.values()):
            self._check_lease(worker, now)
            self._state.awaited_runs.review(worker, self._state.has_no_next_process, now)
            for run in list(worker.runs.values()):
                self._check_run(worker, run, now)
        self._crashes.forget_old(now)
        self._repair_gangs(now)
        self._open_occurrences(now, unix_ms)

    def _check_lease(self, worker: WorkerState, now: float) -> None:
        if now > worker.lease_expiry_ms():
            self._crashes.record_lapse(worker, now)
            self._give_up_runs(worker, now)
        is_gone = not worker.is_listed and now > worker.unlisted_since_ms + DIRECTORY_RECOVERY_MS
        if is_gone and not worker.runs:
            emit(log, Event.WORKER_GONE, worker=worker.worker_id)
            self._state.remove_worker(worker)

    def _give_up_runs(self, worker: WorkerState, now: float) -> None:
        """Close the runs that have certainly ended on a worker whose lease has lapsed."""
        for run in list(worker.runs.values()):
            # Closing a member of a gang closes the other unsent ones too.
            if run.task.run is not run:
                continue
            has_no_next_process = self._state.has_no_next_process(worker, run, now)
            if now > worker.run_expiry_ms(run, has_no_next_process):
                self._expect_late_start(worker, run)
                self._state.awaited_runs.record_given_up(run, now)
                close_lost_run(
                    self._state,
                    self._run_ends,
                    run,
                    now,
                    "the lease of its worker has lapsed",
                    WasteCause.LEASE_LAPSED,
                )
            elif run.task.step.spec.gang and run.phase not in STOPPED_PHASES:
                # The other members would wait for it until they end alone.
                self._run_ends.stop_gang_run(run.task.step, run.number, now)

    def _expect_late_start(self, worker: WorkerState, run: Run) -> None:
        """Record until when the start of a run may reach its worker's next process."""
        until_ms = last_start_ms(run)
        worker.given_up_starts_until_ms = max(worker.given_up_starts_until_ms, until_ms)
        if not run.has_ticket:
            self._state.late_starts_until_ms = max(self._state.late_starts_until_ms, until_ms)

    def _check_run(self, worker: WorkerState, run: Run, now: float) -> None:
        self._repeat_stop(run, now)
        if _is_forgotten(run, now):
            self._state.stop_run(run, now, WasteCause.OTHER)
        elif _is_stalled(worker, run, now):
            self._stop_stalled_run(worker, run, now)

    def _repeat_stop(self, run: Run, now: float) -> None:
        """Repeat the stop of a run whose worker has not answered it."""
        is_stopping = run.phase in STOPPED_PHASES
        interval_ms = OPEN_STOP_RETRY_INTERVAL_MS if run.is_stop_open else STOP_RETRY_INTERVAL_MS
        if is_stopping and not run.stop_answered_ms and now - run.stop_sent_ms > interval_ms:
            self._state.stop_run(run, now, WasteCause.OTHER)

    def _stop_stalled_run(self, worker: WorkerState, run: Run, now: float) -> None:
        quarantine.record_stall(self._state, worker, now)
        emit(
            log,
            Event.RUN_STALLED,
            **run.log_fields(),
            percent=run.progress_percent,
        )
        self._state.stop_run(run, now, WasteCause.STALLED)

    def _repair_gangs(self, now: float) -> None:
        """Stop the remaining members of gangs that lost some under an earlier owner."""
        for step in list(self._state.ready_steps.values()):
            if step.spec.gang and 0 < step.waiting_count < step.unfinished_count:
                self._stop_members(step, now)

    def _stop_members(self, step: StepState, now: float) -> None:
        for task in step.tasks:
            run = task.run
            if run is not None and run.phase in (RunPhase.RUNNING, RunPhase.STARTING):
                self._state.stop_run(run, now, WasteCause.GANG_BROKEN)

    def _open_occurrences(self, now: float, unix_ms: float) -> None:
        for job in list(self._state.jobs.values()):
            if not job.is_final and job.open_due_occurrences(unix_ms):
                self._state.update_ready_steps(job, now)


def _is_forgotten(run: Run, now: float) -> bool:
    """Return whether the task that should send a start is gone."""
    is_unsent = run.phase is RunPhase.STARTING and not run.is_sent
    return is_unsent and now - run.decided_ms > UNSENT_START_TIMEOUT_MS


def _is_stalled(worker: WorkerState, run: Run, now: float) -> bool:
    """Return whether reports have shown no progress of a run for too long.

    Progress is reported in whole percents, so a long run shows none for some time.
    """
    if run.phase is not RunPhase.RUNNING or run.task.step.spec.lasting:
        return False
    if worker.has_unlisted_ends:
        return False
    timeout_ms = max(STALL_TIMEOUT_MS, STALLED_PERCENTS * run.ms_per_percent)
    last_ms = run.last_progress_ms
    return (
        now - last_ms > timeout_ms
        and worker.last_report_ms > last_ms + timeout_ms
        and run.progress_percent < FINAL_PERCENT
    )
