"""Hold the jobs, workers and runs of a cell and keep the resource accounting consistent."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Iterator

import attrs

from baobabhoist.cell.awaited_runs import AwaitedRuns
from baobabhoist.cell.directory_health import DirectoryHealth
from baobabhoist.cell.evacuations import NO_EVACUATIONS, Evacuations
from baobabhoist.cell.given_up_runs import GivenUpRuns
from baobabhoist.cell.jobs import (
    FINAL_PERCENT,
    JobState,
    Run,
    RunPhase,
    StepState,
    TaskState,
)
from baobabhoist.cell.model import (
    NO_RESOURCES,
    CellRules,
    Command,
    JobPhase,
    Queue,
    Resources,
    StartTask,
    StepKey,
    StopTask,
    TaskKey,
    Team,
    WorkerInfo,
)
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.cell.shares import TeamShares
from baobabhoist.cell.speed_estimates import SpeedEstimates
from baobabhoist.cell.start_backlog import StartBacklog
from baobabhoist.cell.start_delay import StartDelay
from baobabhoist.cell.start_window import StartWindow
from baobabhoist.cell.team_entitlements import TeamEntitlements
from baobabhoist.cell.ticket_usage import TicketUsage
from baobabhoist.cell.wasted_work import WasteCause, WastedWork
from baobabhoist.cell.workers import WorkerState
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

# Run numbers reserved for each owner, so that a later owner uses higher ones. The last number of a
# task that has used them up is stored.
RUN_NUMBERS_PER_OWNER = 1000
# For a job of an earlier release, whose queue was removed before this owner knew it.
DEFAULT_MAX_ATTEMPTS = 3


@attrs.define
class CellState:
    """Hold the scheduling state of a cell; all times are on the owner's clock, in ms."""

    rules: CellRules
    generation: int = 0
    policy: SchedulingPolicy = DEFAULT_POLICY
    jobs: dict[str, JobState] = attrs.Factory(dict)
    workers: dict[str, WorkerState] = attrs.Factory(dict)
    # Workers that the directory lists or has listed at each address, by worker id.
    workers_by_address: dict[str, dict[str, WorkerState]] = attrs.Factory(dict)
    directory: DirectoryHealth = attrs.Factory(DirectoryHealth)
    # What the configuration no longer holds, although unfinished jobs need it.
    removed_queues: dict[str, Queue] = attrs.Factory(dict)
    removed_teams: dict[str, Team] = attrs.Factory(dict)
    evacuations: Evacuations = NO_EVACUATIONS
    # Until when the next process of a worker may get the start of a run that was given up.
    late_starts_until_ms: float = float("-inf")
    # When the last worker that has said so will be warm.
    all_warm_ms: float = float("-inf")
    team_usage: dict[str, Resources] = attrs.Factory(lambda: defaultdict(lambda: NO_RESOURCES))
    # Unfinished steps whose dependencies are done.
    ready_steps: dict[StepKey, StepState] = attrs.Factory(dict)
    speeds: SpeedEstimates = attrs.Factory(SpeedEstimates)
    start_window: StartWindow = attrs.Factory(StartWindow)
    start_delay: StartDelay = attrs.Factory(StartDelay)
    start_backlog: StartBacklog = attrs.Factory(StartBacklog)
    waste: WastedWork = attrs.Factory(WastedWork)
    entitlements: TeamEntitlements = attrs.Factory(
        lambda self: TeamEntitlements(self.policy), takes_self=True
    )
    shares: TeamShares = attrs.Factory(lambda self: TeamShares(self.entitlements), takes_self=True)
    ticket_usage: TicketUsage = attrs.Factory(TicketUsage)
    given_up_runs: GivenUpRuns = attrs.Factory(GivenUpRuns)
    awaited_runs: AwaitedRuns = attrs.Factory(AwaitedRuns)
    commands: list[Command] = attrs.Factory(list)
    # Ids of jobs whose progress must be written to the store.
    dirty: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        """Apply the configured weights of the teams."""
        self.entitlements.set_teams(self.rules.teams)

    def set_rules(self, rules: CellRules) -> None:
        """Replace the configured queues and teams; jobs keep those that are removed."""
        unfinished = [job.accepted for job in self.jobs.values() if not job.is_final]
        queues = {accepted.queue for accepted in unfinished} - rules.queues.keys()
        teams = {accepted.team for accepted in unfinished} - rules.teams.keys()
        known_queues = (self.removed_queues | self.rules.queues).items()
        known_teams = (self.removed_teams | self.rules.teams).items()
        self.removed_queues = {name: queue for name, queue in known_queues if name in queues}
        self.removed_teams = {name: team for name, team in known_teams if name in teams}
        self.rules = rules
        self.entitlements.set_teams(rules.teams)

    def queue_of(self, job: JobState) -> Queue | None:
        """Return the queue of a job, or None if this owner has never known it."""
        name = job.accepted.queue
        return self.rules.queues.get(name) or self.removed_queues.get(name)

    def team_of(self, job: JobState) -> Team | None:
        """Return the team of a job, or None if this owner has never known it."""
        name = job.accepted.team
        return self.rules.teams.get(name) or self.removed_teams.get(name)

    def forget_unused_estimates(self) -> None:
        """Drop the speed estimates of workers that are gone and of removed queues without jobs."""
        self.speeds.forget_workers_except(self.workers)
        self.speeds.forget_queues_except(self.rules.queues.keys() | self.removed_queues.keys())

    def max_attempts_of(self, job: JobState) -> int:
        """Return after how many failed attempts of a task a job fails."""
        queue = self.queue_of(job)
        if queue is not None:
            return queue.max_attempts
        return job.accepted.max_attempts or DEFAULT_MAX_ATTEMPTS

    def service_of(self, job: JobState) -> str:
        """Return the service that currently runs the tasks of a job."""
        queue = self.queue_of(job)
        return queue.service if queue is not None else job.accepted.service

    def requires_advice(self, job: JobState) -> bool:
        """Return whether the tasks of a job need a ticket from the placement adviser to start."""
        queue = self.queue_of(job)
        return queue is not None and queue.advice is not None

    def is_within_team_limit(self, job: JobState, need: Resources) -> bool:
        """Return whether a team stays within its resource limit if a job takes this much more."""
        team = self.team_of(job)
        if team is None:
            return True
        return team.allows(self.team_usage[job.accepted.team].plus(need))

    def is_team_half_used(self, job: JobState) -> bool:
        """Return whether the team of a job has half of its resource limit in use."""
        team = self.team_of(job)
        return team is not None and team.is_half_used(self.team_usage[job.accepted.team])

    def runs_of(self, team: Team) -> Iterator[Run]:
        """Yield the runs of a team."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.task.step.job.accepted.team == team.name:
                    yield run

    def update_ready_steps(self, job: JobState, now: float) -> None:
        """Add the steps whose dependencies are done and remove the finished ones."""
        for step in job.steps.values():
            if job.is_final or step.is_done:
                self.ready_steps.pop(step.key, None)
                step.discard_approvals()
            elif step.key not in self.ready_steps and job.is_step_ready(step):
                step.ready_since_ms = now
                self.ready_steps[step.key] = step

    # Workers.

    def apply_entry(self, worker: WorkerState, info: WorkerInfo, now: float) -> None:
        """Apply a directory entry to a worker."""
        if info.address != worker.info.address:
            self._forget_address(worker)
        worker.apply_entry(info, now)
        self.all_warm_ms = max(self.all_warm_ms, worker.cold_until_ms)
        worker.is_evacuated = self.evacuations.cover(info)
        self.workers_by_address.setdefault(info.address, {})[worker.worker_id] = worker

    def has_cold_workers(self, now: float) -> bool:
        """Return whether any worker may be cold."""
        return now < self.all_warm_ms

    def set_evacuations(self, evacuations: Evacuations) -> None:
        """Replace the requests to empty data centres."""
        self.evacuations = evacuations
        for worker in self.workers.values():
            worker.is_evacuated = evacuations.cover(worker.info)

    def is_gone(self, worker: WorkerState, now: float) -> bool:
        """Return whether the directory shows that no process of a worker is left to be reached."""
        return not worker.is_listed and self.directory.is_complete(now)

    def has_no_next_process(self, worker: WorkerState, run: Run, now: float) -> bool:
        """Return whether no process of a worker but that heard before can carry out a run."""
        if self.is_gone(worker, now):
            return True
        if run.sent_ms is None or not self.directory.is_complete_since(run.sent_ms, now):
            return False
        return worker.has_ticket_of_heard_process(run, now)

    def remove_worker(self, worker: WorkerState) -> None:
        """Remove a worker that has no runs left."""
        del self.workers[worker.worker_id]
        self._forget_address(worker)

    def _forget_address(self, worker: WorkerState) -> None:
        at_address = self.workers_by_address.get(worker.info.address, {})
        at_address.pop(worker.worker_id, None)
        if not at_address:
            self.workers_by_address.pop(worker.info.address, None)

    # Runs.

    def start_run(self, task: TaskState, worker: WorkerState, run_number: int, now: float) -> None:
        """Issue a start command and allocate the resources of the run."""
        job = task.step.job
        sent_ms = now + self.start_delay.expected_ms
        ticket = task.step.approvals.valid_ticket(worker.worker_id, sent_ms)
        run = self._add_run(task, worker, run_number, RunPhase.STARTING, now)
        run.is_fresh_start = not task.checkpoint
        run.has_ticket = ticket is not None
        expected_ms = self.expected_run_ms(task.step, worker.worker_id)
        run.expected_end_ms = now + expected_ms
        run.ms_per_percent = expected_ms / FINAL_PERCENT
        self.start_window.add(run)
        self.ticket_usage.record_start(task.step, worker.worker_id)
        # The run must be stored before the command is sent, so that the next owner knows of it.
        self.dirty.add(job.job_id)
        payload = job.accepted.spec.payload
        command = StartTask(
            worker.worker_id,
            task.key,
            run_number,
            payload,
            task.checkpoint,
            ticket.text if ticket is not None else "",
            ticket.expires_ms if ticket is not None else float("inf"),
        )
        self.commands.append(command)
        emit(
            log,
            Event.RUN_STARTED,
            **command.log_fields(),
            waited_ms=round(now - task.step.ready_since_ms),
            free_cpu=worker.free_cpu,
            ticket=ticket is not None,
            checkpoint=task.checkpoint,
        )

    def adopt_run(self, task: TaskState, worker: WorkerState, run_number: int, now: float) -> Run:
        """Track a run that an earlier owner started and allocate its resources."""
        run = self._add_run(task, worker, run_number, RunPhase.RUNNING, now)
        run.confirmed_ms = now
        run.is_sent = True
        run.ms_per_percent = self.expected_run_ms(task.step, worker.worker_id) / FINAL_PERCENT
        task.step.job.mark_running()
        return run

    @property
    def last_reserved_number(self) -> int:
        """Return the last run number that is reserved for this owner."""
        return (self.generation + 1) * RUN_NUMBERS_PER_OWNER

    def next_run_number(self, tasks: list[TaskState]) -> int:
        """Return a number higher than any run of these tasks had under any owner."""
        return (
            max(self.generation * RUN_NUMBERS_PER_OWNER, *(task.last_run_number for task in tasks))
            + 1
        )

    def stop_run(self, run: Run, now: float, cause: WasteCause) -> None:
        """Issue a stop command for a run, or close it if its start has not been sent."""
        if run.phase is RunPhase.STARTING and not run.is_sent:
            self.dirty.add(run.task.step.job.job_id)
            self.close_run(run)
            return
        if run.phase is not RunPhase.UNSURE:
            run.phase = RunPhase.STOPPING
        run.stop_cause = run.stop_cause or cause
        run.stopped_ms = run.stopped_ms or now
        run.stop_sent_ms, run.is_stop_open = now, True
        self.commands.append(StopTask(run.worker_id, run.task.key, run.number))

    def stop_orphan_run(self, worker: WorkerState, task: TaskKey, run_number: int) -> None:
        """Issue a stop command for a run that a worker reports but this owner does not track."""
        if worker.orphan_runs.get(task) != run_number:
            emit(
                log,
                Event.ORPHAN_STOPPED,
                task=task.to_text(),
                run=run_number,
                worker=worker.worker_id,
            )
        worker.orphan_runs[task] = run_number
        self.commands.append(StopTask(worker.worker_id, task, run_number))

    def close_run(self, run: Run) -> None:
        """Release the resources of a run that is known to have ended or never to have started."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)
        team = run.task.step.job.accepted.team
        self.team_usage[team] = self.team_usage[team].minus(run.task.step.spec.need)
        run.task.step.detach_run(run)

    def finish_job(self, job: JobState, phase: JobPhase, now: float, reason: str) -> None:
        """Move a job to a final phase and stop its remaining runs."""
        if job.is_final:
            return
        job.phase, job.ended_ms = phase, now
        # A cancellation is stored in a row of its own before the owner hears of it.
        job.is_end_stored = phase is JobPhase.CANCELLED
        self.dirty.add(job.job_id)
        emit(
            log,
            Event.JOB_ENDED,
            job=job.job_id,
            queue=job.accepted.queue,
            state=phase.value,
            reason=reason,
            after_ms=round(now - job.accepted_local_ms),
            objective_ms=round(job.objective_ms - job.accepted_local_ms),
        )
        self.update_ready_steps(job, now)
        job.drop_payload()
        for step in job.steps.values():
            for task in step.tasks:
                if task.run is not None and task.run.phase is not RunPhase.STOPPING:
                    self.stop_run(task.run, now, WasteCause.JOB_ENDED)

    def expected_run_ms(self, step: StepState, worker_id: str) -> float:
        """Return how long a task of a step will probably run on a worker."""
        if step.spec.lasting:
            return float("inf")
        slowdown = self.speeds.worker_slowdown(worker_id)
        ratio = self.speeds.duration_ratio(step.job.accepted.queue)
        return step.spec.expected_ms * ratio * slowdown

    def _add_run(
        self, task: TaskState, worker: WorkerState, run_number: int, phase: RunPhase, now: float
    ) -> Run:
        run = Run(task, run_number, worker.worker_id, task.step.spec.allocation, phase)
        run.decided_ms = run.last_progress_ms = now
        run.process_unix_ms = worker.started_unix_ms
        task.step.attach_run(run)
        worker.add_run(run)
        team = task.step.job.accepted.team
        self.team_usage[team] = self.team_usage[team].plus(task.step.spec.need)
        return run
