"""Index the free capacity of an owner's workers."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Collection, Iterable, Iterator

import attrs

from baobabhoist.invariants import Invariant, check
from baobabhoist.model import Resources, WorkerSpec

# Amounts are plain tuples (millicores, MiB, devices, slots): comparing and adding attrs
# objects would take a large part of the time of a decision.
ResourceVector = tuple[int, int, int, int]

ZERO: ResourceVector = (0, 0, 0, 0)
UNAVAILABLE: ResourceVector = (-1, -1, -1, -1)


def to_vector(resources: Resources) -> ResourceVector:
    """Return resources as a tuple."""
    return (resources.cpu_milli, resources.memory_mb, resources.accelerators, resources.slots)


def to_resources(amount: ResourceVector) -> Resources:
    """Return a tuple as resources."""
    return Resources(*amount)


def fits(demand: ResourceVector, free: ResourceVector) -> bool:
    """Tell whether an amount is available in another."""
    return (
        demand[0] <= free[0]
        and demand[1] <= free[1]
        and demand[2] <= free[2]
        and demand[3] <= free[3]
    )


def add(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    """Return the sum."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3])


def subtract(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    """Return the difference; it may go below zero."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2], left[3] - right[3])


def elementwise_max(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    """Return the larger amount of each resource."""
    return (
        left[0] if left[0] > right[0] else right[0],
        left[1] if left[1] > right[1] else right[1],
        left[2] if left[2] > right[2] else right[2],
        left[3] if left[3] > right[3] else right[3],
    )


class Availability(enum.Enum):
    """Say whether a worker may be given new work."""

    DOWN = "down"
    UP = "up"
    LEAVING = "leaving"


@attrs.define(eq=False)
class WorkerState:
    """Hold what the owner knows of one worker; only the index changes the amounts.

    `allocatable` is what ordinary work may use: what is free and not reserved.
    """

    spec: WorkerSpec
    capacity: ResourceVector
    free: ResourceVector
    position: int = 0
    reserved: ResourceVector = ZERO
    availability: Availability = Availability.DOWN
    quarantined: bool = False
    speed: float = 1.0
    allocatable: ResourceVector = UNAVAILABLE
    tasks: set[str] = attrs.Factory(set)

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.spec.name

    def is_usable(self) -> bool:
        """Tell whether the worker may be given ordinary work."""
        return self.availability is Availability.UP and not self.quarantined

    def compute_allocatable(self) -> ResourceVector:
        """Compute `allocatable`."""
        return subtract(self.free, self.reserved) if self.is_usable() else UNAVAILABLE


class CapacityIndex:
    """Find workers with room in logarithmic time.

    A binary tree over the workers, ordered by rack, keeps the largest open amount of each
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
        """Take a new list of workers; known ones keep their state."""
        known = self.workers
        self.workers = {}
        for spec in specs:
            capacity = to_vector(spec.capacity)
            state = known.get(spec.name)
            if state is None:
                state = WorkerState(spec, capacity, capacity)
            elif state.spec != spec:
                state.free = add(state.free, subtract(capacity, state.capacity))
                state.spec, state.capacity = spec, capacity
            self.workers[spec.name] = state
        for name, state in known.items():
            if name not in self.workers and state.tasks:
                state.availability = Availability.LEAVING
                self.workers[name] = state
        self._rebuild()

    def could_ever_fit(self, demand: ResourceVector) -> bool:
        """Tell whether the amount fits in some worker's whole capacity."""
        return any(fits(demand, capacity) for capacity in self._capacity_counts)

    def might_fit(self, demand: ResourceVector) -> bool:
        """Tell in constant time whether a search may succeed; true is not a promise."""
        return fits(demand, self._tree[1])

    def max_allocatable(self) -> ResourceVector:
        """Return the largest open amount of each resource on any worker."""
        return self._tree[1]

    def allocate(self, state: WorkerState, demand: ResourceVector, task_id: str) -> None:
        """Take capacity for a task; taking more than is free is refused."""
        left = subtract(state.free, demand)
        check(
            min(left) >= 0 and task_id not in state.tasks,
            Invariant.SCHEDULER,
            "task %s takes %s of %s on worker %s",
            task_id,
            demand,
            state.free,
            state.spec.name,
        )
        state.free = left
        state.tasks.add(task_id)
        self.update(state)

    def adopt(self, state: WorkerState, demand: ResourceVector, task_id: str) -> None:
        """Count a task that the worker runs already, even when it exceeds the capacity."""
        if task_id not in state.tasks:
            state.free = subtract(state.free, demand)
            state.tasks.add(task_id)
            self.update(state)

    def release(self, state: WorkerState, demand: ResourceVector, task_id: str) -> None:
        """Give the capacity of an ended task back."""
        free = add(state.free, demand)
        check(
            task_id in state.tasks and fits(free, state.capacity),
            Invariant.SCHEDULER,
            "task %s gives %s back to worker %s twice",
            task_id,
            demand,
            state.spec.name,
        )
        state.free = free
        state.tasks.remove(task_id)
        self.update(state)

    def reserve(self, state: WorkerState, demand: ResourceVector) -> None:
        """Keep capacity from ordinary work; it may be more than is free now."""
        state.reserved = add(state.reserved, demand)
        self.update(state)

    def unreserve(self, state: WorkerState, demand: ResourceVector) -> None:
        """End a reservation."""
        left = subtract(state.reserved, demand)
        check(
            min(left) >= 0,
            Invariant.SCHEDULER,
            "%s is not reserved on worker %s",
            demand,
            state.spec.name,
        )
        state.reserved = left
        self.update(state)

    def update(self, state: WorkerState) -> None:
        """Bring the tree up to date after a change of a worker."""
        tree = self._tree
        node = self._first_leaf + state.position
        tree[node] = state.allocatable = state.compute_allocatable()
        while node > 1:
            node >>= 1
            largest = elementwise_max(tree[2 * node], tree[2 * node + 1])
            if tree[node] == largest:
                break
            tree[node] = largest

    def find_workers(
        self, demand: ResourceVector, limit: int, excluded: Collection[str] = ()
    ) -> list[WorkerState]:
        """Return up to `limit` workers with room, a different sample on each call."""
        tree, first_leaf, leaves = self._tree, self._first_leaf, self._leaves
        cpu, memory, devices, slots = demand
        self._random_state = random_state = (
            self._random_state * 1_103_515_245 + 12_345
        ) & 0x7FFFFFFF
        # The low bits of the generator have short periods.
        random_state >>= 8
        found: list[WorkerState] = []
        stack = [1]
        while stack:
            node = stack.pop()
            top = tree[node]
            if cpu > top[0] or memory > top[1] or devices > top[2] or slots > top[3]:
                continue
            if node >= first_leaf:
                state = leaves[node - first_leaf]
                if state.spec.name not in excluded:
                    found.append(state)
                    if len(found) == limit:
                        break
                continue
            first = 2 * node + (random_state >> (node.bit_length() & 15) & 1)
            stack.append(first ^ 1)
            stack.append(first)
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
        for position, state in enumerate(self._leaves):
            state.position = position
            self._tree[self._first_leaf + position] = state.allocatable = (
                state.compute_allocatable()
            )
            self.racks.setdefault(state.spec.rack, []).append(state)
            self.total = add(self.total, state.capacity)
            self._capacity_counts[state.capacity] += 1
        for node in range(self._first_leaf - 1, 0, -1):
            self._tree[node] = elementwise_max(self._tree[2 * node], self._tree[2 * node + 1])
