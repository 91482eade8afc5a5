"""Keep the waiting work of every team in the order in which it should be placed."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from math import inf

import attrs

from baobabhoist.model import Task, Urgency, WorkKind
from baobabhoist.scheduling.capacity import Amount, WorkerState, fits

# Sizes within a factor of the square root of two wait in one lane; a lane whose head does not
# fit is not searched further, so wider steps would hide smaller tasks behind larger ones.
_STEPS_PER_DOUBLING = 2
# Cancelled entries are dropped from the heaps when they outnumber the live ones by this.
_COMPACT_ABOVE = 1024
# Lanes ranked again in one go; ranking all lanes of a hundred teams at once takes milliseconds.
REFRESHED_LANES = 256
# Ranks that differ by less than this are rounding.
_SAME_RANK = 1e-9


@attrs.define(eq=False)
class QueueEntry:
    """Hold one waiting task, or the members of a gang that start together."""

    task: Task
    members: tuple[Task, ...]
    need: Amount
    run_s: float
    seq: int
    lane: Lane | None = None
    held: bool = False
    drain_from: float = inf

    def waited_s(self, now: float) -> float:
        """Return how long the work has waited, in seconds."""
        return max(0.0, now - self.task.submitted_at)


@attrs.define(eq=False)
class Lane:
    """Hold waiting work of one team, queue, kind and size, earliest deadline first."""

    team: TeamQueue
    shape: SizeClass
    queue: str
    kind: WorkKind
    urgent: bool
    heap: list[tuple[float, int, QueueEntry]] = attrs.Factory(list)
    stamp: int = 0

    def head(self) -> QueueEntry | None:
        """Return the first entry that still waits."""
        heap = self.heap
        while heap:
            entry = heap[0][2]
            if entry.lane is self and not entry.held:
                return entry
            heapq.heappop(heap)
        return None


@attrs.define(eq=False)
class SizeClass:
    """Hold the lanes whose work has about the same size; `blocked` is what found no room.

    `grown` holds the workers that gained room since; None means that all are to be tried.
    """

    ranked: list[Ranked] = attrs.Factory(list)
    lanes: list[Lane] = attrs.Factory(list)
    blocked: Amount | None = None
    grown: dict[str, WorkerState] | None = None

    def unblock(self, worker: WorkerState | None) -> None:
        """Try the size again, on one worker that grew or, without one, on all."""
        if self.blocked is not None:
            self.grown = {} if worker else None
        self.blocked = None
        if worker is not None and self.grown is not None:
            self.grown[worker.spec.name] = worker

    def may_fit(self, need: Amount) -> bool:
        """Tell whether a worker that grew since the size found no room might have room now."""
        return self.grown is None or any(fits(need, w.free) for w in self.grown.values())


@attrs.define(eq=False)
class TeamQueue:
    """Hold one team's lanes; `limited` is set while the team has no place left."""

    name: str
    lanes: dict[tuple[str, str, bool, tuple[int, ...]], Lane] = attrs.Factory(dict)
    queued: int = 0
    queued_in: Counter[str] = attrs.Factory(Counter)
    limited: bool = False


# Rank, deadline and number of the lane's head, the lane's stamp when it was ranked, the lane.
Ranked = tuple[float, float, int, int, Lane]
Rank = Callable[[Lane, QueueEntry, float], float]


def shape_of(need: Amount, members: int) -> tuple[int, ...]:
    """Return the size class of an amount."""
    cpu, memory, devices, slots = need
    return (_step(cpu), _step(memory), devices, slots, members)


def _step(value: int) -> int:
    """Return the logarithm of a value in half doublings."""
    doubling = value.bit_length()
    return _STEPS_PER_DOUBLING * doubling + (value * 5 >= 7 << (doubling - 1) if doubling else 0)


