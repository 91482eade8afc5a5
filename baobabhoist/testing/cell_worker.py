"""Provide a fake worker of a cell, whose clock and runs are controlled by the test."""

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
    StepKey,
    StopTask,
    TaskKey,
    WorkerInfo,
    WorkerReport,
)


@attrs.define
class FakeRun:
    """Track a run on the worker."""

    task: TaskKey
    number: int
    progress_percent: float = 0.0
    checkpoint: str = ""


@attrs.define
class FakeCellWorker:
    """Simulate fencing, leases and runs of a worker; `now_ms` is its own monotonic clock."""

    worker_id: str
    capacity: Resources = attrs.field(factory=lambda: Resources(4000, 4096, 0))
    labels: tuple[str, ...] = ("a", "r1-1")
    service: str = "svc"
    now_ms: float = 1_000.0
    started_unix_ms: int = 1
    token: int = 0
    lease_expires_ms: float = 0.0
    # The longest lease that the worker grants.
    max_lease_ms: float = 10_000.0
    runs: dict[TaskKey, FakeRun] = attrs.Factory(dict)
    unacked_ends: list[EndedRun] = attrs.Factory(list)
    last_ended_runs: dict[TaskKey, int] = attrs.Factory(dict)
    last_sequence_number: int = 0
    # Every start that took effect.
    started_runs: list[tuple[TaskKey, int]] = attrs.Factory(list)
    is_up: bool = True
    # How many ends a report lists.
    max_listed_ends: int = 500
    requires_tickets: bool = False
    # When each ticket for a step expires, on the worker's clock.
    ticket_expiries_ms: dict[tuple[StepKey, str], float] = attrs.Factory(dict)

    def info(self, **changes: Any) -> WorkerInfo:
        """Return the worker's entry in the directory."""
        entry = WorkerInfo(
            self.worker_id,
            self.service,
            f"{self.worker_id}:80",
            "dc",
            self.capacity,
            self.labels,
            started_unix_ms=self.started_unix_ms,
        )
        return attrs.evolve(entry, **changes)

    def renew(
        self, token: int, acked_end: int, deadline_ms: int | None
    ) -> WorkerReport | CommandOutcome:
        """Handle a lease renewal; acknowledged ends are dropped from the reports."""
        if not self.is_up:
            return CommandOutcome.UNKNOWN
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        if deadline_ms is not None:
            self._extend_lease(deadline_ms)
        self.unacked_ends = [end for end in self.unacked_ends if end.sequence_number > acked_end]
        return self.report()

    def report(self) -> WorkerReport:
        """Return the active runs and the ends that are not acknowledged."""
        running = [
            ActiveRun(r.task, r.number, r.checkpoint, r.progress_percent)
            for r in self.runs.values()
        ]
        ended = tuple(self.unacked_ends[: self.max_listed_ends])
        return WorkerReport(
            int(self.now_ms),
            self.started_unix_ms,
            tuple(running),
            ended,
            len(ended) >= self.max_listed_ends,
        )

    def start(self, token: int, command: StartTask, deadline_ms: int) -> CommandOutcome:
        """Handle a start command."""
        if not self.is_up:
            return CommandOutcome.UNKNOWN
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        if self.requires_tickets and not self._has_valid_ticket(command):
            return CommandOutcome.NO_TICKET
        if deadline_ms <= self.now_ms:
            return CommandOutcome.LATE
        self._extend_lease(deadline_ms)
        run = self.runs.get(command.task)
        if run is not None and run.number == command.run:
            return CommandOutcome.OK
        if run is not None or command.run <= self.last_ended_runs.get(command.task, 0):
            return CommandOutcome.OLD
        self.runs[command.task] = FakeRun(command.task, command.run, checkpoint=command.checkpoint)
        self.started_runs.append((command.task, command.run))
        return CommandOutcome.OK

    def _extend_lease(self, deadline_ms: float) -> None:
        granted_ms = min(deadline_ms, self.now_ms + self.max_lease_ms)
        self.lease_expires_ms = max(self.lease_expires_ms, granted_ms)

    def stop(self, token: int, command: StopTask) -> CommandOutcome:
        """Handle a stop command; a run that was never started is recorded as ended."""
        if not self.is_up:
            return CommandOutcome.UNKNOWN
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        run = self.runs.get(command.task)
        if run is not None and run.number <= command.run:
            self.end_run(command.task, RunOutcome.STOPPED)
        self.last_ended_runs[command.task] = max(
            self.last_ended_runs.get(command.task, 0), command.run
        )
        return CommandOutcome.OK

    def end_run(self, task: TaskKey, outcome: RunOutcome, checkpoint: str = "") -> None:
        """End a run and queue its outcome for the next report."""
        run = self.runs.pop(task)
        self.last_sequence_number += 1
        last_checkpoint = checkpoint or run.checkpoint
        self.unacked_ends.append(
            EndedRun(self.last_sequence_number, task, run.number, outcome, last_checkpoint)
        )
        self.last_ended_runs[task] = max(self.last_ended_runs.get(task, 0), run.number)

    def advance(self, ms: float) -> None:
        """Advance the clock; when the lease expires, every run ends."""
        self.now_ms += ms
        if self.now_ms >= self.lease_expires_ms:
            for task in list(self.runs):
                self.end_run(task, RunOutcome.LAPSED)

    def issue_ticket(self, step: StepKey, valid_ms: float) -> str:
        """Return a ticket for the tasks of a step, which a restart invalidates."""
        expires_ms = self.now_ms + valid_ms
        ticket = f"{self.started_unix_ms}-{expires_ms}"
        self.ticket_expiries_ms[step, ticket] = expires_ms
        return ticket

    def _has_valid_ticket(self, command: StartTask) -> bool:
        expires_ms = self.ticket_expiries_ms.get((command.task.step_key, command.ticket), 0.0)
        return expires_ms > self.now_ms

    def crash(self) -> None:
        """End all runs without a report; no command is answered until the worker restarts."""
        self.is_up = False
        self.runs.clear()

    def restart(self) -> None:
        """Restart under the same id, without state of the previous incarnation."""
        self.is_up = True
        self.ticket_expiries_ms.clear()
        self.started_unix_ms += 1
        self.now_ms, self.token, self.lease_expires_ms, self.last_sequence_number = 0.0, 0, 0.0, 0
        self.runs.clear()
        self.unacked_ends.clear()
        self.last_ended_runs.clear()


def end_gang_run(
    workers: Mapping[str, FakeCellWorker], task: TaskKey, number: int, outcome: RunOutcome
) -> list[str]:
    """End the remaining members of a gang's run; return the worker of each of them."""
    ended = []
    for name, worker in workers.items():
        for member, run in list(worker.runs.items()):
            if member.step_key == task.step_key and run.number == number:
                worker.end_run(member, outcome)
                ended.append(name)
    return ended
