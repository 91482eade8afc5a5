"""Replay a workload on a cell with faults of its workers, commands and owners."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable

import attrs

from baobabhoist.benchmarks.cell_replay import LEASE_MS, START_LATENCY_MS, CellReplay
from baobabhoist.benchmarks.cell_workload import Arrival
from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import (
    CommandOutcome,
    EndedRun,
    RequestAdvice,
    RunOutcome,
    StartTask,
    StepKey,
    TaskKey,
    WorkerInfo,
)
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.cell.workers import LEASE_MARGIN_MS, MAX_CLOCK_DRIFT
from baobabhoist.testing.cell_worker import FakeRun

# Faults begin at FAULT_START_MS and again after each FAULT_INTERVAL_MS, on other workers.
FAULT_START_MS = 2_000.0
FAULT_INTERVAL_MS = 11_000.0
FAULT_DURATION_MS = 6_500.0
RESTART_INTERVAL_MS = 1_400.0
RESTART_DURATION_MS = 200.0
LEAVE_NOTICE_MS = 2_000.0
ABSENCE_MS = 4_000.0
# How long the entry of a worker that has crashed stays in the directory.
ENTRY_LAPSE_MS = 4_500.0
# After the loss of workers jobs may stand still for this long.
LOSS_SETTLING_MS = 9_000.0
# How soon a run fails on a worker that fails everything at once.
FAST_FAILURE_MS = 150.0
COMMAND_TIMEOUT_MS = 700.0
LATE_START_RANGE_MS = (2_000.0, 12_000.0)
SLOW_START_RANGE_MS = (300.0, 1_500.0)
DIRECTORY_LATENCY_MS = 200.0
# From the last round of one owner to the first of the next.
TAKEOVER_DURATION_MS = 1_500.0
# Instances that query the adviser, per worker of the cell, as on the largest site.
INSTANCES_PER_WORKER = 36 / 176


@attrs.frozen
class FaultPlan:
    """Describe the faults of a replay; each fraction of the workers fails in its own way.

    A `late_start_fraction` of the starts gets no answer and is executed seconds later.
    """

    restarting_fraction: float = 0.0
    leaving_fraction: float = 0.0
    failing_fraction: float = 0.0
    stalling_fraction: float = 0.0
    late_start_fraction: float = 0.0
    has_slow_starts: bool = False
    has_takeover: bool = False
    # Workers that crash and never come back.
    lost_fraction: float = 0.0


@attrs.define
class ReportedEnds:
    """Collect the ends that workers have reported to an owner."""

    done: set[TaskKey] = attrs.Factory(set)
    failed_runs: dict[TaskKey, set[int]] = attrs.Factory(dict)
    failed_gang_runs: dict[StepKey, set[int]] = attrs.Factory(dict)

    def record(self, ended_run: EndedRun) -> None:
        """Record an end; repeated reports of the same end have no effect."""
        task = ended_run.task
        if ended_run.outcome is RunOutcome.DONE:
            self.done.add(task)
        elif ended_run.outcome is RunOutcome.FAILED:
            self.failed_runs.setdefault(task, set()).add(ended_run.run)
            self.failed_gang_runs.setdefault(task.step_key, set()).add(ended_run.run)

    def count_failed_attempts(self, task: TaskKey, is_gang: bool) -> int:
        """Return the failed attempts of a task; members of a gang share theirs."""
        if is_gang:
            return len(self.failed_gang_runs.get(task.step_key, ()))
        return len(self.failed_runs.get(task, ()))


@attrs.frozen
class LostRuns:
    """Hold the jobs whose runs a worker lost, which the owner learns at `lease_expiry_ms`."""

    job_ids: frozenset[str]
    lease_expiry_ms: float


@attrs.define(eq=False)
class FaultyCellReplay(CellReplay):
    """Simulate a cell with faults; the same seed gives the same faults."""

    plan: FaultPlan = attrs.Factory(FaultPlan)
    seed: int = 0
    reported_ends: ReportedEnds = attrs.Factory(ReportedEnds)
    directory: dict[str, WorkerInfo] = attrs.Factory(dict)
    # Workers that are in a fault now, listed and up or not.
    faulty_workers: set[str] = attrs.Factory(set)
    # What each worker that is down ran when it crashed.
    lost_runs: dict[str, LostRuns] = attrs.Factory(dict)
    # Until when jobs may stand still because workers were lost.
    settled_ms: float = 0.0
    _failing: set[str] = attrs.Factory(set)
    _booted_ms: dict[str, float] = attrs.Factory(dict)
    _stalled_until_ms: dict[str, float] = attrs.Factory(dict)
    _stored_progress: dict[str, progress_rows.JobProgress] = attrs.Factory(dict)
    _generation: int = 0
    _owner_paused_until_ms: float = 0.0
    _advisers_busy_until_ms: list[float] = attrs.Factory(list)
    _rng: random.Random = attrs.Factory(random.Random)

    def __attrs_post_init__(self) -> None:
        """Create the cell, its workers and their directory."""
        instances = max(1, round(INSTANCES_PER_WORKER * len(self.workload.workers)))
        self._advisers_busy_until_ms = [0.0] * instances
        super().__attrs_post_init__()
        self._rng.seed(self.seed)
        self.directory = {name: worker.info() for name, worker in self.workers.items()}

    def _create_cell(self, takeover: Takeover) -> CellScheduler:
        cell = super()._create_cell(takeover)
        cell.placer.advice.slot_count = len(self._advisers_busy_until_ms)
        return cell

    def run(self, seconds: float) -> None:
        """Replay the arrivals and the faults of the plan, then drain the remaining jobs."""
        at_ms = FAULT_START_MS
        while at_ms < seconds * 1000:
            self._schedule_worker_faults(at_ms)
            at_ms += FAULT_INTERVAL_MS
        if self.plan.has_takeover:
            self.schedule_event(seconds * 500, self._take_over)
        super().run(seconds)

    def is_sound(self, worker_id: str) -> bool:
        """Return whether a worker is up, listed to stay and in no fault."""
        info = self.directory.get(worker_id)
        is_listed = info is not None and not info.is_draining
        return is_listed and self.workers[worker_id].is_up and worker_id not in self.faulty_workers

    # Faults of workers.

    def _schedule_worker_faults(self, at_ms: float) -> None:
        names = sorted(self.workers)
        self._rng.shuffle(names)
        faults: tuple[tuple[float, Callable[[str, float], None]], ...] = (
            (self.plan.restarting_fraction, self._schedule_restarts),
            (self.plan.leaving_fraction, self._schedule_absence),
            (self.plan.failing_fraction, self._schedule_failures),
            (self.plan.stalling_fraction, self._schedule_stall),
            (self.plan.lost_fraction, self._schedule_loss),
        )
        for fraction, schedule_fault in faults:
            count = round(fraction * len(self.workers))
            chosen, names = names[:count], names[count:]
            for name in chosen:
                schedule_fault(name, at_ms)

    def _schedule_fault_period(self, name: str, begin_ms: float, end_ms: float) -> None:
        self.schedule_event(begin_ms, lambda: self.faulty_workers.add(name))
        self.schedule_event(end_ms, lambda: self.faulty_workers.discard(name))

    def _schedule_restarts(self, name: str, at_ms: float) -> None:
        self._schedule_fault_period(name, at_ms, at_ms + FAULT_DURATION_MS)
        crash_ms = at_ms + self._rng.uniform(0.0, RESTART_INTERVAL_MS)
        while crash_ms < at_ms + FAULT_DURATION_MS:
            self.schedule_event(crash_ms, functools.partial(self._crash, name))
            restart_ms = crash_ms + RESTART_DURATION_MS
            self.schedule_event(restart_ms, functools.partial(self._restart, name))
            crash_ms += RESTART_INTERVAL_MS

    def _schedule_absence(self, name: str, at_ms: float) -> None:
        notice_ms = at_ms + self._rng.uniform(0.0, LEAVE_NOTICE_MS)
        leave_ms = notice_ms + LEAVE_NOTICE_MS
        self._schedule_fault_period(name, notice_ms, leave_ms + ABSENCE_MS)
        self.schedule_event(notice_ms, functools.partial(self._announce_leave, name))
        self.schedule_event(leave_ms, functools.partial(self._leave, name))
        self.schedule_event(leave_ms + ABSENCE_MS, functools.partial(self._restart, name))

    def _schedule_loss(self, name: str, at_ms: float) -> None:
        self.schedule_event(at_ms, functools.partial(self._lose, name))

    def _schedule_failures(self, name: str, at_ms: float) -> None:
        self._schedule_fault_period(name, at_ms, at_ms + FAULT_DURATION_MS)
        self.schedule_event(at_ms, lambda: self._failing.add(name))
        self.schedule_event(at_ms + FAULT_DURATION_MS, lambda: self._failing.discard(name))

    def _schedule_stall(self, name: str, at_ms: float) -> None:
        self._schedule_fault_period(name, at_ms, at_ms + FAULT_DURATION_MS)
        self.schedule_event(at_ms, functools.partial(self._stall, name))

    def _worker_clock_ms(self, worker_id: str) -> float:
        return self.now - self._booted_ms.get(worker_id, 0.0)

    def _crash(self, name: str) -> None:
        worker = self._worker_at_now(name)
        lease_ms = max(0.0, worker.lease_expires_ms - worker.now_ms) / (1.0 - MAX_CLOCK_DRIFT)
        job_ids = frozenset(task.job_id for task in worker.runs)
        self.lost_runs[name] = LostRuns(job_ids, self.now + lease_ms + LEASE_MARGIN_MS)
        worker.crash()

    def _restart(self, name: str) -> None:
        self.lost_runs.pop(name, None)
        self._booted_ms[name] = self.now
        self.workers[name].restart()
        self._list_worker(self.workers[name].info())

    def _announce_leave(self, name: str) -> None:
        info = self.workers[name].info(is_draining=True, leaves_in_ms=int(LEAVE_NOTICE_MS))
        self._list_worker(info)

    def _leave(self, name: str) -> None:
        self._crash(name)
        self._drop_entry(name)

    def _lose(self, name: str) -> None:
        if name in self.directory:
            self._crash(name)
            self.settled_ms = self.now + LOSS_SETTLING_MS
            self.schedule_event(
                self.now + ENTRY_LAPSE_MS, functools.partial(self._drop_entry, name)
            )

    def _drop_entry(self, name: str) -> None:
        del self.directory[name]
        self._notify_owner(lambda: self.cell.unlist_worker(name, self.now))

    def _list_worker(self, info: WorkerInfo) -> None:
        self.directory[info.worker_id] = info
        self._notify_owner(lambda: self.cell.update_worker(info, self.now))

    def _notify_owner(self, event: Callable[[], None]) -> None:
        self.schedule_event(self.now + DIRECTORY_LATENCY_MS, event)

    def _stall(self, name: str) -> None:
        self._stalled_until_ms[name] = self.now + FAULT_DURATION_MS
        for task, run in self.workers[name].runs.items():
            self.run_intervals[task, run.number].ends_ms += FAULT_DURATION_MS

    def _is_stalled(self, name: str) -> bool:
        return self.now < self._stalled_until_ms.get(name, 0.0)

    def _run_ms(self, command: StartTask) -> float:
        name = command.worker_id
        if name in self._failing and int(name[1:]) % 2:
            return FAST_FAILURE_MS
        stalled_ms = max(0.0, self._stalled_until_ms.get(name, 0.0) - self.now)
        return stalled_ms + super()._run_ms(command)

    def _worker_fails(self, worker_id: str) -> bool:
        return worker_id in self._failing

    def _progress_percent(self, worker_id: str, task: TaskKey, run: FakeRun) -> float:
        if self._is_stalled(worker_id):
            return run.progress_percent
        return max(run.progress_percent, super()._progress_percent(worker_id, task, run))

    def _end_run(self, command: StartTask) -> None:
        ends_ms = self.run_intervals[command.task, command.run].ends_ms
        if self.now < ends_ms:
            self.schedule_event(ends_ms, lambda: self._end_run(command))
            return
        super()._end_run(command)

    # Faults of commands.

    def _start_latency_ms(self) -> float:
        if self.plan.has_slow_starts:
            return self._rng.uniform(*SLOW_START_RANGE_MS)
        return START_LATENCY_MS

    def _deliver_start(
        self, cell: CellScheduler, command: StartTask, token: int, deadline_ms: int
    ) -> None:
        outcome = CommandOutcome.UNKNOWN
        if self._rng.random() < self.plan.late_start_fraction:
            late_ms = self.now + self._rng.uniform(*LATE_START_RANGE_MS)
            self.schedule_event(
                late_ms, functools.partial(self._execute_start, command, token, deadline_ms)
            )
        else:
            outcome = self._execute_start(command, token, deadline_ms)
        answer_ms = COMMAND_TIMEOUT_MS if outcome is CommandOutcome.UNKNOWN else 0.0
        self.schedule_event(
            self.now + answer_ms, lambda: self._answer_start(cell, command, outcome, answer_ms)
        )

    def _advice_done_ms(self, request: RequestAdvice) -> float:
        busy_until_ms = self._advisers_busy_until_ms
        instance = min(range(len(busy_until_ms)), key=busy_until_ms.__getitem__)
        busy_until_ms[instance] = max(self.now, busy_until_ms[instance]) + request.cost_ms
        return busy_until_ms[instance]

    # Owners.

    @property
    def _is_owner_paused(self) -> bool:
        return self.now < self._owner_paused_until_ms

    def _make_decision(self) -> None:
        if self._is_owner_paused:
            self.schedule_event(self._owner_paused_until_ms, self._make_decision)
            return
        super()._make_decision()
        self._stored_progress.update(self.cell.take_unsaved_progress())

    def _run_periodic_checks(self) -> None:
        if not self._is_owner_paused:
            self.cell.confirm_directory(self.now)
            super()._run_periodic_checks()

    def _exchange_report(self, worker_id: str) -> None:
        if self._is_owner_paused:
            return
        super()._exchange_report(worker_id)
        worker = self.workers[worker_id]
        for ended_run in worker.unacked_ends if worker.is_up else ():
            self.reported_ends.record(ended_run)

    def _take_over(self) -> None:
        """Replace the owner by one that knows the directory, the jobs and the stored progress."""
        self.token += 1
        self._generation += 1
        self._owner_paused_until_ms = self.now + TAKEOVER_DURATION_MS
        lease_ms = LEASE_MS / (1.0 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS
        takeover = Takeover(self._generation, self.token, self.now + lease_ms)
        self.cell = self._create_cell(takeover)
        self.cell.sync_directory(self.directory.values(), self.now)
        for arrival in self.workload.arrivals:
            if arrival.at_ms <= self.now:
                self._load_job(arrival)
        for job_id, progress in self._stored_progress.items():
            stored = progress_rows.decode(progress_rows.encode(progress))
            self.cell.restore_job(job_id, stored, self.now)

    def _load_job(self, arrival: Arrival) -> None:
        self.cell.add_job(arrival.job, arrival.at_ms, self.now, self.now)
        if arrival.cancel_ms is not None and arrival.cancel_ms <= self.now:
            self.cell.cancel_job(arrival.job.job_id, self.now)
