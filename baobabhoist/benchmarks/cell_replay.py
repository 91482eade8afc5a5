"""Replay a workload on a cell in simulated time; measure the value and time of its decisions."""

from __future__ import annotations

import contextlib
import functools
import gc
import heapq
import itertools
import logging
import time
import zlib
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from baobabhoist.benchmarks.cell_workload import (
    SCENARIOS,
    SERVICE,
    SMALL_SITE,
    WORKER_CAPACITY,
    WORKERS_PER_RACK,
    Arrival,
    CellWorkload,
    SiteProfile,
    generate_workload,
)
from baobabhoist.benchmarks.stats import quantile
from baobabhoist.cell.jobs import LATE_LIMIT_FACTOR, StepState
from baobabhoist.cell.model import (
    Command,
    CommandOutcome,
    JobPhase,
    RequestAdvice,
    RunOutcome,
    StartTask,
    StepKey,
    StopTask,
    TaskKey,
)
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.cell.ranking import Rank, Tier
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.cell.workers import WorkerState
from baobabhoist.testing.cell_worker import FakeCellWorker, FakeRun, end_gang_run

LEASE_MS = 5_000.0
TICK_INTERVAL_MS = 100.0
LEASE_RENEWAL_INTERVAL_MS = 1_000.0
# Time from the decision to the start on the worker: a write to the store and a call.
START_LATENCY_MS = 12.0
STOP_LATENCY_MS = 200.0
REPORT_LATENCY_MS = 3.0
# Events within this time are handled by one decision, like those during the pause of an owner
# between two rounds.
DECISION_DELAY_MS = 4.0
# Instances that request advice concurrently.
ADVICE_SLOTS = 9
TICKET_VALIDITY_MS = 2_500.0
LATE_VALUE_FRACTION = 0.2
DRAIN_PERIOD_S = 20.0


class FirstFit(TaskPlacer):
    """Place steps in order of arrival on the first workers with room."""

    def _rank(self, step: StepState, now: float) -> Rank:
        accepted_ms = step.job.accepted_local_ms
        return Rank(Tier.ON_TIME, 0, accepted_ms, accepted_ms)

    def _placement_cost(self, worker: WorkerState, step: StepState, tolerated: float) -> float:
        return 0.0


class BestFit(FirstFit):
    """Place steps in order of arrival on the fullest workers with room."""

    def _placement_cost(self, worker: WorkerState, step: StepState, tolerated: float) -> float:
        return float(worker.free_cpu)


POLICIES: dict[str, type[TaskPlacer]] = {
    "baobabhoist": TaskPlacer,
    "first fit": FirstFit,
    "best fit": BestFit,
}


@attrs.define
class RunInterval:
    """Hold the duration of a run and its planned end."""

    duration_ms: float
    ends_ms: float


