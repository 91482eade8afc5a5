"""Forecast when and where a waiting gang can start, from the expected ends of the runs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from baobabhoist.cell.jobs import JobState, Run, StepState
from baobabhoist.cell.model import Resources, Team
from baobabhoist.cell.ranking import Timeliness, timeliness_of
from baobabhoist.cell.run_forecast import probable_end_ms
from baobabhoist.cell.worker_selection import count_fitting_tasks, max_tasks_per_worker
from baobabhoist.cell.workers import WorkerState


@attrs.frozen
class GangStart:
    """Hold when a gang can start, and the workers that will have room for all its members."""

    start_ms: float
    workers: tuple[WorkerState, ...]


@attrs.frozen
class Slot:
    """Hold from when on a worker has room for one more member of a gang."""

    free_ms: float
    worker: WorkerState


def forecast_start(
    step: StepState, workers: Iterable[WorkerState], now: float
) -> GangStart | None:
    """Return the earliest start of a gang on these workers, or None if they are too small."""
    slots = [slot for worker in workers for slot in _slots_of(worker, step, now)]
    # The sort is stable: of workers with room at the same time, those named first are chosen.
    slots.sort(key=lambda slot: slot.free_ms)
    needed = slots[: step.waiting_count]
    if len(needed) < step.waiting_count:
        return None
    chosen = dict.fromkeys(slot.worker for slot in needed)
    return GangStart(needed[-1].free_ms, tuple(chosen))


def forecast_limit_start(
    step: StepState, team: Team, used: Resources, runs: Iterable[Run], now: float
) -> float:
    """Return when a team's limit will admit a whole gang, as the runs of the team end."""
    total = used.plus(step.spec.need.times(step.waiting_count))
    for run in sorted(runs, key=lambda run: probable_end_ms(run, now)):
        total = total.minus(run.task.step.spec.need)
        if team.allows(total):
            return probable_end_ms(run, now)
    return float("inf")


def latest_useful_start_ms(job: JobState, now: float) -> float:
    """Return until when the rest of a job must start to have value; infinity if it has none."""
    if timeliness_of(job, now) is Timeliness.EXPIRED:
        return float("inf")
    return job.late_limit_ms - job.remaining_critical_path_ms()


def _slots_of(worker: WorkerState, step: StepState, now: float) -> Iterator[Slot]:
    """Yield the slots of a worker for the members of a gang, the first ones first."""
    need = step.spec.allocation
    max_count = max_tasks_per_worker(step.spec, step.waiting_count)
    free, count = worker.free, 0
    ends = sorted(
        ((probable_end_ms(run, now), run.allocation) for run in worker.runs.values()), key=_time
    )
    for free_ms, allocation in ((now, None), *ends):
        free = free.plus(allocation) if allocation is not None else free
        fitting = count_fitting_tasks(free, need, max_count)
        for _ in range(fitting - count):
            yield Slot(free_ms, worker)
        count = max(count, fitting)


def _time(end: tuple[float, object]) -> float:
    return end[0]
