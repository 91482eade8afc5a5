"""Choose a worker for a task: filter through the index, score some candidates, take the best."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection

import attrs

from baobabhoist.model import Task, WorkKind
from baobabhoist.scheduling.capacity import CapacityIndex, ResourceVector, WorkerState, fits

# Scoring more workers improves packing little and costs time in every decision.
MAX_CANDIDATES = 4
# Weight of a worker's speed in its score: a worker at half speed scores as badly as one at full
# speed that is left with a further eighth of its capacity unused.
SPEED_WEIGHT = 0.5
# Weight of a new sample in the moving average of a worker's speed.
SPEED_SMOOTHING = 0.1


@attrs.define
class RackSpread:
    """Count the replicas of each service per rack."""

    replicas: defaultdict[str, Counter[str]] = attrs.Factory(lambda: defaultdict(Counter))

    def add(self, job_id: str, rack: str) -> None:
        """Add a replica."""
        self.replicas[job_id][rack] += 1

    def remove(self, job_id: str, rack: str) -> None:
        """Remove a replica."""
        racks = self.replicas[job_id]
        racks[rack] -= 1
        if racks[rack] <= 0:
            del racks[rack]
        if not racks:
            del self.replicas[job_id]

    def racks_by_use(self, job_id: str, racks: Collection[str]) -> list[str]:
        """Return the racks, those with the fewest replicas of the service first."""
        replicas = self.replicas.get(job_id, Counter())
        return sorted(racks, key=lambda rack: (replicas[rack], rack))


def choose_worker(
    index: CapacityIndex,
    task: Task,
    demand: ResourceVector,
    excluded: Collection[str],
    spread: RackSpread,
) -> WorkerState | None:
    """Return the best worker found for a task, or None if it fits on none."""
    if not index.might_fit(demand):
        return None
    if task.kind is WorkKind.SERVICE:
        return _choose_in_least_used_rack(index, task, demand, excluded, spread)
    candidates = index.find_workers(demand, MAX_CANDIDATES, excluded)
    if len(candidates) < 2:
        return candidates[0] if candidates else None
    return min(candidates, key=lambda worker: score(worker, demand))


def score(worker: WorkerState, demand: ResourceVector) -> float:
    """Score a worker on which the demand fits; a lower score is better.

    The score adds the unused fractions of processors and memory and their imbalance, and subtracts
    the weighted speed.
    """
    capacity, allocatable = worker.capacity, worker.allocatable
    unused_cpu = (allocatable[0] - demand[0]) / (capacity[0] or 1)
    unused_memory = (allocatable[1] - demand[1]) / (capacity[1] or 1)
    # The sum of both and of their difference is twice the larger one.
    return (
        2.0 * (unused_cpu if unused_cpu > unused_memory else unused_memory)
        - SPEED_WEIGHT * worker.speed
    )


def update_speed(worker: WorkerState, expected_s: float, run_s: float) -> None:
    """Update a worker's speed from a run; 1 is the speed that the estimates assume."""
    if run_s > 0.0 and expected_s > 0.0:
        sample = min(max(expected_s / run_s, 0.25), 4.0)
        worker.speed += SPEED_SMOOTHING * (sample - worker.speed)


def _choose_in_least_used_rack(
    index: CapacityIndex,
    task: Task,
    demand: ResourceVector,
    excluded: Collection[str],
    spread: RackSpread,
) -> WorkerState | None:
    for rack in spread.racks_by_use(task.job_id, index.racks):
        fitting = [
            worker
            for worker in index.racks[rack]
            if fits(demand, worker.allocatable) and worker.name not in excluded
        ]
        if fitting:
            return min(fitting, key=lambda worker: (score(worker, demand), worker.name))
    return None
