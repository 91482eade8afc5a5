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
Amount = tuple[int, int, int, int]

NOTHING: Amount = (0, 0, 0, 0)
UNAVAILABLE: Amount = (-1, -1, -1, -1)


def amount_of(resources: Resources) -> Amount:
    """Return resources as a tuple."""
    return (resources.cpu_milli, resources.memory_mb, resources.accelerators, resources.slots)


def resources_of(amount: Amount) -> Resources:
    """Return a tuple as resources."""
    return Resources(*amount)


def fits(need: Amount, free: Amount) -> bool:
    """Tell whether an amount is available in another."""
    return need[0] <= free[0] and need[1] <= free[1] and need[2] <= free[2] and need[3] <= free[3]


def plus(one: Amount, two: Amount) -> Amount:
    """Return the sum."""
    return (one[0] + two[0], one[1] + two[1], one[2] + two[2], one[3] + two[3])


def minus(one: Amount, two: Amount) -> Amount:
    """Return the difference; it may go below zero."""
    return (one[0] - two[0], one[1] - two[1], one[2] - two[2], one[3] - two[3])


def larger(one: Amount, two: Amount) -> Amount:
    """Return the larger amount of each resource."""
    return (
        one[0] if one[0] > two[0] else two[0],
        one[1] if one[1] > two[1] else two[1],
        one[2] if one[2] > two[2] else two[2],
        one[3] if one[3] > two[3] else two[3],
    )


class Availability(enum.Enum):
    """Say whether a worker may be given new work."""

    DOWN = "down"
    UP = "up"
    LEAVING = "leaving"


@attrs.define(eq=False)
class WorkerState:
    """Hold what the owner knows of one worker; only the index changes the amounts.

    `room` is what ordinary work may use: what is free and not reserved.
    """

    spec: WorkerSpec
    capacity: Amount
    free: Amount
    position: int = 0
    reserved: Amount = NOTHING
    availability: Availability = Availability.DOWN
    quarantined: bool = False
    speed: float = 1.0
    room: Amount = UNAVAILABLE
    tasks: set[str] = attrs.Factory(set)

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.spec.name

    def usable(self) -> bool:
        """Tell whether the worker may be given ordinary work."""
        return self.availability is Availability.UP and not self.quarantined

    def open(self) -> Amount:
        """Compute `room`."""
        return minus(self.free, self.reserved) if self.usable() else UNAVAILABLE


