"""Replay a stream of work against one policy and measure what the policy decides."""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter, defaultdict
from typing import Any, Protocol

import attrs

from baobabhoist.benchmarks.stats import water_fill
from baobabhoist.benchmarks.workload import Arrival, Stream, Work
from baobabhoist.errors import Refusal
from baobabhoist.model import Outcome, Resources, Task, Urgency, WorkKind
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.scheduling.policy import PreemptionAction
from baobabhoist.scheduling.results import Placement, Preemption, Verdict

TICK_S = 0.25
SAMPLE_S = 1.0
FAST_FAILURE_S = 0.2
PREEMPTION_S = 0.2
# A backlog counts as full when the oldest waiting work has waited this long.
FULL_AFTER_S = 1.0


class Policy(Protocol):
    """Decide as `Scheduler` does."""

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
class _Attempt:
    work: Work
    worker: str
    succeeds: bool
    remaining_s: float
    updated_at: float
    rate: float = 0.0
    version: int = 0
    ended: bool = False


@attrs.define(eq=False)
class Replay:
    """Hold the state of one run."""

    stream: Stream
    policy: Policy
    ledger: QuotaLedger
    events: list[tuple[float, int, str, Any]] = attrs.Factory(list)
    waiting: dict[str, Work] = attrs.Factory(dict)
    running: dict[str, _Attempt] = attrs.Factory(dict)
    started: dict[str, float] = attrs.Factory(dict)
    works: dict[str, Work] = attrs.Factory(dict)
    refused: Counter[str] = attrs.Factory(Counter)
    lost: set[str] = attrs.Factory(set)
    with_quota: set[str] = attrs.Factory(set)
    load: defaultdict[str, list[int]] = attrs.Factory(lambda: defaultdict(lambda: [0, 0]))
    on_worker: defaultdict[str, list[_Attempt]] = attrs.Factory(lambda: defaultdict(list))
    call_s: list[float] = attrs.Factory(list)
    busy_s: float = 0.0
    placements: int = 0
    preempted: int = 0
    packing: list[float] = attrs.Factory(list)
    deviation: list[float] = attrs.Factory(list)
    _seq: itertools.count[int] = attrs.Factory(itertools.count)

    def run(self) -> None:
        """Replay until the end of the stream; what still waits then counts as waiting."""
        end = self.stream.profile.duration_s
        for arrival in self.stream.arrivals:
            self._at(arrival.at, "arrival", arrival)
        for number in range(int(end / TICK_S)):
            self._at((number + 1) * TICK_S, "tick", None)
        for number in range(int(end / SAMPLE_S)):
            self._at((number + 1) * SAMPLE_S, "sample", None)
        while self.events and self.events[0][0] <= end:
            now, _, name, item = heapq.heappop(self.events)
            getattr(self, f"_{name}")(now, item)

    def _at(self, at: float, name: str, item: Any) -> None:
        heapq.heappush(self.events, (at, next(self._seq), name, item))

    def _arrival(self, now: float, arrival: Arrival) -> None:
        tasks = [work.task for work in arrival.works]
        for work in arrival.works:
            self.works[work.task.task_id] = work
        urgent = tasks[0]
        if urgent.urgency is Urgency.URGENT:
            team = urgent.team
            if self.ledger.used[team] < self.ledger.allowed(team):
                self.with_quota.add(urgent.task_id)
        begin = time.perf_counter()
        if arrival.kind is WorkKind.GANG:
            refusals = [self.policy.enqueue_gang(arrival.job_id, tasks, now)] * len(tasks)
        else:
            refusals = [self.policy.enqueue(task, now) for task in tasks]
        self.busy_s += time.perf_counter() - begin
        for work, refusal in zip(arrival.works, refusals, strict=True):
            if refusal is None:
                self.waiting[work.task.task_id] = work
            else:
                self._refuse(work.task, refusal)
        self._tick(now, None)

    def _refuse(self, task: Task, refusal: Refusal) -> None:
        assert refusal.outcome is Outcome.NOT_RUN or task.task_id in self.started
        self.waiting.pop(task.task_id, None)
        self.refused[refusal.kind.value] += 1
        del self.works[task.task_id]

    def _tick(self, now: float, _: None) -> None:
        begin = time.perf_counter()
        late = self.policy.expire(now)
        self.busy_s += time.perf_counter() - begin
        for task in late:
            self.refused["expired"] += 1
            self.waiting.pop(task.task_id)
            self.started[task.task_id] = now
        while True:
            begin = time.perf_counter()
            batch = self.policy.next_batch(now)
            spent = time.perf_counter() - begin
            self.busy_s += spent
            self.call_s.append(spent)
            for placement in batch:
                self._start(now, placement)
            if not batch:
                break
        for task, refusal in self.policy.take_refused():
            self._refuse(task, refusal)
        for preemption in self.policy.take_preemptions():
            attempt = self.running.get(preemption.task_id)
            if attempt and preemption.action is not PreemptionAction.THROTTLE:
                self._at(now + PREEMPTION_S, "end", (attempt, 0, True))

    def _start(self, now: float, placement: Placement) -> None:
        work = self.waiting.pop(placement.task.task_id)
        self.placements += 1
        self.started[work.task.task_id] = now
        truth = self.stream.truths[placement.worker]
        load = self.load[placement.worker]
        load[0] += work.cpu_milli
        load[1] += work.memory_mb
        run_s, succeeds = work.run_s, True
        if work.fails or truth.fails_from <= now < truth.fails_until:
            run_s, succeeds = FAST_FAILURE_S, False
        elif load[1] > self.stream.profile.memory_mb:
            run_s, succeeds = run_s / 2, False
        attempt = _Attempt(work, placement.worker, succeeds, run_s, now)
        self.running[work.task.task_id] = attempt
        self.on_worker[placement.worker].append(attempt)
        self._share_processors(now, placement.worker)

    def _share_processors(self, now: float, worker: str) -> None:
        """Slow down every task of a worker whose processors are oversubscribed."""
        overload = self.load[worker][0] / self.stream.profile.cpu_milli
        rate = self.stream.truths[worker].speed / max(1.0, overload)
        for attempt in self.on_worker[worker]:
            if attempt.rate != rate:
                attempt.remaining_s -= (now - attempt.updated_at) * attempt.rate
                attempt.updated_at, attempt.rate = now, rate
                attempt.version += 1
                item = (attempt, attempt.version, False)
                self._at(now + max(0.0, attempt.remaining_s) / rate, "end", item)

    def _end(self, now: float, item: tuple[_Attempt, int, bool]) -> None:
        attempt, version, preempted = item
        if attempt.ended or (version != attempt.version and not preempted):
            return
        attempt.ended = True
        succeeded = attempt.succeeds and not preempted
        self.on_worker[attempt.worker].remove(attempt)
        work = attempt.work
        task = work.task
        del self.running[task.task_id]
        load = self.load[attempt.worker]
        load[0] -= work.cpu_milli
        load[1] -= work.memory_mb
        self._share_processors(now, attempt.worker)
        self.preempted += preempted
        usage = Resources(work.cpu_milli, work.memory_mb)
        begin = time.perf_counter()
        verdict = self.policy.task_ended(task.task_id, succeeded, now, usage, preempted)
        again = verdict is Verdict.RETRY and (task.idempotent or preempted)
        refusal = self.policy.enqueue(task, now) if again else None
        self.busy_s += time.perf_counter() - begin
        if again and refusal is None:
            self.waiting[task.task_id] = work
        elif not succeeded:
            self.refused["failed"] += 1
            if not work.fails and task.idempotent:
                self.lost.add(task.task_id)
        self._tick(now, None)

    def _sample(self, now: float, _: None) -> None:
        if not any(now - work.task.submitted_at > FULL_AFTER_S for work in self.waiting.values()):
            return
        used: defaultdict[str, float] = defaultdict(float)
        useful = 0.0
        for attempt in self.running.values():
            part = self._dominant(attempt.work)
            used[attempt.work.task.team] += part
            useful += part * attempt.succeeds
        self.packing.append(useful)
        wanted = used.copy()
        places = {team: n - self.ledger.used[team] for team, n in self.stream.limits.items()}
        for work in self.waiting.values():
            if places[work.task.team] > 0:
                places[work.task.team] -= 1
                wanted[work.task.team] += self._dominant(work)
        entitled = water_fill(wanted, self.stream.weights, sum(used.values()))
        gaps = [abs(used[team] - entitled[team]) for team in self.stream.weights]
        self.deviation.append(100 * sum(gaps) / len(gaps))

    def _dominant(self, work: Work) -> float:
        profile = self.stream.profile
        return (
            max(work.cpu_milli / profile.cpu_milli, work.memory_mb / profile.memory_mb)
            / profile.workers
        )

    def waits(self) -> dict[str, tuple[Task, float]]:
        """Return each accepted task's wait until its last start, in seconds.

        Work that was not served by the end of the stream, and idempotent work that was given
        up although a sound worker could have run it, waits until its deadline or the end.
        """
        found = {}
        for task_id, work in self.works.items():
            started = self.started.get(task_id, 0.0)
            if task_id in self.waiting or task_id in self.lost:
                started = min(self.stream.profile.duration_s, work.task.deadline)
            found[task_id] = (work.task, started - work.task.submitted_at)
        return found
