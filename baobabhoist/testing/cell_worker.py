"""Stand in for a worker of a cell: fencing, leases, runs, ends and gangs, driven by hand."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from baobabhoist.cell.model import (
    ActiveRun,
    CommandOutcome,
    EndedRun,
    Resources,
    RunOutcome,
    StartTask,
    StopTask,
    TaskKey,
    WorkerInfo,
    WorkerReport,
)


@attrs.define
class StandInRun:
    """Hold a run on the worker."""

    task: TaskKey
    number: int
    percent: float = 0.0
    checkpoint: str = ""


@attrs.define
class StandInWorker:
    """Own a worker's state; `now` in ms is its own steady clock."""

    worker_id: str
    capacity: Resources = attrs.field(factory=lambda: Resources(4000, 4096, 0))
    labels: tuple[str, ...] = ("a", "r1-1")
    service: str = "svc"
    now: float = 1_000.0
    born_ms: int = 1
    token: int = 0
    lease_until: float = 0.0
    runs: dict[TaskKey, StandInRun] = attrs.Factory(dict)
    ends: list[EndedRun] = attrs.Factory(list)
    ended_runs: dict[TaskKey, int] = attrs.Factory(dict)
    count: int = 0
    # Every start that took effect, for checks.
    started: list[tuple[TaskKey, int]] = attrs.Factory(list)

    def info(self, **changes: Any) -> WorkerInfo:
        """Return the worker's entry in the directory."""
        entry = WorkerInfo(
            self.worker_id,
            self.service,
            f"{self.worker_id}:80",
            "dc",
            self.capacity,
            self.labels,
            started_unix_ms=self.born_ms,
        )
        return attrs.evolve(entry, **changes)

    def renew(
        self, token: int, acked_end: int, deadline_ms: int | None
    ) -> WorkerReport | CommandOutcome:
        """Answer a renewal."""
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        if deadline_ms is not None:
            self.lease_until = max(self.lease_until, deadline_ms)
        self.ends = [end for end in self.ends if end.sequence_number > acked_end]
        return self.report()

    def report(self) -> WorkerReport:
        """Return the lists as they are now."""
        running = [
            ActiveRun(r.task, r.number, r.checkpoint, r.percent) for r in self.runs.values()
        ]
        return WorkerReport(int(self.now), self.born_ms, tuple(running), tuple(self.ends))

    def start(self, token: int, order: StartTask, deadline_ms: int) -> CommandOutcome:
        """Carry out a start."""
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        if deadline_ms <= self.now:
            return CommandOutcome.LATE
        self.lease_until = max(self.lease_until, deadline_ms)
        run = self.runs.get(order.task)
        if run is not None and run.number == order.run:
            return CommandOutcome.OK
        if run is not None or order.run <= self.ended_runs.get(order.task, 0):
            return CommandOutcome.OLD
        self.runs[order.task] = StandInRun(order.task, order.run, checkpoint=order.checkpoint)
        self.started.append((order.task, order.run))
        return CommandOutcome.OK

    def stop(self, token: int, order: StopTask) -> CommandOutcome:
        """Carry out a stop; a run that never came is remembered as ended."""
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        run = self.runs.get(order.task)
        if run is not None and run.number <= order.run:
            self.end(order.task, RunOutcome.STOPPED)
        self.ended_runs[order.task] = max(self.ended_runs.get(order.task, 0), order.run)
        return CommandOutcome.OK

    def end(self, task: TaskKey, kind: RunOutcome, checkpoint: str = "") -> None:
        """End a run."""
        run = self.runs.pop(task)
        self.count += 1
        saved = checkpoint or run.checkpoint
        self.ends.append(EndedRun(self.count, task, run.number, kind, saved))
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run.number)

    def advance(self, ms: float) -> None:
        """Let time pass; everything ends when the lease does."""
        self.now += ms
        if self.now >= self.lease_until:
            for task in list(self.runs):
                self.end(task, RunOutcome.LAPSED)

    def restart(self) -> None:
        """Begin a new lifetime under the same id."""
        self.born_ms += 1
        self.now, self.token, self.lease_until, self.count = 0.0, 0, 0.0, 0
        self.runs.clear()
        self.ends.clear()
        self.ended_runs.clear()


def end_gang(
    workers: Mapping[str, StandInWorker], task: TaskKey, number: int, kind: RunOutcome
) -> list[str]:
    """End what is left of a gang's run; return the worker of each member that ended."""
    ended = []
    for name, worker in workers.items():
        for member, run in list(worker.runs.items()):
            if member.step_key == task.step_key and run.number == number:
                worker.end(member, kind)
                ended.append(name)
    return ended