class CapacityIndex:
    """Find workers with room in logarithmic time.

    A binary tree over the workers, ordered by rack, keeps the largest open amount of each
    resource below every node, so a search skips the subtrees in which nothing can fit.
    """

    def __init__(self, specs: Iterable[WorkerSpec]) -> None:
        self.workers: dict[str, WorkerState] = {}
        self.racks: dict[str, list[WorkerState]] = {}
        self.total: Amount = NOTHING
        self._order: list[WorkerState] = []
        self._tree: list[Amount] = []
        self._base = 1
        self._salt = 0
        self._capacities: Counter[Amount] = Counter()
        self.set_workers(specs)

    def set_workers(self, specs: Iterable[WorkerSpec]) -> None:
        """Take a new list of workers; known ones keep their state."""
        known = self.workers
        self.workers = {}
        for spec in specs:
            capacity = amount_of(spec.capacity)
            state = known.get(spec.name)
            if state is None:
                state = WorkerState(spec, capacity, capacity)
            elif state.spec != spec:
                state.free = plus(state.free, minus(capacity, state.capacity))
                state.spec, state.capacity = spec, capacity
            self.workers[spec.name] = state
        for name, state in known.items():
            if name not in self.workers and state.tasks:
                state.availability = Availability.LEAVING
                self.workers[name] = state
        self._rebuild()

    def could_ever_fit(self, need: Amount) -> bool:
        """Tell whether the amount fits in some worker's whole capacity."""
        return any(fits(need, capacity) for capacity in self._capacities)

    def might_fit(self, need: Amount) -> bool:
        """Tell in constant time whether a search may succeed; true is not a promise."""
        return fits(need, self._tree[1])

    def largest_open(self) -> Amount:
        """Return the largest open amount of each resource on any worker."""
        return self._tree[1]

    def take(self, state: WorkerState, need: Amount, task_id: str) -> None:
        """Take capacity for a task; taking more than is free is refused."""
        left = minus(state.free, need)
        check(
            min(left) >= 0 and task_id not in state.tasks,
            Invariant.SCHEDULER,
            "task %s takes %s of %s on worker %s",
            task_id,
            need,
            state.free,
            state.spec.name,
        )
        state.free = left
        state.tasks.add(task_id)
        self.changed(state)

    def adopt(self, state: WorkerState, need: Amount, task_id: str) -> None:
        """Count a task that the worker runs already, even when it exceeds the capacity."""
        if task_id not in state.tasks:
            state.free = minus(state.free, need)
            state.tasks.add(task_id)
            self.changed(state)

    def give(self, state: WorkerState, need: Amount, task_id: str) -> None:
        """Give the capacity of an ended task back."""
        free = plus(state.free, need)
        check(
            task_id in state.tasks and fits(free, state.capacity),
            Invariant.SCHEDULER,
            "task %s gives %s back to worker %s twice",
            task_id,
            need,
            state.spec.name,
        )
        state.free = free
        state.tasks.remove(task_id)
        self.changed(state)

    def reserve(self, state: WorkerState, need: Amount) -> None:
        """Keep capacity from ordinary work; it may be more than is free now."""
        state.reserved = plus(state.reserved, need)
        self.changed(state)

    def unreserve(self, state: WorkerState, need: Amount) -> None:
        """End a reservation."""
        left = minus(state.reserved, need)
        check(
            min(left) >= 0,
            Invariant.SCHEDULER,
            "%s is not reserved on worker %s",
            need,
            state.spec.name,
        )
        state.reserved = left
        self.changed(state)

    def changed(self, state: WorkerState) -> None:
        """Bring the tree up to date after a change of a worker."""
        tree = self._tree
        node = self._base + state.position
        tree[node] = state.room = state.open()
        while node > 1:
            node >>= 1
            largest = larger(tree[2 * node], tree[2 * node + 1])
            if tree[node] == largest:
                break
            tree[node] = largest

    def search(
        self, need: Amount, limit: int, excluded: Collection[str] = ()
    ) -> list[WorkerState]:
        """Return up to `limit` workers with room, a different sample on each call."""
        tree, base, order = self._tree, self._base, self._order
        cpu, memory, devices, slots = need
        self._salt = salt = (self._salt * 1_103_515_245 + 12_345) & 0x7FFFFFFF
        # The low bits of the generator have short periods.
        salt >>= 8
        found: list[WorkerState] = []
        stack = [1]
        while stack:
            node = stack.pop()
            top = tree[node]
            if cpu > top[0] or memory > top[1] or devices > top[2] or slots > top[3]:
                continue
            if node >= base:
                state = order[node - base]
                if state.spec.name not in excluded:
                    found.append(state)
                    if len(found) == limit:
                        break
                continue
            first = 2 * node + (salt >> (node.bit_length() & 15) & 1)
            stack.append(first ^ 1)
            stack.append(first)
        return found

    def sample(self, limit: int) -> Iterator[WorkerState]:
        """Yield up to `limit` different workers, from a different start on each call."""
        count = len(self._order)
        self._salt = (self._salt * 1_103_515_245 + 12_345) & 0x7FFFFFFF
        start = (self._salt >> 8) % count if count else 0
        for offset in range(min(limit, count)):
            yield self._order[(start + offset) % count]

    def _rebuild(self) -> None:
        self._order = sorted(self.workers.values(), key=lambda w: (w.spec.rack, w.spec.name))
        self._base = 1 << max(0, len(self._order) - 1).bit_length()
        self._tree = [UNAVAILABLE] * (2 * self._base)
        self.racks = {}
        self.total = NOTHING
        self._capacities = Counter()
        for position, state in enumerate(self._order):
            state.position = position
            self._tree[self._base + position] = state.room = state.open()
            self.racks.setdefault(state.spec.rack, []).append(state)
            self.total = plus(self.total, state.capacity)
            self._capacities[state.capacity] += 1
        for node in range(self._base - 1, 0, -1):
            self._tree[node] = larger(self._tree[2 * node], self._tree[2 * node + 1])
