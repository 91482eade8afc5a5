"""Queue the work of every team in the order in which it is placed."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from math import inf

import attrs

from baobabhoist.model import Task, Urgency, WorkKind
from baobabhoist.scheduling.capacity import ResourceVector, WorkerState, fits

# Demands within a factor of the square root of two share a subqueue. A subqueue whose head does
# not fit is not searched further, so wider steps would make smaller tasks wait behind larger ones.
_STEPS_PER_DOUBLING = 2
# The heaps are compacted when cancelled entries outnumber the live ones by this.
_MAX_STALE_ENTRIES = 1024
# Subqueues ranked per refresh; ranking those of a hundred teams at once takes milliseconds.
RANKS_PER_REFRESH = 256
# Smaller differences between ranks are rounding errors.
_RANK_TOLERANCE = 1e-9


@attrs.define(eq=False)
class QueueEntry:
    """Hold one waiting task, or the members of a gang that start together.

    An entry with a reservation is skipped by the queue; the reservation starts it.
    `team_paused_at` is when the team's other work was paused so that enough places for this gang
    become free, or infinity.
    """

    task: Task
    members: tuple[Task, ...]
    demand: ResourceVector
    median_run_s: float
    seq: int
    subqueue: Subqueue | None = None
    has_reservation: bool = False
    team_paused_at: float = inf

    def waited_s(self, now: float) -> float:
        """Return how long the work has waited, in seconds."""
        return max(0.0, now - self.task.submitted_at)


@attrs.define(eq=False)
class Subqueue:
    """Hold the waiting work of one team, queue, kind and size class, earliest deadline first.

    Ranked items with another `rank_version` are out of date.
    """

    team: TeamQueue
    size_class: SizeClass
    queue: str
    kind: WorkKind
    is_urgent: bool
    heap: list[tuple[float, int, QueueEntry]] = attrs.Factory(list)
    rank_version: int = 0

    def head(self) -> QueueEntry | None:
        """Return the first entry that still waits, and drop those before it."""
        heap = self.heap
        while heap:
            entry = heap[0][2]
            if entry.subqueue is self and not entry.has_reservation:
                return entry
            heapq.heappop(heap)
        return None


@attrs.define(eq=False)
class SizeClass:
    """Hold the subqueues whose work has about the same resource demand.

    `blocked_demand` is a demand that fitted on no worker; the class is skipped while it is set.
    `workers_to_try` holds the workers on which capacity was freed since; None stands for all.
    """

    ranked: list[RankedSubqueue] = attrs.Factory(list)
    subqueues: list[Subqueue] = attrs.Factory(list)
    blocked_demand: ResourceVector | None = None
    workers_to_try: dict[str, WorkerState] | None = None

    def unblock(self, worker: WorkerState | None) -> None:
        """Try the class again, on a worker that has more free capacity or, for None, on all."""
        if self.blocked_demand is not None:
            self.workers_to_try = {} if worker else None
        self.blocked_demand = None
        if worker is not None and self.workers_to_try is not None:
            self.workers_to_try[worker.spec.name] = worker

    def may_fit(self, demand: ResourceVector) -> bool:
        """Return whether a demand may fit on a worker that has to be tried again."""
        return self.workers_to_try is None or any(
            fits(demand, w.free) for w in self.workers_to_try.values()
        )


@attrs.define(eq=False)
class TeamQueue:
    """Hold one team's subqueues; `is_limited` is set while the team uses all its places."""

    name: str
    subqueues: dict[tuple[str, str, bool, tuple[int, ...]], Subqueue] = attrs.Factory(dict)
    task_count: int = 0
    task_count_by_queue: Counter[str] = attrs.Factory(Counter)
    is_limited: bool = False


# Rank, deadline and sequence number of the head, the rank version at that time, the subqueue.
RankedSubqueue = tuple[float, float, int, int, Subqueue]
RankFunction = Callable[[Subqueue, QueueEntry, float], float]


def size_class_key(demand: ResourceVector, members: int) -> tuple[int, ...]:
    """Return the key of the size class of a demand."""
    cpu, memory, devices, slots = demand
    return (_size_step(cpu), _size_step(memory), devices, slots, members)


def _size_step(value: int) -> int:
    """Return the base-2 logarithm of a value in half steps."""
    doubling = value.bit_length()
    return _STEPS_PER_DOUBLING * doubling + (value * 5 >= 7 << (doubling - 1) if doubling else 0)


