"""Hold capacity for work that cannot start yet: gangs, starved and urgent work."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import inf

import attrs

from baobabhoist.model import Task
from baobabhoist.scheduling.capacity import Amount, CapacityIndex, WorkerState, fits, minus, plus
from baobabhoist.scheduling.queues import QueueEntry
from baobabhoist.scheduling.results import Hold

# Workers looked at when capacity has to be collected; a bound keeps planning independent of
# the number of workers.
SAMPLED_WORKERS = 32
# Work that still uses held capacity is stopped this long before the promised start.
STOP_MARGIN_S = 0.5

# Yields (projected end, amount) of what runs on a worker.
Ends = Callable[[WorkerState], list[tuple[float, Amount]]]


@attrs.define(eq=False)
class Member:
    """Bind one task of a hold to the worker that is held for it."""

    task: Task
    need: Amount
    worker: WorkerState


@attrs.define(eq=False)
class Reservation:
    """Hold capacity for all members; `entry` is set when the work comes from a queue."""

    job_id: str
    members: list[Member]
    start_at: float
    expires_at: float
    entry: QueueEntry | None = None
    ready: bool = False

    def complete(self) -> bool:
        """Tell whether everything that is held is free now."""
        return self.usable() and all(
            min(minus(member.worker.free, member.worker.reserved)) >= 0 for member in self.members
        )

    def usable(self) -> bool:
        """Tell whether every worker may still be given work."""
        return all(member.worker.usable() for member in self.members)

    def as_hold(self) -> Hold:
        """Return what the caller sees."""
        workers = {member.task.task_id: member.worker.name for member in self.members}
        return Hold(self.job_id, workers, self.start_at, self.expires_at, self.ready)


class ReservationTable:
    """Keep the reservations of one owner; a worker collects capacity for one at a time."""

    def __init__(self, index: CapacityIndex, ends: Ends) -> None:
        self.by_job: dict[str, Reservation] = {}
        self.collecting: dict[str, Reservation] = {}
        self.backfilled: dict[str, str] = {}
        self._index = index
        self._ends = ends

    def plan(
        self,
        job_id: str,
        tasks: list[tuple[Task, Amount]],
        now: float,
        expires_at: float,
        entry: QueueEntry | None = None,
        only_now: bool = False,
    ) -> Reservation | None:
        """Reserve for all tasks or for none; largest first, on free capacity if there is any."""
        members: list[Member] = []
        start_at = now
        for task, need in sorted(tasks, key=lambda item: item[1], reverse=True):
            found = self._index.search(need, 1)
            if found:
                worker, at = found[0], now
            elif only_now:
                worker, at = None, inf
            else:
                worker, at = self._soonest(need, now, members)
            if worker is None or at > expires_at:
                for member in members:
                    self._index.unreserve(member.worker, member.need)
                return None
            self._index.reserve(worker, need)
            members.append(Member(task, need, worker))
            start_at = max(start_at, at)
        reservation = Reservation(job_id, members, start_at, expires_at, entry)
        self._record(reservation)
        return reservation

    def reserve_on(
        self, worker: WorkerState, entry: QueueEntry, need: Amount, now: float, expires_at: float
    ) -> Reservation:
        """Reserve one worker for a task for which others make room."""
        self._index.reserve(worker, need)
        members = [Member(entry.task, need, worker)]
        reservation = Reservation(entry.task.task_id, members, now, expires_at, entry)
        self._record(reservation)
        return reservation

    def _record(self, reservation: Reservation) -> None:
        self.by_job[reservation.job_id] = reservation
        if not reservation.complete():
            for member in reservation.members:
                if min(minus(member.worker.free, member.worker.reserved)) < 0:
                    self.collecting[member.worker.name] = reservation

    def end(self, reservation: Reservation) -> None:
        """Drop a reservation and what it holds."""
        del self.by_job[reservation.job_id]
        for member in reservation.members:
            self._index.unreserve(member.worker, member.need)
            if self.collecting.get(member.worker.name) is reservation:
                del self.collecting[member.worker.name]

    def has_gap(self, now: float) -> bool:
        """Tell whether some held start is far enough ahead for other work."""
        return any(found.start_at > now + STOP_MARGIN_S for found in self.collecting.values())

    def backfill(self, need: Amount, long_run_s: float, now: float) -> WorkerState | None:
        """Return a collecting worker where a task would end before the held start."""
        for name, reservation in self.collecting.items():
            worker = self._index.workers[name]
            if (
                now + long_run_s + STOP_MARGIN_S < reservation.start_at
                and worker.usable()
                and fits(need, worker.free)
            ):
                return worker
        return None

    def overdue(self, now: float) -> Iterator[tuple[str, str]]:
        """Yield backfilled tasks that would delay a held start, with the job they delay."""
        for task_id, job_id in list(self.backfilled.items()):
            reservation = self.by_job.get(job_id)
            if reservation is None:
                del self.backfilled[task_id]
            elif now + STOP_MARGIN_S >= reservation.start_at:
                del self.backfilled[task_id]
                yield task_id, job_id

    def _soonest(
        self, need: Amount, now: float, members: list[Member]
    ) -> tuple[WorkerState | None, float]:
        own = {member.worker.name for member in members}
        best, best_at = None, inf
        for worker in self._index.sample(max(SAMPLED_WORKERS, 2 * len(members))):
            if not worker.usable() or (worker.name in self.collecting and worker.name not in own):
                continue
            at = self._ready_at(worker, need, now)
            if at < best_at:
                best, best_at = worker, at
        return best, best_at

    def _ready_at(self, worker: WorkerState, need: Amount, now: float) -> float:
        room = minus(worker.free, worker.reserved)
        if not fits(plus(need, worker.reserved), worker.capacity):
            return inf
        for at, amount in sorted(self._ends(worker)):
            room = plus(room, amount)
            if fits(need, room):
                return max(at, now)
        return inf
