"""Schedule one cell: handle events, place tasks, return commands and progress to store."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from baobabhoist.cell import progress_rows
from baobabhoist.cell.admission import AdmissionControl
from baobabhoist.cell.crashes import CrashHandler
from baobabhoist.cell.evacuations import Evacuations
from baobabhoist.cell.jobs import JobState, RunPhase, StepState, objective_after_ms
from baobabhoist.cell.model import (
    FINAL_PHASES,
    NO_RESOURCES,
    AcceptedJob,
    CellRules,
    Command,
    CommandOutcome,
    JobPhase,
    StartTask,
    StepKey,
    StopTask,
    WorkerInfo,
    WorkerReport,
)
from baobabhoist.cell.periodic_checks import PeriodicChecks
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.cell.progress_rows import JobProgress
from baobabhoist.cell.run_ends import RunEndHandler, close_lost_run
from baobabhoist.cell.silent_workers import SilentWorker
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wasted_work import WasteCause
from baobabhoist.cell.worker_reports import WorkerReportHandler
from baobabhoist.cell.workers import MAX_START_LATENESS_MS, Lease, WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

REASON_EVACUATED = "its data centre was to be emptied before the start"
# A start is not repeated later than this after its gang's first one was sent: members that began
# would end for want of the others before a stop could reach them.
MAX_REPEAT_DELAY_MS = 1_000.0


@attrs.frozen
class Takeover:
    """Describe what a new owner knows about the earlier ones.

    `generation` counts the owners of the cell and `claim_version` is the store's version of the
    claim. After `inherited_leases_expire_ms` a worker that has never reported to this owner holds
    no lease of an earlier one, unless its process had started again and granted the longest one:
    that has expired after `longest_leases_expire_ms`. For the silent workers that earlier owners
    stored, their times count, as far as these are earlier.
    """

    generation: int
    claim_version: int
    inherited_leases_expire_ms: float = 0.0
    longest_leases_expire_ms: float = 0.0
    silent_workers: Mapping[str, SilentWorker] = attrs.Factory(dict)

    def expiries_of(self, worker_id: str) -> SilentWorker:
        """Return when the leases of earlier owners have expired on a worker without a report."""
        latest_ms = self.longest_leases_expire_ms + MAX_START_LATENESS_MS
        silent = self.silent_workers.get(worker_id)
        if silent is None:
            return SilentWorker(self.inherited_leases_expire_ms, self.longest_leases_expire_ms)
        return SilentWorker(
            min(silent.lease_expiry_ms, self.longest_leases_expire_ms),
            min(silent.longest_expiry_ms, latest_ms),
        )

    def late_starts_expire_ms(self, worker_id: str) -> float:
        """Return when a lease has expired that a late start of an earlier owner extended."""
        longest_ms = self.expiries_of(worker_id).longest_expiry_ms
        # The stored times of a silent worker count late starts already.
        return longest_ms + (0.0 if worker_id in self.silent_workers else MAX_START_LATENESS_MS)


class CellScheduler:
    """Schedule the jobs of one cell on its workers; all times are on the owner's clock, in ms."""

    def __init__(
        self,
        rules: CellRules,
        takeover: Takeover,
        lease_ms: float,
        policy: SchedulingPolicy = DEFAULT_POLICY,
        max_lease_ms: float = 0.0,
    ) -> None:
        self.state = CellState(rules, takeover.generation, policy)
        self.is_fenced = False
        self.placer = TaskPlacer(self.state)
        self.admission = AdmissionControl(self.state, self.state.entitlements)
        self._takeover = takeover
        self._lease_ms = lease_ms
        # The longest lease that a worker grants.
        self._max_lease_ms = max(lease_ms, max_lease_ms)
        self._run_ends = RunEndHandler(self.state)
        crashes = CrashHandler(self.state, self._run_ends)
        self._reports = WorkerReportHandler(self.state, self._run_ends, crashes)
        self._periodic_checks = PeriodicChecks(self.state, self._run_ends, crashes)

    # Jobs.

    def add_job(
        self, accepted: AcceptedJob, accepted_local_ms: float, now: float, unix_ms: float
    ) -> bool:
        """Add an accepted job; return whether it is new."""
        if accepted.job_id in self.state.jobs:
            return False
        job = JobState(accepted, accepted_local_ms)
        job.is_inherited = accepted.version < self._takeover.claim_version
        self._set_objective(job)
        self.state.jobs[accepted.job_id] = job
        self.state.entitlements.add_job(job, now)
        job.open_due_occurrences(unix_ms)
        self.state.update_ready_steps(job, now)
        if not job.is_inherited:
            self.log_ownership(job, now)
        return True

    def _adopt_stored_runs(self, job: JobState, progress: JobProgress, now: float) -> None:
        """Track the runs that an earlier owner started, before any worker has reported."""
        for step_progress in progress.steps:
            step = job.steps.get((step_progress.occurrence, step_progress.step))
            for index, stored_run in step_progress.runs.items():
                task = step.tasks[index] if step is not None else None
                if task is None or task.run is not None:
                    continue
                worker = self._worker_or_placeholder(stored_run.worker_id, now)
                run = self.state.adopt_run(task, worker, stored_run.number, now)
                run.is_start_unanswered = stored_run.may_start_late
                run.process_unix_ms = stored_run.process_unix_ms
                if job.is_final:
                    self.state.stop_run(run, now, WasteCause.JOB_ENDED)

    def _worker_or_placeholder(self, worker_id: str, now: float) -> WorkerState:
        """Return a worker, or a placeholder for one that the directory does not list."""
        worker = self.state.workers.get(worker_id)
        if worker is None:
            info = WorkerInfo(worker_id, "", "", "", NO_RESOURCES, ())
            worker = WorkerState(info, self._new_lease(), is_listed=False, unlisted_since_ms=now)
            self.state.workers[worker_id] = worker
        expiries = self._takeover.expiries_of(worker_id)
        worker.inherited_lease_expiry_ms = expiries.lease_expiry_ms
        worker.longest_inherited_expiry_ms = expiries.longest_expiry_ms
        worker.late_start_expiry_ms = self._takeover.late_starts_expire_ms(worker_id)
        return worker

    def _new_lease(self) -> Lease:
        if not self._takeover.generation:
            return Lease(self._lease_ms, self._max_lease_ms)
        # A deadline of an earlier owner may have been meant for an earlier process of the worker.
        return Lease(self._lease_ms, self._max_lease_ms, max_unknown_ms=self._max_lease_ms)

    def unfinished_inherited_jobs(self) -> list[JobState]:
        """Return the unfinished jobs of earlier owners; call this once progress is restored."""
        return [job for job in self.state.jobs.values() if job.is_inherited and not job.is_final]

    def log_ownership(self, job: JobState, now: float) -> None:
        """Log that this owner is responsible for a job."""
        steps = job.accepted.spec.steps
        emit(
            log,
            Event.JOB_OWNED,
            job=job.job_id,
            queue=job.accepted.queue,
            team=job.accepted.team,
            version=job.accepted.version,
            steps=len(steps),
            tasks=sum(step.count for step in steps),
            accepted_ms_ago=round(now - job.accepted_local_ms),
            objective_ms=round(job.objective_ms - job.accepted_local_ms),
            inherited=job.is_inherited,
        )

    def restore_job(self, job_id: str, progress: JobProgress, now: float) -> None:
        """Restore the stored progress of a job that an earlier owner worked on."""
        job = self.state.jobs.get(job_id)
        if job is None:
            return
        was_cancelled = job.phase is JobPhase.CANCELLED
        progress_rows.restore_progress(job, progress)
        if was_cancelled and not job.is_final:
            # The cancellation is stored in its own row; callers may have seen a stored end.
            job.phase = JobPhase.CANCELLED
        if job.is_final:
            job.ended_ms, job.is_end_stored = now, True
            job.drop_payload()
        self._adopt_stored_runs(job, progress, now)
        self.state.update_ready_steps(job, now)
        if not job.is_final and job.are_all_tasks_done():
            self.state.finish_job(job, JobPhase.COMPLETED, now, "all tasks are done")
        if not job.is_final:
            self._run_ends.fail_exhausted_job(job, now)

    def cancel_job(self, job_id: str, now: float) -> bool:
        """Cancel a job; return whether it is known."""
        job = self.state.jobs.get(job_id)
        if job is None:
            return False
        self.state.finish_job(job, JobPhase.CANCELLED, now, "its team cancelled it")
        return True

    def fail_job(self, job_id: str, now: float, reason: str) -> None:
        """Fail a job that can't go on."""
        job = self.state.jobs.get(job_id)
        if job is not None:
            self.state.finish_job(job, JobPhase.FAILED, now, reason)

    def find_job(self, job_id: str) -> JobState | None:
        """Return a job, or None if it is not known."""
        return self.state.jobs.get(job_id)

    def count_queued_jobs(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            1
            for job in self.state.jobs.values()
            if job.accepted.queue == queue and job.phase is JobPhase.QUEUED
        )

    def remove_job(self, job_id: str) -> None:
        """Remove a finished job."""
        job = self.state.jobs.pop(job_id, None)
        if job is not None:
            for step in job.steps.values():
                self.state.ready_steps.pop(step.key, None)

    # Configuration and workers.

    def set_rules(self, rules: CellRules) -> None:
        """Replace the configured queues and teams."""
        self.state.set_rules(rules)

    def set_evacuations(self, evacuations: Evacuations, now: float) -> None:
        """Replace the operator's requests to empty data centres; runs that were sent go on."""
        before, after = self.state.evacuations.data_centres, evacuations.data_centres
        self.state.set_evacuations(evacuations)
        for event, data_centres in (
            (Event.EVACUATION_BEGUN, after - before),
            (Event.EVACUATION_ENDED, before - after),
        ):
            for data_centre in sorted(data_centres):
                self._log_evacuation(event, data_centre)
        self._close_unsent_starts(now)

    def _close_unsent_starts(self, now: float) -> None:
        """Release the room of starts in emptied data centres that were decided but not sent."""
        evacuated = [worker for worker in self.state.workers.values() if worker.is_evacuated]
        runs = [run for worker in evacuated for run in worker.runs.values() if not run.is_sent]
        for run in runs:
            self.state.dirty.add(run.task.step.job.job_id)
            # Closing a member of a gang closes the other unsent ones too.
            if run.task.run is run:
                close_lost_run(self.state, self._run_ends, run, now, REASON_EVACUATED)

    def _log_evacuation(self, event: Event, data_centre: str) -> None:
        workers = [w for w in self.state.workers.values() if w.info.data_centre == data_centre]
        runs = sum(len(worker.runs) for worker in workers)
        emit(log, event, data_centre=data_centre, workers=len(workers), runs=runs)

    def sync_directory(self, listing: Iterable[WorkerInfo], now: float) -> None:
        """Apply a full listing of the worker directory."""
        info_by_id = {info.worker_id: info for info in listing}
        for info in info_by_id.values():
            self.update_worker(info, now)
        for worker_id in set(self.state.workers) - set(info_by_id):
            self.unlist_worker(worker_id, now)

    def confirm_directory(self, now: float) -> None:
        """Record that the directory was read, and all its changes are applied."""
        self.state.directory.record_read(now)

    def may_get_late_starts(self, now: float) -> bool:
        """Return whether a process that starts now may carry out a run that was given up."""
        return now < self.state.late_starts_until_ms

    def update_worker(self, info: WorkerInfo, now: float) -> None:
        """Add or update a worker from its entry in the directory."""
        worker = self.state.workers.get(info.worker_id)
        if worker is None:
            worker = WorkerState(info, self._new_lease(), known_since_ms=now)
            self.state.workers[info.worker_id] = worker
            emit(
                log,
                Event.WORKER_LISTED,
                worker=info.worker_id,
                service=info.service,
                data_centre=info.data_centre,
                address=info.address,
                started_unix_ms=info.started_unix_ms,
            )
        if info.is_draining and not worker.info.is_draining:
            emit(log, Event.WORKER_DRAINS, worker=info.worker_id, leaves_in_ms=info.leaves_in_ms)
        self.state.apply_entry(worker, info, now)

    def unlist_worker(self, worker_id: str, now: float) -> None:
        """Mark a worker as gone from the directory; its runs are still tracked."""
        worker = self.state.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.unlist(now)
            emit(log, Event.WORKER_UNLISTED, worker=worker_id, runs=len(worker.runs))

    def handle_report(
        self, worker_id: str, report: WorkerReport, requested_ms: float, now: float
    ) -> None:
        """Apply the report that a worker sent in reply to a lease renewal."""
        worker = self.state.workers.get(worker_id)
        if worker is None:
            return
        self._reports.handle_report(worker, report, requested_ms, now)

    def handle_start_result(self, command: StartTask, outcome: CommandOutcome, now: float) -> None:
        """Apply the outcome of a start command."""
        self._check_fenced(outcome)
        self._reports.handle_start_result(command, outcome, now)

    def record_start_answer(self, outcome: CommandOutcome, answer_ms: float, now: float) -> None:
        """Record how long a worker's answer to a start took, which limits further starts."""
        window = self.state.start_window
        record = (
            window.record_timeout if outcome is CommandOutcome.UNKNOWN else window.record_answer
        )
        record(answer_ms, now)

    def should_send_start(self, command: StartTask, now: float) -> bool:
        """Return whether a start command is still valid after its run has been stored.

        If its worker would reject it or may not take it any more, the run is closed. The caller
        must send a valid one: from now on its run has to be stopped on the worker.
        """
        worker = self.state.workers.get(command.worker_id)
        run = worker.runs.get(command.task) if worker is not None else None
        if worker is None or run is None or run.number != command.run or run.stop_sent_ms:
            return False
        self.state.start_delay.record(now - run.decided_ms)
        reason = _reason_not_to_send(command, worker, now)
        if reason:
            close_lost_run(self.state, self._run_ends, run, now, reason)
            self.state.dirty.add(command.task.job_id)
            return False
        run.is_sent, run.sent_ms = True, now
        return True

    def may_repeat_start(self, command: StartTask, now: float) -> bool:
        """Return whether an unanswered start may be sent again under the same number.

        This saves a gang from being stopped for one lost message. The worker must have been heard
        since, so that it can be expected to answer; it accepts a start that it knows already.
        """
        worker = self.state.workers.get(command.worker_id)
        run = worker.runs.get(command.task) if worker is not None else None
        if worker is None or run is None or run.number != command.run or run.sent_ms is None:
            return False
        return (
            run.task.step.spec.gang
            and run.phase is RunPhase.STARTING
            and not run.stop_sent_ms
            and worker.last_heard_ms > run.sent_ms
            and now - _first_sent_ms(run.task.step) <= MAX_REPEAT_DELAY_MS
            and not _reason_not_to_send(command, worker, now)
        )

    def record_repeated_start(self, command: StartTask, now: float) -> None:
        """Record that an unanswered start is sent again."""
        worker = self.state.workers.get(command.worker_id)
        run = worker.runs.get(command.task) if worker is not None else None
        if run is not None and run.number == command.run:
            run.repeated_ms, run.is_start_unanswered = now, True
            self.state.dirty.add(command.task.job_id)

    def handle_stop_result(self, command: StopTask, outcome: CommandOutcome, now: float) -> None:
        """Apply the outcome of a stop command."""
        self._check_fenced(outcome)
        self._reports.handle_stop_result(command, outcome, now)

    def mark_fenced(self) -> None:
        """Stop starting tasks, because a worker has seen the fencing token of a later owner."""
        self.is_fenced = True

    def handle_advice(
        self,
        step_key: StepKey,
        requested: Iterable[str],
        approved: Mapping[str, str],
        valid_until_ms: float,
    ) -> None:
        """Apply the answer of the placement adviser, also one that came late."""
        self.placer.advice.close_request(step_key)
        step = self._find_step(step_key)
        if step is not None:
            self.placer.advice.record_verdicts(step, requested, approved)
            step.approvals.record_answer(requested, approved, valid_until_ms)
            self.state.ticket_usage.record_answer(step, approved, valid_until_ms)

    def handle_advice_failure(self, step_key: StepKey, retry_ms: float) -> None:
        """Allow a failed advice request to be repeated from `retry_ms` on."""
        self.placer.advice.close_request(step_key)
        step = self._find_step(step_key)
        if step is not None:
            step.approvals.block_requests_until(retry_ms)

    # Metrics.

    def count_queued_tasks(self) -> dict[str, int]:
        """Return the number of tasks that wait to be started, by queue."""
        counts: Counter[str] = Counter()
        for step in self.state.ready_steps.values():
            counts[step.job.accepted.queue] += step.waiting_count
        return dict(counts)

    def min_lease_margin_ms(self, now: float) -> float:
        """Return the time until the first known lease of a worker with runs expires, or 0."""
        busy_workers = [
            w for w in self.state.workers.values() if w.runs and w.lease.is_clock_known
        ]
        return min((w.lease.expiry_ms() - now for w in busy_workers), default=0.0)

    # Scheduling.

    def tick(self, now: float, unix_ms: float) -> None:
        """Run the checks that depend only on time."""
        self._periodic_checks.tick(now, unix_ms)
        self.state.shares.tick(self.state.workers.values(), self.state.team_usage, now)
        if self.state.policy.refuses_hopeless_jobs:
            self.admission.update(now)
        self.state.ticket_usage.settle(now)

    def schedule(self, now: float, may_start: bool) -> list[Command]:
        """Place waiting tasks and return all commands issued since the last call."""
        self.placer.place_waiting_steps(now, may_start and not self.is_fenced)
        commands, self.state.commands = self.state.commands, []
        return commands

    def take_unsaved_progress(self) -> dict[str, JobProgress]:
        """Return the progress that must be stored and clear the list of changed jobs."""
        dirty, self.state.dirty = self.state.dirty, set()
        jobs, last_number = self.state.jobs, self.state.last_reserved_number
        return {
            job_id: progress_rows.capture_progress(jobs[job_id], last_number)
            for job_id in dirty
            if job_id in jobs
        }

    def record_stored(self, progress: Mapping[str, JobProgress]) -> None:
        """Record that progress is stored."""
        for job_id, stored in progress.items():
            job = self.state.jobs.get(job_id)
            if job is not None and stored.phase in FINAL_PHASES:
                job.is_end_stored = True

    def last_seen_ends(self) -> dict[str, int]:
        """Return the sequence number of the last end applied from each worker."""
        return {w.worker_id: w.last_seen_end for w in self.state.workers.values()}

    def _set_objective(self, job: JobState) -> None:
        objective_after = objective_after_ms(job.accepted, self.state.queue_of(job))
        job.objective_ms = job.accepted_local_ms + objective_after

    def _find_step(self, step_key: StepKey) -> StepState | None:
        job = self.state.jobs.get(step_key.job_id)
        return job.find_step(step_key) if job is not None else None

    def _check_fenced(self, outcome: CommandOutcome) -> None:
        if outcome is CommandOutcome.FENCED:
            self.mark_fenced()


def _first_sent_ms(step: StepState) -> float:
    """Return when the first start of the current runs of a step was sent."""
    runs = (task.run for task in step.tasks)
    sent_ms = (run.sent_ms for run in runs if run is not None and run.sent_ms is not None)
    return min(sent_ms, default=float("inf"))


def _reason_not_to_send(command: StartTask, worker: WorkerState, now: float) -> str:
    """Return what has changed since a start was decided, or an empty text if it is still valid."""
    checks = (
        (now >= command.ticket_expires_ms, "its ticket expired before the start"),
        (not worker.is_listed, "its worker left before the start"),
        (worker.info.is_draining, "its worker began to drain before the start"),
        (worker.is_evacuated, REASON_EVACUATED),
        (worker.lease.is_suspended, "its worker fell silent before the start"),
        (worker.is_entry_outdated, "its worker restarted before the start"),
        (
            not worker.used.fits_into(worker.info.capacity),
            "the capacity of its worker shrank before the start",
        ),
    )
    return next((reason for applies, reason in checks if applies), "")