@attrs.define(eq=False)
class CellReplay:
    """Simulate a cell under a workload; all times are in ms of simulated time."""

    workload: CellWorkload
    policy: type[TaskPlacer]
    cell: CellScheduler = attrs.field(init=False)
    workers: dict[str, FakeCellWorker] = attrs.field(init=False)
    arrivals: dict[str, Arrival] = attrs.field(init=False)
    drain_s: float = DRAIN_PERIOD_S
    # The optional parts of scheduling that are in use.
    scheduling: SchedulingPolicy = DEFAULT_POLICY
    # The fencing token of the current owner.
    token: int = 1
    now: float = 0.0
    decision_times_s: list[float] = attrs.Factory(list)
    # Intervals of the runs that took effect, by task and run number.
    run_intervals: dict[tuple[TaskKey, int], RunInterval] = attrs.Factory(dict)
    _events: list[tuple[float, int, Callable[[], object]]] = attrs.Factory(list)
    _event_numbers: itertools.count[int] = attrs.Factory(itertools.count)
    _decision_pending: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the cell and its fake workers."""
        self.workers = {
            name: FakeCellWorker(
                name,
                WORKER_CAPACITY,
                ("a", f"r{number // WORKERS_PER_RACK}"),
                SERVICE,
                requires_tickets=True,
            )
            for number, name in enumerate(self.workload.workers)
        }
        self.arrivals = {arrival.job.job_id: arrival for arrival in self.workload.arrivals}
        self.cell = self._create_cell(Takeover(0, 0))
        self.cell.sync_directory([worker.info() for worker in self.workers.values()], 0.0)

    def _create_cell(self, takeover: Takeover) -> CellScheduler:
        cell = CellScheduler(self.workload.rules, takeover, LEASE_MS, self.scheduling)
        cell.placer = self.policy(cell.state)
        cell.placer.advice.slot_count = ADVICE_SLOTS
        return cell

    def run(self, seconds: float) -> None:
        """Replay the arrivals of the workload, then drain the remaining jobs."""
        for arrival in self.workload.arrivals:
            self.schedule_event(arrival.at_ms, functools.partial(self._add_job, arrival))
        for name in self.workers:
            self.schedule_event(0.0, functools.partial(self._renew_lease, name, repeat=True))
        self.schedule_event(0.0, self._tick)
        end_ms = (seconds + self.drain_s) * 1000
        while self._events and self._events[0][0] <= end_ms:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def schedule_event(self, at_ms: float, event: Callable[[], object]) -> None:
        """Call `event` at a time, or now if the time has passed."""
        heapq.heappush(self._events, (max(at_ms, self.now), next(self._event_numbers), event))

    def _schedule_decision(self) -> None:
        if not self._decision_pending:
            self._decision_pending = True
            self.schedule_event(self.now + DECISION_DELAY_MS, self._make_decision)

    def _make_decision(self) -> None:
        self._decision_pending = False
        started_s = time.perf_counter()
        commands = self.cell.schedule(self.now, True)
        self.decision_times_s.append(time.perf_counter() - started_s)
        for command in commands:
            _COMMAND_HANDLERS[type(command)](self, command)

    def is_approved(self, step: StepKey, worker_id: str) -> bool:
        """Return whether the adviser approves a worker for a step, which never changes."""
        percent = self.arrivals[step.job_id].profile.approval_percent
        return zlib.crc32(f"{step}{worker_id}".encode()) % 100 < percent

    def _tick(self) -> None:
        self._run_periodic_checks()
        self._schedule_decision()
        self.schedule_event(self.now + TICK_INTERVAL_MS, self._tick)

    def _run_periodic_checks(self) -> None:
        self.cell.tick(self.now, self.now)

    # Arrivals, cancellations and advice.

    def _add_job(self, arrival: Arrival) -> None:
        self.cell.add_job(arrival.job, self.now, self.now, self.now)
        if arrival.cancel_ms is not None:
            self.schedule_event(arrival.cancel_ms, lambda: self._cancel_job(arrival.job.job_id))
        self._schedule_decision()

    def _cancel_job(self, job_id: str) -> None:
        self.cell.cancel_job(job_id, self.now)
        self._schedule_decision()

    def _request_advice(self, request: RequestAdvice) -> None:
        cell = self.cell

        def answer() -> None:
            valid_until_ms = self.now + TICKET_VALIDITY_MS
            tickets = {
                name: self._worker_at_now(name).issue_ticket(request.step, TICKET_VALIDITY_MS)
                for name in request.workers
                if self.is_approved(request.step, name)
            }
            cell.handle_advice(request.step, request.workers, tickets, valid_until_ms)
            self._schedule_decision()

        self.schedule_event(self._advice_done_ms(request), answer)

    def _advice_done_ms(self, request: RequestAdvice) -> float:
        return self.now + request.cost_ms

    # Workers.

    def _start_task(self, command: StartTask) -> None:
        cell, token = self.cell, self.token

        def send() -> None:
            if cell.should_send_start(command, self.now):
                deadline_ms = self._extend_lease(cell, command.worker_id) or 0
                self._deliver_start(cell, command, token, deadline_ms)

        self.schedule_event(self.now + self._start_latency_ms(), send)

    def _start_latency_ms(self) -> float:
        return START_LATENCY_MS

    def _deliver_start(
        self, cell: CellScheduler, command: StartTask, token: int, deadline_ms: int
    ) -> None:
        outcome = self._execute_start(command, token, deadline_ms)
        self._answer_start(cell, command, outcome, 0.0)

    def _answer_start(
        self, cell: CellScheduler, command: StartTask, outcome: CommandOutcome, answer_ms: float
    ) -> None:
        cell.record_start_answer(outcome, answer_ms, self.now)
        cell.handle_start_result(command, outcome, self.now)

    def _execute_start(self, command: StartTask, token: int, deadline_ms: int) -> CommandOutcome:
        worker = self._worker_at_now(command.worker_id)
        outcome = worker.start(token, command, deadline_ms)
        if outcome is CommandOutcome.OK:
            duration_ms = self._run_ms(command)
            ends_ms = self.now + duration_ms
            self.run_intervals[command.task, command.run] = RunInterval(duration_ms, ends_ms)
            self.schedule_event(ends_ms, lambda: self._end_run(command))
        return outcome

    def _run_ms(self, command: StartTask) -> float:
        arrival = self.arrivals[command.task.job_id]
        declared = arrival.job.spec.steps[command.task.step].expected_ms
        slowness = self.workload.slowness_factor(command.worker_id, self.now)
        if arrival.job.spec.steps[command.task.step].gang:
            # A gang runs as fast as its slowest member.
            slowness = max(self._gang_slowness(command.task, command.run), slowness)
        return declared * arrival.duration_factor * slowness

    def _gang_slowness(self, task: TaskKey, number: int) -> float:
        step = self.cell.state.jobs[task.job_id].find_step(task)
        members = step.tasks if step is not None else []
        worker_ids = [
            m.run.worker_id for m in members if m.run is not None and m.run.number == number
        ]
        return max(
            (self.workload.slowness_factor(name, self.now) for name in worker_ids), default=1.0
        )

    def _end_run(self, command: StartTask) -> None:
        worker = self._worker_at_now(command.worker_id)
        run = worker.runs.get(command.task)
        if run is None or run.number != command.run:
            return
        arrival = self.arrivals[command.task.job_id]
        failed = self._worker_fails(command.worker_id) or arrival.always_fails
        worker.end_run(command.task, RunOutcome.FAILED if failed else RunOutcome.DONE)
        if failed and arrival.job.spec.steps[command.task.step].gang:
            for name in end_gang_run(self.workers, command.task, command.run, RunOutcome.BROKEN):
                self._schedule_report(name)
        self._schedule_report(command.worker_id)

    def _worker_fails(self, worker_id: str) -> bool:
        return self.workload.worker_fails(worker_id, self.now)

    def _stop_task(self, command: StopTask) -> None:
        cell, token = self.cell, self.token

        def stop_task() -> None:
            worker = self._worker_at_now(command.worker_id)
            cell.handle_stop_result(command, worker.stop(token, command), self.now)
            self._schedule_report(command.worker_id)

        self.schedule_event(self.now + STOP_LATENCY_MS, stop_task)

    def _worker_at_now(self, worker_id: str) -> FakeCellWorker:
        worker = self.workers[worker_id]
        worker.advance(self._worker_clock_ms(worker_id) - worker.now_ms)
        return worker

    def _worker_clock_ms(self, worker_id: str) -> float:
        return self.now

    def _extend_lease(self, cell: CellScheduler, worker_id: str) -> int | None:
        worker = cell.state.workers.get(worker_id)
        return worker.lease.extend_deadline(self.now, LEASE_MS) if worker is not None else None

    def _schedule_report(self, worker_id: str) -> None:
        self.schedule_event(self.now + REPORT_LATENCY_MS, lambda: self._renew_lease(worker_id))

    def _renew_lease(self, worker_id: str, repeat: bool = False) -> None:
        if worker_id in self.cell.state.workers:
            self._exchange_report(worker_id)
            self._schedule_decision()
        if repeat:
            self.schedule_event(
                self.now + LEASE_RENEWAL_INTERVAL_MS,
                lambda: self._renew_lease(worker_id, repeat=True),
            )

    def _exchange_report(self, worker_id: str) -> None:
        worker, state = self._worker_at_now(worker_id), self.cell.state.workers[worker_id]
        state.last_acked_end = state.last_seen_end
        for key, run in worker.runs.items():
            run.progress_percent = self._progress_percent(worker_id, key, run)
        # A silent worker is granted no longer lease, as by the owner's sessions.
        deadline_ms = self._extend_lease(self.cell, worker_id) if worker.is_up else None
        report = worker.renew(self.token, state.last_acked_end, deadline_ms)
        if not isinstance(report, CommandOutcome):
            self.cell.handle_report(worker_id, report, self.now - REPORT_LATENCY_MS, self.now)

    def _progress_percent(self, worker_id: str, task: TaskKey, run: FakeRun) -> float:
        interval = self.run_intervals[task, run.number]
        remaining_fraction = (interval.ends_ms - self.now) / max(1.0, interval.duration_ms)
        return 100.0 * (1.0 - remaining_fraction)

    # Results.

    def earned_value(self) -> dict[str, float]:
        """Return the earned fraction of the value of all jobs, per queue and in total.

        Cancelled jobs do not count.
        """
        offered: dict[str, float] = defaultdict(float)
        earned: dict[str, float] = defaultdict(float)
        for job_id, arrival in self.arrivals.items():
            job = self.cell.state.jobs[job_id]
            if arrival.cancel_ms is not None:
                continue
            for name in (arrival.profile.queue.name, "all"):
                offered[name] += arrival.profile.value
                earned[name] += arrival.profile.value * self._earned_fraction(
                    arrival, job.phase, job.ended_ms
                )
        return {name: earned[name] / offered[name] for name in sorted(offered)}

    def _earned_fraction(self, arrival: Arrival, phase: JobPhase, ended_ms: float) -> float:
        expected_phase = JobPhase.FAILED if arrival.always_fails else JobPhase.COMPLETED
        if phase is not expected_phase:
            return 0.0
        job = self.cell.state.jobs[arrival.job.job_id]
        allowed_ms = job.objective_ms - job.accepted_local_ms
        elapsed_ms = ended_ms - job.accepted_local_ms
        if elapsed_ms <= allowed_ms:
            return 1.0
        return LATE_VALUE_FRACTION if elapsed_ms <= LATE_LIMIT_FACTOR * allowed_ms else 0.0


_COMMAND_HANDLERS: dict[type[Command], Callable[[CellReplay, Any], None]] = {
    StartTask: lambda replay, command: replay._start_task(command),
    StopTask: lambda replay, command: replay._stop_task(command),
    RequestAdvice: lambda replay, command: replay._request_advice(command),
}


def run(
    load: str,
    workers: int,
    seconds: float,
    seed: int,
    baselines: bool,
    teams: int = 0,
    scheduling: SchedulingPolicy = DEFAULT_POLICY,
) -> dict[str, Any]:
    """Return the results of each policy; an empty `load` means all load scenarios."""
    site = SiteProfile(team_weights=(1.0,) * teams) if teams else SMALL_SITE
    names = [load] if load else list(SCENARIOS)
    policies = POLICIES if baselines else {"baobabhoist": TaskPlacer}
    report: dict[str, Any] = {"workers": workers, "seed": seed, "loads": {}}
    with quiet_logs():
        for name in names:
            workload = generate_workload(SCENARIOS[name], workers, seconds, seed, site)
            report["loads"][name] = {
                policy_name: _measure_policy(workload, policy, seconds, scheduling)
                for policy_name, policy in policies.items()
            }
    return report


@contextlib.contextmanager
def quiet_logs() -> Iterator[None]:
    """Log no simulated runs, which would take longer than the decisions."""
    logger = logging.getLogger("baobabhoist")
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        logger.setLevel(level)


def _measure_policy(
    workload: CellWorkload,
    policy: type[TaskPlacer],
    seconds: float,
    scheduling: SchedulingPolicy,
) -> dict[str, Any]:
    replay = CellReplay(workload, policy, scheduling=scheduling)
    gc.collect()
    gc.freeze()
    replay.run(seconds)
    gc.unfreeze()
    return {
        "worth": replay.earned_value(),
        "decision_ms_p50": 1e3 * quantile(replay.decision_times_s, 0.5),
        "decision_ms_p99": 1e3 * quantile(replay.decision_times_s, 0.99),
        "decisions": len(replay.decision_times_s),
        "cores": sum(replay.decision_times_s) / (seconds + DRAIN_PERIOD_S),
    }


def format_table(report: dict[str, Any]) -> str:
    """Format the report as a plain-text table."""
    lines = [f"{report['workers']} workers, seed {report['seed']}; part of the worth earned"]
    row_format = "{:18}{:14}{:>8}{:>8}{:>8}{:>8}{:>10}{:>10}{:>8}"
    headings = ("all", "bundle", "recon", "entry", "p50 ms", "p99 ms", "cores")
    lines.append(row_format.format("load", "policy", *headings))
    for load, policies in report["loads"].items():
        for policy, results in policies.items():
            earned = results["worth"]
            cells = [f"{earned.get(name, 0.0):.3f}" for name in headings[:4]]
            times = [f"{results[f'decision_ms_{q}']:.2f}" for q in ("p50", "p99")]
            lines.append(
                row_format.format(load, policy, *cells, *times, f"{results['cores']:.3f}")
            )
    return "\n".join(lines)
