"""Replay a load against a cell in simulated time, and measure what it decides and how fast."""

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
    LOADS,
    SERVICE,
    WORKER,
    WORKERS_A_RACK,
    Arrival,
    Stream,
    make_stream,
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
from baobabhoist.testing.cell_worker import StandInWorker, end_gang

LEASE_MS = 5_000.0
TICK_MS = 100.0
RENEW_MS = 1_000.0
# From the decision to the start on the worker: the store's answer and the call.
START_MS = 12.0
STOP_MS = 200.0
REPORT_MS = 3.0
# Events of this time are decided together, as under the owner's pause between rounds.
DECISION_GAP_MS = 4.0
# Instances that ask the adviser beside each other.
ADVISERS = 9
APPROVED_OF_100 = 60
VALID_MS = 2_500.0
LATE_WORTH = 0.2
DRAIN_S = 20.0


class FirstFit(TaskPlacer):
    """Take steps in the order of their arrival and the first workers with room."""

    def _rank(self, step: StepState, now: float) -> Rank:
        return Rank(Timeliness.ON_TIME, 0, step.job.accepted_local_ms, step.job.accepted_local_ms)

    def _placement_cost(self, worker: WorkerState, step: StepState, tolerated: float) -> float:
        return 0.0


class BestFit(FirstFit):
    """Take steps in the order of their arrival and the fullest workers with room."""

    def _placement_cost(self, worker: WorkerState, step: StepState, tolerated: float) -> float:
        return float(worker.free_cpu)


POLICIES: dict[str, type[TaskPlacer]] = {
    "baobabhoist": TaskPlacer,
    "first fit": FirstFit,
    "best fit": BestFit,
}


