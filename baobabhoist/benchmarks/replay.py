"""Replay a workload under one policy in simulated time and measure its decisions."""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter, defaultdict
from typing import Any, Protocol

import attrs

from baobabhoist.benchmarks.stats import water_fill
from baobabhoist.benchmarks.workload import Arrival, WorkItem, Workload
from baobabhoist.errors import Refusal
from baobabhoist.model import Outcome, Resources, Task, Urgency, WorkKind
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.scheduling.policy import PreemptionAction
from baobabhoist.scheduling.results import Placement, Preemption, Verdict

TICK_INTERVAL_S = 0.25
SAMPLE_INTERVAL_S = 1.0
FAILED_RUN_S = 0.2
PREEMPTION_DELAY_S = 0.2
# The fleet counts as full while the oldest queued task has waited longer than this.
BACKLOG_WAIT_S = 1.0


class Policy(Protocol):
    """Define the methods of `Scheduler` that the replay calls."""

    def enqueue(self, task: Task, now: float) -> Refusal | None: ...  # noqa: D102
    def enqueue_gang(self, job_id: str, tasks: list[Task], now: float) -> Refusal | None: ...  # noqa: D102
    def next_batch(self, now: float) -> list[Placement]: ...  # noqa: D102
    def task_ended(  # noqa: D102
        self, task_id: str, succeeded: bool, now: float, usage: Resources, preempted: bool
    ) -> Verdict: ...
    def expire(self, now: float) -> list[Task]: ...  # noqa: D102
    def take_preemptions(self) -> list[Preemption]: ...  # noqa: D102
    def take_refused(self) -> list[tuple[Task, Refusal]]: ...  # noqa: D102


@attrs.define(eq=False)
class _Run:
    """Hold a run of a task; an end event counts only if `version` is unchanged since."""

    item: WorkItem
    worker: str
    succeeds: bool
    remaining_s: float
    updated_at_s: float
    progress_rate: float = 0.0
    version: int = 0
    ended: bool = False