class TaskQueues:
    """Order waiting work across teams by rank, and skip what cannot be placed now.

    Ranks are computed when a subqueue changes and renewed by `refresh_ranks`. A heap over the
    first subqueue of each size class gives the next subqueue without a scan of all of them.
    """

    def __init__(self, rank: RankFunction) -> None:
        self.entries: dict[str, QueueEntry] = {}
        self.teams: dict[str, TeamQueue] = {}
        self.size_classes: dict[tuple[int, ...], SizeClass] = {}
        # Returns whether a class limit keeps a team's work of a kind waiting.
        self.is_class_full: Callable[[str, WorkKind], bool] = lambda team, kind: False
        self._rank = rank
        self._by_deadline: list[tuple[float, int, QueueEntry]] = []
        # Heap of the first ranked subqueue of each size class that is not blocked.
        self._active: list[RankedSubqueue] = []
        self._teams_to_refresh: list[str] = []
        self._rank_version = 0

    def team_queue(self, name: str) -> TeamQueue:
        """Return a team's queue, which is created if it does not exist."""
        team = self.teams.get(name)
        if team is None:
            team = self.teams[name] = TeamQueue(name)
        return team

    def add(self, entry: QueueEntry, now: float) -> None:
        """Add an entry to the subqueue of its team, queue, kind and size class."""
        task, team = entry.task, self.team_queue(entry.task.team)
        is_urgent = task.urgency is Urgency.URGENT
        size_key = size_class_key(entry.demand, len(entry.members))
        key = (task.queue, task.kind.value, is_urgent, size_key)
        subqueue = team.subqueues.get(key)
        if subqueue is None:
            size_class = self.size_classes.get(size_key)
            if size_class is None:
                size_class = self.size_classes[size_key] = SizeClass()
            subqueue = team.subqueues[key] = Subqueue(
                team, size_class, task.queue, task.kind, is_urgent
            )
            size_class.subqueues.append(subqueue)
        heapq.heappush(subqueue.heap, (task.deadline, entry.seq, entry))
        entry.subqueue = subqueue
        for member in entry.members:
            self.entries[member.task_id] = entry
        team.task_count += len(entry.members)
        team.task_count_by_queue[task.queue] += len(entry.members)
        if task.deadline != inf:
            heapq.heappush(self._by_deadline, (task.deadline, entry.seq, entry))
        if subqueue.heap[0][2] is entry:
            self.update_rank(subqueue, now)
        size_class = subqueue.size_class
        is_first = bool(size_class.ranked) and size_class.ranked[0][4] is subqueue
        if (
            size_class.blocked_demand is not None
            and is_first
            and not fits(size_class.blocked_demand, entry.demand)
        ):
            size_class.unblock(None)
            self._activate(size_class)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry in constant time; the heaps drop it when it reaches their top."""
        if entry.subqueue is not None:
            team = entry.subqueue.team
            team.task_count -= len(entry.members)
            team.task_count_by_queue[entry.task.queue] -= len(entry.members)
            entry.subqueue = None
            for member in entry.members:
                del self.entries[member.task_id]

    def update_rank(self, subqueue: Subqueue, now: float) -> None:
        """Compute the rank of a subqueue from its head."""
        entry = subqueue.head()
        if entry is None or self.is_limited(subqueue):
            return
        self._rank_version += 1
        subqueue.rank_version = self._rank_version
        rank = self._rank(subqueue, entry, now)
        item = (rank, entry.task.deadline, entry.seq, subqueue.rank_version, subqueue)
        size_class = subqueue.size_class
        heapq.heappush(size_class.ranked, item)
        if size_class.blocked_demand is None and size_class.ranked[0] is item:
            heapq.heappush(self._active, item)

    def next_subqueue(self, available: ResourceVector, now: float) -> Subqueue | None:
        """Return the first subqueue by rank whose head may fit in `available`, or None.

        Size classes that do not fit are blocked. Urgent work is returned even if it does not fit,
        because others may be preempted for it.
        """
        active = self._active
        while active:
            item = active[0]
            subqueue = item[4]
            size_class = subqueue.size_class
            if (
                size_class.blocked_demand is not None
                or not size_class.ranked
                or size_class.ranked[0] is not item
            ):
                heapq.heappop(active)
                continue
            entry = subqueue.head()
            if item[3] != subqueue.rank_version or entry is None or self.is_limited(subqueue):
                self._replace_top(size_class, None, now)
            elif (
                entry.seq != item[2]
                or self._rank(subqueue, entry, now) > item[0] + _RANK_TOLERANCE
            ):
                self._replace_top(size_class, subqueue, now)
            elif not subqueue.is_urgent and not (
                fits(entry.demand, available) and size_class.may_fit(entry.demand)
            ):
                size_class.blocked_demand = entry.demand
            else:
                return subqueue
        return None

    def _replace_top(self, size_class: SizeClass, stale: Subqueue | None, now: float) -> None:
        heapq.heappop(self._active)
        heapq.heappop(size_class.ranked)
        if stale is not None:
            self.update_rank(stale, now)
        self._activate(size_class)

    def _activate(self, size_class: SizeClass) -> None:
        if size_class.ranked:
            heapq.heappush(self._active, size_class.ranked[0])

    def block(self, subqueue: Subqueue, demand: ResourceVector) -> None:
        """Skip a subqueue's size class until capacity is freed."""
        subqueue.size_class.blocked_demand = demand

    def skip_until_refresh(self, subqueue: Subqueue) -> None:
        """Skip one subqueue until its rank is refreshed."""
        subqueue.rank_version = 0

    def is_limited(self, subqueue: Subqueue) -> bool:
        """Return whether a limit of its team keeps a subqueue waiting."""
        return subqueue.team.is_limited or self.is_class_full(subqueue.team.name, subqueue.kind)

    def mark_limited(self, team: TeamQueue) -> None:
        """Skip a team until one of its places is free."""
        team.is_limited = True

    def unblock_fitting(self, available: ResourceVector, worker: WorkerState) -> None:
        """Unblock the size classes that may fit in what is available on a worker now."""
        for size_class in self.size_classes.values():
            if size_class.blocked_demand is None:
                size_class.unblock(worker)
            elif fits(size_class.blocked_demand, available):
                size_class.unblock(worker)
                self._activate(size_class)

    def unblock_all(self) -> None:
        """Unblock every size class, to be tried on every worker."""
        for size_class in self.size_classes.values():
            was_blocked, size_class.blocked_demand = size_class.blocked_demand is not None, None
            size_class.workers_to_try = None
            if was_blocked:
                self._activate(size_class)

    def rerank_team(self, name: str, now: float) -> None:
        """Rank a team's subqueues again after it released a place or resources."""
        team = self.teams.get(name)
        if team is not None and team.task_count:
            team.is_limited = False
            for subqueue in team.subqueues.values():
                if subqueue.heap:
                    self.update_rank(subqueue, now)

    def refresh_ranks(
        self, now: float, limit: int = RANKS_PER_REFRESH
    ) -> list[tuple[Subqueue, QueueEntry]]:
        """Rank about `limit` further subqueues again, and return them with their heads."""
        if len(self._by_deadline) > 2 * len(self.entries) + _MAX_STALE_ENTRIES:
            self._compact()
        if not self._teams_to_refresh:
            self._drop_empty()
            self._teams_to_refresh = list(self.teams)
        heads: list[tuple[Subqueue, QueueEntry]] = []
        while self._teams_to_refresh and len(heads) < limit:
            team = self.teams.get(self._teams_to_refresh.pop())
            if team is None:
                continue
            for subqueue in team.subqueues.values():
                entry = subqueue.head()
                if entry is not None:
                    self.update_rank(subqueue, now)
                    heads.append((subqueue, entry))
        return heads

    def retry_limited_teams(self, now: float) -> None:
        """Try the teams again that had used all their places."""
        for name, team in self.teams.items():
            if team.is_limited:
                self.rerank_team(name, now)

    def _drop_empty(self) -> None:
        """Drop subqueues, size classes and teams without work, and outdated ranks."""
        for size_key, size_class in list(self.size_classes.items()):
            size_class.subqueues = [
                subqueue for subqueue in size_class.subqueues if subqueue.head() is not None
            ]
            if len(size_class.ranked) > 2 * len(size_class.subqueues):
                size_class.ranked = [
                    item for item in size_class.ranked if item[3] == item[4].rank_version
                ]
                heapq.heapify(size_class.ranked)
                if size_class.blocked_demand is None:
                    self._activate(size_class)
            if not size_class.subqueues:
                del self.size_classes[size_key]
        for name, team in list(self.teams.items()):
            team.subqueues = {
                key: subqueue for key, subqueue in team.subqueues.items() if subqueue.heap
            }
            if not team.task_count and not team.subqueues:
                del self.teams[name]

    def expire(self, now: float) -> Iterator[QueueEntry]:
        """Remove and yield the entries whose deadline has passed."""
        heap = self._by_deadline
        while heap and (heap[0][0] <= now or heap[0][2].subqueue is None):
            entry = heapq.heappop(heap)[2]
            if entry.subqueue is not None and not entry.has_reservation:
                self.remove(entry)
                yield entry

    def requeue(self, entry: QueueEntry, now: float) -> None:
        """Queue an entry again whose reservation ended."""
        self.remove(entry)
        entry.has_reservation = False
        self.add(entry, now)

    def _compact(self) -> None:
        """Drop cancelled entries that have not reached the top of their heaps."""
        self._by_deadline = [item for item in self._by_deadline if item[2].subqueue is not None]
        heapq.heapify(self._by_deadline)
        for size_class in self.size_classes.values():
            for subqueue in size_class.subqueues:
                subqueue.heap = [item for item in subqueue.heap if item[2].subqueue is subqueue]
                heapq.heapify(subqueue.heap)
