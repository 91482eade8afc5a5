"""Prefer warm workers to cold ones, which are slow after their start, and fill these gently.

A worker says for how long it stays cold. It still gets tasks, but last, and only a few that have
not begun to run: tasks that start together while it warms up would slow each other down further.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from baobabhoist.cell.jobs import RunPhase
from baobabhoist.cell.worker_selection import WorkerSlots
from baobabhoist.cell.workers import WorkerState

# Ranks every cold worker behind every warm one, however slow.
COLD_COST = 100.0
# Runs that may be starting on a cold worker at the same time.
MAX_STARTING_WHILE_COLD = 1


def cold_cost(worker: WorkerState, now: float) -> float:
    """Return what the placement cost of a worker rises by because it is cold."""
    return COLD_COST if worker.is_cold(now) else 0.0


def limit_cold_slots(slots: Iterable[WorkerSlots], now: float) -> list[WorkerSlots]:
    """Return the slots with no more places on cold workers than these may start at once."""
    limited = []
    for slot in slots:
        if slot.worker.is_cold(now):
            places = min(slot.task_count, MAX_STARTING_WHILE_COLD - _count_starting(slot.worker))
            slot = attrs.evolve(slot, task_count=places)
        if slot.task_count > 0:
            limited.append(slot)
    return limited


def _count_starting(worker: WorkerState) -> int:
    return sum(run.phase is RunPhase.STARTING for run in worker.runs.values())