@attrs.define(eq=False)
class Replay:
    """Simulate a fleet under a workload and a policy."""

    workload: Workload
    policy: Policy
    ledger: QuotaLedger
    events: list[tuple[float, int, str, Any]] = attrs.Factory(list)
    queued: dict[str, WorkItem] = attrs.Factory(dict)
    running: dict[str, _Run] = attrs.Factory(dict)
    started_at_s: dict[str, float] = attrs.Factory(dict)
    items_by_task_id: dict[str, WorkItem] = attrs.Factory(dict)
    refusals: Counter[str] = attrs.Factory(Counter)
    abandoned: set[str] = attrs.Factory(set)
    urgent_with_quota: set[str] = attrs.Factory(set)
    # Processor and memory demand of the running tasks of each worker.
    demand_by_worker: defaultdict[str, list[int]] = attrs.Factory(
        lambda: defaultdict(lambda: [0, 0])
    )
    runs_by_worker: defaultdict[str, list[_Run]] = attrs.Factory(lambda: defaultdict(list))
    decision_times_s: list[float] = attrs.Factory(list)
    policy_time_s: float = 0.0
    placements: int = 0
    preemptions: int = 0
    packing_samples: list[float] = attrs.Factory(list)
    deviation_samples: list[float] = attrs.Factory(list)
    _event_numbers: itertools.count[int] = attrs.Factory(itertools.count)

    def run(self) -> None:
        """Replay the workload until its end; tasks that are queued then count as waiting."""
        end = self.workload.profile.duration_s
        for arrival in self.workload.arrivals:
            self._schedule_event(arrival.arrives_at_s, "arrival", arrival)
        for number in range(int(end / TICK_INTERVAL_S)):
            self._schedule_event((number + 1) * TICK_INTERVAL_S, "tick", None)
        for number in range(int(end / SAMPLE_INTERVAL_S)):
            self._schedule_event((number + 1) * SAMPLE_INTERVAL_S, "sample", None)
        while self.events and self.events[0][0] <= end:
            now, _, name, payload = heapq.heappop(self.events)
            getattr(self, f"_on_{name}")(now, payload)

    def _schedule_event(self, at_s: float, name: str, payload: Any) -> None:
        heapq.heappush(self.events, (at_s, next(self._event_numbers), name, payload))

    def _on_arrival(self, now: float, arrival: Arrival) -> None:
        tasks = [item.task for item in arrival.items]
        for item in arrival.items:
            self.items_by_task_id[item.task.task_id] = item
        first_task = tasks[0]
        if first_task.urgency is Urgency.URGENT:
            team = first_task.team
            if self.ledger.used[team] < self.ledger.allowed(team):
                self.urgent_with_quota.add(first_task.task_id)
        started_s = time.perf_counter()
        if arrival.kind is WorkKind.GANG:
            refusals = [self.policy.enqueue_gang(arrival.job_id, tasks, now)] * len(tasks)
        else:
            refusals = [self.policy.enqueue(task, now) for task in tasks]
        self.policy_time_s += time.perf_counter() - started_s
        for item, refusal in zip(arrival.items, refusals, strict=True):
            if refusal is None:
                self.queued[item.task.task_id] = item
            else:
                self._record_refusal(item.task, refusal)
        self._on_tick(now, None)

    def _record_refusal(self, task: Task, refusal: Refusal) -> None:
        assert refusal.outcome is Outcome.NOT_RUN or task.task_id in self.started_at_s
        self.queued.pop(task.task_id, None)
        self.refusals[refusal.kind.value] += 1
        del self.items_by_task_id[task.task_id]

    def _on_tick(self, now: float, _: None) -> None:
        started_s = time.perf_counter()
        expired = self.policy.expire(now)
        self.policy_time_s += time.perf_counter() - started_s
        for task in expired:
            self.refusals["expired"] += 1
            self.queued.pop(task.task_id)
            self.started_at_s[task.task_id] = now
        while True:
            started_s = time.perf_counter()
            batch = self.policy.next_batch(now)
            elapsed_s = time.perf_counter() - started_s
            self.policy_time_s += elapsed_s
            self.decision_times_s.append(elapsed_s)
            for placement in batch:
                self._start(now, placement)
            if not batch:
                break
        for task, refusal in self.policy.take_refused():
            self._record_refusal(task, refusal)
        for preemption in self.policy.take_preemptions():
            run = self.running.get(preemption.task_id)
            if run and preemption.action is not PreemptionAction.THROTTLE:
                self._schedule_event(now + PREEMPTION_DELAY_S, "end", (run, 0, True))

    def _start(self, now: float, placement: Placement) -> None:
        item = self.queued.pop(placement.task.task_id)
        self.placements += 1
        self.started_at_s[item.task.task_id] = now
        behaviour = self.workload.worker_behaviours[placement.worker]
        demand = self.demand_by_worker[placement.worker]
        demand[0] += item.cpu_milli
        demand[1] += item.memory_mb
        run_s, succeeds = item.run_s, True
        if item.always_fails or behaviour.fails_from <= now < behaviour.fails_until:
            run_s, succeeds = FAILED_RUN_S, False
        elif demand[1] > self.workload.profile.memory_mb:
            run_s, succeeds = run_s / 2, False
        run = _Run(item, placement.worker, succeeds, run_s, now)
        self.running[item.task.task_id] = run
        self.runs_by_worker[placement.worker].append(run)
        self._update_task_rates(now, placement.worker)

    def _update_task_rates(self, now: float, worker: str) -> None:
        """Update the progress rates of all tasks of a worker, which share its processors."""
        oversubscription = self.demand_by_worker[worker][0] / self.workload.profile.cpu_milli
        progress_rate = self.workload.worker_behaviours[worker].speed_factor / max(
            1.0, oversubscription
        )
        for run in self.runs_by_worker[worker]:
            if run.progress_rate != progress_rate:
                run.remaining_s -= (now - run.updated_at_s) * run.progress_rate
                run.updated_at_s, run.progress_rate = now, progress_rate
                run.version += 1
                payload = (run, run.version, False)
                self._schedule_event(
                    now + max(0.0, run.remaining_s) / progress_rate, "end", payload
                )

    def _on_end(self, now: float, payload: tuple[_Run, int, bool]) -> None:
        run, version, preempted = payload
        if run.ended or (version != run.version and not preempted):
            return
        run.ended = True
        succeeded = run.succeeds and not preempted
        self.runs_by_worker[run.worker].remove(run)
        item = run.item
        task = item.task
        del self.running[task.task_id]
        demand = self.demand_by_worker[run.worker]
        demand[0] -= item.cpu_milli
        demand[1] -= item.memory_mb
        self._update_task_rates(now, run.worker)
        self.preemptions += preempted
        usage = Resources(item.cpu_milli, item.memory_mb)
        started_s = time.perf_counter()
        verdict = self.policy.task_ended(task.task_id, succeeded, now, usage, preempted)
        should_retry = verdict is Verdict.RETRY and (task.idempotent or preempted)
        refusal = self.policy.enqueue(task, now) if should_retry else None
        self.policy_time_s += time.perf_counter() - started_s
        if should_retry and refusal is None:
            self.queued[task.task_id] = item
        elif not succeeded:
            self.refusals["failed"] += 1
            if not item.always_fails and task.idempotent:
                self.abandoned.add(task.task_id)
        self._on_tick(now, None)

    def _on_sample(self, now: float, _: None) -> None:
        if not any(now - item.task.submitted_at > BACKLOG_WAIT_S for item in self.queued.values()):
            return
        used: defaultdict[str, float] = defaultdict(float)
        packing = 0.0
        for run in self.running.values():
            share = self._dominant_share(run.item)
            used[run.item.task.team] += share
            packing += share * run.succeeds
        self.packing_samples.append(packing)
        wanted = used.copy()
        spare_places = {
            team: n - self.ledger.used[team] for team, n in self.workload.limits.items()
        }
        for item in self.queued.values():
            if spare_places[item.task.team] > 0:
                spare_places[item.task.team] -= 1
                wanted[item.task.team] += self._dominant_share(item)
        fair_shares = water_fill(wanted, self.workload.weights, sum(used.values()))
        deviations = [abs(used[team] - fair_shares[team]) for team in self.workload.weights]
        self.deviation_samples.append(100 * sum(deviations) / len(deviations))

    def _dominant_share(self, item: WorkItem) -> float:
        profile = self.workload.profile
        return (
            max(item.cpu_milli / profile.cpu_milli, item.memory_mb / profile.memory_mb)
            / profile.workers
        )

    def waits(self) -> dict[str, tuple[Task, float]]:
        """Return each accepted task's wait until its last start, in seconds.

        A task that was not started by the end of the workload, and an idempotent task that was
        abandoned although a healthy worker could have run it, waits until its deadline or the end.
        """
        waits = {}
        for task_id, item in self.items_by_task_id.items():
            started_at_s = self.started_at_s.get(task_id, 0.0)
            if task_id in self.queued or task_id in self.abandoned:
                started_at_s = min(self.workload.profile.duration_s, item.task.deadline)
            waits[task_id] = (item.task, started_at_s - item.task.submitted_at)
        return waits
