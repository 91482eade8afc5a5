"""Track the capacity of a shard's workers and find workers on which a task fits."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Collection, Iterable, Iterator

import attrs

from baobabhoist.invariants import Invariant, check
from baobabhoist.model import Resources, WorkerSpec

# Resource vectors are plain tuples (millicores, MiB, devices, slots): comparing and adding attrs
# objects would take a large part of the time of a placement decision.
ResourceVector = tuple[int, int, int, int]

ZERO: ResourceVector = (0, 0, 0, 0)
# Allocatable capacity of a worker that gets no new work; no demand fits in it.
UNAVAILABLE: ResourceVector = (-1, -1, -1, -1)


def to_vector(resources: Resources) -> ResourceVector:
    """Convert resources to a vector."""
    return (resources.cpu_milli, resources.memory_mb, resources.accelerators, resources.slots)


def to_resources(vector: ResourceVector) -> Resources:
    """Convert a vector to resources."""
    return Resources(*vector)


def fits(demand: ResourceVector, free: ResourceVector) -> bool:
    """Return whether each resource of a demand is available."""
    return (
        demand[0] <= free[0]
        and demand[1] <= free[1]
        and demand[2] <= free[2]
        and demand[3] <= free[3]
    )


def add(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    """Return the elementwise sum."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3])


