"""Find the jobs of which no report shows a run, and tell what holds the one held longest."""

from __future__ import annotations

from collections import Counter

import attrs

from baobabhoist.cell.jobs import Run, RunPhase, StepState
from baobabhoist.cell.model import NO_RESOURCES, Resources
from baobabhoist.cell.placer import TaskPlacer
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.cell.worker_selection import count_fitting_tasks, max_tasks_per_worker
from baobabhoist.cell.workers import REPORT_TIMEOUT_MS, WorkerState


@attrs.frozen
class StepRoom:
    """Count the places for tasks of a step on the usable workers that may run it."""

    wanted: int
    approved: int
    with_ticket: int
    # On workers with a ticket that are not reserved for other steps.
    unreserved: int


@attrs.frozen
class StandingStep:
    """Describe a step of a job that stands still; `since_ms` is on the owner's clock."""

    step: StepState
    since_ms: float
    # Of the capacity of all listed workers, what runs that reports show take.
    used_fraction: float
    room: StepRoom
    # The runs that have not ended as far as the owner knows, by phase, and the oldest of them.
    runs: Counter[RunPhase]
    oldest_run: Run | None


@attrs.define
class StandingJobs:
    """Track since when jobs with a ready step have had nothing running."""

    _since_ms: dict[str, float] = attrs.Factory(dict)

    def update(self, state: CellState, now: float) -> None:
        """Look at all runs and all ready steps."""
        running = {
            run.task.step.job.job_id
            for worker in state.workers.values()
            if _is_heard(worker, now)
            for run in worker.runs.values()
            if run.phase is RunPhase.RUNNING
        }
        standing = {key.job_id for key in state.ready_steps} - running
        self._since_ms = {job_id: self._since_ms.get(job_id, now) for job_id in standing}

    def longest_by_reason(
        self, placer: TaskPlacer, now: float, least_ms: float
    ) -> list[StandingStep]:
        """Return for each wait reason the step whose job, of a team with room, has stood longest.

        Jobs that have stood for less than a time are left out. Steps of which no task waits,
        because all have a run that has not ended, count together.
        """
        longest: dict[WaitReason | None, StepState] = {}
        for step in placer.state.ready_steps.values():
            if not self._is_counted(step, placer.state, now - least_ms):
                continue
            reason = step.wait_reason if step.waiting_count else None
            other = longest.get(reason)
            if other is None or self._since(step) < self._since(other):
                longest[reason] = step
        if not longest:
            return []
        used = used_fraction(placer.state, now)
        worker_index = WorkerIndex(placer.state.workers.values(), now)
        return [self._describe(step, placer, worker_index, used) for step in longest.values()]

    def _is_counted(self, step: StepState, state: CellState, latest_ms: float) -> bool:
        since_ms = self._since_ms.get(step.key.job_id, float("inf"))
        return since_ms <= latest_ms and not state.is_team_half_used(step.job)

    def _since(self, step: StepState) -> float:
        return self._since_ms[step.key.job_id]

    def _describe(
        self, step: StepState, placer: TaskPlacer, worker_index: WorkerIndex, used: float
    ) -> StandingStep:
        runs = [task.run for task in step.tasks if task.run is not None]
        return StandingStep(
            step,
            self._since(step),
            used,
            count_room(placer, step, worker_index),
            Counter(run.phase for run in runs),
            min(runs, key=lambda run: run.decided_ms, default=None),
        )


def used_fraction(state: CellState, now: float) -> float:
    """Return what runs that reports show take of the listed workers: the scarcer resource's."""
    used = capacity = NO_RESOURCES
    for worker in state.workers.values():
        if worker.is_listed:
            capacity = capacity.plus(worker.info.capacity)
        if _is_heard(worker, now):
            used = used.plus(_running_use(worker))
    amounts = zip(attrs.astuple(used), attrs.astuple(capacity), strict=True)
    return max((in_use / total for in_use, total in amounts if total), default=0.0)


def count_room(placer: TaskPlacer, step: StepState, worker_index: WorkerIndex) -> StepRoom:
    """Return how many tasks of a step would find a place now, with and without a ticket."""
    startable = placer.startable_workers(step, worker_index)
    unreserved = [w for w in startable if placer.reservations.is_worker_available(w, step)]
    return StepRoom(
        step.waiting_count,
        _count_places(step, placer.approved_workers(step, worker_index)),
        _count_places(step, startable),
        _count_places(step, unreserved),
    )


def _count_places(step: StepState, workers: list[WorkerState]) -> int:
    limit = max_tasks_per_worker(step.spec, len(step.tasks))
    need = step.spec.allocation
    return sum(count_fitting_tasks(worker.free, need, limit) for worker in workers)


def _is_heard(worker: WorkerState, now: float) -> bool:
    return now - worker.last_report_ms < REPORT_TIMEOUT_MS


def _running_use(worker: WorkerState) -> Resources:
    used = NO_RESOURCES
    for run in worker.runs.values():
        if run.phase is RunPhase.RUNNING:
            used = used.plus(run.allocation)
    return used