class TaskQueues:
    """Order waiting work across teams by rank, and skip what cannot be placed now.

    Ranks are computed when a lane changes and renewed by `refresh`. A heap over the first lane
    of each size class gives the next choice without a look at every lane.
    """

    def __init__(self, rank: Rank) -> None:
        self.entries: dict[str, QueueEntry] = {}
        self.teams: dict[str, TeamQueue] = {}
        self.shapes: dict[tuple[int, ...], SizeClass] = {}
        # Tells whether a limit for a team's kind of work keeps its lanes waiting.
        self.is_class_full: Callable[[str, WorkKind], bool] = lambda team, kind: False
        self._rank = rank
        self._by_deadline: list[tuple[float, int, QueueEntry]] = []
        self._active: list[Ranked] = []
        self._turn: list[str] = []
        self._stamp = 0

    def team(self, name: str) -> TeamQueue:
        """Return a team's line."""
        line = self.teams.get(name)
        if line is None:
            line = self.teams[name] = TeamQueue(name)
        return line

    def add(self, entry: QueueEntry, now: float) -> None:
        """Queue an entry."""
        task, team = entry.task, self.team(entry.task.team)
        urgent = task.urgency is Urgency.URGENT
        shape_key = shape_of(entry.need, len(entry.members))
        key = (task.queue, task.kind.value, urgent, shape_key)
        lane = team.lanes.get(key)
        if lane is None:
            shape = self.shapes.get(shape_key)
            if shape is None:
                shape = self.shapes[shape_key] = SizeClass()
            lane = team.lanes[key] = Lane(team, shape, task.queue, task.kind, urgent)
            shape.lanes.append(lane)
        heapq.heappush(lane.heap, (task.deadline, entry.seq, entry))
        entry.lane = lane
        for member in entry.members:
            self.entries[member.task_id] = entry
        team.queued += len(entry.members)
        team.queued_in[task.queue] += len(entry.members)
        if task.deadline != inf:
            heapq.heappush(self._by_deadline, (task.deadline, entry.seq, entry))
        if lane.heap[0][2] is entry:
            self.push(lane, now)
        shape = lane.shape
        first = bool(shape.ranked) and shape.ranked[0][4] is lane
        if shape.blocked is not None and first and not fits(shape.blocked, entry.need):
            shape.unblock(None)
            self._activate(shape)

    def remove(self, entry: QueueEntry) -> None:
        """Take an entry out in constant time; the heaps drop it when it reaches their top."""
        if entry.lane is not None:
            line = entry.lane.team
            line.queued -= len(entry.members)
            line.queued_in[entry.task.queue] -= len(entry.members)
            entry.lane = None
            for member in entry.members:
                del self.entries[member.task_id]

    def push(self, lane: Lane, now: float) -> None:
        """Rank a lane by its head."""
        entry = lane.head()
        if entry is None or self.waits_for_place(lane):
            return
        self._stamp += 1
        lane.stamp = self._stamp
        rank = self._rank(lane, entry, now)
        item = (rank, entry.task.deadline, entry.seq, lane.stamp, lane)
        shape = lane.shape
        heapq.heappush(shape.ranked, item)
        if shape.blocked is None and shape.ranked[0] is item:
            heapq.heappush(self._active, item)

    def best(self, room: Amount, now: float) -> Lane | None:
        """Return the lane to serve next among the sizes that may fit in `room`."""
        active = self._active
        while active:
            item = active[0]
            lane = item[4]
            shape = lane.shape
            if shape.blocked is not None or not shape.ranked or shape.ranked[0] is not item:
                heapq.heappop(active)
                continue
            entry = lane.head()
            if item[3] != lane.stamp or entry is None or self.waits_for_place(lane):
                self._replace_top(shape, None, now)
            elif entry.seq != item[2] or self._rank(lane, entry, now) > item[0] + _SAME_RANK:
                self._replace_top(shape, lane, now)
            elif not lane.urgent and not (fits(entry.need, room) and shape.may_fit(entry.need)):
                shape.blocked = entry.need
            else:
                return lane
        return None

    def _replace_top(self, shape: SizeClass, again: Lane | None, now: float) -> None:
        heapq.heappop(self._active)
        heapq.heappop(shape.ranked)
        if again is not None:
            self.push(again, now)
        self._activate(shape)

    def _activate(self, shape: SizeClass) -> None:
        if shape.ranked:
            heapq.heappush(self._active, shape.ranked[0])

    def blocked(self, lane: Lane, need: Amount) -> None:
        """Skip a size until capacity grows."""
        lane.shape.blocked = need

    def skip(self, lane: Lane) -> None:
        """Skip one lane until the next refresh."""
        lane.stamp = 0

    def waits_for_place(self, lane: Lane) -> bool:
        """Tell whether a limit of its team keeps a lane waiting."""
        return lane.team.limited or self.is_class_full(lane.team.name, lane.kind)

    def limit(self, team: TeamQueue) -> None:
        """Skip a team until a place of it is free."""
        team.limited = True

    def grew(self, room: Amount, worker: WorkerState) -> None:
        """Look again at the sizes that fit in a worker's room."""
        for shape in self.shapes.values():
            if shape.blocked is None:
                shape.unblock(worker)
            elif fits(shape.blocked, room):
                shape.unblock(worker)
                self._activate(shape)

    def unblock(self) -> None:
        """Look again at every size on every worker."""
        for shape in self.shapes.values():
            was_blocked, shape.blocked = shape.blocked is not None, None
            shape.grown = None
            if was_blocked:
                self._activate(shape)

    def team_changed(self, name: str, now: float) -> None:
        """Rank a team again after a place or a share of it became free."""
        team = self.teams.get(name)
        if team is not None and team.queued:
            team.limited = False
            for lane in team.lanes.values():
                if lane.heap:
                    self.push(lane, now)

    def refresh(self, now: float, limit: int = REFRESHED_LANES) -> list[tuple[Lane, QueueEntry]]:
        """Rank the next lanes again, about `limit` of them, and return them with their heads."""
        if len(self._by_deadline) > 2 * len(self.entries) + _COMPACT_ABOVE:
            self._compact()
        if not self._turn:
            self._forget_empty()
            self._turn = list(self.teams)
        found: list[tuple[Lane, QueueEntry]] = []
        while self._turn and len(found) < limit:
            team = self.teams.get(self._turn.pop())
            if team is None:
                continue
            for lane in team.lanes.values():
                entry = lane.head()
                if entry is not None:
                    self.push(lane, now)
                    found.append((lane, entry))
        return found

    def unlimit(self, now: float) -> None:
        """Look again at the teams that had no place left."""
        for name, team in self.teams.items():
            if team.limited:
                self.team_changed(name, now)

    def _forget_empty(self) -> None:
        """Drop lanes, sizes and teams without work, and the old ranks of the others."""
        for shape_key, shape in list(self.shapes.items()):
            shape.lanes = [lane for lane in shape.lanes if lane.head() is not None]
            if len(shape.ranked) > 2 * len(shape.lanes):
                shape.ranked = [item for item in shape.ranked if item[3] == item[4].stamp]
                heapq.heapify(shape.ranked)
                if shape.blocked is None:
                    self._activate(shape)
            if not shape.lanes:
                del self.shapes[shape_key]
        for name, team in list(self.teams.items()):
            team.lanes = {key: lane for key, lane in team.lanes.items() if lane.heap}
            if not team.queued and not team.lanes:
                del self.teams[name]

    def expire(self, now: float) -> Iterator[QueueEntry]:
        """Remove and yield what has passed its deadline."""
        heap = self._by_deadline
        while heap and (heap[0][0] <= now or heap[0][2].lane is None):
            entry = heapq.heappop(heap)[2]
            if entry.lane is not None and not entry.held:
                self.remove(entry)
                yield entry

    def requeue(self, entry: QueueEntry, now: float) -> None:
        """Put an entry whose hold ended back in its place."""
        self.remove(entry)
        entry.held = False
        self.add(entry, now)

    def _compact(self) -> None:
        """Drop what was cancelled but has not reached the top of its heap."""
        self._by_deadline = [item for item in self._by_deadline if item[2].lane is not None]
        heapq.heapify(self._by_deadline)
        for shape in self.shapes.values():
            for lane in shape.lanes:
                lane.heap = [item for item in lane.heap if item[2].lane is lane]
                heapq.heapify(lane.heap)
