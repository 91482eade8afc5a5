"""Replay a workload on a cell in simulated time; measure the value and time of its decisions."""

from __future__ import annotations

import functools
import gc
import heapq
import itertools
import logging
import time
import zlib
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs

from baobabhoist.benchmarks.cell_workload import (
    SCENARIOS,
    SERVICE,
    WORKER_CAPACITY,
    WORKERS_PER_RACK,
    Arrival,
    CellWorkload,
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
    StopTask,
    TaskKey,
    WorkerInfo,
)
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.ranking import Rank, Timeliness
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.cell.workers import WorkerState
from baobabhoist.testing.cell_worker import FakeCellWorker, end_gang_run

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
MAX_ADVICE_REQUESTS = 9
ADVICE_APPROVAL_PERCENT = 60
TICKET_VALIDITY_MS = 2_500.0
LATE_VALUE_FRACTION = 0.2
DRAIN_PERIOD_S = 20.0


class FirstFit(TaskPlacer):
    """Place steps in order of arrival on the first workers with room."""

    def _rank(self, step: StepState, now: float) -> Rank:
        return Rank(Timeliness.ON_TIME, 0, step.job.accepted_local_ms, step.job.accepted_local_ms)

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


@attrs.define(eq=False)
class CellReplay:
    """Simulate a cell under a workload; all times are in ms of simulated time."""

    workload: CellWorkload
    policy: type[TaskPlacer]
    cell: CellScheduler = attrs.field(init=False)
    workers: dict[str, FakeCellWorker] = attrs.field(init=False)
    arrivals: dict[str, Arrival] = attrs.field(init=False)
    now: float = 0.0
    decision_times_s: list[float] = attrs.Factory(list)
    # Start and planned end of the run of each task.
    run_intervals: dict[TaskKey, tuple[float, float]] = attrs.Factory(dict)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.Factory(list)
    _event_numbers: itertools.count[int] = attrs.Factory(itertools.count)
    _decision_pending: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the cell and its fake workers."""
        self.cell = CellScheduler(self.workload.rules, Takeover(0, 0), LEASE_MS)
        self.cell.placer = self.policy(self.cell.state, max_advice_requests=MAX_ADVICE_REQUESTS)
        self.workers = {
            name: FakeCellWorker(name, WORKER_CAPACITY) for name in self.workload.workers
        }
        self.arrivals = {arrival.job.job_id: arrival for arrival in self.workload.arrivals}
        for number, name in enumerate(self.workers):
            rack = f"r{number // WORKERS_PER_RACK}"
            info = WorkerInfo(
                name, SERVICE, "", "z", WORKER_CAPACITY, ("a", rack), started_unix_ms=1
            )
            self.cell.update_worker(info, 0.0)

    def run(self, seconds: float) -> None:
        """Replay the arrivals of the workload, then drain the remaining jobs."""
        for arrival in self.workload.arrivals:
            self._schedule_event(arrival.at_ms, functools.partial(self._add_job, arrival))
        for name in self.workers:
            self._schedule_event(0.0, functools.partial(self._renew_lease, name, repeat=True))
        self._schedule_event(0.0, self._tick)
        end_ms = (seconds + DRAIN_PERIOD_S) * 1000
        while self._events and self._events[0][0] <= end_ms:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _schedule_event(self, at_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(at_ms, self.now), next(self._event_numbers), event))

    def _schedule_decision(self) -> None:
        if not self._decision_pending:
            self._decision_pending = True
            self._schedule_event(self.now + DECISION_DELAY_MS, self._make_decision)

    def _make_decision(self) -> None:
        self._decision_pending = False
        started_s = time.perf_counter()
        commands = self.cell.schedule(self.now, True)
        self.decision_times_s.append(time.perf_counter() - started_s)
        for command in commands:
            _COMMAND_HANDLERS[type(command)](self, command)

    def _tick(self) -> None:
        self.cell.tick(self.now, self.now)
        self._schedule_decision()
        self._schedule_event(self.now + TICK_INTERVAL_MS, self._tick)

    # Arrivals, cancellations and advice.

    def _add_job(self, arrival: Arrival) -> None:
        self.cell.add_job(arrival.job, self.now, self.now, self.now)
        if arrival.cancel_ms is not None:
            self._schedule_event(arrival.cancel_ms, lambda: self._cancel_job(arrival.job.job_id))
        self._schedule_decision()

    def _cancel_job(self, job_id: str) -> None:
        self.cell.cancel_job(job_id, self.now)
        self._schedule_decision()

    def _request_advice(self, request: RequestAdvice) -> None:
        def answer() -> None:
            key = request.step
            tickets = {
                name: "ticket"
                for name in request.workers
                if zlib.crc32(f"{key}{name}".encode()) % 100 < ADVICE_APPROVAL_PERCENT
            }
            valid_until_ms = self.now + TICKET_VALIDITY_MS
            self.cell.handle_advice(key, request.workers, tickets, valid_until_ms)
            self._schedule_decision()

        self._schedule_event(self.now + request.cost_ms, answer)

    # Workers.

    def _start_task(self, command: StartTask) -> None:
        def start_task() -> None:
            worker = self._worker_at_now(command.worker_id)
            if not self.cell.should_send_start(command, self.now):
                return
            outcome = worker.start(1, command, self._extend_lease(command.worker_id) or 0)
            self.cell.handle_start_result(command, outcome, self.now)
            if outcome is CommandOutcome.OK:
                ends_ms = self.now + self._run_ms(command)
                self.run_intervals[command.task] = (self.now, ends_ms)
                self._schedule_event(ends_ms, lambda: self._end_run(command))

        self._schedule_event(self.now + START_LATENCY_MS, start_task)

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
        failed = self.workload.worker_fails(command.worker_id, self.now)
        failed = failed or command.run <= arrival.failing_runs
        worker.end_run(command.task, RunOutcome.FAILED if failed else RunOutcome.DONE)
        if failed and arrival.job.spec.steps[command.task.step].gang:
            for name in end_gang_run(self.workers, command.task, command.run, RunOutcome.BROKEN):
                self._schedule_report(name)
        self._schedule_report(command.worker_id)

    def _stop_task(self, command: StopTask) -> None:
        def stop_task() -> None:
            worker = self._worker_at_now(command.worker_id)
            self.cell.handle_stop_result(command, worker.stop(1, command), self.now)
            self._schedule_report(command.worker_id)

        self._schedule_event(self.now + STOP_LATENCY_MS, stop_task)

    def _worker_at_now(self, worker_id: str) -> FakeCellWorker:
        worker = self.workers[worker_id]
        worker.now_ms = self.now
        return worker

    def _extend_lease(self, worker_id: str) -> int | None:
        return self.cell.state.workers[worker_id].lease.extend_deadline(self.now, LEASE_MS)

    def _schedule_report(self, worker_id: str) -> None:
        self._schedule_event(self.now + REPORT_LATENCY_MS, lambda: self._renew_lease(worker_id))

    def _renew_lease(self, worker_id: str, repeat: bool = False) -> None:
        worker, state = self._worker_at_now(worker_id), self.cell.state.workers[worker_id]
        state.last_acked_end = state.last_seen_end
        for key, run in worker.runs.items():
            began_ms, ends_ms = self.run_intervals[key]
            run.progress_percent = 100.0 * (self.now - began_ms) / max(1.0, ends_ms - began_ms)
        report = worker.renew(1, state.last_acked_end, self._extend_lease(worker_id))
        if not isinstance(report, CommandOutcome):
            self.cell.handle_report(worker_id, report, self.now - REPORT_LATENCY_MS, self.now)
        self._schedule_decision()
        if repeat:
            self._schedule_event(
                self.now + LEASE_RENEWAL_INTERVAL_MS,
                lambda: self._renew_lease(worker_id, repeat=True),
            )

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
        always_fails = arrival.failing_runs >= arrival.profile.queue.max_attempts
        expected_phase = JobPhase.FAILED if always_fails else JobPhase.COMPLETED
        if phase is not expected_phase:
            return 0.0
        job = self.cell.state.jobs[arrival.job.job_id]
        allowed_ms = job.objective_ms - job.accepted_local_ms
        elapsed_ms = ended_ms - job.accepted_local_ms
        if elapsed_ms <= allowed_ms:
            return 1.0
        return LATE_VALUE_FRACTION if elapsed_ms <= LATE_LIMIT_FACTOR * allowed_ms else 0.0


_COMMAND_HANDLERS: dict[type[Command], Callable[[CellReplay, Any], None]] = {
    StartTask: CellReplay._start_task,
    StopTask: CellReplay._stop_task,
    RequestAdvice: CellReplay._request_advice,
}


def run(load: str, workers: int, seconds: float, seed: int, baselines: bool) -> dict[str, Any]:
    """Return the results of each policy; an empty `load` means all load scenarios."""
    # Logging the simulated runs would take longer than the decisions.
    logging.getLogger("baobabhoist").setLevel(logging.CRITICAL)
    names = [load] if load else list(SCENARIOS)
    policies = POLICIES if baselines else {"baobabhoist": TaskPlacer}
    report: dict[str, Any] = {"workers": workers, "seed": seed, "loads": {}}
    for name in names:
        workload = generate_workload(SCENARIOS[name], workers, seconds, seed)
        report["loads"][name] = {
            policy_name: _measure_policy(workload, policy, seconds)
            for policy_name, policy in policies.items()
        }
    return report


def _measure_policy(
    workload: CellWorkload, policy: type[TaskPlacer], seconds: float
) -> dict[str, Any]:
    replay = CellReplay(workload, policy)
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