@attrs.define(eq=False)
class CellReplay:
    """Hold the state of one run; times are in ms."""

    stream: Stream
    policy: type[TaskPlacer]
    cell: CellScheduler = attrs.field(init=False)
    workers: dict[str, StandInWorker] = attrs.field(init=False)
    arrivals: dict[str, Arrival] = attrs.field(init=False)
    now: float = 0.0
    call_s: list[float] = attrs.Factory(list)
    # When runs on workers began and will end.
    spans: dict[TaskKey, tuple[float, float]] = attrs.Factory(dict)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.Factory(list)
    _numbers: itertools.count[int] = attrs.Factory(itertools.count)
    _kicked: bool = False

    def __attrs_post_init__(self) -> None:
        """Make the cell and its workers."""
        self.cell = CellScheduler(self.stream.rules, Takeover(0, 0), LEASE_MS)
        self.cell.placer = self.policy(self.cell.state, max_advice_requests=ADVISERS)
        self.workers = {name: StandInWorker(name, WORKER) for name in self.stream.workers}
        self.arrivals = {arrival.job.job_id: arrival for arrival in self.stream.arrivals}
        for number, name in enumerate(self.workers):
            rack = f"r{number // WORKERS_A_RACK}"
            info = WorkerInfo(name, SERVICE, "", "z", WORKER, ("a", rack), started_unix_ms=1)
            self.cell.update_worker(info, 0.0)

    def run(self, seconds: float) -> None:
        """Play the stream and let what it left drain."""
        for arrival in self.stream.arrivals:
            self._at(arrival.at_ms, functools.partial(self._arrive, arrival))
        for name in self.workers:
            self._at(0.0, functools.partial(self._renew, name, again=True))
        self._at(0.0, self._tick)
        until = (seconds + DRAIN_S) * 1000
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _at(self, when_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(when_ms, self.now), next(self._numbers), event))

    def _kick(self) -> None:
        if not self._kicked:
            self._kicked = True
            self._at(self.now + DECISION_GAP_MS, self._decide)

    def _decide(self) -> None:
        self._kicked = False
        began_s = time.perf_counter()
        commands = self.cell.schedule(self.now, True)
        self.call_s.append(time.perf_counter() - began_s)
        for command in commands:
            _ORDERS[type(command)](self, command)

    def _tick(self) -> None:
        self.cell.tick(self.now, self.now)
        self._kick()
        self._at(self.now + TICK_MS, self._tick)

    # Callers and advice.

    def _arrive(self, arrival: Arrival) -> None:
        self.cell.add_job(arrival.job, self.now, self.now, self.now)
        if arrival.cancel_ms is not None:
            self._at(arrival.cancel_ms, lambda: self._cancel(arrival.job.job_id))
        self._kick()

    def _cancel(self, job_id: str) -> None:
        self.cell.cancel_job(job_id, self.now)
        self._kick()

    def _ask(self, question: RequestAdvice) -> None:
        def answer() -> None:
            key = question.step
            tickets = {
                name: "ticket"
                for name in question.workers
                if zlib.crc32(f"{key}{name}".encode()) % 100 < APPROVED_OF_100
            }
            valid = self.now + VALID_MS
            self.cell.handle_advice(key, question.workers, tickets, valid)
            self._kick()

        self._at(self.now + question.cost_ms, answer)

    # Workers.

    def _start(self, order: StartTask) -> None:
        def start() -> None:
            worker = self._worker(order.worker_id)
            if not self.cell.should_send_start(order):
                return
            outcome = worker.start(1, order, self._deadline(order.worker_id) or 0)
            self.cell.handle_start_result(order, outcome, self.now)
            if outcome is CommandOutcome.OK:
                ends_ms = self.now + self._run_ms(order)
                self.spans[order.task] = (self.now, ends_ms)
                self._at(ends_ms, lambda: self._end(order))

        self._at(self.now + START_MS, start)

    def _run_ms(self, order: StartTask) -> float:
        arrival = self.arrivals[order.task.job_id]
        declared = arrival.job.spec.steps[order.task.step].expected_ms
        slowness = self.stream.slowness(order.worker_id, self.now)
        if arrival.job.spec.steps[order.task.step].gang:
            # A gang works as fast as its slowest member.
            slowness = max(self._gang_slowness(order.task, order.run), slowness)
        return declared * arrival.actual * slowness

    def _gang_slowness(self, task: TaskKey, number: int) -> float:
        step = self.cell.state.jobs[task.job_id].find_step(task)
        members = step.tasks if step is not None else []
        used = [m.run.worker_id for m in members if m.run is not None and m.run.number == number]
        return max((self.stream.slowness(name, self.now) for name in used), default=1.0)

    def _end(self, order: StartTask) -> None:
        worker = self._worker(order.worker_id)
        run = worker.runs.get(order.task)
        if run is None or run.number != order.run:
            return
        arrival = self.arrivals[order.task.job_id]
        fails = self.stream.fails(order.worker_id, self.now)
        fails = fails or order.run <= arrival.failures
        worker.end(order.task, RunOutcome.FAILED if fails else RunOutcome.DONE)
        if fails and arrival.job.spec.steps[order.task.step].gang:
            for name in end_gang(self.workers, order.task, order.run, RunOutcome.BROKEN):
                self._report_soon(name)
        self._report_soon(order.worker_id)

    def _stop(self, order: StopTask) -> None:
        def stop() -> None:
            worker = self._worker(order.worker_id)
            self.cell.handle_stop_result(order, worker.stop(1, order), self.now)
            self._report_soon(order.worker_id)

        self._at(self.now + STOP_MS, stop)

    def _worker(self, name: str) -> StandInWorker:
        worker = self.workers[name]
        worker.now = self.now
        return worker

    def _deadline(self, name: str) -> int | None:
        return self.cell.state.workers[name].lease.extend_deadline(self.now, LEASE_MS)

    def _report_soon(self, name: str) -> None:
        self._at(self.now + REPORT_MS, lambda: self._renew(name))

    def _renew(self, name: str, again: bool = False) -> None:
        worker, state = self._worker(name), self.cell.state.workers[name]
        state.last_acked_end = state.last_seen_end
        for key, held in worker.runs.items():
            began, ends = self.spans[key]
            held.percent = 100.0 * (self.now - began) / max(1.0, ends - began)
        report = worker.renew(1, state.last_acked_end, self._deadline(name))
        if not isinstance(report, CommandOutcome):
            self.cell.handle_report(name, report, self.now - REPORT_MS, self.now)
        self._kick()
        if again:
            self._at(self.now + RENEW_MS, lambda: self._renew(name, again=True))

    # Figures.

    def worth(self) -> dict[str, float]:
        """Return the part of the worth that was earned, of each queue and of all."""
        owed: dict[str, float] = defaultdict(float)
        earned: dict[str, float] = defaultdict(float)
        for job_id, arrival in self.arrivals.items():
            job = self.cell.state.jobs[job_id]
            if arrival.cancel_ms is not None:
                continue
            for name in (arrival.kind.queue.name, "all"):
                owed[name] += arrival.kind.worth
                earned[name] += arrival.kind.worth * self._part(arrival, job.phase, job.ended_ms)
        return {name: earned[name] / owed[name] for name in sorted(owed)}

    def _part(self, arrival: Arrival, phase: JobPhase, ended_ms: float) -> float:
        hopeless = arrival.failures >= arrival.kind.queue.max_attempts
        wanted = JobPhase.FAILED if hopeless else JobPhase.COMPLETED
        if phase is not wanted:
            return 0.0
        job = self.cell.state.jobs[arrival.job.job_id]
        patience = job.objective_ms - job.accepted_local_ms
        took = ended_ms - job.accepted_local_ms
        if took <= patience:
            return 1.0
        return LATE_WORTH if took <= LATE_LIMIT_FACTOR * patience else 0.0


