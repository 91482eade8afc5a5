"""Leave slow workers out of a gang, which runs at the pace of its slowest member."""

from __future__ import annotations

from collections.abc import Callable

from baobabhoist.cell.worker_selection import WorkerSlots, assign_gang
from baobabhoist.cell.workers import WorkerState

# Workers that are slower than the fastest by less than this factor are of similar speed.
SIMILAR_SPEED_FACTOR = 1.2
# A gang that belongs in one rack is spread over several only if it then runs faster by more.
SPREAD_SPEED_FACTOR = 1.5


def assign_paced_gang(
    slots: list[WorkerSlots],
    task_count: int,
    same_rack: bool,
    slowdown: Callable[[WorkerState], float],
) -> list[WorkerState]:
    """Return a worker for each member of a gang, or an empty list unless all fit at once.

    Only the fastest workers that hold the gang count; among them it goes by the cost of the slots.
    """
    slowest = _best_pace(slots, task_count, slowdown)
    if same_rack:
        limit = slowest * SPREAD_SPEED_FACTOR
        in_rack = _fastest_rack(slots, task_count, slowdown)
        rack_slowest = _best_pace(in_rack, task_count, slowdown)
        if in_rack and rack_slowest <= limit:
            slots, slowest = in_rack, rack_slowest
    fast = [slot for slot in slots if slowdown(slot.worker) <= slowest]
    return assign_gang(fast, task_count, same_rack)


def _fastest_rack(
    slots: list[WorkerSlots], task_count: int, slowdown: Callable[[WorkerState], float]
) -> list[WorkerSlots]:
    """Return the slots of the rack in which a gang runs fastest, or none if no rack holds it."""
    by_rack: dict[str, list[WorkerSlots]] = {}
    for slot in slots:
        by_rack.setdefault(slot.worker.info.rack, []).append(slot)
    holding = [
        in_rack
        for in_rack in by_rack.values()
        if sum(slot.task_count for slot in in_rack) >= task_count
    ]
    return min(holding, key=lambda in_rack: _best_pace(in_rack, task_count, slowdown), default=[])


def _best_pace(
    slots: list[WorkerSlots], task_count: int, slowdown: Callable[[WorkerState], float]
) -> float:
    """Return the slowdown up to which workers are needed for a gang, or are of similar speed."""
    by_speed = sorted((slowdown(slot.worker), slot.task_count) for slot in slots)
    missing = task_count
    for worker_slowdown, count in by_speed:
        missing -= count
        if missing <= 0:
            return max(worker_slowdown, by_speed[0][0] * SIMILAR_SPEED_FACTOR)
    return 0.0
