"""Choose workers for single tasks and for gangs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from baobabhoist.cell.model import Resources, Step
from baobabhoist.cell.workers import WorkerState


@attrs.define(eq=False)
class WorkerSlots:
    """Hold a worker that may take tasks of a step, and how many of them."""

    worker: WorkerState
    count: int
    cost: float


def tasks_that_fit(free: Resources, need: Resources, most: int) -> int:
    """Return how many tasks of a size fit into a room, at most `most`."""
    for have, want in (
        (free.cpu, need.cpu),
        (free.memory_mb, need.memory_mb),
        (free.gpu, need.gpu),
    ):
        if want > 0:
            most = min(most, have // want)
    return max(0, most)


def find_slots(
    workers: Iterable[WorkerState],
    step: Step,
    wanted: int,
    running: Counter[str],
    cost: Callable[[WorkerState], float],
) -> list[WorkerSlots]:
    """Return the workers with room for at least one task, the cheapest first."""
    found = []
    for worker in workers:
        if worker.free_cpu < step.allocation.cpu:
            continue
        most = wanted
        if step.most_per_worker:
            most = min(most, step.most_per_worker - running[worker.worker_id])
        count = tasks_that_fit(worker.free, step.allocation, most)
        if count > 0:
            found.append(WorkerSlots(worker, count, cost(worker)))
    found.sort(key=lambda slot: slot.cost)
    return found


def assign_tasks(slots: list[WorkerSlots], wanted: int) -> list[WorkerState]:
    """Return a worker for each of as many tasks as fit, the cheapest first."""
    chosen: list[WorkerState] = []
    for slot in slots:
        chosen += [slot.worker] * min(slot.count, wanted - len(chosen))
        if len(chosen) == wanted:
            break
    return chosen


def assign_gang(slots: list[WorkerSlots], wanted: int, same_rack: bool) -> list[WorkerState]:
    """Return a worker for each member, or nothing unless all fit at once.

    With `same_rack` one rack is taken if it has the room, else several.
    """
    if same_rack:
        for rack in dict.fromkeys(slot.worker.info.rack for slot in slots):
            inside = [slot for slot in slots if slot.worker.info.rack == rack]
            chosen = assign_tasks(inside, wanted)
            if len(chosen) == wanted:
                return chosen
    chosen = assign_tasks(slots, wanted)
    return chosen if len(chosen) == wanted else []