_ORDERS: dict[type[Command], Callable[[CellReplay, Any], None]] = {
    StartTask: CellReplay._start,
    StopTask: CellReplay._stop,
    RequestAdvice: CellReplay._ask,
}


def run(load: str, workers: int, seconds: float, seed: int, baselines: bool) -> dict[str, Any]:
    """Return the figures of each policy on the same loads; no name means all loads."""
    # The logs of simulated runs would cost more than the decisions.
    logging.getLogger("baobabhoist").setLevel(logging.CRITICAL)
    names = [load] if load else list(LOADS)
    chosen = POLICIES if baselines else {"baobabhoist": TaskPlacer}
    report: dict[str, Any] = {"workers": workers, "seed": seed, "loads": {}}
    for name in names:
        stream = make_stream(LOADS[name], workers, seconds, seed)
        report["loads"][name] = {p: _measure(stream, kind, seconds) for p, kind in chosen.items()}
    return report


def _measure(stream: Stream, policy: type[TaskPlacer], seconds: float) -> dict[str, Any]:
    replay = CellReplay(stream, policy)
    gc.collect()
    gc.freeze()
    replay.run(seconds)
    gc.unfreeze()
    return {
        "worth": replay.worth(),
        "decision_ms_p50": 1e3 * quantile(replay.call_s, 0.5),
        "decision_ms_p99": 1e3 * quantile(replay.call_s, 0.99),
        "decisions": len(replay.call_s),
        "cores": sum(replay.call_s) / (seconds + DRAIN_S),
    }


def table(report: dict[str, Any]) -> str:
    """Return the report as a plain table."""
    lines = [f"{report['workers']} workers, seed {report['seed']}; part of the worth earned"]
    form = "{:18}{:14}{:>8}{:>8}{:>8}{:>8}{:>10}{:>10}{:>8}"
    heads = ("all", "bundle", "recon", "entry", "p50 ms", "p99 ms", "cores")
    lines.append(form.format("load", "policy", *heads))
    for load, policies in report["loads"].items():
        for policy, found in policies.items():
            worth = found["worth"]
            cells = [f"{worth.get(name, 0.0):.3f}" for name in heads[:4]]
            times = [f"{found[f'decision_ms_{q}']:.2f}" for q in ("p50", "p99")]
            lines.append(form.format(load, policy, *cells, *times, f"{found['cores']:.3f}"))
    return "\n".join(lines)