def subtract(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    """Return the elementwise difference, which may be negative."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2], left[3] - right[3])


def elementwise_max(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    """Return the larger value of each resource."""
    return (
        left[0] if left[0] > right[0] else right[0],
        left[1] if left[1] > right[1] else right[1],
        left[2] if left[2] > right[2] else right[2],
        left[3] if left[3] > right[3] else right[3],
    )


class Availability(enum.Enum):
    """Define whether a worker accepts new work."""

    DOWN = "down"
    UP = "up"
    LEAVING = "leaving"


@attrs.define(eq=False)
class WorkerState:
    """Hold the state of one worker; only `CapacityIndex` changes its resource vectors.

    `allocatable` is the capacity that is free, not reserved, and open to ordinary work.
    """

    spec: WorkerSpec
    capacity: ResourceVector
    free: ResourceVector
    leaf_index: int = 0
    reserved: ResourceVector = ZERO
    availability: Availability = Availability.DOWN
    is_quarantined: bool = False
    speed: float = 1.0
    allocatable: ResourceVector = UNAVAILABLE
    task_ids: set[str] = attrs.Factory(set)

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.spec.name

    def is_usable(self) -> bool:
        """Return whether the worker may be given ordinary work."""
        return self.availability is Availability.UP and not self.is_quarantined

    def compute_allocatable(self) -> ResourceVector:
        """Return the value that `allocatable` should have."""
        return subtract(self.free, self.reserved) if self.is_usable() else UNAVAILABLE


class CapacityIndex:
    """Find workers with enough allocatable capacity in logarithmic time.

    A binary tree over the workers, ordered by rack, keeps the largest allocatable amount of each
    resource below every node, so a search skips the subtrees in which nothing can fit.
    """

    def __init__(self, specs: Iterable[WorkerSpec]) -> None:
        self.workers: dict[str, WorkerState] = {}
        self.racks: dict[str, list[WorkerState]] = {}
        self.total: ResourceVector = ZERO
        self._leaves: list[WorkerState] = []
        self._tree: list[ResourceVector] = []
        self._first_leaf = 1
        self._random_state = 0
        self._capacity_counts: Counter[ResourceVector] = Counter()
        self.set_workers(specs)

    def set_workers(self, specs: Iterable[WorkerSpec]) -> None:
        """Replace the list of workers; workers that are already known keep their state."""
        previous = self.workers
        self.workers = {}
        for spec in specs:
            capacity = to_vector(spec.capacity)
            worker = previous.get(spec.name)
            if worker is None:
                worker = WorkerState(spec, capacity, capacity)
            elif worker.spec != spec:
                worker.free = add(worker.free, subtract(capacity, worker.capacity))
                worker.spec, worker.capacity = spec, capacity
            self.workers[spec.name] = worker
        for name, worker in previous.items():
            if name not in self.workers and worker.task_ids:
                worker.availability = Availability.LEAVING
                self.workers[name] = worker
        self._rebuild()

    def could_ever_fit(self, demand: ResourceVector) -> bool:
        """Return whether the demand fits on any worker when it is idle."""
        return any(fits(demand, capacity) for capacity in self._capacity_counts)

    def might_fit(self, demand: ResourceVector) -> bool:
        """Return in constant time whether a search may succeed; False is certain, True is not."""
        return fits(demand, self._tree[1])

    def max_allocatable(self) -> ResourceVector:
        """Return the largest allocatable amount of each resource on any worker."""
        return self._tree[1]

    def allocate(self, worker: WorkerState, demand: ResourceVector, task_id: str) -> None:
        """Allocate free capacity; raises InvariantViolationError if there is too little."""
        remaining = subtract(worker.free, demand)
        check(
            min(remaining) >= 0 and task_id not in worker.task_ids,
            Invariant.SCHEDULER,
            "task %s cannot be allocated %s of %s free on worker %s",
            task_id,
            demand,
            worker.free,
            worker.spec.name,
        )
        worker.free = remaining
        worker.task_ids.add(task_id)
        self.update(worker)

    def adopt(self, worker: WorkerState, demand: ResourceVector, task_id: str) -> None:
        """Allocate capacity to a task that the worker already runs, even beyond what is free."""
        if task_id not in worker.task_ids:
            worker.free = subtract(worker.free, demand)
            worker.task_ids.add(task_id)
            self.update(worker)

    def release(self, worker: WorkerState, demand: ResourceVector, task_id: str) -> None:
        """Release the capacity of an ended task."""
        free = add(worker.free, demand)
        check(
            task_id in worker.task_ids and fits(free, worker.capacity),
            Invariant.SCHEDULER,
            "task %s releases %s on worker %s without holding it",
            task_id,
            demand,
            worker.spec.name,
        )
        worker.free = free
        worker.task_ids.remove(task_id)
        self.update(worker)

    def reserve(self, worker: WorkerState, demand: ResourceVector) -> None:
        """Withhold capacity from ordinary work; it may exceed what is free now."""
        worker.reserved = add(worker.reserved, demand)
        self.update(worker)

    def unreserve(self, worker: WorkerState, demand: ResourceVector) -> None:
        """End a reservation."""
        remaining = subtract(worker.reserved, demand)
        check(
            min(remaining) >= 0,
            Invariant.SCHEDULER,
            "cannot unreserve %s on worker %s: it is not reserved",
            demand,
            worker.spec.name,
        )
        worker.reserved = remaining
        self.update(worker)

    def update(self, worker: WorkerState) -> None:
        """Recompute a worker's allocatable capacity and the tree nodes above it."""
        tree = self._tree
        node = self._first_leaf + worker.leaf_index
        tree[node] = worker.allocatable = worker.compute_allocatable()
        while node > 1:
            node >>= 1
            largest = elementwise_max(tree[2 * node], tree[2 * node + 1])
            if tree[node] == largest:
                break
            tree[node] = largest

    def find_workers(
        self, demand: ResourceVector, limit: int, excluded: Collection[str] = ()
    ) -> list[WorkerState]:
        """Return up to `limit` workers on which a demand fits, a different sample on each call."""
        tree, first_leaf, leaves = self._tree, self._first_leaf, self._leaves
        cpu, memory, devices, slots = demand
        self._random_state = random_state = (
            self._random_state * 1_103_515_245 + 12_345
        ) & 0x7FFFFFFF
        # The low bits of a linear congruential generator have short periods.
        random_state >>= 8
        found: list[WorkerState] = []
        stack = [1]
        while stack:
            node = stack.pop()
            largest = tree[node]
            if (
                cpu > largest[0]
                or memory > largest[1]
                or devices > largest[2]
                or slots > largest[3]
            ):
                continue
            if node >= first_leaf:
                worker = leaves[node - first_leaf]
                if worker.spec.name not in excluded:
                    found.append(worker)
                    if len(found) == limit:
                        break
                continue
            first_child = 2 * node + (random_state >> (node.bit_length() & 15) & 1)
            stack.append(first_child ^ 1)
            stack.append(first_child)
        return found

    def sample_workers(self, limit: int) -> Iterator[WorkerState]:
        """Yield up to `limit` different workers, from a different start on each call."""
        count = len(self._leaves)
        self._random_state = (self._random_state * 1_103_515_245 + 12_345) & 0x7FFFFFFF
        start = (self._random_state >> 8) % count if count else 0
        for offset in range(min(limit, count)):
            yield self._leaves[(start + offset) % count]

    def _rebuild(self) -> None:
        self._leaves = sorted(self.workers.values(), key=lambda w: (w.spec.rack, w.spec.name))
        self._first_leaf = 1 << max(0, len(self._leaves) - 1).bit_length()
        self._tree = [UNAVAILABLE] * (2 * self._first_leaf)
        self.racks = {}
        self.total = ZERO
        self._capacity_counts = Counter()
        for leaf_index, worker in enumerate(self._leaves):
            worker.leaf_index = leaf_index
            self._tree[self._first_leaf + leaf_index] = worker.allocatable = (
                worker.compute_allocatable()
            )
            self.racks.setdefault(worker.spec.rack, []).append(worker)
            self.total = add(self.total, worker.capacity)
            self._capacity_counts[worker.capacity] += 1
        for node in range(self._first_leaf - 1, 0, -1):
            self._tree[node] = elementwise_max(self._tree[2 * node], self._tree[2 * node + 1])
