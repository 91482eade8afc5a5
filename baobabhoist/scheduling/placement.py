"""Choose a worker: filter through the index, score a few, take the best."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection

import attrs

from baobabhoist.model import Task, WorkKind
from baobabhoist.scheduling.capacity import CapacityIndex, ResourceVector, WorkerState, fits

# Scoring more workers than this improves packing little and costs time with every decision.
MAX_CANDIDATES = 4
# A worker at half speed scores as badly as one that is left this much emptier.
SPEED_WEIGHT = 0.5
SPEED_SMOOTHING = 0.1


@attrs.define
class RackSpread:
    """Count the replicas of each service per rack."""

    replicas: defaultdict[str, Counter[str]] = attrs.Factory(lambda: defaultdict(Counter))

    def add(self, job_id: str, rack: str) -> None:
        """Count a replica."""
        self.replicas[job_id][rack] += 1

    def remove(self, job_id: str, rack: str) -> None:
        """Forget a replica."""
        racks = self.replicas[job_id]
        racks[rack] -= 1
        if racks[rack] <= 0:
            del racks[rack]
        if not racks:
            del self.replicas[job_id]

    def racks_by_use(self, job_id: str, racks: Collection[str]) -> list[str]:
        """Return the racks, those with the fewest replicas of the service first."""
        used = self.replicas.get(job_id, Counter())
        return sorted(racks, key=lambda rack: (used[rack], rack))


def choose_worker(
    index: CapacityIndex,
    task: Task,
    demand: ResourceVector,
    excluded: Collection[str],
    spread: RackSpread,
) -> WorkerState | None:
    """Return the best worker found for a task, or None when none has room."""
    if not index.might_fit(demand):
        return None
    if task.kind is WorkKind.SERVICE:
        return _choose_in_least_used_rack(index, task, demand, excluded, spread)
    found = index.find_workers(demand, MAX_CANDIDATES, excluded)
    if len(found) < 2:
        return found[0] if found else None
    return min(found, key=lambda worker: score(worker, demand))


def score(worker: WorkerState, demand: ResourceVector) -> float:
    """Rate a worker with room, lower is better: what stays unused, its imbalance, its speed."""
    capacity, room = worker.capacity, worker.allocatable
    cpu = (room[0] - demand[0]) / (capacity[0] or 1)
    memory = (room[1] - demand[1]) / (capacity[1] or 1)
    # The sum of both and of their difference is twice the larger one.
    return 2.0 * (cpu if cpu > memory else memory) - SPEED_WEIGHT * worker.speed


def update_speed(worker: WorkerState, expected_s: float, run_s: float) -> None:
    """Learn a worker's speed from a run; 1 is the speed that the estimates assume."""
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
