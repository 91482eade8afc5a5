"""Select workers for independent tasks and for gangs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from baobabhoist.cell.model import Resources, Step
from baobabhoist.cell.workers import WorkerState


@attrs.define(eq=False)
class WorkerSlots:
    """Hold a candidate worker, the tasks of a step that fit on it and its placement cost."""

    worker: WorkerState
    task_count: int
    cost: float


def count_fitting_tasks(free: Resources, need: Resources, max_count: int) -> int:
    """Return how many tasks fit into free resources, at most `max_count`."""
    for available, required in (
        (free.cpu, need.cpu),
        (free.memory_mb, need.memory_mb),
        (free.gpu, need.gpu),
    ):
        if required > 0:
            max_count = min(max_count, available // required)
    return max(0, max_count)


def max_tasks_per_worker(step: Step, task_count: int) -> int:
    """Return how many of these tasks of a step its own limit allows on one worker."""
    return min(task_count, step.most_per_worker) if step.most_per_worker else task_count


def find_slots(
    workers: Iterable[WorkerState],
    step: Step,
    task_count: int,
    tasks_by_worker: Counter[str],
    placement_cost: Callable[[WorkerState], float],
) -> list[WorkerSlots]:
    """Return the workers on which at least one task fits, by ascending cost."""
    slots = []
    for worker in workers:
        if worker.free_cpu < step.allocation.cpu:
            continue
        max_count = task_count
        if step.most_per_worker:
            max_count = min(max_count, step.most_per_worker - tasks_by_worker[worker.worker_id])
        count = count_fitting_tasks(worker.free, step.allocation, max_count)
        if count > 0:
            slots.append(WorkerSlots(worker, count, placement_cost(worker)))
    slots.sort(key=lambda slot: slot.cost)
    return slots


def assign_tasks(slots: list[WorkerSlots], task_count: int) -> list[WorkerState]:
    """Return a worker for each task that fits, by ascending cost."""
    chosen: list[WorkerState] = []
    for slot in slots:
        chosen += [slot.worker] * min(slot.task_count, task_count - len(chosen))
        if len(chosen) == task_count:
            break
    return chosen


def assign_gang(slots: list[WorkerSlots], task_count: int, same_rack: bool) -> list[WorkerState]:
    """Return a worker for each member of a gang, or an empty list unless all fit at once.

    With `same_rack` a single rack is preferred; several are used if none has the capacity.
    """
    if same_rack:
        for rack in dict.fromkeys(slot.worker.info.rack for slot in slots):
            in_rack = [slot for slot in slots if slot.worker.info.rack == rack]
            chosen = assign_tasks(in_rack, task_count)
            if len(chosen) == task_count:
                return chosen
    chosen = assign_tasks(slots, task_count)
    return chosen if len(chosen) == task_count else []
